//! Facts that instances pass on to each other, each of which is sent to an instance once.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

#[derive(Clone, Debug)]
struct Entry<T> {
    fact: T,
    /// Instance from which the fact was learned, or `None` if it was observed here.
    source: Option<Arc<str>>,
    /// When the fact became true.
    at: Stamp,
}

/// Log of the facts that were learned recently, in the order in which they were learned.
#[derive(Clone, Debug)]
pub struct Changelog<T> {
    entries: VecDeque<Entry<T>>,
    known: HashSet<T>,
    /// Position of the first entry.
    start: u64,
    /// Time for which a fact is kept.
    retention: Duration,
    /// Maximum number of facts. The oldest ones are dropped.
    capacity: usize,
}

impl<T: Clone + Eq + Hash> Changelog<T> {
    /// Creates an empty log.
    pub fn new(retention: Duration, capacity: usize) -> Self {
        Self { entries: VecDeque::new(), known: HashSet::new(), start: 0, retention, capacity }
    }

    /// Adds a fact that became true at the time `at`. Returns whether it is new.
    pub fn add(&mut self, fact: T, source: Option<&Arc<str>>, at: Stamp, now: Stamp) -> bool {
        self.expire(now);
        if now.since(at) >= self.retention || !self.known.insert(fact.clone()) {
            return false;
        }
        if self.entries.len() >= self.capacity {
            self.drop_first();
        }
        self.entries.push_back(Entry { fact, source: source.cloned(), at });
        true
    }

    /// Returns up to `limit` facts after a position that were not learned from the instance
    /// `receiver`, with the times at which they became true, and the position after them.
    pub fn after(&self, position: u64, receiver: &str, limit: usize) -> (Vec<(&T, Stamp)>, u64) {
        let skipped = usize::try_from(position.saturating_sub(self.start)).unwrap_or(usize::MAX);
        let (mut facts, mut next) = (Vec::new(), self.start.max(position));
        for entry in self.entries.iter().skip(skipped) {
            if entry.source.as_deref() != Some(receiver) {
                if facts.len() == limit {
                    break;
                }
                facts.push((&entry.fact, entry.at));
            }
            next += 1;
        }
        (facts, next)
    }

    fn drop_first(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.known.remove(&entry.fact);
            self.start += 1;
        }
    }

    /// Drops facts that are older than the retention time.
    fn expire(&mut self, now: Stamp) {
        while self.entries.front().is_some_and(|entry| now.since(entry.at) >= self.retention) {
            self.drop_first();
        }
    }
}
