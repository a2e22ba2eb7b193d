//! The admission controller of one group. The data path sends no request to a target of the group
//! without a permit of its controller.
//!
//! The control plane assigns shards and sets until when requests may be sent to a target. The data
//! path acquires permits. Both share the controller through an `Arc`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::sync::watch;

use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::counts::Report;
use crate::scheduler::Admission;
use crate::scheduler::Effect;
use crate::scheduler::Grant;
use crate::scheduler::Scheduler;

/// Longest sleep of a waiting request. Timers do not advance while the host is suspended, and the
/// ramp of a cold target may start while a request sleeps; this bounds the delay in both cases.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Settings of a controller.
#[derive(Clone, Debug)]
pub struct Options {
    /// Group that the controller admits requests for.
    pub group: name::Group,
    /// True if any target may run any request.
    pub pooled: bool,
    /// Maximum number of concurrent requests of a target.
    pub slots: u32,
    /// Capacity of the queue, in requests for each target of the group.
    pub queue_per_target: usize,
    /// Time over which a cold target ramps up.
    pub warmup: Duration,
}

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct Request {
    /// Shard of the request's key.
    pub shard: Shard,
    /// Key of the request.
    pub key: Arc<str>,
    /// Tenant of the caller.
    pub tenant: name::Tenant,
    /// Urgency of the call class.
    pub urgency: Urgency,
    /// Time at which the caller stops waiting.
    pub deadline: Stamp,
    /// Target that an earlier attempt failed on; a pooled group selects another one if possible.
    pub avoid: Option<name::Target>,
}

/// State of a target as the control plane sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Started recently; its limit ramps up to all its slots.
    Cold,
    /// Receives new requests.
    Live,
    /// Receives no new requests; those in flight finish.
    Draining,
    /// Unreachable or gone; receives no new requests.
    Lost,
}

/// How an attempt with a permit ended, as far as admission depends on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The target answered.
    Answered,
    /// The target shed the request for lack of capacity.
    Shed,
    /// The attempt failed for another reason.
    Failed,
}

/// Permission to send one request to one target.
#[derive(Debug)]
pub struct Permit {
    /// Target that owns the key, or the target selected in a pooled group.
    pub target: name::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Fencing token for the request.
    pub token: Token,
    /// Time from which on no byte of the request may be written.
    pub write_before: Stamp,
    slot: Slot,
}

impl Permit {
    fn new(grant: Grant, controller: Arc<Controller>) -> Self {
        Self {
            target: grant.target,
            address: grant.address,
            token: grant.token,
            write_before: grant.write_before,
            slot: Slot {
                controller,
                sequence: grant.sequence,
                completion: Some(Completion::Failed),
            },
        }
    }

    /// Waits until the target is lost or the controller closes.
    ///
    /// From then on another target or instance may own the key, so waiting for the answer of this
    /// target can take longer than a retry.
    pub async fn revoked(&self) {
        let controller = &self.slot.controller;
        let mut changes = controller.revocations.subscribe();
        while controller.read(|scheduler| scheduler.is_revoked(self.slot.sequence)) == Some(false) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the slot without a completion, because the request was never sent.
    fn release(mut self) {
        self.slot.completion = None;
    }

    /// Returns the slot and records how the attempt ended. Dropping a permit counts as failed.
    pub fn finish(mut self, completion: Completion) {
        self.slot.completion = Some(completion);
    }
}

/// An acquired slot, returned on drop.
#[derive(Debug)]
struct Slot {
    controller: Arc<Controller>,
    sequence: u64,
    completion: Option<Completion>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.controller
            .change(|scheduler, now| scheduler.finish(self.sequence, self.completion, now));
    }
}

/// Decision about a waiting request.
type Decision = Result<Grant, Reason>;

/// State behind the mutex of the controller.
#[derive(Debug)]
struct Inner {
    scheduler: Scheduler,
    wakers: HashMap<u64, oneshot::Sender<Decision>>,
}

impl Inner {
    /// Wakes the requests that the scheduler decided about.
    fn wake(&mut self) {
        for effect in self.scheduler.take_effects() {
            let (sequence, decision) = match effect {
                Effect::Grant(grant) => (grant.sequence, Ok(grant)),
                Effect::Refuse(sequence, reason) => (sequence, Err(reason)),
            };
            let Some(waker) = self.wakers.remove(&sequence) else { continue };
            // The receiver is dropped only after its request is removed from the scheduler and
            // its channel is drained, both under the mutex, so a failed send loses no grant.
            let _ = waker.send(decision);
        }
    }
}

