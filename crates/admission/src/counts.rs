//! Request counts for the placement policy.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

use crate::sketch::Entry;
use crate::sketch::Sketch;

/// Counts since the previous report. Requests are counted on arrival, whether admitted or not.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Length of the period that the counts cover.
    pub elapsed: Duration,
    /// Every shard that has an owner or received requests, in shard order.
    pub shards: Vec<ShardCount>,
    /// Every split key, in key order.
    pub keys: Vec<KeyCount>,
    /// Every target, in the order in which they were added.
    pub targets: Vec<TargetCount>,
}

/// Requests of one shard, split keys excluded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardCount {
    /// The shard.
    pub shard: Shard,
    /// Owner of the shard; none while it is paused.
    pub owner: Option<name::Target>,
    /// Requests for the shard.
    pub requests: u64,
    /// The most frequent keys of the shard, most frequent first; empty in a pooled group.
    pub heavy: Vec<Entry>,
}

/// Requests of one split key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyCount {
    /// The key.
    pub key: Arc<str>,
    /// Owner of the key; none while it is paused.
    pub owner: Option<name::Target>,
    /// Requests for the key.
    pub requests: u64,
}

/// Load of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCount {
    /// The target.
    pub target: name::Target,
    /// Requests in flight to the target.
    pub in_flight: u32,
    /// Current limit of concurrent requests of the target.
    pub limit: u32,
    /// Attempts that the target answered in the period.
    pub completed: u64,
}

/// Running counts of one shard.
#[derive(Debug, Default)]
struct Tally {
    requests: u64,
    sketch: Sketch,
}

/// Running counts of the current period.
#[derive(Debug, Default)]
pub struct Counts {
    since: Option<Stamp>,
    shards: HashMap<Shard, Tally>,
    keys: HashMap<Arc<str>, u64>,
}

impl Counts {
    /// Counts a request of a pooled group.
    pub fn record_pooled(&mut self, shard: Shard) {
        self.shards.entry(shard).or_default().requests += 1;
    }

    /// Counts a request for a shard.
    pub fn record_keyed(&mut self, shard: Shard, key: &Arc<str>) {
        let tally = self.shards.entry(shard).or_default();
        tally.requests += 1;
        tally.sketch.count(key);
    }

    /// Counts a request for a split key.
    pub fn record_split(&mut self, key: &Arc<str>) {
        if let Some(requests) = self.keys.get_mut(key) {
            *requests += 1;
        } else {
            self.keys.insert(key.clone(), 1);
        }
    }

    /// Starts a new period and returns the length of the previous one, zero for the first call.
    pub fn reset(&mut self, now: Stamp) -> Duration {
        let since = self.since.replace(now);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Takes the request count and the most frequent keys of a shard.
    pub fn take_shard(&mut self, shard: Shard) -> (u64, Vec<Entry>) {
        let Some(tally) = self.shards.get_mut(&shard) else { return (0, Vec::new()) };
        (std::mem::take(&mut tally.requests), tally.sketch.take())
    }

    /// Takes the request count of a split key.
    pub fn take_key(&mut self, key: &str) -> u64 {
        self.keys.remove(key).unwrap_or(0)
    }

    /// Returns the shards that received requests.
    pub fn shards(&self) -> impl Iterator<Item = Shard> {
        self.shards.keys().copied()
    }

    /// Discards the shards and keys of the previous period.
    pub fn clear(&mut self) {
        self.shards.clear();
        self.keys.clear();
    }
}
