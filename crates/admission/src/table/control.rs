//! Changes that the control plane makes to a lane.

use std::net::SocketAddr;
use std::sync::Arc;

use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::controller::State;
use crate::scope::Member;
use crate::scope::Owner;
use crate::scope::Scope;
use crate::scope::Unit;
use crate::slots::Slots;
use crate::table::Effect;
use crate::table::Out;
use crate::table::Table;

impl Table {
    /// Adds a target or changes its address or state.
    pub fn set_target(
        &mut self,
        target: &name::Target,
        address: SocketAddr,
        state: State,
        now: Stamp,
    ) {
        if let Some(target) = self.fleet.known_mut(target) {
            target.restate(address, state, now);
        } else {
            let slots = Slots::new(self.options.slots, self.options.warmup, state, now);
            self.fleet.add(target, address, slots);
        }
        if state == State::Lost
            && let Some(member) = self.fleet.known(target).map(|target| target.member)
        {
            self.recall(|out| out.member == member);
        }
        self.rehome_all(now);
    }

    /// Removes a target. Shards that it still owns lose their owner.
    pub fn remove_target(&mut self, target: &name::Target, now: Stamp) {
        let Some(target) = self.fleet.named_mut(target) else { return };
        target.removed = true;
        let member = target.member;
        for unit in self.shards.values_mut().chain(self.keys.values_mut()) {
            if unit.owner.is_some_and(|owner| owner.member == member) {
                unit.owner = None;
            }
        }
        self.rehome_all(now);
        self.fleet.forget(member);
        while self.lots.len() > self.capacity() {
            let shrunk = self.displace(Urgency::Bulk)
                || self.displace(Urgency::Normal)
                || self.displace(Urgency::Urgent);
            assert!(shrunk, "the queue exceeds its bound and is empty");
        }
    }

    /// Sets the moment until which requests may be written to a target.
    pub fn allow_until(&mut self, target: &name::Target, until: Stamp, now: Stamp) {
        let Some(target) = self.fleet.named_mut(target) else { return };
        target.allow_until = until;
        if !self.lots.is_empty() {
            self.advance(now);
        }
    }

    /// Sets the token for requests to a target of a pooled lane.
    pub fn set_token(&mut self, target: &name::Target, token: Token, now: Stamp) {
        let Some(target) = self.fleet.named_mut(target) else { return };
        target.token = Some(token);
        if !self.lots.is_empty() {
            self.advance(now);
        }
    }

    /// Makes a target the owner of a shard. Ignored if the target is unknown.
    pub fn assign(&mut self, shard: Shard, target: &name::Target, token: Token, now: Stamp) {
        let Some(target) = self.fleet.named(target) else { return };
        let owner = Owner { member: target.member, token };
        self.shards.entry(shard).or_default().owner = Some(owner);
        self.rehome_all(now);
    }

    /// Takes a shard from its owner.
    pub fn pause(&mut self, shard: Shard, now: Stamp) {
        if let Some(unit) = self.shards.get_mut(&shard) {
            unit.owner = None;
            self.rehome_all(now);
        }
    }

    /// Returns how many permits of a shard are out, split keys of the shard excluded.
    pub fn in_flight(&self, shard: Shard) -> usize {
        self.shards.get(&shard).map_or(0, Unit::in_flight)
    }

