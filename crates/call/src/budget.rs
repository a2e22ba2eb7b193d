//! Retry budget: limits the load added by retries.

use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_core::time::millis;

/// Buckets that cover the window. One more is kept, because the newest is still filling: without it,
/// retries would expire before the end of the window and could exceed the budget.
const BUCKETS_PER_WINDOW: u32 = 20;
const BUCKETS: usize = 21;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio, so that an instance with little traffic can
    /// retry at all.
    pub min_retries: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

impl Default for Options {
    /// 20% over 10 s, the ratio documented for callers.
    fn default() -> Self {
        Self { ratio: 0.2, min_retries: 10.0, window: Duration::from_secs(10) }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// Retry budget over a sliding window of requests and retries.
#[derive(Debug, Default)]
pub struct Budget {
    options: Options,
    buckets: [Bucket; BUCKETS],
    /// Index of the newest bucket since boot.
    newest: u64,
}

impl Budget {
    /// Creates an empty budget with the default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty budget with the given settings.
    pub fn with_options(options: Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Sets the number of retries allowed in a window in addition to the ratio.
    pub fn set_min_retries(&mut self, min_retries: f64) {
        self.options.min_retries = min_retries;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Stamp) {
        if let Some(bucket) = self.bucket(now) {
            bucket.requests += 1;
        }
    }

    /// Counts a retry and returns true if the budget allows it; otherwise counts nothing.
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

    /// Clears the buckets that have left the window. A time before the newest bucket is treated as
    /// that of the newest bucket.
    fn advance(&mut self, now: Stamp) {
        let bucket = self.options.window / BUCKETS_PER_WINDOW;
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
