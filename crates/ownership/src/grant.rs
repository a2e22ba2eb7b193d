//! Grants: what a coordinator tells a target, and what the target's answer proves.

use std::collections::BTreeSet;
use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_core::token::Token;

/// Length of a grant on the target's clock.
///
/// A frozen target's keys are served elsewhere after this time, and the target is 1 s for the whole
/// recovery. Shorter grants would lapse during short pauses of a healthy coordinator.
pub const DURATION: Duration = Duration::from_millis(600);

/// Time between renewals, so that three may be lost before a grant ends.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Time before a failed or unanswered call to a target is made again.
pub const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Allowance for clocks that run at different rates: one part in this many.
const DRIFT_PART: u32 = 100;

/// Returns the time after which a grant has ended on any clock within the drift allowance.
pub fn max_duration() -> Duration {
    DURATION + DURATION / DRIFT_PART
}

/// State that a target reports about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Started lately.
    Cold,
    /// Works normally.
    Live,
    /// Leaves and wants no new work.
    Draining,
}

/// Answer of a target to a query or a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// True if the call was a grant and the target took it; false for queries and refusals.
    pub accepted: bool,
    /// Sequence of the grant that is answered; none for a query.
    pub seq: Option<u64>,
    /// Incarnation of the target's process.
    pub incarnation: u64,
    /// Target's clock in milliseconds when it answered.
    pub clock_ms: u64,
    /// Highest token that the target has seen.
    pub highest: Token,
    /// End of the target's grant on its clock, in milliseconds.
    pub valid_until_ms: u64,
    /// Shards that the target holds.
    pub shards: BTreeSet<u32>,
    /// State that the target reports.
    pub state: State,
}

/// The latest proof of contact with one incarnation of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Incarnation that answered.
    pub incarnation: u64,
    /// Target's clock in milliseconds when it answered.
    pub clock_ms: u64,
    /// Local time at which the answered call was sent.
    pub sent: Stamp,
    /// Local time at which the answer arrived.
    pub received: Stamp,
}

impl Contact {
    /// Returns the expiry, in milliseconds of the target's clock, of a grant sent after this contact.
    ///
    /// It is counted from the target's clock at the contact, not from the time of sending: a grant that waits
    /// unread in a frozen target's socket is expired by the time it is read.
    pub fn valid_until_ms(&self) -> u64 {
        self.clock_ms + u64::try_from(DURATION.as_millis()).unwrap_or(0)
    }

    /// Returns the local time by which every grant based on this contact has ended.
    pub fn ended_by(&self) -> Stamp {
        self.received + max_duration()
    }

    /// Returns the local time until which the target surely still has its grant.
    ///
    /// The target read its clock after the call was sent, so its grant ends no earlier than one
    /// length after that, less the drift allowance.
    pub fn lasts_until(&self) -> Stamp {
        self.sent + (DURATION - DURATION / DRIFT_PART)
    }
}

/// Turns a set of shards into inclusive ranges, the form in which grants carry them.
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

/// Turns inclusive ranges into a set, ignoring what lies outside `bounds`.
pub fn from_ranges(ranges: &[(u32, u32)], bounds: &std::ops::Range<u32>) -> BTreeSet<u32> {
    let mut shards = BTreeSet::new();
    for (first, last) in ranges {
        let first = (*first).max(bounds.start);
        let end = last.saturating_add(1).min(bounds.end);
        shards.extend(first..end.max(first));
    }
    shards
}
