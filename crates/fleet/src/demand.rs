//! Rates of the keys of one service, as all entry instances together count them.

use std::collections::BTreeMap;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Time constant of the decay for moves: long enough for a steady estimate of a key that is asked
/// for a few times a second, short enough to follow a key that becomes busy within seconds.
pub const FOR_MOVES: Duration = Duration::from_millis(2500);

/// Time constant of the decay for admission: the queue of an owner fills within a second when one of
/// its keys becomes hot.
pub const FOR_ADMISSION: Duration = Duration::from_millis(800);

/// Weight below which a key is forgotten.
const LEAST: f64 = 0.05;

/// Decayed counts of keys.
#[derive(Clone, Debug)]
pub struct Demand {
    memory: Duration,
    counts: BTreeMap<u16, f64>,
    at: Stamp,
}

impl Demand {
    /// Makes empty counts that decay with a time constant.
    pub fn new(memory: Duration) -> Self {
        Self { memory, counts: BTreeMap::new(), at: Stamp::default() }
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, count: f64) {
        *self.counts.entry(key).or_default() += count;
    }

    /// Lets the counts decay up to a moment.
    pub fn decay(&mut self, now: Stamp) {
        let factor = (-now.since(self.at).as_secs_f64() / self.memory.as_secs_f64()).exp();
        self.at = now;
        self.counts.retain(|_, count| {
            *count *= factor;
            *count > LEAST
        });
    }

    /// Returns the keys between two keys, both inclusive, with their requests a second.
    pub fn rates(&self, first: u16, last: u16) -> impl Iterator<Item = (u16, f64)> {
        let memory = self.memory.as_secs_f64();
        let rate = move |(key, count): (&u16, &f64)| (*key, count / memory);
        self.counts.range(first..=last).map(rate)
    }

    /// Returns the requests a second for the keys between two keys.
    pub fn rate(&self, first: u16, last: u16) -> f64 {
        self.rates(first, last).map(|(_, rate)| rate).sum()
    }
}
