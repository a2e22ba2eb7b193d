//! A histogram with logarithmic buckets.

use std::time::Duration;

/// Buckets for each power of two. 64 buckets keep the relative error of a quantile under 1.6%.
const SUB_BUCKETS: u64 = 64;
const SUB_BITS: u32 = 6;

/// Counts of durations in microseconds, in buckets whose width is at most 1/64 of their value.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: Vec<u64>,
    total: u64,
    sum_us: u64,
    max_us: u64,
}

impl Histogram {
    /// Makes an empty histogram.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a duration.
    pub fn add(&mut self, duration: Duration) {
        let value = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let index = bucket(value);
        if self.counts.len() <= index {
            self.counts.resize(index + 1, 0);
        }
        if let Some(count) = self.counts.get_mut(index) {
            *count += 1;
        }
        self.total += 1;
        self.sum_us = self.sum_us.saturating_add(value);
        self.max_us = self.max_us.max(value);
    }

    /// Returns the number of durations.
    pub fn len(&self) -> u64 {
        self.total
    }

    /// Returns true if nothing was added.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Returns the largest duration in microseconds.
    pub fn max_us(&self) -> u64 {
        self.max_us
    }

    /// Returns the mean in microseconds, or zero if the histogram is empty.
    pub fn mean_us(&self) -> u64 {
        self.sum_us.checked_div(self.total).unwrap_or(0)
    }

    /// Returns the upper bound in microseconds of the bucket that holds the quantile.
    ///
    /// `ten_thousandths` counts ten-thousandths: 5,000 is the median and 9,990 is p99.9.
    pub fn quantile_us(&self, ten_thousandths: u64) -> u64 {
        let rank = self.total.saturating_mul(ten_thousandths).div_ceil(10_000).max(1);
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return upper_bound(index).min(self.max_us);
            }
        }
        self.max_us
    }
}

/// Returns the bucket of a value. Values under [`SUB_BUCKETS`] have a bucket each.
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
