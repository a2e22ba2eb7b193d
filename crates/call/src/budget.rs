//! Retry budget: bounds the load that retries add.

use std::time::Duration;

use caraway_core::time::Stamp;

/// Length of a bucket.
const BUCKET: Duration = Duration::from_secs(1);

/// Number of buckets; together they cover the 10 s over which requests and retries are counted.
const BUCKETS: usize = 10;

/// One retry is allowed for this many requests, which is 20%.
const REQUESTS_PER_RETRY: u64 = 5;

/// Retries that are allowed in a window regardless of the number of requests, so that a quiet
/// instance can retry at all.
const FLOOR: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u64,
    retries: u64,
}

/// Counts of the requests and retries of the last 10 s.
#[derive(Debug, Default)]
pub struct Budget {
    buckets: [Bucket; BUCKETS],
    /// Number of the newest bucket, counted from boot.
    newest: u64,
}

impl Budget {
    /// Makes a budget without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request.
    pub fn request(&mut self, now: Stamp) {
        if let Some(bucket) = self.bucket(now) {
            bucket.requests += 1;
        }
    }

    /// Counts a retry and returns true if the budget allows it.
    pub fn retry(&mut self, now: Stamp) -> bool {
        self.advance(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        if retries >= requests / REQUESTS_PER_RETRY + FLOOR {
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
        let current = now.as_millis() / u64::try_from(BUCKET.as_millis()).unwrap_or(1);
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
