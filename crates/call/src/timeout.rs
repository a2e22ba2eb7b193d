//! Deadline of a call and timeouts of its hops.

use std::time::Duration;

use caraway_core::time::Stamp;

/// Maximum margin that a hop reserves, so that its answer arrives before the sender times out.
const HOP_MARGIN: Duration = Duration::from_millis(5);

/// Minimum time for another attempt. With less, the request would probably be sent and then time out,
/// which turns "did not run" into "outcome unknown".
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);

/// Returns the deadline of a call.
///
/// `requested` is the timeout sent by the caller; it can only shorten the timeout of the class.
pub fn deadline(arrived: Stamp, class: Duration, requested: Option<Duration>) -> Stamp {
    arrived + requested.map_or(class, |requested| requested.min(class))
}

/// Returns the time until the deadline, or `None` if it has passed.
pub fn remaining(deadline: Stamp, now: Stamp) -> Option<Duration> {
    let remaining = deadline.since(now);
    (!remaining.is_zero()).then_some(remaining)
}

/// Returns true if enough time remains for another attempt after a pause.
pub fn allows_retry(deadline: Stamp, now: Stamp, pause: Duration) -> bool {
    deadline.since(now) > pause + MIN_ATTEMPT_TIME
}

/// Returns the timeout of the next hop or target, or `None` if it would be less than 1 ms.
///
/// This is the remaining time less a margin for the return path, 1/16 of it but at most 5 ms. It is
/// rounded down to whole milliseconds, the unit of the header.
pub fn for_hop(deadline: Stamp, now: Stamp) -> Option<Duration> {
    let remaining = deadline.since(now);
    let timeout = remaining.saturating_sub((remaining / 16).min(HOP_MARGIN));
    let millis = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
    (millis > 0).then_some(Duration::from_millis(millis))
}
