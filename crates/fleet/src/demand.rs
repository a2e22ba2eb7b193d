//! Rates of the keys of one service, as all entry instances together count them.

use std::collections::BTreeMap;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Time constant of the decay for moves: long enough for a steady estimate of a key that is asked
/// for a few times a second, short enough to follow a key that becomes busy within seconds.
pub const MOVES_TIME_CONSTANT: Duration = Duration::from_millis(4000);

/// Time constant of the decay for admission: the queue of an owner fills within a second when one of
/// its keys becomes hot.
pub const ADMISSION_TIME_CONSTANT: Duration = Duration::from_millis(800);

/// Part of the memory that the counts stand for at least: rates from a shorter time are mostly chance.
const LEAST_SPAN: f64 = 0.2;

/// Requests for a key in a short memory from which its rate in it is believed, and the ratio to the known
/// rate from which it has become hot: such a count is one by chance in a thousand cases.
const HOT: f64 = 8.0;
const RISEN: f64 = 1.8;

/// Weight below which a key is forgotten.
const LEAST: f64 = 0.05;

/// Decayed counts of keys.
#[derive(Clone, Debug)]
pub struct Demand {
    memory: Duration,
    counts: BTreeMap<u16, f64>,
    at: Stamp,
    /// Seconds of counting that the counts stand for: the memory, or less soon after the start.
    span: f64,
}

impl Demand {
    /// Makes empty counts that decay with a time constant.
    pub fn new(memory: Duration) -> Self {
        let span = memory.as_secs_f64();
        Self { memory, counts: BTreeMap::new(), at: Stamp::default(), span }
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, count: f64) {
        *self.counts.entry(key).or_default() += count;
    }

    /// Lets the counts decay up to a moment.
    pub fn decay(&mut self, now: Stamp) {
        let memory = self.memory.as_secs_f64();
        let elapsed = now.since(self.at).as_secs_f64();
        let factor = (-elapsed / memory).exp();
        self.span = if self.at == Stamp::default() {
            memory * LEAST_SPAN
        } else {
            (self.span * factor + memory * (1.0 - factor)).max(memory * LEAST_SPAN)
        };
        self.at = now;
        self.counts.retain(|_, count| {
            *count *= factor;
            *count > LEAST
        });
    }

    /// Returns the keys between two keys, both inclusive, with their requests a second.
    pub fn rates(&self, first: u16, last: u16) -> impl Iterator<Item = (u16, f64)> {
        let span = self.span;
        let rate = move |(key, count): (&u16, &f64)| (*key, count / span);
        self.counts.range(first..=last).map(rate)
    }

    /// Returns these counts brought up to what newer ones tell: all of them if there are more requests
    /// now, and single keys that have become hot. `newer` counts the same requests with a shorter memory.
    pub fn with_surges(&self, newer: &Self) -> Self {
        let (total, now) = (self.rate(0, u16::MAX), newer.rate(0, u16::MAX));
        let mut lifted = self.clone();
        let certain = now - newer.deviation(now) > total;
        if certain && total > 0.0 {
            lifted.span /= now / total;
        }
        for (key, count) in &newer.counts {
            let rate = count / newer.span;
            let known = lifted.counts.get(key).map_or(0.0, |count| count / lifted.span);
            if *count > HOT && rate > known * RISEN {
                lifted.counts.insert(*key, rate * lifted.span);
            }
        }
        lifted
    }

    /// Returns the standard deviation of a rate that was counted here.
    pub fn deviation(&self, rate: f64) -> f64 {
        (rate.max(0.0) / self.span).sqrt()
    }

    /// Returns the requests a second for the keys between two keys.
    pub fn rate(&self, first: u16, last: u16) -> f64 {
        self.rates(first, last).map(|(_, rate)| rate).sum()
    }
}
