//! Events and effects of a group machine.

use std::collections::BTreeSet;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::grant::Reply;
use crate::grant::State;

/// State of the previous coordinator of the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Predecessor {
    /// The group never had a coordinator.
    None,
    /// It released the term, or its process was proved gone, at this time.
    Ended(Stamp),
    /// It may still be running and renew grants.
    Unproved,
}

/// Input of a group machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A target answered a call that was sent at `sent`.
    Reply {
        /// The target.
        target: name::Target,
        /// Time at which the call was sent.
        sent: Stamp,
        /// The answer.
        reply: Reply,
    },
    /// A call to a target failed without proof that its process is gone.
    Failed(name::Target),
    /// The process of a target is proved gone, by a failed call or by a report.
    Gone {
        /// The target.
        target: name::Target,
        /// Time of the call or report. A later answer of the target takes precedence.
        sent: Stamp,
    },
    /// The platform reports that a target is leaving.
    Leaving(name::Target),
    /// The environment document now lists these targets for the group.
    Targets(Vec<name::Target>),
    /// No requests of a paused shard are in flight any more.
    Drained(Shard),
    /// No requests to a lost, unchecked target are in flight any more.
    Idle(name::Target),
    /// The balance policy requests to move a shard.
    Move {
        /// The shard.
        shard: Shard,
        /// The new owner.
        to: name::Target,
    },
    /// The previous coordinator was proved gone at this time.
    PredecessorEnded(Stamp),
    /// This process was suspended and may have lost the term in the meantime.
    Paused,
    /// A check that began at this time found no higher term: a read of the record, or answers of all
    /// instances that could have claimed one.
    Confirmed(Stamp),
    /// A higher term was observed.
    Fenced(u64),
    /// Time has passed.
    Tick,
}

/// Reason for a change of the owner of a shard.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// The shard had no owner.
    Placed,
    /// The new coordinator found the shard at this target and kept the assignment.
    Kept,
    /// The grant of the previous owner expired without an answer.
    Expired,
    /// The process of the previous owner is gone.
    Gone,
    /// The previous owner is leaving.
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

/// Output of a group machine, executed by the control plane.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Query a target for its clock, incarnation and grant.
    Query(name::Target),
    /// Send a grant.
    Grant {
        /// The target.
        target: name::Target,
        /// Token of the grant.
        token: Token,
        /// Incarnation that the grant is for; others must refuse it.
        incarnation: u64,
        /// Expiry in milliseconds on the clock of the target.
        valid_until_ms: u64,
        /// The complete set of shards, or `None` to keep the set that the target has acknowledged.
        shards: Option<BTreeSet<u32>>,
    },
    /// Route requests of a shard to a target.
    Assign {
        /// The shard.
        shard: Shard,
        /// The owner.
        target: name::Target,
        /// Fencing token for the requests.
        token: Token,
    },
    /// Pause requests of a shard, and report [`Event::Drained`] when none is in flight.
    Pause(Shard),
    /// Allow requests to a target until this time.
    Allow {
        /// The target.
        target: name::Target,
        /// The time.
        until: Stamp,
    },
    /// Set the token for requests of a pooled group to a target.
    UseToken {
        /// The target.
        target: name::Target,
        /// The token.
        token: Token,
    },
    /// The health of a target changed.
    Health {
        /// The target.
        target: name::Target,
        /// The new health.
        health: Health,
    },
    /// Check whether a higher term exists, and report [`Event::Confirmed`] if there is none.
    Confirm,
    /// Report [`Event::Idle`] when no requests to this target are in flight any more.
    AwaitIdle(name::Target),
    /// A shard has a new owner; for logs and explanations only.
    Owned {
        /// The shard.
        shard: Shard,
        /// The owner.
        target: name::Target,
        /// Token of the assignment.
        token: Token,
        /// Reason of the change.
        cause: Cause,
    },
    /// The machine was fenced by this higher term and returns no more effects.
    Ended(u64),
}

/// Health of a target as seen by its coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The target has a grant and reported this state.
    Granted(State),
    /// The target has no grant.
    Lost,
}
