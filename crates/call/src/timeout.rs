//! Time limits of a call.

use std::time::Duration;

use caraway_core::time::Stamp;

/// Longest time that a hop keeps for itself, so that its answer arrives before its sender gives up.
const HOP_MARGIN: Duration = Duration::from_millis(5);

/// Shortest time that another attempt is worth. With less, it would most likely be sent and then time
/// out, which turns "did not run" into "outcome unknown".
const MIN_ATTEMPT: Duration = Duration::from_millis(10);

/// Returns the moment at which a call ends.
///
/// `asked` is the caller's own limit; it can only lower the patience of the class.
pub fn deadline(arrived: Stamp, class: Duration, asked: Option<Duration>) -> Stamp {
    arrived + asked.map_or(class, |asked| asked.min(class))
}

/// Returns the time that is left of a call, or nothing if it has ended.
pub fn remaining(deadline: Stamp, now: Stamp) -> Option<Duration> {
    let left = deadline.since(now);
    (!left.is_zero()).then_some(left)
}

/// Returns true if enough time is left for another attempt after a pause.
pub fn allows_retry(deadline: Stamp, now: Stamp, pause: Duration) -> bool {
    deadline.since(now) > pause + MIN_ATTEMPT
}

/// Returns the time that the next hop or target is given, or nothing if less than 1 ms is left.
///
/// The time is what is left, less a margin for the way back of 1/16 or 5 ms, whichever is shorter.
/// It is whole milliseconds, rounded down, because the header carries milliseconds.
pub fn for_hop(deadline: Stamp, now: Stamp) -> Option<Duration> {
    let left = deadline.since(now);
    let given = left.saturating_sub((left / 16).min(HOP_MARGIN));
    let millis = u64::try_from(given.as_millis()).unwrap_or(u64::MAX);
    (millis > 0).then_some(Duration::from_millis(millis))
}
