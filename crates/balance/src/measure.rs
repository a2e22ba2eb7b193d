//! Runs a policy on a recorded load and measures imbalance, churn and unavailable time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

use crate::baseline;
use crate::trace::Layout;
use crate::trace::Trace;
use crate::trace::WINDOW;
use crate::window::Action;
use crate::window::Assignment;
use crate::window::Key;
use crate::window::Policy;
use crate::window::Split;
use crate::window::Target;
use crate::window::Window;

/// Time for which a moved unit is not available: pause, wait for permits, grants at two targets.
pub const HANDOVER_PAUSE: Duration = Duration::from_millis(10);

/// Heavy keys of a shard that a policy sees, as many as the lane's sketch follows.
const HEAVY: usize = 16;

/// Mean and 99th percentile of a series.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Arithmetic mean.
    pub mean: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Summary {
    fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let count = f64::from(u32::try_from(values.len()).unwrap_or(u32::MAX)).max(1.0);
        let mean = values.iter().sum::<f64>() / count;
        let p99 = values.get(values.len() * 99 / 100).copied().unwrap_or(0.0);
        Self { mean, p99 }
    }
}

/// Results of one policy on one record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// Maximum over mean of the requests of all servers, over the windows.
    pub overall: Summary,
    /// Maximum over mean inside each group, over groups and windows.
    pub within: Summary,
    /// Shard moves.
    pub moves: u32,
    /// Splits and moves of split keys.
    pub splits: u32,
    /// Ended splits.
    pub unsplits: u32,
    /// Keys that changed their owner, per minute.
    pub churn_per_minute: f64,
    /// Unavailable time summed over all keys, in key-seconds.
    pub unavailable_key_seconds: f64,
    /// Unavailable time of the worst key, in seconds.
    pub worst_key_seconds: f64,
    /// Expected number of requests that arrive during a pause of their key.
    pub delayed_requests: f64,
    /// The urgent ones among them.
    pub delayed_urgent_requests: f64,
}

/// Result that no policy without moves between groups can beat: every group in perfect balance, or
/// limited by its heaviest key.
pub fn bound(record: &Trace) -> Results {
    let mut state = State::new(record);
    let mut overall = Vec::new();
    let mut within = Vec::new();
    for index in 0..record.windows.len() {
        let windows = state.windows(index);
        let best: Vec<f64> = windows.iter().map(baseline::lower_bound).collect();
        let means: Vec<f64> = windows.iter().map(mean_rate).collect();
        let highest = best.iter().copied().fold(0.0, f64::max);
        overall.push(ratio(highest, average(&means)));
        within.extend(best.iter().zip(&means).map(|(best, mean)| ratio(*best, *mean)));
    }
    Results { overall: Summary::new(overall), within: Summary::new(within), ..Results::default() }
}

/// Runs one policy per group on a record.
pub fn run(record: &Trace, make: &dyn Fn() -> Box<dyn Policy>) -> Results {
    let mut state = State::new(record);
    let mut policies: Vec<Box<dyn Policy>> = (0..record.layout.groups).map(|_| make()).collect();
    let mut overall = Vec::new();
    let mut within = Vec::new();
    for index in 0..record.windows.len() {
        let windows = state.windows(index);
        let levels: Vec<Vec<f64>> = windows.iter().map(target_rates).collect();
        overall.push(max_over_mean(&levels.concat()));
        within.extend(levels.iter().map(|levels| max_over_mean(levels)));
        let now = Stamp::default() + WINDOW * u32::try_from(index + 1).unwrap_or(u32::MAX);
        for (policy, window) in policies.iter_mut().zip(&windows) {
            for action in policy.decide(window, now) {
                state.apply(&action, index + 1);
            }
        }
    }
    state.figures(overall, within)
}

fn ratio(value: f64, mean: f64) -> f64 {
    if mean > 0.0 { value / mean } else { 1.0 }
}