/// A queued request. Dropping it removes the request from the queue and returns a grant that was
/// sent but not received.
struct QueueEntry {
    controller: Arc<Controller>,
    sequence: u64,
    decision: oneshot::Receiver<Decision>,
    active: bool,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        if !self.active {
            return;
        }
        let Ok(mut inner) = self.controller.inner.lock() else { return };
        inner.wakers.remove(&self.sequence);
        let waiting = inner.scheduler.cancel(self.sequence);
        if !waiting && matches!(self.decision.try_recv(), Ok(Ok(_))) {
            inner.scheduler.finish(self.sequence, None, self.controller.clock.now());
            inner.wake();
        }
    }
}

/// Result of the first admission decision.
enum Start {
    Granted(Grant),
    Waiting(QueueEntry),
}

/// Admission controller of one group.
///
/// After a failed assertion in the scheduler the controller refuses all requests: its counts are no
/// longer reliable, and a wrong count could send requests of one shard to two targets.
#[derive(Debug)]
pub struct Controller {
    options: Options,
    clock: Clock,
    inner: Mutex<Inner>,
    /// Notified when permits are revoked.
    revocations: watch::Sender<()>,
}

impl Controller {
    /// Creates a controller without targets.
    pub fn new(options: Options) -> Arc<Self> {
        let scheduler = Scheduler::new(options.clone());
        let inner = Mutex::new(Inner { scheduler, wakers: HashMap::new() });
        Arc::new(Self { options, clock: Clock, inner, revocations: watch::Sender::new(()) })
    }

    /// Returns the group that the controller admits requests for.
    pub fn group(&self) -> &name::Group {
        &self.options.group
    }

    /// Waits until the request may be sent.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused: the queue is full, the shard has no owner, no
    /// target accepts requests, the deadline passed, or the controller is closed. In every case the
    /// request did not run.
    pub async fn acquire(self: &Arc<Self>, request: Request) -> Result<Permit, Reason> {
        loop {
            let grant = match self.start(request.clone())? {
                Start::Granted(grant) => grant,
                Start::Waiting(queued) => self.wait(queued, request.deadline).await?,
            };
            let permit = Permit::new(grant, self.clone());
            if self.clock.now() < permit.write_before {
                return Ok(permit);
            }
            // The permit expired before the task was scheduled; acquire another one.
            permit.release();
        }
    }

    fn start(self: &Arc<Self>, request: Request) -> Result<Start, Reason> {
        let Ok(mut inner) = self.inner.lock() else { return Err(Reason::NotReady) };
        let now = self.clock.now();
        let admission = inner.scheduler.acquire(request, now);
        let start = match admission {
            Admission::Granted(grant) => Ok(Start::Granted(grant)),
            Admission::Refused(reason) => Err(reason),
            Admission::Queued(sequence) => {
                let (waker, decision) = oneshot::channel();
                inner.wakers.insert(sequence, waker);
                let controller = self.clone();
                Ok(Start::Waiting(QueueEntry { controller, sequence, decision, active: true }))
            }
        };
        inner.wake();
        start
    }

    async fn wait(&self, mut queued: QueueEntry, deadline: Stamp) -> Decision {
        loop {
            let sleep = self.next_wakeup(deadline);
            tokio::select! {
                biased;
                decision = &mut queued.decision => {
                    queued.active = false;
                    return decision.unwrap_or(Err(Reason::NotReady));
                }
                () = tokio::time::sleep(sleep) => {
                    if let Some(reason) = self.check(&queued, deadline) {
                        queued.active = false;
                        return Err(reason);
                    }
                }
            }
        }
    }

    /// Returns the time until the deadline or until the limit of a target may have grown.
    fn next_wakeup(&self, deadline: Stamp) -> Duration {
        let now = self.clock.now();
        let growth = self.read(|scheduler| scheduler.next_growth(now)).flatten();
        let latest = deadline.min(now + MAX_SLEEP);
        growth.map_or(latest, |growth| growth.min(latest)).since(now)
    }

    /// Dispatches requests to slots that became free over time. Returns the reason of a refusal if the
    /// deadline of the request has passed.
    fn check(&self, queued: &QueueEntry, deadline: Stamp) -> Option<Reason> {
        let Ok(mut inner) = self.inner.lock() else { return Some(Reason::NotReady) };
        let now = self.clock.now();
        inner.scheduler.advance(now);
        inner.wake();
        if now < deadline {
            return None;
        }
        let reason = inner.scheduler.expire(queued.sequence, now)?;
        inner.wakers.remove(&queued.sequence);
        Some(reason)
    }