    /// Returns how many permits for a target are out.
    pub fn target_in_flight(&self, target: &name::Target) -> usize {
        let count = self.fleet.known(target).map_or(0, |target| target.slots.in_flight());
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Gives a key an owner of its own. Ignored if the target is unknown.
    pub fn split(&mut self, key: &str, target: &name::Target, token: Token, now: Stamp) {
        let Some(target) = self.fleet.named(target) else { return };
        let owner = Owner { member: target.member, token };
        self.detach(key, Some(owner), now);
    }

    /// Holds back the requests of a key, which is treated as split from then on.
    pub fn pause_key(&mut self, key: &str, now: Stamp) {
        self.detach(key, None, now);
    }

    fn detach(&mut self, key: &str, owner: Option<Owner>, now: Stamp) {
        let key: Arc<str> = Arc::from(key);
        let mut unit = self.keys.remove(&key).unwrap_or_default();
        unit.owner = owner;
        unit.ending = false;
        self.adopt(&key, &mut unit);
        self.keys.insert(key, unit);
        self.rehome_all(now);
    }

    /// Moves the permits of a key from its shard to the unit of the key.
    fn adopt(&mut self, key: &Arc<str>, unit: &mut Unit) {
        for out in self.permits.values_mut().filter(|out| out.key == *key) {
            let Scope::Shard(shard) = out.scope else { continue };
            let Some(old) = self.shards.get_mut(&shard) else { continue };
            if out.epoch == old.epoch() {
                old.give_back(out.epoch);
                out.epoch = unit.take(out.member);
                out.scope = Scope::Key(key.clone());
            }
        }
    }

    /// Returns how many permits of a key are out.
    pub fn key_in_flight(&self, key: &str) -> usize {
        self.permits.values().filter(|out| *out.key == *key).count()
    }

    /// Ends a split. The requests of the key wait until its permits are back, unless these are for
    /// the owner of the shard.
    pub fn unsplit(&mut self, key: &str, now: Stamp) {
        let Some(unit) = self.keys.get_mut(key) else { return };
        unit.ending = true;
        self.rehome_all(now);
    }

    /// Moves the permits of a key to its shard if the holder of both is the owner of the shard.
    fn rejoin(&mut self, key: &str, holder: Member) -> bool {
        let same_owner = |unit: &Unit| {
            unit.owner.is_some_and(|owner| owner.member == holder)
                && unit.holder().is_none_or(|other| other == holder)
        };
        let Some(split) = self.keys.get(key) else { return false };
        let current = |out: &&mut Out| is_key(&out.scope, key) && out.epoch == split.epoch();
        for out in self.permits.values_mut().filter(current) {
            let Some(unit) = self.shards.get_mut(&out.shard).filter(|unit| same_owner(unit)) else {
                return false;
            };
            out.epoch = unit.take(out.member);
            out.scope = Scope::Shard(out.shard);
        }
        true
    }

    /// Ends the splits that nothing holds up any more.
    pub(super) fn merge_ended(&mut self) {
        let ending = self.keys.iter().filter(|(_, unit)| unit.ending);
        let ending: Vec<(Arc<str>, Option<Member>)> =
            ending.map(|(key, unit)| (key.clone(), unit.holder())).collect();
        for (key, holder) in ending {
            let free =
                holder.is_none_or(|holder| self.fleet.is_lost(holder) || self.rejoin(&key, holder));
            if free {
                self.merge(&key);
            }
        }
    }

    /// Removes the unit of a key. Permits for lost owners of the key no longer count for a unit.
    fn merge(&mut self, key: &str) {
        self.keys.remove(key);
        for out in self.permits.values_mut().filter(|out| is_key(&out.scope, key)) {
            out.scope = Scope::Pool;
        }
    }

    /// Marks permits whose requests need not wait for an answer any more.
    fn recall(&mut self, concerned: impl Fn(&Out) -> bool) {
        for out in self.permits.values_mut().filter(|out| concerned(out)) {
            self.recalled |= !out.recalled;
            out.recalled = true;
        }
    }

    /// Returns true if a permit was recalled or is not out.
    pub fn is_recalled(&self, ticket: u64) -> bool {
        self.permits.get(&ticket).is_none_or(|out| out.recalled)
    }

    /// Returns true if permits were recalled since the previous call.
    pub fn take_recalled(&mut self) -> bool {
        std::mem::take(&mut self.recalled)
    }

    /// Refuses all waiting and later requests and recalls the permits that are out.
    pub fn close(&mut self, reason: Reason) {
        self.closed = Some(reason);
        self.recall(|_| true);
        let tickets: Vec<u64> = self.lots.keys().copied().collect();
        for ticket in tickets {
            self.remove(ticket);
            self.effects.push(Effect::Refuse(ticket, reason));
        }
    }
}

fn is_key(scope: &Scope, key: &str) -> bool {
    matches!(scope, Scope::Key(other) if **other == *key)
}
