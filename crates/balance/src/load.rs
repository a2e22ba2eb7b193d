//! Load of the targets of a group, and the effect of moving a unit.

use std::sync::Arc;

use caraway_core::name;
use caraway_core::shard::Shard;

use crate::window::Target;
use crate::window::Window;

/// Unit of ownership.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Unit {
    /// A shard without its split keys.
    Shard(Shard),
    /// A split key.
    Key(Arc<str>),
}

/// Load of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Name of the target.
    pub name: name::Target,
    /// Capacity relative to other targets.
    pub capacity: f64,
    /// Whether the target may be assigned more units.
    pub accepting: bool,
    /// Requests per second.
    pub rate: f64,
}

impl Load {
    fn new(target: &Target) -> Self {
        let capacity = target.capacity.max(f64::MIN_POSITIVE);
        Self { name: target.name.clone(), capacity, accepting: target.accepting, rate: 0.0 }
    }

    /// Returns the requests per second divided by the capacity.
    pub fn level(&self) -> f64 {
        self.rate / self.capacity
    }
}

/// Loads of the targets of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loads {
    loads: Vec<Load>,
}

impl Loads {
    /// Creates the loads of a window with the rate that `rate` returns for each unit.
    pub fn new(window: &Window, rate: impl Fn(&Unit, f64) -> f64) -> Self {
        let mut loads = Self { loads: window.targets.iter().map(Load::new).collect() };
        for assignment in &window.shards {
            loads.add(&assignment.owner, rate(&Unit::Shard(assignment.shard), assignment.rate));
        }
        for split in &window.splits {
            loads.add(&split.owner, rate(&Unit::Key(split.key.clone()), split.rate));
        }
        loads
    }

    /// Adds a rate to a target; it may be negative.
    pub fn add(&mut self, target: &name::Target, rate: f64) {
        if let Some(load) = self.loads.iter_mut().find(|load| load.name == *target) {
            load.rate += rate;
        }
    }

    /// Moves a rate from one target to another.
    pub fn transfer(&mut self, from: &name::Target, to: &name::Target, rate: f64) {
        self.add(from, -rate);
        self.add(to, rate);
    }

    /// Returns the target with the highest level.
    pub fn most_loaded(&self) -> Option<&Load> {
        self.loads.iter().max_by(|a, b| a.level().total_cmp(&b.level()))
    }

    /// Returns the target with the lowest level among those that accept units.
    pub fn least_loaded(&self) -> Option<&Load> {
        let open = self.loads.iter().filter(|load| load.accepting);
        open.min_by(|a, b| a.level().total_cmp(&b.level()))
    }

    /// Returns the level of every target under perfect balance, or zero without targets.
    pub fn mean(&self) -> f64 {
        let rate: f64 = self.loads.iter().map(|load| load.rate).sum();
        let capacity: f64 = self.loads.iter().map(|load| load.capacity).sum();
        if capacity > 0.0 { rate / capacity } else { 0.0 }
    }

    /// Returns the load of a target.
    pub fn get(&self, target: &name::Target) -> Option<&Load> {
        self.loads.iter().find(|load| load.name == *target)
    }
}

/// Returns the decrease of the higher level of two targets if a rate moves between them. The result
/// is negative if the receiver would become more loaded than the sender was.
pub fn gain(from: &Load, to: &Load, rate: f64) -> f64 {
    let sender = (from.rate - rate) / from.capacity;
    let receiver = (to.rate + rate) / to.capacity;
    from.level() - sender.max(receiver)
}
