//! Decisions of a lane as pure functions of its state, an event and the time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::controller::Completion;
use crate::controller::Options;
use crate::controller::Request;
use crate::queue::Queue;
use crate::queue::Waiter;
use crate::rates::Counts;
use crate::scope::Member;
use crate::scope::Scope;
use crate::scope::Unit;
use crate::target::Fleet;

mod control;
mod export;

/// One part in this many of the queue is reserved for urgent requests (design, section 4).
const URGENT_SHARE: usize = 8;

/// Permission to send one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Number of the request in the lane.
    pub ticket: u64,
    /// Selected target.
    pub target: name::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Fencing token for the request.
    pub token: Token,
    /// No byte of the request may be written at or after this moment.
    pub write_before: Stamp,
}

/// Answer to a new request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Entry {
    /// The request may be sent.
    Granted(Grant),
    /// The request waits under this ticket.
    Queued(u64),
    /// The request is refused and did not run.
    Refused(Reason),
}

/// Decision about a request that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The request may be sent.
    Grant(Grant),
    /// The request with this ticket is refused and did not run.
    Refuse(u64, Reason),
}

/// A permit that is out.
#[derive(Debug)]
struct Out {
    member: Member,
    scope: Scope,
    shard: Shard,
    key: Arc<str>,
    epoch: u64,
    taken: Stamp,
    /// True if the target was lost or the lane closed after the permit was handed out.
    recalled: bool,
}

/// Queue that a request waits in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lot {
    /// The queue of the shard's owner.
    Target(Member),
    /// Requests of a pooled lane.
    Pool,
    /// Requests whose shard has no owner, or whose new owner waits for permits of the old one.
    Held,
}

/// State of a lane.
#[derive(Debug)]
pub struct Table {
    options: Options,
    fleet: Fleet,
    shards: HashMap<Shard, Unit>,
    keys: HashMap<Arc<str>, Unit>,
    pool: Queue,
    held: Queue,
    lots: HashMap<u64, (Lot, Urgency)>,
    permits: HashMap<u64, Out>,
    counts: Counts,
    effects: Vec<Effect>,
    /// True if permits were recalled since the last call of [`Table::take_recalled`].
    recalled: bool,
    closed: Option<Reason>,
    next_ticket: u64,
}

