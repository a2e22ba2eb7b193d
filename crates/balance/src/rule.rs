//! Placement rule of the coordinator.
//!
//! In every window the rule compares the levels (requests per second divided by capacity) of the
//! group's targets, based on smoothed counts.
//!
//! 1. *Threshold.* Nothing moves unless the highest level exceeds the lowest by more than
//!    [`Options::threshold`] of the mean plus [`Options::noise`] standard deviations of the
//!    difference, for [`Options::windows`] consecutive windows. The deviation is that of Poisson
//!    arrivals, so that random variation does not move shards of a service with few requests.
//! 2. *Minimum gain.* Candidates are the shards and split keys of the most loaded target, and the
//!    heavy keys that make up at least [`Options::dominance`] of their shard. The receiver is the
//!    least loaded target that accepts units. A candidate qualifies if it lowers the higher of the
//!    two levels by at least [`Options::min_gain`] of the mean.
//! 3. *Break-even.* A candidate is chosen only if gain * expected time >= cost. The gain is in
//!    units of the mean, so the product is in imbalance-seconds. The expected remaining time of the
//!    imbalance is the time for which it has lasted. This is the break-even rule of the ski-rental
//!    problem: pay rent (tolerate the imbalance) until the rent paid equals the price, then buy
//!    (move). Its total cost is at most twice that of the best decision in hindsight (Karlin,
//!    Manasse, Rudolph and Sleator, "Competitive Snoopy Caching", Algorithmica 3, 1988). Large
//!    imbalances are thus corrected early, small or short ones late or never.
//! 4. *Cost.* A move costs [`Options::action_cost`] plus the share of the group's keys that it
//!    moves times ([`Options::churn_cost`] + pause * [`Options::pause_cost`]). The share of a shard
//!    is one divided by the number of shards in the group; a single key counts as zero. A shard
//!    dominated by one key is therefore split rather than moved.
//! 5. *Choice.* Of the candidates that pay off, the one with the highest gain * time - cost is
//!    chosen, at most [`Options::per_window`] per window.
//! 6. *Cool-down.* A unit that moved is not moved again for [`Options::cool_down`].
//! 7. *Unsplit.* A split key whose rate stays below [`Options::unsplit_below`] of the mean for
//!    [`Options::cool_down`] returns to its shard.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

use crate::load::Load;
use crate::load::Loads;
use crate::load::Unit;
use crate::load::gain;
use crate::window::Action;
use crate::window::Assignment;
use crate::window::Policy;
use crate::window::Window;

/// Parameters of the rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// EWMA weight of the newest window in the smoothed rates.
    pub smoothing: f64,
    /// Difference between the highest and the lowest level that triggers the rule, relative to the
    /// mean level.
    pub threshold: f64,
    /// Standard deviations of the counted difference that are added to the threshold.
    pub noise: f64,
    /// Consecutive windows in which the threshold must be exceeded.
    pub windows: u32,
    /// Minimum gain of a move, relative to the mean level.
    pub min_gain: f64,
    /// Time for which a moved unit is not moved again.
    pub cool_down: Duration,
    /// Upper bound of the expected duration of an imbalance.
    pub horizon: Duration,
    /// Time for which a moving unit is unavailable.
    pub pause: Duration,
    /// Fixed cost of a move, in imbalance-seconds.
    pub action_cost: f64,
    /// Cost of moving all keys of the group, in imbalance-seconds.
    pub churn_cost: f64,
    /// Cost of one second in which all keys of the group are unavailable, in imbalance-seconds.
    pub pause_cost: f64,
    /// Share of a shard's rate above which a heavy key is split off.
    pub dominance: f64,
    /// Share of the mean level below which a split key returns to its shard.
    pub unsplit_below: f64,
    /// Largest number of keys that are split at a time.
    pub max_splits: usize,
    /// Largest number of changes in one window.
    pub per_window: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            smoothing: 0.3,
            threshold: 0.1,
            noise: 3.0,
            windows: 3,
            min_gain: 0.03,
            cool_down: Duration::from_secs(30),
            horizon: Duration::from_secs(30),
            pause: Duration::from_millis(10),
            action_cost: 0.05,
            churn_cost: 4.0,
            pause_cost: 100.0,
            dominance: 0.3,
            unsplit_below: 0.02,
            max_splits: 16,
            per_window: 2,
        }
    }
}

/// History of a unit.
#[derive(Clone, Debug)]
struct History {
    rate: f64,
    moved_at: Option<Stamp>,
    idle_since: Option<Stamp>,
    last_seen: Stamp,
}

/// Possible change with its value.
#[derive(Clone, Debug)]
struct Candidate {
    unit: Unit,
    /// Shard that the unit is or is split from; `None` for a key that is already split.
    shard: Option<Shard>,
    action: Action,
    from: name::Target,
    to: name::Target,
    rate: f64,
    net: f64,
}

