//! Admission decisions as pure functions of the state, an event and the time.

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
use crate::counts::Counts;
use crate::queue::Queue;
use crate::queue::Waiter;
use crate::scope::Scope;
use crate::scope::TargetId;
use crate::scope::Unit;
use crate::target::Targets;

mod control;
mod export;

/// The queue capacity divided by this number is reserved for urgent requests.
const URGENT_RESERVE_DIVISOR: usize = 8;

/// Permission to send one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Sequence number of the request.
    pub sequence: u64,
    /// Selected target.
    pub target: name::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Fencing token for the request.
    pub token: Token,
    /// Time from which on no byte of the request may be written.
    pub write_before: Stamp,
}

/// Decision about a new request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may be sent.
    Granted(Grant),
    /// The request with this sequence number is queued.
    Queued(u64),
    /// The request is refused and did not run.
    Refused(Reason),
}

/// Decision about a queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The request may be sent.
    Grant(Grant),
    /// The request with this sequence number is refused and did not run.
    Refuse(u64, Reason),
}

/// An outstanding permit.
#[derive(Debug)]
struct Outstanding {
    target_id: TargetId,
    scope: Scope,
    shard: Shard,
    key: Arc<str>,
    epoch: u64,
    acquired: Stamp,
    /// True if the target was lost or the scheduler closed after the permit was granted.
    revoked: bool,
}

/// Identifies the queue of a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum QueueId {
    /// Queue of the owner of the shard or split key.
    Target(TargetId),
    /// Queue of a pooled group.
    Pool,
    /// Queue of requests whose shard or split key has no owner, or whose new owner waits for permits
    /// of the previous one.
    AwaitingOwner,
}

/// Admission state of one group.
#[derive(Debug)]
pub struct Scheduler {
    options: Options,
    targets: Targets,
    shards: HashMap<Shard, Unit>,
    keys: HashMap<Arc<str>, Unit>,
    pool: Queue,
    awaiting_owner: Queue,
    queued: HashMap<u64, (QueueId, Urgency)>,
    permits: HashMap<u64, Outstanding>,
    counts: Counts,
    effects: Vec<Effect>,
    /// True if permits were revoked since the last call of [`Scheduler::take_revoked`].
    revoked: bool,
    closed: Option<Reason>,
    last_sequence: u64,
}

