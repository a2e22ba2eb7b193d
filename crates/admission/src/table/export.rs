//! What a lane reports about itself.

use std::collections::BTreeSet;
use std::sync::Arc;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

use crate::rates::KeyCount;
use crate::rates::Report;
use crate::rates::ShardCount;
use crate::rates::TargetCount;
use crate::scope::Unit;
use crate::table::Table;
use crate::target::Fleet;
use crate::target::Target;

impl Table {
    /// Returns the counts since the previous call and starts new ones.
    pub fn rates(&mut self, now: Stamp) -> Report {
        let elapsed = self.counts.restart(now);
        let report = Report {
            elapsed,
            shards: self.shard_counts(),
            keys: self.key_counts(),
            targets: self.target_counts(now),
        };
        self.counts.clear();
        report
    }

    fn shard_counts(&mut self) -> Vec<ShardCount> {
        let owned = self.shards.iter().filter(|(_, unit)| unit.owner.is_some());
        let owned = owned.map(|(shard, _)| *shard);
        let all: BTreeSet<Shard> = owned.chain(self.counts.shards()).collect();
        let count = |shard| {
            let (requests, heavy) = self.counts.take_shard(shard);
            let owner = self.shards.get(&shard).and_then(|unit| owner_name(&self.fleet, unit));
            ShardCount { shard, owner, requests, heavy }
        };
        all.into_iter().map(count).collect()
    }

    fn key_counts(&mut self) -> Vec<KeyCount> {
        let mut keys: Vec<Arc<str>> = self.keys.keys().cloned().collect();
        keys.sort();
        let count = |key: Arc<str>| {
            let requests = self.counts.take_key(&key);
            let owner = self.keys.get(&key).and_then(|unit| owner_name(&self.fleet, unit));
            KeyCount { key, owner, requests }
        };
        keys.into_iter().map(count).collect()
    }

    fn target_counts(&mut self, now: Stamp) -> Vec<TargetCount> {
        let present = self.fleet.iter_mut().filter(|target| !target.removed);
        let count = |target: &mut Target| TargetCount {
            target: target.name.clone(),
            in_flight: target.slots.in_flight(),
            limit: target.slots.limit(now),
            completed: target.slots.take_completed(),
        };
        present.map(count).collect()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.lots.len()
    }

    /// Returns the fill of the queue in percent.
    pub fn queue_percent(&self) -> u32 {
        let percent = self.lots.len() * 100 / self.capacity().max(1);
        u32::try_from(percent).unwrap_or(100)
    }

    /// Returns the next moment at which a slot may become free without any event.
    pub fn next_growth(&self, now: Stamp) -> Option<Stamp> {
        self.fleet.iter().filter_map(|target| target.slots.next_growth(now)).min()
    }
}

fn owner_name(fleet: &Fleet, unit: &Unit) -> Option<name::Target> {
    let owner = unit.owner?;
    fleet.get(owner.member).map(|target| target.name.clone())
}
