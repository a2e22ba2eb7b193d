//! Units of ownership: a shard or a split key, with its owner and its outstanding permits.

use std::sync::Arc;

use caraway_core::shard::Shard;
use caraway_core::token::Token;

/// What determines the target of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Scope {
    /// Any target of the group; no unit counts the permit.
    Pool,
    /// The owner of a shard.
    Shard(Shard),
    /// The owner of a split key.
    Key(Arc<str>),
}

/// Identifier of a target within its group; never reused.
pub type TargetId = u32;

/// Owner of a unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The owning target.
    pub target: TargetId,
    /// Token of the assignment.
    pub token: Token,
}

/// State of a unit.
#[derive(Debug, Default)]
pub struct Unit {
    /// Owner; none while the unit is paused.
    pub owner: Option<Owner>,
    /// True if the split ends as soon as no permit of the key is outstanding.
    pub ending: bool,
    /// Target of the outstanding permits.
    holder: Option<TargetId>,
    /// Outstanding permits for the holder.
    outstanding: usize,
    /// Outstanding permits for lost targets that owned the unit before the holder.
    abandoned: usize,
    /// Incremented when the permits for a lost holder are abandoned.
    epoch: u64,
}

impl Unit {
    /// Returns the target of the outstanding permits.
    pub fn holder(&self) -> Option<TargetId> {
        self.holder
    }

    /// Returns the number of outstanding permits, those for lost earlier owners included.
    pub fn in_flight(&self) -> usize {
        self.outstanding + self.abandoned
    }

    /// Returns the epoch of permits that are added now.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Stops waiting for the permits of a lost holder.
    pub fn abandon(&mut self) {
        self.abandoned += self.outstanding;
        self.outstanding = 0;
        self.holder = None;
        self.epoch += 1;
    }

    /// Adds a permit for a target and returns its epoch.
    ///
    /// # Panics
    ///
    /// If permits are outstanding for another target: two targets would run requests of one unit at
    /// the same time.
    pub fn add_permit(&mut self, target: TargetId) -> u64 {
        let same = self.holder.is_none_or(|holder| holder == target);
        assert!(same, "permits of one shard would be outstanding for two targets");
        self.holder = Some(target);
        self.outstanding += 1;
        self.epoch
    }

    /// Releases a permit. Returns true if it was the last one of the holder.
    ///
    /// # Panics
    ///
    /// If no permit of the epoch is outstanding.
    pub fn release(&mut self, epoch: u64) -> bool {
        if epoch != self.epoch {
            assert!(self.abandoned > 0, "an abandoned permit was returned twice");
            self.abandoned -= 1;
            return false;
        }
        assert!(self.outstanding > 0, "a permit was returned twice");
        self.outstanding -= 1;
        if self.outstanding == 0 {
            self.holder = None;
        }
        self.outstanding == 0
    }
}
