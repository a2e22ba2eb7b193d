//! Counts and utilization for the placement policy and for monitoring.

use std::collections::BTreeSet;
use std::sync::Arc;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

use crate::counts::KeyCount;
use crate::counts::Report;
use crate::counts::ShardCount;
use crate::counts::TargetCount;
use crate::scheduler::Scheduler;
use crate::scope::Unit;
use crate::target::Target;
use crate::target::Targets;

impl Scheduler {
    /// Returns the counts since the previous call and resets them.
    pub fn take_counts(&mut self, now: Stamp) -> Report {
        let elapsed = self.counts.reset(now);
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
            let owner = self.shards.get(&shard).and_then(|unit| owner_name(&self.targets, unit));
            ShardCount { shard, owner, requests, heavy }
        };
        all.into_iter().map(count).collect()
    }

    fn key_counts(&mut self) -> Vec<KeyCount> {
        let mut keys: Vec<Arc<str>> = self.keys.keys().cloned().collect();
        keys.sort();
        let count = |key: Arc<str>| {
            let requests = self.counts.take_key(&key);
            let owner = self.keys.get(&key).and_then(|unit| owner_name(&self.targets, unit));
            KeyCount { key, owner, requests }
        };
        keys.into_iter().map(count).collect()
    }

    fn target_counts(&mut self, now: Stamp) -> Vec<TargetCount> {
        let present = self.targets.iter_mut().filter(|target| !target.removed);
        let count = |target: &mut Target| TargetCount {
            target: target.name.clone(),
            in_flight: target.slots.in_flight(),
            limit: target.slots.limit(now),
            completed: target.slots.take_completed(),
        };
        present.map(count).collect()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    /// Returns the utilization of the queue in percent.
    pub fn queue_percent(&self) -> u32 {
        let percent = self.queued.len() * 100 / self.capacity().max(1);
        u32::try_from(percent).unwrap_or(100)
    }

    /// Returns the next time at which a slot may become free without an event.
    pub fn next_growth(&self, now: Stamp) -> Option<Stamp> {
        self.targets.iter().filter_map(|target| target.slots.next_growth(now)).min()
    }
}

fn owner_name(targets: &Targets, unit: &Unit) -> Option<name::Target> {
    let owner = unit.owner?;
    targets.get(owner.target).map(|target| target.name.clone())
}