impl Table {
    /// Makes a table without targets.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            fleet: Fleet::default(),
            shards: HashMap::new(),
            keys: HashMap::new(),
            pool: Queue::default(),
            held: Queue::default(),
            lots: HashMap::new(),
            permits: HashMap::new(),
            counts: Counts::default(),
            effects: Vec::new(),
            recalled: false,
            closed: None,
            next_ticket: 0,
        }
    }

    /// Returns the decisions about waiting requests since the last call, in order.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Admits, queues or refuses a request.
    pub fn acquire(&mut self, request: Request, now: Stamp) -> Entry {
        if let Some(reason) = self.closed {
            return Entry::Refused(reason);
        }
        if request.deadline <= now {
            return Entry::Refused(Reason::DeadlineBeforeDispatch);
        }
        let waiter = self.waiter(request);
        self.count(&waiter);
        let lot = self.lot(&waiter);
        self.serve_lot(lot, now);
        if let Some(member) = self.free_member(lot, &waiter, now) {
            return Entry::Granted(self.grant(&waiter, member, now));
        }
        let refusable = !self.is_silent(lot, now);
        if refusable && self.expected_wait(lot, &waiter, now) > waiter.deadline.since(now) {
            return Entry::Refused(Reason::Overloaded);
        }
        self.enqueue(lot, waiter, now)
    }

    fn waiter(&mut self, request: Request) -> Waiter {
        self.next_ticket += 1;
        Waiter {
            ticket: self.next_ticket,
            shard: request.shard,
            key: request.key,
            tenant: request.tenant,
            urgency: request.urgency,
            deadline: request.deadline,
            avoid: request.avoid,
        }
    }

    fn count(&mut self, waiter: &Waiter) {
        match self.scope(waiter) {
            Scope::Pool => self.counts.pooled(waiter.shard),
            Scope::Shard(shard) => self.counts.keyed(shard, &waiter.key),
            Scope::Key(key) => self.counts.split(&key),
        }
    }

    fn free_member(&mut self, lot: Lot, waiter: &Waiter, now: Stamp) -> Option<Member> {
        match lot {
            Lot::Held => None,
            Lot::Pool => self.fleet.least_loaded(waiter.avoid.as_ref(), now),
            Lot::Target(member) => {
                self.fleet.get(member).filter(|target| target.free(now)).map(|_| member)
            }
        }
    }

    fn enqueue(&mut self, lot: Lot, waiter: Waiter, now: Stamp) -> Entry {
        if !self.make_room(lot, waiter.urgency, now) {
            return Entry::Refused(Reason::Overloaded);
        }
        let ticket = waiter.ticket;
        self.push(lot, waiter);
        assert!(self.lots.len() <= self.capacity(), "the queue would exceed its bound");
        Entry::Queued(ticket)
    }

    /// Returns true if a request of the urgency may join the queue, after displacing another one if
    /// need be.
    fn make_room(&mut self, lot: Lot, urgency: Urgency, now: Stamp) -> bool {
        let capacity = self.capacity();
        let len = self.lots.len();
        match urgency {
            Urgency::Urgent => len < capacity || self.displace(Urgency::Bulk),
            Urgency::Normal | Urgency::Bulk => {
                let others = len - self.waiting_of(Urgency::Urgent);
                let room = len < capacity && others < capacity - capacity / URGENT_SHARE;
                room && (self.is_silent(lot, now) || self.within_share(lot))
            }
        }
    }

    /// Returns true if the requests of one target take less than half of the queue. One hot shard
    /// would otherwise fill the queue, and requests for idle targets of the group were refused.
    fn within_share(&self, lot: Lot) -> bool {
        let Lot::Target(member) = lot else { return true };
        let waiting = self.fleet.get(member).map_or(0, |target| target.queue.len());
        self.fleet.count() < 2 || waiting < self.capacity().div_ceil(2)
    }

    /// Returns true if the shards of a lot's target are about to move.
    ///
    /// Its requests wait as held ones do: the target's speed and its share of the queue say nothing
    /// about what its shards get at their next owners.
    fn is_silent(&self, lot: Lot, now: Stamp) -> bool {
        let Lot::Target(member) = lot else { return false };
        self.fleet.get(member).is_some_and(|target| target.is_silent(now))
    }

    /// Refuses the newest waiting request of an urgency. Returns false if there is none.
    fn displace(&mut self, urgency: Urgency) -> bool {
        let newest = self.queues().filter_map(|queue| queue.newest(urgency)).max();
        let Some(ticket) = newest else { return false };
        self.remove(ticket);
        self.effects.push(Effect::Refuse(ticket, Reason::Overloaded));
        true
    }

    fn capacity(&self) -> usize {
        self.options.queue_per_target.saturating_mul(self.fleet.count().max(1))
    }

    fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.fleet.iter().map(|target| &target.queue).chain([&self.pool, &self.held])
    }

    fn waiting_of(&self, urgency: Urgency) -> usize {
        self.queues().map(|queue| queue.count(urgency)).sum()
    }

    /// Returns the expected wait of a new request, zero if nothing is known.
    fn expected_wait(&self, lot: Lot, waiter: &Waiter, now: Stamp) -> Duration {
        let (queue, member) = match lot {
            Lot::Held => return Duration::ZERO,
            Lot::Pool => (&self.pool, None),
            Lot::Target(member) => match self.fleet.get(member) {
                Some(target) => (&target.queue, Some(member)),
                None => return Duration::ZERO,
            },
        };
        let serving = self
            .fleet
            .iter()
            .filter(|target| member.is_none_or(|member| member == target.member))
            .filter(|target| target.accepts(now));
        let mut per_second = 0.0;
        for target in serving {
            let Some(service) = target.slots.service() else { return Duration::ZERO };
            let service = service.as_secs_f64().max(1e-6);
            per_second += f64::from(target.slots.limit(now)) / service;
        }
        if per_second == 0.0 {
            return Duration::ZERO;
        }
        let ahead = queue.ahead(waiter.urgency, &waiter.tenant) + 1;
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        Duration::try_from_secs_f64(ahead / per_second).unwrap_or(Duration::MAX)
    }

    fn scope(&self, waiter: &Waiter) -> Scope {
        if self.options.pooled {
            Scope::Pool
        } else if !self.keys.is_empty() && self.keys.contains_key(&waiter.key) {
            Scope::Key(waiter.key.clone())
        } else {
            Scope::Shard(waiter.shard)
        }
    }

    fn unit(&self, scope: &Scope) -> Option<&Unit> {
        match scope {
            Scope::Pool => None,
            Scope::Shard(shard) => self.shards.get(shard),
            Scope::Key(key) => self.keys.get(key),
        }
    }

    fn unit_mut(&mut self, scope: &Scope) -> Option<&mut Unit> {
        match scope {
            Scope::Pool => None,
            Scope::Shard(shard) => self.shards.get_mut(shard),
            Scope::Key(key) => self.keys.get_mut(key),
        }
    }

    fn lot(&self, waiter: &Waiter) -> Lot {
        if self.options.pooled {
            return Lot::Pool;
        }
        let Some(unit) = self.unit(&self.scope(waiter)) else { return Lot::Held };
        let Some(owner) = unit.owner else { return Lot::Held };
        let blocked = unit.ending || self.blocked(unit, owner.member);
        if blocked { Lot::Held } else { Lot::Target(owner.member) }
    }

    /// Returns true if permits are out for another target than the new owner, unless that is lost.
    fn blocked(&self, unit: &Unit, member: Member) -> bool {
        unit.holder().is_some_and(|holder| holder != member && !self.fleet.is_lost(holder))
    }

    fn queue_mut(&mut self, lot: Lot) -> Option<&mut Queue> {
        match lot {
            Lot::Pool => Some(&mut self.pool),
            Lot::Held => Some(&mut self.held),
            Lot::Target(member) => self.fleet.get_mut(member).map(|target| &mut target.queue),
        }
    }

    fn push(&mut self, lot: Lot, waiter: Waiter) {
        self.lots.insert(waiter.ticket, (lot, waiter.urgency));
        if let Some(queue) = self.queue_mut(lot) {
            queue.push(waiter);
        }
    }

    fn remove(&mut self, ticket: u64) -> Option<Waiter> {
        let (lot, urgency) = self.lots.remove(&ticket)?;
        self.queue_mut(lot)?.remove(urgency, ticket)
    }

    /// Hands a slot of a target to a request that is in no queue.
    fn grant(&mut self, waiter: &Waiter, member: Member, now: Stamp) -> Grant {
        let scope = self.scope(waiter);
        let holder = self.unit(&scope).and_then(Unit::holder);
        let abandon = holder.is_some_and(|holder| holder != member && self.fleet.is_lost(holder));
        let mut epoch = 0;
        let mut assigned = None;
        if let Some(unit) = self.unit_mut(&scope) {
            if abandon {
                unit.abandon();
            }
            epoch = unit.take(member);
            assigned = unit.owner.map(|owner| owner.token);
        }
        let (shard, key) = (waiter.shard, waiter.key.clone());
        let out = Out { member, scope, shard, key, epoch, taken: now, recalled: false };
        self.permits.insert(waiter.ticket, out);
        let Some(target) = self.fleet.get_mut(member) else {
            unreachable!("a permit is handed out for a known target");
        };
        target.slots.take();
        let write_before = waiter.deadline.min(target.allow_until);
        assert!(now < write_before, "a permit would be past its last moment");
        Grant {
            ticket: waiter.ticket,
            target: target.name.clone(),
            address: target.address,
            token: assigned.or(target.token).unwrap_or_default(),
            write_before,
        }
    }

    fn serve_lot(&mut self, lot: Lot, now: Stamp) {
        match lot {
            Lot::Held => {}
            Lot::Pool => self.serve_pool(now),
            Lot::Target(member) => self.serve(member, now),
        }
    }

    /// Hands out the slots that became free with the passing of time.
    pub fn advance(&mut self, now: Stamp) {
        if self.options.pooled {
            self.serve_pool(now);
            return;
        }
        let members: Vec<Member> = self.fleet.iter().map(|target| target.member).collect();
        for member in members {
            self.serve(member, now);
        }
    }

    fn serve(&mut self, member: Member, now: Stamp) {
        loop {
            let Some(target) = self.fleet.get_mut(member) else { return };
            if target.queue.is_empty() || !target.free(now) {
                return;
            }
            let Some(waiter) = target.queue.take(&|_| true) else { return };
            self.dispatch(&waiter, member, now);
        }
    }

    fn serve_pool(&mut self, now: Stamp) {
        while !self.pool.is_empty() {
            let Some((waiter, member)) = self.match_pool(now) else { return };
            self.dispatch(&waiter, member, now);
        }
    }

    /// Takes the first request of the pool that some target has a slot for.
    fn match_pool(&mut self, now: Stamp) -> Option<(Waiter, Member)> {
        let (free, alone) = self.fleet.open(now);
        if free.is_empty() {
            return None;
        }
        let fits =
            |waiter: &Waiter| alone || free.iter().any(|name| waiter.avoid.as_ref() != Some(*name));
        let waiter = self.pool.take(&fits)?;
        let member = self.fleet.least_loaded(waiter.avoid.as_ref(), now);
        assert!(member.is_some(), "a request of the pool was taken without a free target");
        member.map(|member| (waiter, member))
    }

    fn dispatch(&mut self, waiter: &Waiter, member: Member, now: Stamp) {
        self.lots.remove(&waiter.ticket);
        if waiter.deadline <= now {
            let refusal = Effect::Refuse(waiter.ticket, Reason::DeadlineBeforeDispatch);
            self.effects.push(refusal);
            return;
        }
        let grant = self.grant(waiter, member, now);
        self.effects.push(Effect::Grant(grant));
    }

    /// Removes a waiting request whose deadline passed and returns why it was not sent.
    pub fn expire(&mut self, ticket: u64, now: Stamp) -> Option<Reason> {
        let waiter = self.remove(ticket)?;
        Some(self.expiry_reason(&waiter, now))
    }

    fn expiry_reason(&self, waiter: &Waiter, now: Stamp) -> Reason {
        match self.lot(waiter) {
            Lot::Held => Reason::NoOwner,
            Lot::Pool if self.fleet.iter().any(|target| target.accepts(now)) => {
                Reason::DeadlineBeforeDispatch
            }
            Lot::Target(member)
                if self.fleet.get(member).is_some_and(|target| target.accepts(now)) =>
            {
                Reason::DeadlineBeforeDispatch
            }
            Lot::Pool | Lot::Target(_) => Reason::NoTarget,
        }
    }

    /// Removes a waiting request whose caller gave up. Returns false if it does not wait.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.remove(ticket).is_some()
    }

    /// Returns a permit. `finish` is none if the request was never sent.
    pub fn finish(&mut self, ticket: u64, finish: Option<Completion>, now: Stamp) {
        let Some(out) = self.permits.remove(&ticket) else { return };
        if let Some(target) = self.fleet.get_mut(out.member) {
            match finish {
                Some(finish) => target.slots.finish(finish, out.taken, now),
                None => target.slots.give_back(),
            }
        }
        let last = self.unit_mut(&out.scope).is_some_and(|unit| unit.give_back(out.epoch));
        if last {
            self.settle(now);
        }
        self.fleet.forget(out.member);
        if self.options.pooled {
            self.serve_pool(now);
        } else {
            self.serve(out.member, now);
        }
    }

    /// Continues a change of ownership that waited for the last permit of a unit.
    fn settle(&mut self, now: Stamp) {
        if !self.keys.is_empty() {
            self.merge_ended();
        }
        if !self.held.is_empty() {
            self.rehome(Lot::Held);
            self.advance(now);
        }
    }

    /// Moves the requests of a queue that belong into another one.
    fn rehome(&mut self, lot: Lot) {
        let Some(queue) = self.queue_mut(lot) else { return };
        let waiters = queue.extract(&|_| true);
        for waiter in waiters {
            let lot = self.lot(&waiter);
            self.push(lot, waiter);
        }
    }

    fn rehome_all(&mut self, now: Stamp) {
        self.merge_ended();
        if self.lots.is_empty() {
            return;
        }
        let mut waiters = self.held.extract(&|_| true);
        for target in self.fleet.iter_mut() {
            waiters.extend(target.queue.extract(&|_| true));
        }
        waiters.extend(self.pool.extract(&|_| true));
        waiters.sort_by_key(|waiter| waiter.ticket);
        for waiter in waiters {
            let lot = self.lot(&waiter);
            self.push(lot, waiter);
        }
        self.advance(now);
    }
}
