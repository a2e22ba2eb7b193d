//! Runs a policy on a load trace and measures imbalance, churn and unavailable time.

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

/// Time for which a moved unit is unavailable, for the pause, the wait for permits and the grants
/// at two targets.
pub const HANDOVER_PAUSE: Duration = Duration::from_millis(10);

/// Number of heavy keys per shard that a policy sees, as many as the sketch of frequent keys tracks.
const MAX_HEAVY_KEYS: usize = 16;

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

/// Results of one policy on one trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// Ratio of the maximum to the mean load over all targets, by window.
    pub overall: Summary,
    /// Ratio of the maximum to the mean load inside each group, by group and window.
    pub within: Summary,
    /// Number of shard moves.
    pub moves: u32,
    /// Number of splits and of moves of split keys.
    pub splits: u32,
    /// Number of ended splits.
    pub unsplits: u32,
    /// Keys per minute that changed their owner.
    pub churn_per_minute: f64,
    /// Sum of the unavailable time of all keys, in key-seconds.
    pub unavailable_key_seconds: f64,
    /// Unavailable time of the most affected key, in seconds.
    pub worst_key_seconds: f64,
    /// Expected number of requests that arrive during a pause of their key.
    pub delayed_requests: f64,
    /// Expected number of urgent requests among them.
    pub delayed_urgent_requests: f64,
}

/// Returns the bound that no policy without moves between groups can improve on: every group is in
/// perfect balance or limited by its heaviest key.
pub fn bound(trace: &Trace) -> Results {
    let mut state = State::new(trace);
    let mut overall = Vec::new();
    let mut within = Vec::new();
    for index in 0..trace.windows.len() {
        let windows = state.windows(index);
        let best: Vec<f64> = windows.iter().map(baseline::lower_bound).collect();
        let means: Vec<f64> = windows.iter().map(mean_rate).collect();
        let highest = best.iter().copied().fold(0.0, f64::max);
        overall.push(ratio(highest, average(&means)));
        within.extend(best.iter().zip(&means).map(|(best, mean)| ratio(*best, *mean)));
    }
    Results { overall: Summary::new(overall), within: Summary::new(within), ..Results::default() }
}

/// Runs one policy per group on a trace.
pub fn run(trace: &Trace, create: &dyn Fn() -> Box<dyn Policy>) -> Results {
    let mut state = State::new(trace);
    let mut policies: Vec<Box<dyn Policy>> = (0..trace.layout.groups).map(|_| create()).collect();
    let mut overall = Vec::new();
    let mut within = Vec::new();
    for index in 0..trace.windows.len() {
        let windows = state.windows(index);
        let rates: Vec<Vec<f64>> = windows.iter().map(target_rates).collect();
        overall.push(max_over_mean(&rates.concat()));
        within.extend(rates.iter().map(|rates| max_over_mean(rates)));
        let now = Stamp::default() + WINDOW * u32::try_from(index + 1).unwrap_or(u32::MAX);
        for (policy, window) in policies.iter_mut().zip(&windows) {
            for action in policy.decide(window, now) {
                state.apply(&action, index + 1);
            }
        }
    }
    state.into_results(overall, within)
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
        let shards = window.shards.iter().filter(|assignment| assignment.owner == target.name);
        let splits = window.splits.iter().filter(|split| split.owner == target.name);
        let shards: f64 = shards.map(|assignment| assignment.rate).sum();
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

/// Returns the group of a shard. Groups own contiguous ranges of shards of the same size.
fn group_of(layout: &Layout, shard: Shard) -> u32 {
    shard.0 * layout.groups / layout.shards.max(1)
}

/// Current placement and its accumulated cost.
struct State<'a> {
    trace: &'a Trace,
    names: Vec<Arc<str>>,
    key_numbers: HashMap<Arc<str>, u32>,
    keys_by_shard: BTreeMap<Shard, Vec<u32>>,
    owners: BTreeMap<Shard, name::Target>,
    splits: BTreeMap<u32, name::Target>,
    pauses: Vec<u32>,
    results: Results,
    moved_keys: u32,
}

