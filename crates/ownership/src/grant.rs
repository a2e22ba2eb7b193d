//! Grants of shards from a coordinator to a target, and what the answers of the target prove.

use std::collections::BTreeSet;
use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_core::token::Token;

/// Duration of a grant on the clock of the target.
///
/// The keys of a frozen target are served elsewhere after this time, and the goal for the whole
/// recovery is 1 s. Shorter grants would expire during short pauses of a healthy coordinator.
pub const DURATION: Duration = Duration::from_millis(600);

/// Interval of renewals, so that three may be lost before a grant expires.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Delay before a failed or unanswered call to a target is retried.
pub const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Allowance for clock drift: the duration divided by this number.
const DRIFT_DIVISOR: u32 = 100;

/// Returns the time after which a grant has expired on every clock within the drift allowance.
pub fn max_duration() -> Duration {
    DURATION + DURATION / DRIFT_DIVISOR
}

/// State that a target reports about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Started recently.
    Cold,
    /// Serving normally.
    Live,
    /// Leaving; should receive no new requests.
    Draining,
}

/// Answer of a target to a query or a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// True if the call was a grant and the target accepted it; false for queries and refusals.
    pub accepted: bool,
    /// Sequence number of the answered grant; `None` for a query.
    pub seq: Option<u64>,
    /// Incarnation of the target's process.
    pub incarnation: u64,
    /// Clock of the target in milliseconds when it answered.
    pub clock_ms: u64,
    /// Highest token that the target has seen.
    pub highest: Token,
    /// Expiry of the grant of the target on its clock, in milliseconds.
    pub valid_until_ms: u64,
    /// Shards that the target holds.
    pub shards: BTreeSet<u32>,
    /// State reported by the target.
    pub state: State,
}

/// Proof of contact with one incarnation of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Incarnation that answered.
    pub incarnation: u64,
    /// Clock of the target in milliseconds when it answered.
    pub clock_ms: u64,
    /// Local time at which the answered call was sent.
    pub sent: Stamp,
    /// Local time at which the answer arrived.
    pub received: Stamp,
}

impl Contact {
    /// Returns the expiry, in milliseconds on the clock of the target, of a grant sent after this
    /// contact.
    ///
    /// It is computed from the clock of the target at the contact, not from the time of sending: a grant
    /// that waits unread in the socket of a frozen target has expired by the time it is read.
    pub fn valid_until_ms(&self) -> u64 {
        self.clock_ms + u64::try_from(DURATION.as_millis()).unwrap_or(0)
    }

    /// Returns the local time by which every grant based on this contact has expired.
    pub fn ended_by(&self) -> Stamp {
        self.received + max_duration()
    }

    /// Returns the local time until which the grant of the target is certainly in force.
    ///
    /// The target read its clock after the call was sent, so its grant expires no earlier than one
    /// duration after that, less the drift allowance.
    pub fn lasts_until(&self) -> Stamp {
        self.sent + (DURATION - DURATION / DRIFT_DIVISOR)
    }
}

/// Converts a set of shards to inclusive ranges, the wire format of grants.
pub fn to_ranges(shards: &BTreeSet<u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for shard in shards {
        match ranges.last_mut() {
            Some((_, last)) if last.checked_add(1) == Some(*shard) => *last = *shard,
            _ => ranges.push((*shard, *shard)),
        }
    }
    ranges
}

/// Converts inclusive ranges to a set, ignoring shards outside `bounds`.
pub fn from_ranges(ranges: &[(u32, u32)], bounds: &std::ops::Range<u32>) -> BTreeSet<u32> {
    let mut shards = BTreeSet::new();
    for (first, last) in ranges {
        let first = (*first).max(bounds.start);
        let end = last.saturating_add(1).min(bounds.end);
        shards.extend(first..end.max(first));
    }
    shards
}
