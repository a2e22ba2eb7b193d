//! Changes made by the control plane.

use std::net::SocketAddr;
use std::sync::Arc;

use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::controller::State;
use crate::scheduler::Effect;
use crate::scheduler::Outstanding;
use crate::scheduler::Scheduler;
use crate::scope::Owner;
use crate::scope::Scope;
use crate::scope::TargetId;
use crate::scope::Unit;
use crate::slots::Slots;

impl Scheduler {
    /// Adds a target or changes its address or state.
    pub fn set_target(
        &mut self,
        target: &name::Target,
        address: SocketAddr,
        state: State,
        now: Stamp,
    ) {
        if let Some(target) = self.targets.find_mut(target) {
            target.update(address, state, now);
        } else {
            let slots = Slots::new(self.options.slots, self.options.warmup, state, now);
            self.targets.add(target, address, slots);
        }
        if state == State::Lost
            && let Some(target_id) = self.targets.find(target).map(|target| target.id)
        {
            self.revoke(|permit| permit.target_id == target_id);
        }
        self.requeue_all(now);
    }

    /// Removes a target. Shards that it still owns lose their owner.
    pub fn remove_target(&mut self, target: &name::Target, now: Stamp) {
        let Some(target) = self.targets.active_mut(target) else { return };
        target.removed = true;
        let target_id = target.id;
        for unit in self.shards.values_mut().chain(self.keys.values_mut()) {
            if unit.owner.is_some_and(|owner| owner.target == target_id) {
                unit.owner = None;
            }
        }
        self.requeue_all(now);
        self.targets.remove_if_idle(target_id);
        while self.queued.len() > self.capacity() {
            let shrunk = self.evict_newest(Urgency::Bulk)
                || self.evict_newest(Urgency::Normal)
                || self.evict_newest(Urgency::Urgent);
            assert!(shrunk, "the queue exceeds its bound and is empty");
        }
    }

    /// Sets the time until which requests may be written to a target.
    pub fn allow_until(&mut self, target: &name::Target, until: Stamp, now: Stamp) {
        let Some(target) = self.targets.active_mut(target) else { return };
        target.allow_until = until;
        if !self.queued.is_empty() {
            self.advance(now);
        }
    }

    /// Sets the token for requests to a target of a pooled group.
    pub fn set_token(&mut self, target: &name::Target, token: Token, now: Stamp) {
        let Some(target) = self.targets.active_mut(target) else { return };
        target.token = Some(token);
        if !self.queued.is_empty() {
            self.advance(now);
        }
    }

    /// Makes a target the owner of a shard. An unknown target is ignored.
    pub fn assign(&mut self, shard: Shard, target: &name::Target, token: Token, now: Stamp) {
        let Some(target) = self.targets.active(target) else { return };
        let owner = Owner { target: target.id, token };
        self.shards.entry(shard).or_default().owner = Some(owner);
        self.requeue_all(now);
    }

    /// Removes the owner of a shard; its requests are queued from then on.
    pub fn pause(&mut self, shard: Shard, now: Stamp) {
        if let Some(unit) = self.shards.get_mut(&shard) {
            unit.owner = None;
            self.requeue_all(now);
        }
    }

    /// Returns the number of outstanding permits of a shard, split keys of the shard excluded.
    pub fn in_flight(&self, shard: Shard) -> usize {
        self.shards.get(&shard).map_or(0, Unit::in_flight)
    }

