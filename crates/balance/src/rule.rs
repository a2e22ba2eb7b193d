//! The placement rule of a coordinator.
//!
//! Every window the rule compares the levels (requests per second and unit of capacity) of the
//! group's targets, from smoothed counts.
//!
//! 1. *Threshold.* Nothing moves unless the highest level exceeds the lowest by more than
//!    [`Options::threshold`] of the mean plus [`Options::noise`] standard deviations of the
//!    difference, for [`Options::windows`] windows in a row. The deviation is that of Poisson
//!    arrivals, so that a service with few requests does not move shards after mere chance.
//! 2. *Minimum gain.* Candidates are the shards and split keys of the busiest target, and the heavy
//!    keys that make up at least [`Options::dominance`] of their shard. Each is tried on the least
//!    busy open target. A candidate counts if it lowers the higher of the two levels by at least
//!    [`Options::min_gain`] of the mean.
//! 3. *Payment.* A candidate is taken only if gain * expected time >= cost. The gain is in units of
//!    the mean, so the product is in imbalance-seconds. The expected time for which the imbalance
//!    would last is the time for which it has lasted. This is the break-even rule of the
//!    ski-rental problem: pay rent (bear the imbalance) until the rent paid equals the price, then
//!    buy (move); its total cost is at most twice that of the best decision in hindsight (Karlin,
//!    Manasse, Rudolph and Sleator, "Competitive Snoopy Caching", Algorithmica 3, 1988). A large
//!    imbalance is thus corrected early, a small or short one late or never.
//! 4. *Cost.* A move costs [`Options::action_cost`] plus the share of the group's keys that it moves
//!    times ([`Options::churn_cost`] + pause * [`Options::pause_cost`]). A shard moves one part in
//!    as many as the group has shards; a single key counts as none. Hence a dominated shard is
//!    split rather than moved.
//! 5. *Choice.* Of the candidates that pay, the one with the highest gain * time - cost is taken, at
//!    most [`Options::per_window`] a window.
//! 6. *Cool-down.* A unit that moved stays where it is for [`Options::cool_down`].
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

/// Settings of the rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Weight of the newest window in the smoothed rates.
    pub smoothing: f64,
    /// Difference between the highest and the lowest level that starts the rule, as a part of the
    /// mean level.
    pub threshold: f64,
    /// Standard deviations of the counted difference that are added to the threshold.
    pub noise: f64,
    /// Windows in a row for which the threshold must be exceeded.
    pub windows: u32,
    /// Least gain of a move, as a part of the mean level.
    pub min_gain: f64,
    /// Time for which a unit is not moved again.
    pub cool_down: Duration,
    /// Longest expected time of an imbalance.
    pub horizon: Duration,
    /// Time for which a moving unit is not available.
    pub pause: Duration,
    /// Cost of any move in imbalance-seconds.
    pub action_cost: f64,
    /// Cost of moving all keys of the group, in imbalance-seconds.
    pub churn_cost: f64,
    /// Cost of one second in which no key of the group is available, in imbalance-seconds.
    pub pause_cost: f64,
    /// Part of a shard's rate from which a heavy key is split.
    pub dominance: f64,
    /// Part of the mean level below which a split key returns to its shard.
    pub unsplit_below: f64,
    /// Most keys that are split at a time.
    pub max_splits: usize,
    /// Most changes in one window.
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

/// What the rule remembers of a unit.
#[derive(Clone, Debug)]
struct Memory {
    rate: f64,
    moved: Option<Stamp>,
    quiet_since: Option<Stamp>,
    seen: Stamp,
}

/// A possible change.
#[derive(Clone, Debug)]
struct Candidate {
    unit: Unit,
    /// Shard that the unit is taken from or is itself; none for a key that is split already.
    shard: Option<Shard>,
    action: Action,
    from: name::Target,
    to: name::Target,
    rate: f64,
    net: f64,
}

/// The placement rule of one group.
#[derive(Clone, Debug)]
pub struct Rule {
    options: Options,
    memory: HashMap<Unit, Memory>,
    elapsed: f64,
    streak: u32,
    uneven_since: Option<Stamp>,
}

impl Rule {
    /// Makes a rule without history.
    pub fn new(options: Options) -> Self {
        Self { options, memory: HashMap::new(), elapsed: 0.0, streak: 0, uneven_since: None }
    }

    fn observe(&mut self, window: &Window, now: Stamp) {
        for piece in &window.shards {
            self.observe_unit(Unit::Shard(piece.shard), piece.rate, now);
            for heavy in &piece.heavy {
                self.observe_unit(Unit::Key(heavy.key.clone()), heavy.rate, now);
            }
        }
        for split in &window.splits {
            self.observe_unit(Unit::Key(split.key.clone()), split.rate, now);
        }
        let cool_down = self.options.cool_down;
        self.memory.retain(|_, memory| {
            memory.seen == now || memory.moved.is_some_and(|moved| now.since(moved) < cool_down)
        });
    }

    fn observe_unit(&mut self, unit: Unit, rate: f64, now: Stamp) {
        let weight = self.options.smoothing;
        let known = self.memory.entry(unit);
        let memory = known.or_insert(Memory { rate, moved: None, quiet_since: None, seen: now });
        memory.rate += weight * (rate - memory.rate);
        memory.seen = now;
    }

    fn rate(&self, unit: &Unit) -> f64 {
        self.memory.get(unit).map_or(0.0, |memory| memory.rate)
    }

    fn may_move(&self, unit: &Unit, now: Stamp) -> bool {
        let moved = self.memory.get(unit).and_then(|memory| memory.moved);
        moved.is_none_or(|moved| now.since(moved) >= self.options.cool_down)
    }

