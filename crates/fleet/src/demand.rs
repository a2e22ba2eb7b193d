//! Request rates of the keys of one service, summed over all entry instances.

use std::collections::BTreeMap;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Time constant of the decay of the counts for moves. It is long enough for a steady estimate of a
/// key with a few requests per second and short enough to follow a rising rate within seconds.
pub const MOVES_TIME_CONSTANT: Duration = Duration::from_millis(4000);

/// Time constant of the decay of the counts for admission. The queue of an owner fills within a
/// second after one of its keys becomes hot.
pub const ADMISSION_TIME_CONSTANT: Duration = Duration::from_millis(800);

/// Lower bound of the span of the counts, relative to the time constant. Rates over a shorter span
/// are mostly noise.
const MIN_SPAN_RATIO: f64 = 0.2;

/// Lowest count of a key with the short time constant at which it may be hot, and the ratio to its
/// rate with the long one. By chance such a count occurs once in a thousand cases.
const HOT_COUNT: f64 = 8.0;
const HOT_RATIO: f64 = 1.8;

/// Count below which a key is removed.
const MIN_COUNT: f64 = 0.05;

/// Exponentially decayed request counts of keys.
#[derive(Clone, Debug)]
pub struct Demand {
    time_constant: Duration,
    counts: BTreeMap<u16, f64>,
    decayed_at: Stamp,
    /// Span of time in seconds that the counts represent: the time constant, or less soon after the
    /// start.
    span: f64,
}

impl Demand {
    /// Creates empty counts that decay with a time constant.
    pub fn new(time_constant: Duration) -> Self {
        let span = time_constant.as_secs_f64();
        Self { time_constant, counts: BTreeMap::new(), decayed_at: Stamp::default(), span }
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, count: f64) {
        *self.counts.entry(key).or_default() += count;
    }

    /// Decays the counts to the current time.
    pub fn decay(&mut self, now: Stamp) {
        let time_constant = self.time_constant.as_secs_f64();
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / time_constant).exp();
        self.span = if self.decayed_at == Stamp::default() {
            time_constant * MIN_SPAN_RATIO
        } else {
            (self.span * factor + time_constant * (1.0 - factor))
                .max(time_constant * MIN_SPAN_RATIO)
        };
        self.decayed_at = now;
        self.counts.retain(|_, count| {
            *count *= factor;
            *count > MIN_COUNT
        });
    }

    /// Returns the keys in a range, both ends inclusive, with their requests per second.
    pub fn rates(&self, first: u16, last: u16) -> impl Iterator<Item = (u16, f64)> {
        let span = self.span;
        let rate = move |(key, count): (&u16, &f64)| (*key, count / span);
        self.counts.range(first..=last).map(rate)
    }

    /// Returns these counts adjusted to a recent rise: all counts if the total rate has risen, and
    /// the counts of single keys that have become hot. `newer` counts the same requests with a
    /// shorter time constant.
    pub fn with_surges(&self, newer: &Self) -> Self {
        let (total, now) = (self.rate(0, u16::MAX), newer.rate(0, u16::MAX));
        let mut adjusted = self.clone();
        let significant = now - newer.deviation(now) > total;
        if significant && total > 0.0 {
            adjusted.span /= now / total;
        }
        for (key, count) in &newer.counts {
            let rate = count / newer.span;
            let earlier = adjusted.counts.get(key).map_or(0.0, |count| count / adjusted.span);
            if *count > HOT_COUNT && rate > earlier * HOT_RATIO {
                adjusted.counts.insert(*key, rate * adjusted.span);
            }
        }
        adjusted
    }

    /// Returns the standard deviation of a rate that was counted here.
    pub fn deviation(&self, rate: f64) -> f64 {
        (rate.max(0.0) / self.span).sqrt()
    }

    /// Returns the total requests per second for a range of keys, both ends inclusive.
    pub fn rate(&self, first: u16, last: u16) -> f64 {
        self.rates(first, last).map(|(_, rate)| rate).sum()
    }
}
