//! Load of the targets of a group, and the effect of moving a unit.

use std::sync::Arc;

use caraway_core::name;
use caraway_core::shard::Shard;

use crate::window::Target;
use crate::window::Window;

/// What is owned as a whole.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Unit {
    /// A shard, split keys excluded.
    Shard(Shard),
    /// A split key.
    Key(Arc<str>),
}

/// Load of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Name of the target.
    pub name: name::Target,
    /// Relative capacity.
    pub capacity: f64,
    /// True if the target may get more work.
    pub accepting: bool,
    /// Requests per second.
    pub rate: f64,
}

impl Load {
    fn new(target: &Target) -> Self {
        let capacity = target.capacity.max(f64::MIN_POSITIVE);
        Self { name: target.name.clone(), capacity, accepting: target.accepting, rate: 0.0 }
    }

    /// Returns requests per second and unit of capacity.
    pub fn level(&self) -> f64 {
        self.rate / self.capacity
    }
}

/// Loads of the targets of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loads {
    shares: Vec<Load>,
}

impl Loads {
    /// Makes the loads of a window with rates that the caller gives for its units.
    pub fn new(window: &Window, rate: impl Fn(&Unit, f64) -> f64) -> Self {
        let mut loads = Self { shares: window.targets.iter().map(Load::new).collect() };
        for piece in &window.shards {
            loads.add(&piece.owner, rate(&Unit::Shard(piece.shard), piece.rate));
        }
        for split in &window.splits {
            loads.add(&split.owner, rate(&Unit::Key(split.key.clone()), split.rate));
        }
        loads
    }

    /// Adds a rate, which may be negative, to a target.
    pub fn add(&mut self, target: &name::Target, rate: f64) {
        if let Some(share) = self.shares.iter_mut().find(|share| share.name == *target) {
            share.rate += rate;
        }
    }

    /// Moves a rate from one target to another.
    pub fn transfer(&mut self, from: &name::Target, to: &name::Target, rate: f64) {
        self.add(from, -rate);
        self.add(to, rate);
    }

    /// Returns the target with the highest level.
    pub fn most_loaded(&self) -> Option<&Load> {
        self.shares.iter().max_by(|a, b| a.level().total_cmp(&b.level()))
    }

    /// Returns the open target with the lowest level.
    pub fn least_loaded(&self) -> Option<&Load> {
        let open = self.shares.iter().filter(|share| share.accepting);
        open.min_by(|a, b| a.level().total_cmp(&b.level()))
    }

    /// Returns the level that perfect balance would give every target; zero without targets.
    pub fn mean(&self) -> f64 {
        let rate: f64 = self.shares.iter().map(|share| share.rate).sum();
        let capacity: f64 = self.shares.iter().map(|share| share.capacity).sum();
        if capacity > 0.0 { rate / capacity } else { 0.0 }
    }

    /// Returns the load of a target.
    pub fn get(&self, target: &name::Target) -> Option<&Load> {
        self.shares.iter().find(|share| share.name == *target)
    }
}

/// Returns by how much the higher level of two targets falls when a rate moves between them. The
/// result is negative if the receiver would become busier than the sender was.
pub fn gain(from: &Load, to: &Load, rate: f64) -> f64 {
    let sender = (from.rate - rate) / from.capacity;
    let receiver = (to.rate + rate) / to.capacity;
    from.level() - sender.max(receiver)
}
