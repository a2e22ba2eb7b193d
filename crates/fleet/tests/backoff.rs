//! Delays between attempts that fail.

use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_fleet::backoff::Backoff;
use caraway_fleet::backoff::MAX_DELAY;

/// Guards against calls at a constant rate while the store is away: 122 instances repeated failed
/// calls every 300 ms.
#[test]
fn delays_double_up_to_two_seconds() {
    let (mut backoff, mut now) = (Backoff::default(), Stamp::default() + Duration::from_secs(9));
    let mut delays = Vec::new();
    for _ in 0..5 {
        backoff.record_failure(MAX_DELAY, 1.0, now);
        delays.push(backoff.delay(now).as_millis());
        now = now + backoff.delay(now);
    }
    assert_eq!(delays, [300, 600, 1200, 2000, 2000]);
    assert!(backoff.record_success());
    assert_eq!(backoff.delay(now), Duration::ZERO);
    assert!(!backoff.record_success());
}

/// Guards against a delay that doubles with each of several calls that fail at the same moment.
#[test]
fn overlapping_failures_count_once() {
    let (mut backoff, now) = (Backoff::default(), Stamp::default() + Duration::from_secs(9));
    for _ in 0..4 {
        backoff.record_failure(MAX_DELAY, 0.0, now);
    }
    assert_eq!(backoff.delay(now), Duration::from_millis(150));
}