fn average(values: &[f64]) -> f64 {
    let count = f64::from(u32::try_from(values.len()).unwrap_or(u32::MAX)).max(1.0);
    values.iter().sum::<f64>() / count
}

fn max_over_mean(rates: &[f64]) -> f64 {
    ratio(rates.iter().copied().fold(0.0, f64::max), average(rates))
}

fn target_rates(window: &Window) -> Vec<f64> {
    let rate = |target: &Target| {
        let shards = window.shards.iter().filter(|piece| piece.owner == target.name);
        let splits = window.splits.iter().filter(|split| split.owner == target.name);
        let shards: f64 = shards.map(|piece| piece.rate).sum();
        let splits: f64 = splits.map(|split| split.rate).sum();
        shards + splits
    };
    window.targets.iter().map(rate).collect()
}

fn mean_rate(window: &Window) -> f64 {
    average(&target_rates(window))
}

fn target(layout: &Layout, group: u32, index: u32) -> name::Target {
    name::Target::new(&format!("target-{:02}", group * layout.targets + index + 1))
}

/// Groups own contiguous ranges of shards of the same size.
fn group_of(layout: &Layout, shard: Shard) -> u32 {
    shard.0 * layout.groups / layout.shards.max(1)
}

/// Current placement and what it cost so far.
struct State<'a> {
    record: &'a Trace,
    names: Vec<Arc<str>>,
    numbers: HashMap<Arc<str>, u32>,
    members: BTreeMap<Shard, Vec<u32>>,
    owners: BTreeMap<Shard, name::Target>,
    splits: BTreeMap<u32, name::Target>,
    paused: Vec<u32>,
    figures: Results,
    moved_keys: u32,
}

impl<'a> State<'a> {
    /// Deals the shards of every group to its targets in turn.
    fn new(record: &'a Trace) -> Self {
        let layout = &record.layout;
        let names: Vec<Arc<str>> =
            (0..record.shards.len()).map(|key| Arc::from(format!("key-{key}"))).collect();
        let numbers = names.iter().cloned().zip(0..).collect();
        let mut members: BTreeMap<Shard, Vec<u32>> = BTreeMap::new();
        for (shard, key) in record.shards.iter().zip(0..) {
            members.entry(*shard).or_default().push(key);
        }
        let deal = |shard: u32| {
            let group = group_of(layout, Shard(shard));
            (Shard(shard), target(layout, group, shard % layout.targets.max(1)))
        };
        Self {
            record,
            paused: vec![0; names.len()],
            names,
            numbers,
            members,
            owners: (0..layout.shards).map(deal).collect(),
            splits: BTreeMap::new(),
            figures: Results::default(),
            moved_keys: 0,
        }
    }

    /// Returns the counts of a window, by group.
    fn windows(&mut self, index: usize) -> Vec<Window> {
        let layout = &self.record.layout;
        let mut shard_keys: BTreeMap<Shard, Vec<Key>> = BTreeMap::new();
        let mut split_rates: BTreeMap<u32, f64> = BTreeMap::new();
        for count in self.record.windows.get(index).into_iter().flatten() {
            let rate = f64::from(count.requests) / WINDOW.as_secs_f64();
            let position = usize::try_from(count.key).unwrap_or(usize::MAX);
            let Some(shard) = self.record.shards.get(position) else { continue };
            let Some(name) = self.names.get(position) else { continue };
            if self.splits.contains_key(&count.key) {
                split_rates.insert(count.key, rate);
            } else {
                shard_keys.entry(*shard).or_default().push(Key { key: name.clone(), rate });
            }
        }
        let mut windows: Vec<Window> = (0..layout.groups)
            .map(|group| Window {
                elapsed: WINDOW,
                targets: group_targets(layout, group),
                ..Window::default()
            })
            .collect();
        for (shard, owner) in &self.owners {
            let mut heavy = shard_keys.remove(shard).unwrap_or_default();
            let rate = heavy.iter().map(|key| key.rate).sum();
            heavy.sort_by(|a, b| b.rate.total_cmp(&a.rate));
            heavy.truncate(HEAVY);
            let piece = Assignment { shard: *shard, owner: owner.clone(), rate, heavy };
            if let Some(window) = window_mut(&mut windows, layout, *shard) {
                window.shards.push(piece);
            }
        }
        for (key, owner) in &self.splits {
            let position = usize::try_from(*key).unwrap_or(usize::MAX);
            let Some(shard) = self.record.shards.get(position) else { continue };
            let Some(name) = self.names.get(position) else { continue };
            let rate = split_rates.get(key).copied().unwrap_or(0.0);
            if let Some(window) = window_mut(&mut windows, layout, *shard) {
                window.splits.push(Split { key: name.clone(), owner: owner.clone(), rate });
            }
        }
        windows
    }

