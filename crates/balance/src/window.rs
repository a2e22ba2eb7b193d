//! Input and output of a placement policy.

use std::sync::Arc;
use std::time::Duration;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

/// A target of the group.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// Capacity relative to other targets, for example the number of slots; positive.
    pub capacity: f64,
    /// Whether the target may be assigned more units.
    pub accepting: bool,
}

/// Request rate of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// The key.
    pub key: Arc<str>,
    /// Requests per second.
    pub rate: f64,
}

/// Shard with its owner. Shards without an owner are left out, since they cannot move.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The shard.
    pub shard: Shard,
    /// Owner of the shard.
    pub owner: name::Target,
    /// Requests per second, without split keys.
    pub rate: f64,
    /// Keys of the shard with the highest rates.
    pub heavy: Vec<Key>,
}

/// Split key with its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The key.
    pub key: Arc<str>,
    /// Owner of the key.
    pub owner: name::Target,
    /// Requests per second.
    pub rate: f64,
}

/// Counts of one group over one window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Window {
    /// Time span of the counts.
    pub elapsed: Duration,
    /// The targets of the group.
    pub targets: Vec<Target>,
    /// The shards of the group.
    pub shards: Vec<Assignment>,
    /// The split keys of the group.
    pub splits: Vec<Split>,
}

/// Change of ownership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Moves a shard to a target.
    Move(Shard, name::Target),
    /// Assigns a key to a target separately from its shard.
    Split(Arc<str>, name::Target),
    /// Returns a split key to its shard.
    Unsplit(Arc<str>),
}

/// Placement policy of one group.
pub trait Policy {
    /// Returns the changes to make now, given the counts of the window that ends now.
    fn decide(&mut self, window: &Window, now: Stamp) -> Vec<Action>;
}