    fn read<T>(&self, read: impl FnOnce(&Scheduler) -> T) -> Option<T> {
        self.inner.lock().ok().map(|inner| read(&inner.scheduler))
    }

    fn change(&self, change: impl FnOnce(&mut Scheduler, Stamp)) {
        let Ok(mut inner) = self.inner.lock() else { return };
        let now = self.clock.now();
        change(&mut inner.scheduler, now);
        inner.wake();
        if inner.scheduler.take_revoked() {
            self.revocations.send_replace(());
        }
    }

    /// Adds a target or changes its address or state.
    pub fn set_target(&self, target: &name::Target, address: SocketAddr, state: State) {
        self.change(|scheduler, now| scheduler.set_target(target, address, state, now));
    }

    /// Removes a target. Its shards should be moved first; those that it still owns lose their owner.
    pub fn remove_target(&self, target: &name::Target) {
        self.change(|scheduler, now| scheduler.remove_target(target, now));
    }

    /// Sets the time until which requests may be written to a target.
    pub fn allow_until(&self, target: &name::Target, until: Stamp) {
        self.change(|scheduler, now| scheduler.allow_until(target, until, now));
    }

    /// Sets the token for requests to a target of a pooled group.
    ///
    /// A target of a pooled group receives no requests before its first token is set.
    pub fn set_token(&self, target: &name::Target, token: Token) {
        self.change(|scheduler, now| scheduler.set_token(target, token, now));
    }

    /// Makes a target the owner of a shard; requests for it carry the token. Wakes waiting requests.
    ///
    /// Requests wait until all permits for the previous owner are returned, unless that target is
    /// lost. An unknown target is ignored.
    pub fn assign(&self, shard: Shard, target: &name::Target, token: Token) {
        self.change(|scheduler, now| scheduler.assign(shard, target, token, now));
    }

    /// Removes the owner of a shard; its requests are queued from then on.
    pub fn pause(&self, shard: Shard) {
        self.change(|scheduler, now| scheduler.pause(shard, now));
    }

    /// Returns the number of requests in flight for a shard, split keys of the shard excluded.
    pub fn in_flight(&self, shard: Shard) -> usize {
        self.read(|scheduler| scheduler.in_flight(shard)).unwrap_or(0)
    }

    /// Returns the number of requests in flight to a target.
    pub fn target_in_flight(&self, target: &name::Target) -> usize {
        self.read(|scheduler| scheduler.target_in_flight(target)).unwrap_or(0)
    }

    /// Assigns one key to an owner independently of its shard.
    ///
    /// Outstanding permits of the key under its shard count as permits of the key from then on.
    pub fn split(&self, key: &str, target: &name::Target, token: Token) {
        self.change(|scheduler, now| scheduler.split(key, target, token, now));
    }

    /// Removes the owner of a split key; its requests are queued from then on.
    ///
    /// A key that is not split yet is paused as well, which prepares a split.
    pub fn pause_key(&self, key: &str) {
        self.change(|scheduler, now| scheduler.pause_key(key, now));
    }

    /// Returns the number of requests in flight for a key.
    pub fn key_in_flight(&self, key: &str) -> usize {
        self.read(|scheduler| scheduler.key_in_flight(key)).unwrap_or(0)
    }

    /// Ends a split; the key belongs to its shard again.
    ///
    /// Requests of the key wait until all permits for its previous owner are returned.
    pub fn unsplit(&self, key: &str) {
        self.change(|scheduler, now| scheduler.unsplit(key, now));
    }

    /// Refuses all waiting and later requests with the reason. Requests in flight continue; their
    /// permits are revoked, see [`Permit::revoked`].
    pub fn close(&self, reason: Reason) {
        self.change(|scheduler, _| scheduler.close(reason));
    }

    /// Returns the counts of requests since the previous call and resets them.
    ///
    /// Only one caller per controller may take them, once per window of the placement policy.
    pub fn take_counts(&self) -> Report {
        let Ok(mut inner) = self.inner.lock() else { return Report::default() };
        let now = self.clock.now();
        inner.scheduler.take_counts(now)
    }

    /// Returns the utilization of the queue in percent; 100 after a failed assertion.
    pub fn queue_percent(&self) -> u32 {
        self.read(Scheduler::queue_percent).unwrap_or(100)
    }
}
