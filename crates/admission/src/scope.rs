//! Units of ownership: a shard or a split key, with the owner and the permits that are out.

use std::sync::Arc;

use caraway_core::shard::Shard;
use caraway_core::token::Token;

/// What a request is routed by.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Scope {
    /// Any target; no unit counts the permit.
    Pool,
    /// The owner of a shard.
    Shard(Shard),
    /// The owner of a split key.
    Key(Arc<str>),
}

/// Number of a target in its table; never reused.
pub type Member = u32;

/// Owner of a unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The owning target.
    pub member: Member,
    /// Token of the assignment.
    pub token: Token,
}

/// State of a unit.
#[derive(Debug, Default)]
pub struct Unit {
    /// Owner; none while the unit is paused.
    pub owner: Option<Owner>,
    /// True if a split ends as soon as no permit of the key is out.
    pub ending: bool,
    /// Target that the current permits are for.
    holder: Option<Member>,
    /// Permits that are out for the holder.
    out: usize,
    /// Permits that are out for lost targets that owned the unit before the holder.
    abandoned: usize,
    /// Increases when the permits of a lost holder are abandoned.
    epoch: u64,
}

impl Unit {
    /// Returns the target that permits are out for.
    pub fn holder(&self) -> Option<Member> {
        self.holder
    }

    /// Returns how many permits are out, those for lost earlier owners included.
    pub fn in_flight(&self) -> usize {
        self.out + self.abandoned
    }

    /// Returns the epoch that a permit of this moment belongs to.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Gives up waiting for the permits of a lost holder.
    pub fn abandon(&mut self) {
        self.abandoned += self.out;
        self.out = 0;
        self.holder = None;
        self.epoch += 1;
    }

    /// Counts a permit for a target and returns its epoch.
    ///
    /// # Panics
    ///
    /// If permits are out for another target: two targets would run requests of one unit at once.
    pub fn take(&mut self, member: Member) -> u64 {
        let same = self.holder.is_none_or(|holder| holder == member);
        assert!(same, "permits of one shard would be out for two targets");
        self.holder = Some(member);
        self.out += 1;
        self.epoch
    }

    /// Counts the return of a permit. Returns true if it was the last one of the holder.
    ///
    /// # Panics
    ///
    /// If no such permit is out.
    pub fn give_back(&mut self, epoch: u64) -> bool {
        if epoch != self.epoch {
            assert!(self.abandoned > 0, "an abandoned permit was returned twice");
            self.abandoned -= 1;
            return false;
        }
        assert!(self.out > 0, "a permit was returned twice");
        self.out -= 1;
        if self.out == 0 {
            self.holder = None;
        }
        self.out == 0
    }
}
