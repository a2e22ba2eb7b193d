//! Events that a group machine receives and effects that it returns.

use std::collections::BTreeSet;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::grant::Reply;
use crate::grant::State;

/// What is known about the coordinator that held the group's term before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Predecessor {
    /// The group never had a coordinator.
    None,
    /// It gave the term up, or its process was proved gone, at this moment.
    Ended(Stamp),
    /// It may still be alive and renew grants.
    Unproved,
}

/// Something that a group machine reacts to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A target answered a call that was sent at `sent`.
    Reply {
        /// The target.
        target: name::Target,
        /// When the call was sent.
        sent: Stamp,
        /// What it answered.
        reply: Reply,
    },
    /// A call to a target failed without proof that its process is gone.
    Failed(name::Target),
    /// A target's process is proved gone by a call or a statement of this moment.
    Gone {
        /// The target.
        target: name::Target,
        /// When the call was made. What was heard from the target later counts more.
        sent: Stamp,
    },
    /// The platform says that a target is leaving.
    Leaving(name::Target),
    /// The document lists these targets for the group now.
    Targets(Vec<name::Target>),
    /// No request of a paused shard is in flight any more.
    Drained(Shard),
    /// No request to a lost, unchecked target is in flight any more.
    Idle(name::Target),
    /// The balance policy wants a shard at another target.
    Move {
        /// The shard.
        shard: Shard,
        /// The new owner.
        to: name::Target,
    },
    /// The former coordinator was proved gone at this moment.
    PredecessorEnded(Stamp),
    /// The own process did not run for a while and may have lost the term meanwhile.
    Paused,
    /// A check that began at this moment found no higher term.
    Confirmed(Stamp),
    /// A higher term was seen.
    Fenced(u64),
    /// Time has passed.
    Tick,
}

/// Why a shard changed its owner.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// The shard had no owner.
    Placed,
    /// The new coordinator found the shard at this target and left it there.
    Kept,
    /// The former owner's grant ended without an answer.
    Expired,
    /// The former owner's process is gone.
    Gone,
    /// The former owner is leaving.
    Leaving,
    /// The balance policy moved the shard.
    Balance,
}

impl Cause {
    /// Returns the name used in logs, metrics and explanations.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Kept => "kept",
            Self::Expired => "grant-expired",
            Self::Gone => "target-gone",
            Self::Leaving => "target-leaving",
            Self::Balance => "balance",
        }
    }
}

/// What the control plane has to do for a group machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Ask a target for its clock, incarnation and grant.
    Query(name::Target),
    /// Send a grant.
    Grant {
        /// The target.
        target: name::Target,
        /// Token of the grant.
        token: Token,
        /// Incarnation that may accept it.
        incarnation: u64,
        /// Expiry in milliseconds of the target's clock.
        valid_until_ms: u64,
        /// The whole set of shards, or none to keep the set that the target has acknowledged.
        shards: Option<BTreeSet<u32>>,
    },
    /// Let requests of a shard go to a target.
    Assign {
        /// The shard.
        shard: Shard,
        /// The owner.
        target: name::Target,
        /// Token that requests carry.
        token: Token,
    },
    /// Hold requests of a shard back and report when none is in flight.
    Pause(Shard),
    /// Let requests go to a target until this moment.
    Allow {
        /// The target.
        target: name::Target,
        /// The moment.
        until: Stamp,
    },
    /// Use this token for requests of a pooled group to a target.
    UseToken {
        /// The target.
        target: name::Target,
        /// The token.
        token: Token,
    },
    /// A target's usability changed.
    Health {
        /// The target.
        target: name::Target,
        /// The new health.
        health: Health,
    },
    /// Report when no request to this target is in flight any more.
    AwaitIdle(name::Target),
    /// A shard has a new owner; for logs and explanations.
    Owned {
        /// The shard.
        shard: Shard,
        /// The owner.
        target: name::Target,
        /// Its token.
        token: Token,
        /// Why.
        cause: Cause,
    },
    /// The machine has ended because of this higher term and returns nothing more.
    Ended(u64),
}

/// Usability of a target as its coordinator sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The target has a grant and reported this state.
    Granted(State),
    /// The target has no grant.
    Lost,
}