/// Placement rule of one group.
#[derive(Clone, Debug)]
pub struct Rule {
    options: Options,
    history: HashMap<Unit, History>,
    elapsed: f64,
    streak: u32,
    imbalanced_since: Option<Stamp>,
}

impl Rule {
    /// Creates a rule without history.
    pub fn new(options: Options) -> Self {
        Self { options, history: HashMap::new(), elapsed: 0.0, streak: 0, imbalanced_since: None }
    }

    fn observe(&mut self, window: &Window, now: Stamp) {
        for assignment in &window.shards {
            self.observe_unit(Unit::Shard(assignment.shard), assignment.rate, now);
            for heavy in &assignment.heavy {
                self.observe_unit(Unit::Key(heavy.key.clone()), heavy.rate, now);
            }
        }
        for split in &window.splits {
            self.observe_unit(Unit::Key(split.key.clone()), split.rate, now);
        }
        let cool_down = self.options.cool_down;
        self.history.retain(|_, history| {
            history.last_seen == now
                || history.moved_at.is_some_and(|moved_at| now.since(moved_at) < cool_down)
        });
    }

    fn observe_unit(&mut self, unit: Unit, rate: f64, now: Stamp) {
        let weight = self.options.smoothing;
        let entry = self.history.entry(unit);
        let history =
            entry.or_insert(History { rate, moved_at: None, idle_since: None, last_seen: now });
        history.rate += weight * (rate - history.rate);
        history.last_seen = now;
    }

    fn rate(&self, unit: &Unit) -> f64 {
        self.history.get(unit).map_or(0.0, |history| history.rate)
    }

    fn may_move(&self, unit: &Unit, now: Stamp) -> bool {
        let moved_at = self.history.get(unit).and_then(|history| history.moved_at);
        moved_at.is_none_or(|moved_at| now.since(moved_at) >= self.options.cool_down)
    }

    /// Returns whether the highest and the lowest level differ by more than the threshold.
    fn is_imbalanced(&self, loads: &Loads) -> bool {
        let (Some(busiest), Some(idlest)) = (loads.most_loaded(), loads.least_loaded()) else {
            return false;
        };
        let deviation = self.variance(busiest) + self.variance(idlest);
        let margin = self.options.threshold * loads.mean() + self.options.noise * deviation.sqrt();
        busiest.level() - idlest.level() > margin
    }

    /// Returns the variance of a smoothed level. The variance of a Poisson count equals its mean,
    /// and exponential smoothing with weight w scales it by w / (2 - w).
    fn variance(&self, load: &Load) -> f64 {
        let weight = self.options.smoothing;
        let per_second = load.rate.max(0.0) / self.elapsed.max(f64::MIN_POSITIVE);
        per_second * weight / (2.0 - weight) / (load.capacity * load.capacity)
    }

    /// Updates the number of consecutive windows above the threshold.
    fn track(&mut self, loads: &Loads, now: Stamp) {
        if self.is_imbalanced(loads) {
            self.streak = self.streak.saturating_add(1);
            self.imbalanced_since.get_or_insert(now);
        } else {
            self.streak = 0;
            self.imbalanced_since = None;
        }
    }

    fn expected_seconds(&self, now: Stamp) -> f64 {
        let duration = self.imbalanced_since.map_or(Duration::ZERO, |since| now.since(since));
        duration.min(self.options.horizon).as_secs_f64()
    }

    /// Returns the change with the highest net value.
    ///
    /// Shards that changed in this window are excluded, since their counts are no longer valid.
    fn best(
        &self,
        window: &Window,
        loads: &Loads,
        changed: &[Shard],
        now: Stamp,
    ) -> Option<Candidate> {
        let (from, to) = (loads.most_loaded()?, loads.least_loaded()?);
        let mean = loads.mean();
        if !self.is_imbalanced(loads) {
            return None;
        }
        let unchanged =
            window.shards.iter().filter(|assignment| !changed.contains(&assignment.shard));
        let shards = unchanged.filter(|assignment| assignment.owner == from.name);
        let splits = window.splits.iter().filter(|split| split.owner == from.name);
        let moves = shards.clone().map(|assignment| self.shard_move(assignment, window, from, to));
        let keys = splits.map(|split| self.key_move(&split.key, None, from, to));
        let can_split = window.splits.len() < self.options.max_splits;
        let heavy = shards
            .filter(|_| can_split)
            .flat_map(|assignment| self.key_splits(assignment, from, to));
        let allowed =
            moves.chain(keys).chain(heavy).filter(|candidate| self.may_move(&candidate.unit, now));
        let seconds = self.expected_seconds(now);
        let profitable =
            allowed.filter_map(|candidate| self.value(candidate, from, to, mean, seconds));
        profitable.max_by(|a, b| a.net.total_cmp(&b.net).then_with(|| b.unit.cmp(&a.unit)))
    }

