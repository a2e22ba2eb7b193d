//! A log-linear histogram.

use std::time::Duration;

/// Buckets per power of two. 64 buckets bound the relative error of a quantile to 1.6%.
const SUB_BUCKETS: u64 = 64;
/// Base-2 logarithm of [`SUB_BUCKETS`].
const SUB_BITS: u32 = 6;

/// Durations in microseconds, counted in buckets whose width is at most 1/64 of their value.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: Vec<u64>,
    count: u64,
    sum_us: u64,
    max_us: u64,
}

impl Histogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a duration.
    pub fn add(&mut self, duration: Duration) {
        let value = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let index = bucket(value);
        if self.counts.len() <= index {
            self.counts.resize(index + 1, 0);
        }
        if let Some(count) = self.counts.get_mut(index) {
            *count += 1;
        }
        self.count += 1;
        self.sum_us = self.sum_us.saturating_add(value);
        self.max_us = self.max_us.max(value);
    }

    /// Returns the number of recorded durations.
    pub fn len(&self) -> u64 {
        self.count
    }

    /// Returns true if no duration was recorded.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the largest duration in microseconds.
    pub fn max_us(&self) -> u64 {
        self.max_us
    }

    /// Returns the mean in microseconds, or zero if the histogram is empty.
    pub fn mean_us(&self) -> u64 {
        self.sum_us.checked_div(self.count).unwrap_or(0)
    }

    /// Returns the upper bound in microseconds of the bucket that contains a quantile.
    ///
    /// `basis_points` is the quantile in units of 0.01%: 5,000 is the median and 9,990 is p99.9.
    pub fn quantile_us(&self, basis_points: u64) -> u64 {
        let rank = self.count.saturating_mul(basis_points).div_ceil(10_000).max(1);
        let mut cumulative = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= rank {
                return upper_bound(index).min(self.max_us);
            }
        }
        self.max_us
    }
}

/// Returns the bucket index of a value. Each value below [`SUB_BUCKETS`] has its own bucket.
fn bucket(value: u64) -> usize {
    if value < SUB_BUCKETS {
        return usize::try_from(value).unwrap_or(0);
    }
    let shift = value.ilog2() - SUB_BITS;
    let index = u64::from(shift) * SUB_BUCKETS + (value >> shift);
    usize::try_from(index).unwrap_or(usize::MAX)
}

/// Returns the largest value of a bucket.
fn upper_bound(index: usize) -> u64 {
    let index = u64::try_from(index).unwrap_or(u64::MAX);
    if index < SUB_BUCKETS {
        return index;
    }
    let shift = index / SUB_BUCKETS - 1;
    let mantissa = index % SUB_BUCKETS + SUB_BUCKETS;
    ((mantissa + 1) << shift) - 1
}