    /// Returns the number of outstanding permits for a target.
    pub fn target_in_flight(&self, target: &name::Target) -> usize {
        let count = self.targets.find(target).map_or(0, |target| target.slots.in_flight());
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Assigns a key to an owner independently of its shard. An unknown target is ignored.
    pub fn split(&mut self, key: &str, target: &name::Target, token: Token, now: Stamp) {
        let Some(target) = self.targets.active(target) else { return };
        let owner = Owner { target: target.id, token };
        self.detach(key, Some(owner), now);
    }

    /// Queues the requests of a key, which is treated as split from then on.
    pub fn pause_key(&mut self, key: &str, now: Stamp) {
        self.detach(key, None, now);
    }

    fn detach(&mut self, key: &str, owner: Option<Owner>, now: Stamp) {
        let key: Arc<str> = Arc::from(key);
        let mut unit = self.keys.remove(&key).unwrap_or_default();
        unit.owner = owner;
        unit.ending = false;
        self.move_permits_to_key(&key, &mut unit);
        self.keys.insert(key, unit);
        self.requeue_all(now);
    }

    /// Moves the outstanding permits of a key from the unit of its shard to the unit of the key.
    fn move_permits_to_key(&mut self, key: &Arc<str>, unit: &mut Unit) {
        for permit in self.permits.values_mut().filter(|permit| permit.key == *key) {
            let Scope::Shard(shard) = permit.scope else { continue };
            let Some(old) = self.shards.get_mut(&shard) else { continue };
            if permit.epoch == old.epoch() {
                old.release(permit.epoch);
                permit.epoch = unit.add_permit(permit.target_id);
                permit.scope = Scope::Key(key.clone());
            }
        }
    }

    /// Returns the number of outstanding permits of a key.
    pub fn key_in_flight(&self, key: &str) -> usize {
        self.permits.values().filter(|permit| *permit.key == *key).count()
    }

    /// Ends a split. The requests of the key wait until its permits are returned, unless these are for
    /// the owner of the shard.
    pub fn unsplit(&mut self, key: &str, now: Stamp) {
        let Some(unit) = self.keys.get_mut(key) else { return };
        unit.ending = true;
        self.requeue_all(now);
    }

    /// Moves the permits of a key to its shard if `holder` owns the shard and no other target holds
    /// permits of the shard.
    fn move_permits_to_shard(&mut self, key: &str, holder: TargetId) -> bool {
        let same_owner = |unit: &Unit| {
            unit.owner.is_some_and(|owner| owner.target == holder)
                && unit.holder().is_none_or(|other| other == holder)
        };
        let Some(split) = self.keys.get(key) else { return false };
        let current =
            |permit: &&mut Outstanding| is_key(&permit.scope, key) && permit.epoch == split.epoch();
        for permit in self.permits.values_mut().filter(current) {
            let Some(unit) = self.shards.get_mut(&permit.shard).filter(|unit| same_owner(unit))
            else {
                return false;
            };
            permit.epoch = unit.add_permit(permit.target_id);
            permit.scope = Scope::Shard(permit.shard);
        }
        true
    }

    /// Completes the ending splits that no longer wait for permits.
    pub(super) fn finish_splits(&mut self) {
        let ending = self.keys.iter().filter(|(_, unit)| unit.ending);
        let ending: Vec<(Arc<str>, Option<TargetId>)> =
            ending.map(|(key, unit)| (key.clone(), unit.holder())).collect();
        for (key, holder) in ending {
            let free = holder.is_none_or(|holder| {
                self.targets.is_lost(holder) || self.move_permits_to_shard(&key, holder)
            });
            if free {
                self.finish_split(&key);
            }
        }
    }

    /// Removes the unit of a key. Permits for lost owners of the key no longer belong to a unit.
    fn finish_split(&mut self, key: &str) {
        self.keys.remove(key);
        for permit in self.permits.values_mut().filter(|permit| is_key(&permit.scope, key)) {
            permit.scope = Scope::Pool;
        }
    }

    /// Revokes permits whose requests no longer need to wait for an answer.
    fn revoke(&mut self, affected: impl Fn(&Outstanding) -> bool) {
        for permit in self.permits.values_mut().filter(|permit| affected(permit)) {
            self.revoked |= !permit.revoked;
            permit.revoked = true;
        }
    }

    /// Returns true if a permit was revoked or is not outstanding.
    pub fn is_revoked(&self, sequence: u64) -> bool {
        self.permits.get(&sequence).is_none_or(|permit| permit.revoked)
    }

    /// Returns true if permits were revoked since the previous call.
    pub fn take_revoked(&mut self) -> bool {
        std::mem::take(&mut self.revoked)
    }

    /// Refuses all queued and later requests and revokes the outstanding permits.
    pub fn close(&mut self, reason: Reason) {
        self.closed = Some(reason);
        self.revoke(|_| true);
        let sequences: Vec<u64> = self.queued.keys().copied().collect();
        for sequence in sequences {
            self.remove(sequence);
            self.effects.push(Effect::Refuse(sequence, reason));
        }
    }
}

fn is_key(scope: &Scope, key: &str) -> bool {
    matches!(scope, Scope::Key(other) if **other == *key)
}
