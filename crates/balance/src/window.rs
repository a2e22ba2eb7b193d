//! What a policy sees and answers.

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
    /// Relative capacity, for example the number of slots. Positive.
    pub capacity: f64,
    /// True if the target may get more work.
    pub accepting: bool,
}

/// A key and its rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// The key.
    pub key: Arc<str>,
    /// Requests per second.
    pub rate: f64,
}

/// A shard with an owner. Shards without one are left out: they cannot be moved.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The shard.
    pub shard: Shard,
    /// Owner of the shard.
    pub owner: name::Target,
    /// Requests per second, split keys excluded.
    pub rate: f64,
    /// The heaviest keys of the shard.
    pub heavy: Vec<Key>,
}

/// A split key with an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The key.
    pub key: Arc<str>,
    /// Owner of the key.
    pub owner: name::Target,
    /// Requests per second.
    pub rate: f64,
}

/// The counts of one group over one window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Window {
    /// Time that the counts cover.
    pub elapsed: Duration,
    /// The targets of the group.
    pub targets: Vec<Target>,
    /// The shards of the group.
    pub shards: Vec<Assignment>,
    /// The split keys of the group.
    pub splits: Vec<Split>,
}

/// A change of ownership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Moves a shard to a target.
    Move(Shard, name::Target),
    /// Gives a key an owner of its own, or moves a key that has one.
    Split(Arc<str>, name::Target),
    /// Returns a split key to its shard.
    Unsplit(Arc<str>),
}

/// A placement policy of one group.
pub trait Policy {
    /// Returns the changes to make now, given the counts of the window that ends now.
    fn decide(&mut self, window: &Window, now: Stamp) -> Vec<Action>;
}
