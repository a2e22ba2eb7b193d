//! Delays between attempts that fail.

use std::time::Duration;

use caraway_core::time::Stamp;

/// Delay after the first failure.
const FIRST_DELAY: Duration = Duration::from_millis(300);

/// Longest delay of an instance that others rely on. A configuration has to be in force 2.5 s after
/// it was acknowledged, also if the store has just become available again: 0.9 s for a call that is
/// lost, this delay, and the rest until the others have heard of it.
pub const MAX_DEPUTY_DELAY: Duration = Duration::from_secs(1);

/// Longest delay of other instances.
pub const MAX_DELAY: Duration = Duration::from_secs(2);

/// Smallest share of a delay that is waited. The jitter above it spreads the attempts of many
/// instances that failed at the same moment.
const MIN_SHARE: f64 = 0.5;

/// Delay between attempts, doubled with each failure in a row.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: u32,
    retry_at: Stamp,
}

impl Backoff {
    /// Records a failure. Failures of attempts that overlap count once. `max` is the longest delay,
    /// `jitter` a random number from 0 to 1.
    pub fn record_failure(&mut self, max: Duration, jitter: f64, now: Stamp) {
        if now < self.retry_at {
            return;
        }
        // Eight doublings exceed the longest delay.
        let delay = FIRST_DELAY.saturating_mul(1 << self.failures.min(8)).min(max);
        self.failures += 1;
        let share = MIN_SHARE + (1.0 - MIN_SHARE) * jitter.clamp(0.0, 1.0);
        self.retry_at = now + delay.mul_f64(share);
    }

    /// Records a success. Returns whether it ends a row of failures.
    pub fn record_success(&mut self) -> bool {
        self.retry_at = Stamp::default();
        std::mem::take(&mut self.failures) > 0
    }

    /// Returns the time until the next attempt.
    pub fn delay(&self, now: Stamp) -> Duration {
        self.retry_at.since(now)
    }
}
