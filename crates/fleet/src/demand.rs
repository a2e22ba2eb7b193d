//! Rates of the keys of one service, as all entry instances together count them.

use std::collections::BTreeMap;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Time constant of the decay: long enough for a steady estimate of a key that is asked for a few
/// times a second, short enough to follow a key that becomes busy within seconds.
const MEMORY: Duration = Duration::from_millis(2500);

/// Weight below which a key is forgotten.
const LEAST: f64 = 0.05;

/// Decayed counts of keys.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: BTreeMap<u16, f64>,
    at: Stamp,
}

impl Demand {
    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, count: f64) {
        *self.counts.entry(key).or_default() += count;
    }

    /// Lets the counts decay up to a moment.
    pub fn decay(&mut self, now: Stamp) {
        let factor = (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.at = now;
        self.counts.retain(|_, count| {
            *count *= factor;
            *count > LEAST
        });
    }

    /// Returns the keys between two keys, both inclusive, with their requests a second.
    pub fn rates(&self, first: u16, last: u16) -> impl Iterator<Item = (u16, f64)> {
        let rate = |(key, count): (&u16, &f64)| (*key, count / MEMORY.as_secs_f64());
        self.counts.range(first..=last).map(rate)
    }

    /// Returns the requests a second for the keys between two keys.
    pub fn rate(&self, first: u16, last: u16) -> f64 {
        self.rates(first, last).map(|(_, rate)| rate).sum()
    }
}
