//! Baseline policies for comparison with the placement rule.

use caraway_core::name;
use caraway_core::shard;
use caraway_core::time::Stamp;

use crate::load::Loads;
use crate::load::Unit;
use crate::load::gain;
use crate::window::Action;
use crate::window::Assignment;
use crate::window::Policy;
use crate::window::Window;

/// Static placement: shards stay on their initial targets, and only the hash of the keys spreads
/// the load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hash;

impl Policy for Hash {
    fn decide(&mut self, _window: &Window, _now: Stamp) -> Vec<Action> {
        Vec::new()
    }
}

/// Greedy rebalancing: shards move from the most loaded to the least loaded target while that
/// lowers the maximum. It has no threshold, no smoothing and no splits.
#[derive(Clone, Copy, Debug)]
pub struct Greedy {
    per_window: usize,
    period: u32,
    window: u32,
}

impl Greedy {
    /// Creates a policy that makes at most `per_window` moves, in one of every `period` windows.
    pub fn new(per_window: usize, period: u32) -> Self {
        Self { per_window, period: period.max(1), window: 0 }
    }
}

impl Policy for Greedy {
    fn decide(&mut self, window: &Window, _now: Stamp) -> Vec<Action> {
        self.window += 1;
        if !self.window.is_multiple_of(self.period) {
            return Vec::new();
        }
        let mut assignments: Vec<Assignment> = window.shards.clone();
        let mut loads = Loads::new(window, |_, rate| rate);
        let mut actions = Vec::new();
        while actions.len() < self.per_window {
            let Some(action) = move_best(&mut assignments, &mut loads) else { break };
            actions.push(action);
        }
        actions
    }
}

fn move_best(assignments: &mut [Assignment], loads: &mut Loads) -> Option<Action> {
    let (from, to) = (loads.most_loaded()?.clone(), loads.least_loaded()?.clone());
    let owned = assignments.iter_mut().filter(|assignment| assignment.owner == from.name);
    let with_gain = owned.map(|assignment| (gain(&from, &to, assignment.rate), assignment));
    let best = with_gain.filter(|(gain, _)| *gain > 0.0).max_by(|a, b| a.0.total_cmp(&b.0));
    let (_, assignment) = best?;
    loads.transfer(&from.name, &to.name, assignment.rate);
    assignment.owner = to.name.clone();
    Some(Action::Move(assignment.shard, to.name))
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing
/// with Bounded Loads", SODA 2018), with shards weighted by their rate.
///
/// In every window each shard is assigned to the first target of its rendezvous order that stays
/// within `factor` times the mean. The order of the shards is fixed by their hash, so that a small
/// change of the rates moves few shards.
#[derive(Clone, Copy, Debug)]
pub struct Bounded {
    /// Highest level of a target as a multiple of the mean; greater than one.
    pub factor: f64,
}

impl Policy for Bounded {
    fn decide(&mut self, window: &Window, _now: Stamp) -> Vec<Action> {
        let empty = Window { shards: Vec::new(), ..window.clone() };
        let mean = Loads::new(window, |_, rate| rate).mean();
        let mut loads = Loads::new(&empty, |_, rate| rate);
        let mut assignments: Vec<&Assignment> = window.shards.iter().collect();
        assignments.sort_by_key(|assignment| shard::hash(&assignment.shard.0.to_le_bytes()));
        let mut actions = Vec::new();
        for assignment in assignments {
            let Some(owner) = choose_owner(window, &loads, assignment, self.factor * mean) else {
                continue;
            };
            loads.add(&owner, assignment.rate);
            if owner != assignment.owner {
                actions.push(Action::Move(assignment.shard, owner));
            }
        }
        actions
    }
}

/// Returns the first target in the shard's order that stays within the bound, or else the first one
/// of all.
fn choose_owner(
    window: &Window,
    loads: &Loads,
    assignment: &Assignment,
    bound: f64,
) -> Option<name::Target> {
    let mut order: Vec<&name::Target> = Vec::new();
    order
        .extend(window.targets.iter().filter(|target| target.accepting).map(|target| &target.name));
    order.sort_by_key(|target| score(assignment, target));
    let fits = |target: &&&name::Target| {
        loads.get(target).is_some_and(|load| (load.rate + assignment.rate) / load.capacity <= bound)
    };
    let chosen = order.iter().find(fits).or_else(|| order.first());
    chosen.map(|target| (*target).clone())
}

fn score(assignment: &Assignment, target: &name::Target) -> u64 {
    shard::hash(format!("{}/{target}", assignment.shard).as_bytes())
}

/// Returns the lowest possible maximum level of a group: that of perfect balance, or of its
/// heaviest key. No policy without moves between groups can do better.
pub fn lower_bound(window: &Window) -> f64 {
    let heaviest = heaviest_key(window);
    Loads::new(window, |_: &Unit, rate| rate).mean().max(heaviest)
}

fn heaviest_key(window: &Window) -> f64 {
    let heavy =
        window.shards.iter().flat_map(|assignment| assignment.heavy.iter().map(|key| key.rate));
    let split = window.splits.iter().map(|split| split.rate);
    let capacity = window.targets.iter().map(|target| target.capacity).fold(1.0, f64::max);
    heavy.chain(split).fold(0.0, f64::max) / capacity
}