impl<'a> State<'a> {
    /// Assigns the shards of every group to its targets in rotation.
    fn new(trace: &'a Trace) -> Self {
        let layout = &trace.layout;
        let names: Vec<Arc<str>> =
            (0..trace.shards.len()).map(|key| Arc::from(format!("key-{key}"))).collect();
        let key_numbers = names.iter().cloned().zip(0..).collect();
        let mut keys_by_shard: BTreeMap<Shard, Vec<u32>> = BTreeMap::new();
        for (shard, key) in trace.shards.iter().zip(0..) {
            keys_by_shard.entry(*shard).or_default().push(key);
        }
        let assign = |shard: u32| {
            let group = group_of(layout, Shard(shard));
            (Shard(shard), target(layout, group, shard % layout.targets.max(1)))
        };
        Self {
            trace,
            pauses: vec![0; names.len()],
            names,
            key_numbers,
            keys_by_shard,
            owners: (0..layout.shards).map(assign).collect(),
            splits: BTreeMap::new(),
            results: Results::default(),
            moved_keys: 0,
        }
    }

    /// Returns the counts of a window by group.
    fn windows(&mut self, index: usize) -> Vec<Window> {
        let layout = &self.trace.layout;
        let mut shard_keys: BTreeMap<Shard, Vec<Key>> = BTreeMap::new();
        let mut split_rates: BTreeMap<u32, f64> = BTreeMap::new();
        for count in self.trace.windows.get(index).into_iter().flatten() {
            let rate = f64::from(count.requests) / WINDOW.as_secs_f64();
            let position = usize::try_from(count.key).unwrap_or(usize::MAX);
            let Some(shard) = self.trace.shards.get(position) else { continue };
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
            heavy.truncate(MAX_HEAVY_KEYS);
            let assignment = Assignment { shard: *shard, owner: owner.clone(), rate, heavy };
            if let Some(window) = window_mut(&mut windows, layout, *shard) {
                window.shards.push(assignment);
            }
        }
        for (key, owner) in &self.splits {
            let position = usize::try_from(*key).unwrap_or(usize::MAX);
            let Some(shard) = self.trace.shards.get(position) else { continue };
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
                self.results.moves += 1;
                let keys = self.keys_by_shard.get(shard).cloned().unwrap_or_default();
                let unsplit = keys.into_iter().filter(|key| !self.splits.contains_key(key));
                let unsplit: Vec<u32> = unsplit.collect();
                self.pause_keys(&unsplit, next);
            }
            Action::Split(name, target) => {
                let Some(key) = self.key_numbers.get(name).copied() else { return };
                self.splits.insert(key, target.clone());
                self.results.splits += 1;
                self.pause_keys(&[key], next);
            }
            Action::Unsplit(name) => {
                let Some(key) = self.key_numbers.get(name).copied() else { return };
                self.splits.remove(&key);
                self.results.unsplits += 1;
                self.pause_keys(&[key], next);
            }
        }
    }

    /// Counts one pause of each key. The requests of the next window are assumed to be spread
    /// evenly over it.
    fn pause_keys(&mut self, keys: &[u32], next: usize) {
        let share = HANDOVER_PAUSE.as_secs_f64() / WINDOW.as_secs_f64();
        for key in keys {
            let position = usize::try_from(*key).unwrap_or(usize::MAX);
            if let Some(pauses) = self.pauses.get_mut(position) {
                *pauses += 1;
            }
            self.moved_keys += 1;
            let Some(counts) = self.trace.windows.get(next) else { continue };
            let Ok(index) = counts.binary_search_by_key(key, |count| count.key) else { continue };
            let Some(count) = counts.get(index) else { continue };
            self.results.delayed_requests += f64::from(count.requests) * share;
            self.results.delayed_urgent_requests += f64::from(count.urgent) * share;
        }
    }

    fn into_results(self, overall: Vec<f64>, within: Vec<f64>) -> Results {
        let windows = u32::try_from(self.trace.windows.len()).unwrap_or(u32::MAX).max(1);
        let minutes = f64::from(windows) * WINDOW.as_secs_f64() / 60.0;
        let worst = self.pauses.iter().copied().max().unwrap_or(0);
        Results {
            overall: Summary::new(overall),
            within: Summary::new(within),
            churn_per_minute: f64::from(self.moved_keys) / minutes,
            unavailable_key_seconds: f64::from(self.moved_keys) * HANDOVER_PAUSE.as_secs_f64(),
            worst_key_seconds: f64::from(worst) * HANDOVER_PAUSE.as_secs_f64(),
            ..self.results
        }
    }
}

fn group_targets(layout: &Layout, group: u32) -> Vec<Target> {
    let create =
        |index| Target { name: target(layout, group, index), capacity: 1.0, accepting: true };
    (0..layout.targets).map(create).collect()
}

fn window_mut<'a>(
    windows: &'a mut [Window],
    layout: &Layout,
    shard: Shard,
) -> Option<&'a mut Window> {
    windows.get_mut(usize::try_from(group_of(layout, shard)).ok()?)
}