    fn apply(&mut self, action: &Action, next: usize) {
        match action {
            Action::Move(shard, target) => {
                self.owners.insert(*shard, target.clone());
                self.figures.moves += 1;
                let keys = self.members.get(shard).cloned().unwrap_or_default();
                let whole = keys.into_iter().filter(|key| !self.splits.contains_key(key));
                let whole: Vec<u32> = whole.collect();
                self.interrupt(&whole, next);
            }
            Action::Split(name, target) => {
                let Some(key) = self.numbers.get(name).copied() else { return };
                self.splits.insert(key, target.clone());
                self.figures.splits += 1;
                self.interrupt(&[key], next);
            }
            Action::Unsplit(name) => {
                let Some(key) = self.numbers.get(name).copied() else { return };
                self.splits.remove(&key);
                self.figures.unsplits += 1;
                self.interrupt(&[key], next);
            }
        }
    }

    /// Counts one pause of each key. Requests of the next window are spread evenly over it.
    fn interrupt(&mut self, keys: &[u32], next: usize) {
        let part = HANDOVER_PAUSE.as_secs_f64() / WINDOW.as_secs_f64();
        for key in keys {
            let position = usize::try_from(*key).unwrap_or(usize::MAX);
            if let Some(paused) = self.paused.get_mut(position) {
                *paused += 1;
            }
            self.moved_keys += 1;
            let Some(counts) = self.record.windows.get(next) else { continue };
            let Ok(place) = counts.binary_search_by_key(key, |count| count.key) else { continue };
            let Some(count) = counts.get(place) else { continue };
            self.figures.delayed_requests += f64::from(count.requests) * part;
            self.figures.delayed_urgent_requests += f64::from(count.urgent) * part;
        }
    }

    fn figures(self, overall: Vec<f64>, within: Vec<f64>) -> Results {
        let windows = u32::try_from(self.record.windows.len()).unwrap_or(u32::MAX).max(1);
        let minutes = f64::from(windows) * WINDOW.as_secs_f64() / 60.0;
        let worst = self.paused.iter().copied().max().unwrap_or(0);
        Results {
            overall: Summary::new(overall),
            within: Summary::new(within),
            churn_per_minute: f64::from(self.moved_keys) / minutes,
            unavailable_key_seconds: f64::from(self.moved_keys) * HANDOVER_PAUSE.as_secs_f64(),
            worst_key_seconds: f64::from(worst) * HANDOVER_PAUSE.as_secs_f64(),
            ..self.figures
        }
    }
}

fn group_targets(layout: &Layout, group: u32) -> Vec<Target> {
    let make =
        |index| Target { name: target(layout, group, index), capacity: 1.0, accepting: true };
    (0..layout.targets).map(make).collect()
}

fn window_mut<'a>(
    windows: &'a mut [Window],
    layout: &Layout,
    shard: Shard,
) -> Option<&'a mut Window> {
    windows.get_mut(usize::try_from(group_of(layout, shard)).ok()?)
}