impl Scheduler {
    /// Creates a scheduler without targets.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            targets: Targets::default(),
            shards: HashMap::new(),
            keys: HashMap::new(),
            pool: Queue::default(),
            awaiting_owner: Queue::default(),
            queued: HashMap::new(),
            permits: HashMap::new(),
            counts: Counts::default(),
            effects: Vec::new(),
            revoked: false,
            closed: None,
            last_sequence: 0,
        }
    }

    /// Takes the decisions about queued requests since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Admits, queues or refuses a request.
    pub fn acquire(&mut self, request: Request, now: Stamp) -> Admission {
        if let Some(reason) = self.closed {
            return Admission::Refused(reason);
        }
        if request.deadline <= now {
            return Admission::Refused(Reason::DeadlineBeforeDispatch);
        }
        let waiter = self.waiter(request);
        self.count(&waiter);
        let queue_id = self.queue_for(&waiter);
        self.serve_queue(queue_id, now);
        if let Some(target_id) = self.free_target(queue_id, &waiter, now) {
            return Admission::Granted(self.grant(&waiter, target_id, now));
        }
        let refusable = !self.is_silent(queue_id, now);
        if refusable && self.expected_wait(queue_id, &waiter, now) > waiter.deadline.since(now) {
            return Admission::Refused(Reason::Overloaded);
        }
        self.enqueue(queue_id, waiter, now)
    }

    fn waiter(&mut self, request: Request) -> Waiter {
        self.last_sequence += 1;
        Waiter {
            sequence: self.last_sequence,
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
            Scope::Pool => self.counts.record_pooled(waiter.shard),
            Scope::Shard(shard) => self.counts.record_keyed(shard, &waiter.key),
            Scope::Key(key) => self.counts.record_split(&key),
        }
    }

    fn free_target(&mut self, queue_id: QueueId, waiter: &Waiter, now: Stamp) -> Option<TargetId> {
        match queue_id {
            QueueId::AwaitingOwner => None,
            QueueId::Pool => self.targets.least_loaded(waiter.avoid.as_ref(), now),
            QueueId::Target(target_id) => self
                .targets
                .get(target_id)
                .filter(|target| target.has_free_slot(now))
                .map(|_| target_id),
        }
    }

    fn enqueue(&mut self, queue_id: QueueId, waiter: Waiter, now: Stamp) -> Admission {
        if !self.make_room(queue_id, waiter.urgency, now) {
            return Admission::Refused(Reason::Overloaded);
        }
        let sequence = waiter.sequence;
        self.push(queue_id, waiter);
        assert!(self.queued.len() <= self.capacity(), "the queue would exceed its bound");
        Admission::Queued(sequence)
    }

    /// Returns true if the queue has room for a request of the urgency, after the eviction of a bulk
    /// request if the new one is urgent.
    fn make_room(&mut self, queue_id: QueueId, urgency: Urgency, now: Stamp) -> bool {
        let capacity = self.capacity();
        let len = self.queued.len();
        match urgency {
            Urgency::Urgent => len < capacity || self.evict_newest(Urgency::Bulk),
            Urgency::Normal | Urgency::Bulk => {
                let others = len - self.waiting_count(Urgency::Urgent);
                let room = len < capacity && others < capacity - capacity / URGENT_RESERVE_DIVISOR;
                room && (self.is_silent(queue_id, now) || self.within_share(queue_id))
            }
        }
    }

    /// Returns true if the requests of one target take less than half of the queue. Otherwise one hot
    /// shard could fill the queue, and requests for idle targets of the group would be refused.
    fn within_share(&self, queue_id: QueueId) -> bool {
        let QueueId::Target(target_id) = queue_id else { return true };
        let waiting = self.targets.get(target_id).map_or(0, |target| target.queue.len());
        self.targets.count() < 2 || waiting < self.capacity().div_ceil(2)
    }

    /// Returns true if the target of a queue is silent, so that its shards are about to move.
    ///
    /// Its requests wait like those without an owner: the service time of the target and its share of
    /// the queue do not predict the service at the next owners.
    fn is_silent(&self, queue_id: QueueId, now: Stamp) -> bool {
        let QueueId::Target(target_id) = queue_id else { return false };
        self.targets.get(target_id).is_some_and(|target| target.is_silent(now))
    }

    /// Evicts the newest queued request of an urgency. Returns false if there is none.
    fn evict_newest(&mut self, urgency: Urgency) -> bool {
        let newest = self.queues().filter_map(|queue| queue.newest(urgency)).max();
        let Some(sequence) = newest else { return false };
        self.remove(sequence);
        self.effects.push(Effect::Refuse(sequence, Reason::Overloaded));
        true
    }

    fn capacity(&self) -> usize {
        self.options.queue_per_target.saturating_mul(self.targets.count().max(1))
    }

    fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.targets.iter().map(|target| &target.queue).chain([&self.pool, &self.awaiting_owner])
    }

    fn waiting_count(&self, urgency: Urgency) -> usize {
        self.queues().map(|queue| queue.count(urgency)).sum()
    }

    /// Returns the estimated queueing delay of a new request, zero without an estimate.
    fn expected_wait(&self, queue_id: QueueId, waiter: &Waiter, now: Stamp) -> Duration {
        let (queue, target_id) = match queue_id {
            QueueId::AwaitingOwner => return Duration::ZERO,
            QueueId::Pool => (&self.pool, None),
            QueueId::Target(target_id) => match self.targets.get(target_id) {
                Some(target) => (&target.queue, Some(target_id)),
                None => return Duration::ZERO,
            },
        };
        let serving = self
            .targets
            .iter()
            .filter(|target| target_id.is_none_or(|target_id| target_id == target.id))
            .filter(|target| target.accepts(now));
        let mut per_second = 0.0;
        for target in serving {
            let Some(service_time) = target.slots.mean_service_time() else {
                return Duration::ZERO;
            };
            let service_time = service_time.as_secs_f64().max(1e-6);
            per_second += f64::from(target.slots.limit(now)) / service_time;
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

    fn queue_for(&self, waiter: &Waiter) -> QueueId {
        if self.options.pooled {
            return QueueId::Pool;
        }
        let Some(unit) = self.unit(&self.scope(waiter)) else { return QueueId::AwaitingOwner };
        let Some(owner) = unit.owner else { return QueueId::AwaitingOwner };
        let blocked = unit.ending || self.blocked(unit, owner.target);
        if blocked { QueueId::AwaitingOwner } else { QueueId::Target(owner.target) }
    }

    /// Returns true if permits are outstanding for a target other than the new owner that is not lost.
    fn blocked(&self, unit: &Unit, target_id: TargetId) -> bool {
        unit.holder().is_some_and(|holder| holder != target_id && !self.targets.is_lost(holder))
    }

    fn queue_mut(&mut self, queue_id: QueueId) -> Option<&mut Queue> {
        match queue_id {
            QueueId::Pool => Some(&mut self.pool),
            QueueId::AwaitingOwner => Some(&mut self.awaiting_owner),
            QueueId::Target(target_id) => {
                self.targets.get_mut(target_id).map(|target| &mut target.queue)
            }
        }
    }

    fn push(&mut self, queue_id: QueueId, waiter: Waiter) {
        self.queued.insert(waiter.sequence, (queue_id, waiter.urgency));
        if let Some(queue) = self.queue_mut(queue_id) {
            queue.push(waiter);
        }
    }

    fn remove(&mut self, sequence: u64) -> Option<Waiter> {
        let (queue_id, urgency) = self.queued.remove(&sequence)?;
        self.queue_mut(queue_id)?.remove(urgency, sequence)
    }

    /// Grants a slot of a target to a request that is not queued.
    fn grant(&mut self, waiter: &Waiter, target_id: TargetId, now: Stamp) -> Grant {
        let scope = self.scope(waiter);
        let holder = self.unit(&scope).and_then(Unit::holder);
        let abandon =
            holder.is_some_and(|holder| holder != target_id && self.targets.is_lost(holder));
        let mut epoch = 0;
        let mut assigned = None;
        if let Some(unit) = self.unit_mut(&scope) {
            if abandon {
                unit.abandon();
            }
            epoch = unit.add_permit(target_id);
            assigned = unit.owner.map(|owner| owner.token);
        }
        let (shard, key) = (waiter.shard, waiter.key.clone());
        let permit =
            Outstanding { target_id, scope, shard, key, epoch, acquired: now, revoked: false };
        self.permits.insert(waiter.sequence, permit);
        let Some(target) = self.targets.get_mut(target_id) else {
            unreachable!("a permit is granted for a known target");
        };
        target.slots.acquire();
        let write_before = waiter.deadline.min(target.allow_until);
        assert!(now < write_before, "a permit would be granted after its write deadline");
        Grant {
            sequence: waiter.sequence,
            target: target.name.clone(),
            address: target.address,
            token: assigned.or(target.token).unwrap_or_default(),
            write_before,
        }
    }

    fn serve_queue(&mut self, queue_id: QueueId, now: Stamp) {
        match queue_id {
            QueueId::AwaitingOwner => {}
            QueueId::Pool => self.serve_pool(now),
            QueueId::Target(target_id) => self.serve(target_id, now),
        }
    }

    /// Dispatches queued requests to slots that became free over time.
    pub fn advance(&mut self, now: Stamp) {
        if self.options.pooled {
            self.serve_pool(now);
            return;
        }
        let target_ids: Vec<TargetId> = self.targets.iter().map(|target| target.id).collect();
        for target_id in target_ids {
            self.serve(target_id, now);
        }
    }

    fn serve(&mut self, target_id: TargetId, now: Stamp) {
        loop {
            let Some(target) = self.targets.get_mut(target_id) else { return };
            if target.queue.is_empty() || !target.has_free_slot(now) {
                return;
            }
            let Some(waiter) = target.queue.pop(&|_| true) else { return };
            self.dispatch(&waiter, target_id, now);
        }
    }

    fn serve_pool(&mut self, now: Stamp) {
        while !self.pool.is_empty() {
            let Some((waiter, target_id)) = self.match_pool(now) else { return };
            self.dispatch(&waiter, target_id, now);
        }
    }

    /// Takes the first request of the pool for which a target has a free slot.
    fn match_pool(&mut self, now: Stamp) -> Option<(Waiter, TargetId)> {
        let (free, alone) = self.targets.available(now);
        if free.is_empty() {
            return None;
        }
        let eligible =
            |waiter: &Waiter| alone || free.iter().any(|name| waiter.avoid.as_ref() != Some(*name));
        let waiter = self.pool.pop(&eligible)?;
        let target_id = self.targets.least_loaded(waiter.avoid.as_ref(), now);
        assert!(target_id.is_some(), "a request of the pool was taken without a free target");
        target_id.map(|target_id| (waiter, target_id))
    }

    fn dispatch(&mut self, waiter: &Waiter, target_id: TargetId, now: Stamp) {
        self.queued.remove(&waiter.sequence);
        if waiter.deadline <= now {
            let refusal = Effect::Refuse(waiter.sequence, Reason::DeadlineBeforeDispatch);
            self.effects.push(refusal);
            return;
        }
        let grant = self.grant(waiter, target_id, now);
        self.effects.push(Effect::Grant(grant));
    }

    /// Removes a queued request whose deadline passed and returns the reason why it was not sent.
    pub fn expire(&mut self, sequence: u64, now: Stamp) -> Option<Reason> {
        let waiter = self.remove(sequence)?;
        Some(self.expiry_reason(&waiter, now))
    }

    fn expiry_reason(&self, waiter: &Waiter, now: Stamp) -> Reason {
        match self.queue_for(waiter) {
            QueueId::AwaitingOwner => Reason::NoOwner,
            QueueId::Pool if self.targets.iter().any(|target| target.accepts(now)) => {
                Reason::DeadlineBeforeDispatch
            }
            QueueId::Target(target_id)
                if self.targets.get(target_id).is_some_and(|target| target.accepts(now)) =>
            {
                Reason::DeadlineBeforeDispatch
            }
            QueueId::Pool | QueueId::Target(_) => Reason::NoTarget,
        }
    }

    /// Removes a queued request whose caller gave up. Returns false if it is not queued.
    pub fn cancel(&mut self, sequence: u64) -> bool {
        self.remove(sequence).is_some()
    }

    /// Returns a permit. `completion` is `None` if the request was never sent.
    pub fn finish(&mut self, sequence: u64, completion: Option<Completion>, now: Stamp) {
        let Some(permit) = self.permits.remove(&sequence) else { return };
        if let Some(target) = self.targets.get_mut(permit.target_id) {
            match completion {
                Some(completion) => target.slots.complete(completion, permit.acquired, now),
                None => target.slots.release(),
            }
        }
        let last = self.unit_mut(&permit.scope).is_some_and(|unit| unit.release(permit.epoch));
        if last {
            self.continue_transfers(now);
        }
        self.targets.remove_if_idle(permit.target_id);
        if self.options.pooled {
            self.serve_pool(now);
        } else {
            self.serve(permit.target_id, now);
        }
    }

    /// Continues changes of ownership that waited for the last permit of a unit.
    fn continue_transfers(&mut self, now: Stamp) {
        if !self.keys.is_empty() {
            self.finish_splits();
        }
        if !self.awaiting_owner.is_empty() {
            self.requeue(QueueId::AwaitingOwner);
            self.advance(now);
        }
    }

    /// Moves each request of a queue to the queue where it belongs now.
    fn requeue(&mut self, queue_id: QueueId) {
        let Some(queue) = self.queue_mut(queue_id) else { return };
        let waiters = queue.extract(&|_| true);
        for waiter in waiters {
            let queue_id = self.queue_for(&waiter);
            self.push(queue_id, waiter);
        }
    }

    fn requeue_all(&mut self, now: Stamp) {
        self.finish_splits();
        if self.queued.is_empty() {
            return;
        }
        let mut waiters = self.awaiting_owner.extract(&|_| true);
        for target in self.targets.iter_mut() {
            waiters.extend(target.queue.extract(&|_| true));
        }
        waiters.extend(self.pool.extract(&|_| true));
        waiters.sort_by_key(|waiter| waiter.sequence);
        for waiter in waiters {
            let queue_id = self.queue_for(&waiter);
            self.push(queue_id, waiter);
        }
        self.advance(now);
    }
}
