//! Retry budget: bounds the load that retries add.

use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_core::time::millis;

/// Number of buckets that cover the window, and one more: the newest is not full, and a repeat that left
/// too early would be allowed once more within the window.
const FULL_BUCKETS: u32 = 20;
const BUCKETS: usize = 21;

/// Allowed repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that are allowed in a window regardless of the number of requests, so that a quiet
    /// instance can retry at all.
    pub min_retries: f64,
    /// Time over which requests and repeats are counted.
    pub window: Duration,
}

impl Default for Options {
    /// 20% over 10 s, the ratio that callers of the product are told.
    fn default() -> Self {
        Self { ratio: 0.2, min_retries: 10.0, window: Duration::from_secs(10) }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// Counts of the requests and retries of the last window.
#[derive(Debug, Default)]
pub struct Budget {
    options: Options,
    buckets: [Bucket; BUCKETS],
    /// Number of the newest bucket, counted from boot.
    newest: u64,
}

impl Budget {
    /// Makes a budget without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a budget with other allowances.
    pub fn with_options(options: Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Changes the repeats that are allowed regardless of the number of requests.
    pub fn set_min_retries(&mut self, min_retries: f64) {
        self.options.min_retries = min_retries;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Stamp) {
        if let Some(bucket) = self.bucket(now) {
            bucket.requests += 1;
        }
    }

    /// Counts a retry and returns true if the budget allows it.
    pub fn try_retry(&mut self, now: Stamp) -> bool {
        self.advance(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = f64::from(requests) * self.options.ratio + self.options.min_retries;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        if let Some(bucket) = self.bucket(now) {
            bucket.retries += 1;
        }
        true
    }

    fn bucket(&mut self, now: Stamp) -> Option<&mut Bucket> {
        self.advance(now);
        let index = usize::try_from(self.newest % BUCKETS as u64).ok()?;
        self.buckets.get_mut(index)
    }

    /// Clears the buckets that have left the window. Time that goes back counts as no time.
    fn advance(&mut self, now: Stamp) {
        let bucket = self.options.window / FULL_BUCKETS;
        let length = millis(bucket).max(1);
        let current = now.as_millis() / length;
        let steps = current.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..steps {
            let index = usize::try_from((current - step) % BUCKETS as u64).unwrap_or(0);
            if let Some(bucket) = self.buckets.get_mut(index) {
                *bucket = Bucket::default();
            }
        }
        self.newest = self.newest.max(current);
    }
}