    fn shard_move(
        &self,
        assignment: &Assignment,
        window: &Window,
        from: &Load,
        to: &Load,
    ) -> Candidate {
        let unit = Unit::Shard(assignment.shard);
        let count = u32::try_from(window.shards.len().max(1)).unwrap_or(u32::MAX);
        let per_key =
            self.options.churn_cost + self.options.pause.as_secs_f64() * self.options.pause_cost;
        Candidate {
            shard: Some(assignment.shard),
            rate: self.rate(&unit),
            action: Action::Move(assignment.shard, to.name.clone()),
            from: from.name.clone(),
            to: to.name.clone(),
            net: -self.options.action_cost - per_key / f64::from(count),
            unit,
        }
    }

    fn key_move(&self, key: &Arc<str>, shard: Option<Shard>, from: &Load, to: &Load) -> Candidate {
        let unit = Unit::Key(key.clone());
        Candidate {
            shard,
            rate: self.rate(&unit),
            action: Action::Split(key.clone(), to.name.clone()),
            from: from.name.clone(),
            to: to.name.clone(),
            net: -self.options.action_cost,
            unit,
        }
    }

    fn key_splits(&self, assignment: &Assignment, from: &Load, to: &Load) -> Vec<Candidate> {
        let min_rate = self.options.dominance * self.rate(&Unit::Shard(assignment.shard));
        let shard = Some(assignment.shard);
        let splits =
            assignment.heavy.iter().map(|heavy| self.key_move(&heavy.key, shard, from, to));
        splits.filter(|candidate| candidate.rate >= min_rate).collect()
    }

    /// Adds the value of the gain to a candidate's negative cost. Returns `None` if it does not pay
    /// off.
    fn value(
        &self,
        mut candidate: Candidate,
        from: &Load,
        to: &Load,
        mean: f64,
        seconds: f64,
    ) -> Option<Candidate> {
        let gain = gain(from, to, candidate.rate) / mean.max(f64::MIN_POSITIVE);
        candidate.net += gain * seconds;
        (gain >= self.options.min_gain && candidate.net >= 0.0).then_some(candidate)
    }

    /// Returns a split key that has been idle for the cool-down time.
    fn idle_split(&mut self, window: &Window, loads: &Loads, now: Stamp) -> Option<Arc<str>> {
        let capacity = loads.least_loaded().map_or(1.0, |load| load.capacity);
        let idle_rate = self.options.unsplit_below * loads.mean() * capacity;
        let cool_down = self.options.cool_down;
        let mut idle = None;
        for split in &window.splits {
            let Some(history) = self.history.get_mut(&Unit::Key(split.key.clone())) else {
                continue;
            };
            if history.rate >= idle_rate {
                history.idle_since = None;
                continue;
            }
            let since = *history.idle_since.get_or_insert(now);
            if now.since(since) >= cool_down {
                idle.get_or_insert(split.key.clone());
            }
        }
        idle
    }

    fn mark_moved(&mut self, unit: &Unit, now: Stamp) {
        if let Some(history) = self.history.get_mut(unit) {
            history.moved_at = Some(now);
            history.idle_since = None;
        }
    }

    /// Subtracts a key that is split off from the smoothed rate of its shard, which would otherwise
    /// include it for several more windows.
    fn detach(&mut self, candidate: &Candidate) {
        let (Some(shard), Unit::Key(_)) = (candidate.shard, &candidate.unit) else { return };
        if let Some(history) = self.history.get_mut(&Unit::Shard(shard)) {
            history.rate = (history.rate - candidate.rate).max(0.0);
        }
    }
}

impl Policy for Rule {
    fn decide(&mut self, window: &Window, now: Stamp) -> Vec<Action> {
        self.elapsed = window.elapsed.as_secs_f64();
        self.observe(window, now);
        let mut loads = Loads::new(window, |unit, _| self.rate(unit));
        self.track(&loads, now);
        let mut actions = Vec::new();
        let mut changed = Vec::new();
        while self.streak >= self.options.windows && actions.len() < self.options.per_window {
            let Some(best) = self.best(window, &loads, &changed, now) else { break };
            loads.transfer(&best.from, &best.to, best.rate);
            self.detach(&best);
            changed.extend(best.shard);
            self.mark_moved(&best.unit, now);
            actions.push(best.action);
        }
        if actions.is_empty()
            && let Some(key) = self.idle_split(window, &loads, now)
        {
            self.mark_moved(&Unit::Key(key.clone()), now);
            actions.push(Action::Unsplit(key));
        }
        actions
    }
}