    /// Returns true if the highest and the lowest level differ by more than the threshold.
    fn uneven(&self, loads: &Loads) -> bool {
        let (Some(busiest), Some(idlest)) = (loads.most_loaded(), loads.least_loaded()) else {
            return false;
        };
        let deviation = self.variance(busiest) + self.variance(idlest);
        let margin = self.options.threshold * loads.mean() + self.options.noise * deviation.sqrt();
        busiest.level() - idlest.level() > margin
    }

    /// Returns the variance of a smoothed level. A count of Poisson arrivals has its mean as
    /// variance, and exponential smoothing with weight w scales it by w / (2 - w).
    fn variance(&self, share: &Load) -> f64 {
        let weight = self.options.smoothing;
        let per_second = share.rate.max(0.0) / self.elapsed.max(f64::MIN_POSITIVE);
        per_second * weight / (2.0 - weight) / (share.capacity * share.capacity)
    }

    /// Updates since when the levels differ by more than the threshold.
    fn track(&mut self, loads: &Loads, now: Stamp) {
        if self.uneven(loads) {
            self.streak = self.streak.saturating_add(1);
            self.uneven_since.get_or_insert(now);
        } else {
            self.streak = 0;
            self.uneven_since = None;
        }
    }

    fn expected_seconds(&self, now: Stamp) -> f64 {
        let lasted = self.uneven_since.map_or(Duration::ZERO, |since| now.since(since));
        lasted.min(self.options.horizon).as_secs_f64()
    }

    /// Returns the change that pays best.
    ///
    /// Shards that were changed in this window are left out: their counts no longer hold.
    fn best(
        &self,
        window: &Window,
        loads: &Loads,
        changed: &[Shard],
        now: Stamp,
    ) -> Option<Candidate> {
        let (from, to) = (loads.most_loaded()?, loads.least_loaded()?);
        let mean = loads.mean();
        if !self.uneven(loads) {
            return None;
        }
        let unchanged = window.shards.iter().filter(|piece| !changed.contains(&piece.shard));
        let shards = unchanged.filter(|piece| piece.owner == from.name);
        let splits = window.splits.iter().filter(|split| split.owner == from.name);
        let moves = shards.clone().map(|piece| self.shard_move(piece, window, from, to));
        let keys = splits.map(|split| self.key_move(&split.key, None, from, to));
        let room = window.splits.len() < self.options.max_splits;
        let heavy = shards.filter(|_| room).flat_map(|piece| self.key_splits(piece, from, to));
        let allowed = moves.chain(keys).chain(heavy).filter(|one| self.may_move(&one.unit, now));
        let seconds = self.expected_seconds(now);
        let valued = allowed.filter_map(|one| self.value(one, from, to, mean, seconds));
        valued.max_by(|a, b| a.net.total_cmp(&b.net).then_with(|| b.unit.cmp(&a.unit)))
    }

    fn shard_move(&self, piece: &Assignment, window: &Window, from: &Load, to: &Load) -> Candidate {
        let unit = Unit::Shard(piece.shard);
        let count = u32::try_from(window.shards.len().max(1)).unwrap_or(u32::MAX);
        let per_key =
            self.options.churn_cost + self.options.pause.as_secs_f64() * self.options.pause_cost;
        Candidate {
            shard: Some(piece.shard),
            rate: self.rate(&unit),
            action: Action::Move(piece.shard, to.name.clone()),
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

    fn key_splits(&self, piece: &Assignment, from: &Load, to: &Load) -> Vec<Candidate> {
        let least = self.options.dominance * self.rate(&Unit::Shard(piece.shard));
        let shard = Some(piece.shard);
        let splits = piece.heavy.iter().map(|heavy| self.key_move(&heavy.key, shard, from, to));
        splits.filter(|candidate| candidate.rate >= least).collect()
    }

    /// Adds the value of the gain to a candidate's cost. Returns none if it does not pay.
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

    /// Returns a split key that has been quiet for long enough.
    fn quiet_split(&mut self, window: &Window, loads: &Loads, now: Stamp) -> Option<Arc<str>> {
        let capacity = loads.least_loaded().map_or(1.0, |share| share.capacity);
        let quiet_rate = self.options.unsplit_below * loads.mean() * capacity;
        let cool_down = self.options.cool_down;
        let mut quiet = None;
        for split in &window.splits {
            let Some(memory) = self.memory.get_mut(&Unit::Key(split.key.clone())) else { continue };
            if memory.rate >= quiet_rate {
                memory.quiet_since = None;
                continue;
            }
            let since = *memory.quiet_since.get_or_insert(now);
            if now.since(since) >= cool_down {
                quiet.get_or_insert(split.key.clone());
            }
        }
        quiet
    }

    fn mark(&mut self, unit: &Unit, now: Stamp) {
        if let Some(memory) = self.memory.get_mut(unit) {
            memory.moved = Some(now);
            memory.quiet_since = None;
        }
    }

    /// Takes a key that is split off from the smoothed rate of its shard, which would otherwise
    /// count it for some more windows.
    fn detach(&mut self, candidate: &Candidate) {
        let (Some(shard), Unit::Key(_)) = (candidate.shard, &candidate.unit) else { return };
        if let Some(memory) = self.memory.get_mut(&Unit::Shard(shard)) {
            memory.rate = (memory.rate - candidate.rate).max(0.0);
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
            self.mark(&best.unit, now);
            actions.push(best.action);
        }
        if actions.is_empty()
            && let Some(key) = self.quiet_split(window, &loads, now)
        {
            self.mark(&Unit::Key(key.clone()), now);
            actions.push(Action::Unsplit(key));
        }
        actions
    }
}
