//! Bounded sketch of the most frequent keys (heavy hitters).

use std::sync::Arc;

use caraway_core::shard;

/// Number of counters. A key with more than a `1 / ENTRIES` share of the requests always has one,
/// so a key that dominates its shard is never missed.
pub const ENTRIES: usize = 16;

/// Counter of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: Arc<str>,
    /// Upper bound of the number of requests for the key.
    pub requests: u64,
    /// Maximum overestimation in `requests`.
    pub error: u64,
    hash: u64,
}

/// Space-saving sketch (Metwally, Agrawal and El Abbadi, "Efficient Computation of Frequent and
/// Top-k Elements in Data Streams", 2005) with [`ENTRIES`] counters.
#[derive(Clone, Debug, Default)]
pub struct Sketch {
    entries: Vec<Entry>,
}

impl Sketch {
    /// Counts a request. A key without a counter takes over the one of the least frequent key, whose
    /// count becomes the error bound.
    pub fn count(&mut self, key: &Arc<str>) {
        let hash = shard::hash(key.as_bytes());
        let known = self.entries.iter_mut().find(|entry| entry.hash == hash && entry.key == *key);
        if let Some(entry) = known {
            entry.requests += 1;
            return;
        }
        if self.entries.len() < ENTRIES {
            self.entries.push(Entry { key: key.clone(), requests: 1, error: 0, hash });
            return;
        }
        let Some(least) = self.entries.iter_mut().min_by_key(|entry| entry.requests) else {
            return;
        };
        let error = least.requests;
        *least = Entry { key: key.clone(), requests: error + 1, error, hash };
    }

    /// Takes all counters, most frequent key first.
    pub fn take(&mut self) -> Vec<Entry> {
        let mut entries = std::mem::take(&mut self.entries);
        entries.sort_by(|a, b| b.requests.cmp(&a.requests).then_with(|| a.key.cmp(&b.key)));
        entries
    }
}
