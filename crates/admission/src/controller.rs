//! The lane of one group: the only way from the data path to the group's targets.
//!
//! The control plane assigns shards and sets how long a target may be sent requests. The data path
//! acquires permits. Both share the lane through an `Arc`.

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

use crate::rates::Report;
use crate::table::Effect;
use crate::table::Entry;
use crate::table::Grant;
use crate::table::Table;

/// Longest sleep of a waiting request. Timers stand still while the machine is suspended and a
/// ramp may start while a request sleeps; this bounds the delay after either.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Settings of a lane.
#[derive(Clone, Debug)]
pub struct Options {
    /// Group of the lane.
    pub group: name::Group,
    /// True if any target may run any request.
    pub pooled: bool,
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Requests that may wait, for each target.
    pub queue_per_target: usize,
    /// Time over which a cold target ramps up.
    pub warmup: Duration,
}

/// What a request asks of the lane.
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
    /// Moment after which the caller no longer waits.
    pub deadline: Stamp,
    /// Target that an earlier attempt failed on; a pooled lane picks another if there is one.
    pub avoid: Option<name::Target>,
}

/// State of a target as the control plane sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Started lately; gets a growing share of its slots.
    Cold,
    /// Gets work.
    Live,
    /// Gets no new work.
    Draining,
    /// Not reachable or gone; gets no new work.
    Lost,
}

/// How an attempt with a permit ended, as far as the lane has to know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The target answered.
    Answered,
    /// The target refused for lack of capacity.
    Shed,
    /// The attempt failed otherwise.
    Failed,
}

/// Permission to send one request to one target.
#[derive(Debug)]
pub struct Permit {
    /// Target that owns the key, or the selected one of a pooled group.
    pub target: name::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Fencing token for the request.
    pub token: Token,
    /// No byte of the request may be written at or after this moment.
    pub write_before: Stamp,
    slot: Slot,
}

impl Permit {
    fn new(grant: Grant, lane: Arc<Controller>) -> Self {
        Self {
            target: grant.target,
            address: grant.address,
            token: grant.token,
            write_before: grant.write_before,
            slot: Slot { lane, ticket: grant.ticket, finish: Some(Completion::Failed) },
        }
    }

    /// Waits until the target is lost or the lane closes.
    ///
    /// From then on another target or instance may own the key, so waiting for this one's answer can
    /// take longer than sending the request again.
    pub async fn revoked(&self) {
        let lane = &self.slot.lane;
        let mut changes = lane.recalls.subscribe();
        while lane.read(|table| table.is_recalled(self.slot.ticket)) == Some(false) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the slot of a request that was never sent.
    fn release(mut self) {
        self.slot.finish = None;
    }

    /// Returns the slot and tells the lane how the attempt ended. Dropping a permit counts as failed.
    pub fn finish(mut self, finish: Completion) {
        self.slot.finish = Some(finish);
    }
}

/// A taken slot, which is returned on drop.
#[derive(Debug)]
struct Slot {
    lane: Arc<Controller>,
    ticket: u64,
    finish: Option<Completion>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.lane.change(|table, now| table.finish(self.ticket, self.finish, now));
    }
}

/// Answer to a waiting request.
type Answer = Result<Grant, Reason>;

/// What the lane protects with its mutex.
#[derive(Debug)]
struct Inner {
    table: Table,
    wakers: HashMap<u64, oneshot::Sender<Answer>>,
}

impl Inner {
    /// Wakes the requests that the table decided about.
    fn wake(&mut self) {
        for effect in self.table.effects() {
            let (ticket, answer) = match effect {
                Effect::Grant(grant) => (grant.ticket, Ok(grant)),
                Effect::Refuse(ticket, reason) => (ticket, Err(reason)),
            };
            let Some(waker) = self.wakers.remove(&ticket) else { continue };
            // The receiver is dropped only after its ticket is taken out of the table and its
            // channel is emptied, both under the mutex, so that no grant is lost here.
            let _ = waker.send(answer);
        }
    }
}

/// A place in the queue. Dropping it leaves the queue and returns a permit that was not received.
struct Place {
    lane: Arc<Controller>,
    ticket: u64,
    answer: oneshot::Receiver<Answer>,
    active: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.active {
            return;
        }
        let Ok(mut inner) = self.lane.inner.lock() else { return };
        inner.wakers.remove(&self.ticket);
        let waiting = inner.table.cancel(self.ticket);
        if !waiting && matches!(self.answer.try_recv(), Ok(Ok(_))) {
            inner.table.finish(self.ticket, None, self.lane.clock.now());
            inner.wake();
        }
    }
}

/// How a new request starts.
enum Start {
    Granted(Grant),
    Waiting(Place),
}

/// The lane of one group.
///
/// After a failed assertion in the table the lane refuses everything: its counts can no longer be
/// trusted, and a wrong count could send a shard's requests to two targets.
#[derive(Debug)]
pub struct Controller {
    options: Options,
    clock: Clock,
    inner: Mutex<Inner>,
    /// Changes when permits are recalled.
    recalls: watch::Sender<()>,
}

impl Controller {
    /// Makes a lane without targets.
    pub fn new(options: Options) -> Arc<Self> {
        let table = Table::new(options.clone());
        let inner = Mutex::new(Inner { table, wakers: HashMap::new() });
        Arc::new(Self { options, clock: Clock, inner, recalls: watch::Sender::new(()) })
    }

    /// Returns the group of the lane.
    pub fn group(&self) -> &name::Group {
        &self.options.group
    }

    /// Waits until the request may be sent.
    ///
    /// # Errors
    ///
    /// The reason of a refusal: the queue is full, the shard has no owner, no target accepts work,
    /// the deadline passes, or the lane closes. In every case the request did not run.
    pub async fn acquire(self: &Arc<Self>, request: Request) -> Result<Permit, Reason> {
        loop {
            let grant = match self.start(request.clone())? {
                Start::Granted(grant) => grant,
                Start::Waiting(place) => self.wait(place, request.deadline).await?,
            };
            let permit = Permit::new(grant, self.clone());
            if self.clock.now() < permit.write_before {
                return Ok(permit);
            }
            // The task was scheduled too late to use the permit.
            permit.release();
        }
    }

    fn start(self: &Arc<Self>, request: Request) -> Result<Start, Reason> {
        let Ok(mut inner) = self.inner.lock() else { return Err(Reason::NotReady) };
        let now = self.clock.now();
        let entry = inner.table.acquire(request, now);
        let start = match entry {
            Entry::Granted(grant) => Ok(Start::Granted(grant)),
            Entry::Refused(reason) => Err(reason),
            Entry::Queued(ticket) => {
                let (waker, answer) = oneshot::channel();
                inner.wakers.insert(ticket, waker);
                let lane = self.clone();
                Ok(Start::Waiting(Place { lane, ticket, answer, active: true }))
            }
        };
        inner.wake();
        start
    }

    async fn wait(&self, mut place: Place, deadline: Stamp) -> Answer {
        loop {
            let pause = self.next_look(deadline);
            tokio::select! {
                biased;
                answer = &mut place.answer => {
                    place.active = false;
                    return answer.unwrap_or(Err(Reason::NotReady));
                }
                () = tokio::time::sleep(pause) => {
                    if let Some(reason) = self.look(&place, deadline) {
                        place.active = false;
                        return Err(reason);
                    }
                }
            }
        }
    }

    /// Returns how long a request sleeps until its deadline or until slots may have grown.
    fn next_look(&self, deadline: Stamp) -> Duration {
        let now = self.clock.now();
        let growth = self.read(|table| table.next_growth(now)).flatten();
        let latest = deadline.min(now + LONGEST_SLEEP);
        growth.map_or(latest, |growth| growth.min(latest)).since(now)
    }

    /// Hands out slots that time freed. Returns a reason if the request's deadline has passed.
    fn look(&self, place: &Place, deadline: Stamp) -> Option<Reason> {
        let Ok(mut inner) = self.inner.lock() else { return Some(Reason::NotReady) };
        let now = self.clock.now();
        inner.table.advance(now);
        inner.wake();
        if now < deadline {
            return None;
        }
        let reason = inner.table.expire(place.ticket, now)?;
        inner.wakers.remove(&place.ticket);
        Some(reason)
    }

    fn read<T>(&self, read: impl FnOnce(&Table) -> T) -> Option<T> {
        self.inner.lock().ok().map(|inner| read(&inner.table))
    }

    fn change(&self, change: impl FnOnce(&mut Table, Stamp)) {
        let Ok(mut inner) = self.inner.lock() else { return };
        let now = self.clock.now();
        change(&mut inner.table, now);
        inner.wake();
        if inner.table.take_recalled() {
            self.recalls.send_replace(());
        }
    }

    /// Adds a target or changes its address or state.
    pub fn set_target(&self, target: &name::Target, address: SocketAddr, state: State) {
        self.change(|table, now| table.set_target(target, address, state, now));
    }

    /// Removes a target. It must own no shard; shards that it still owns lose their owner.
    pub fn remove_target(&self, target: &name::Target) {
        self.change(|table, now| table.remove_target(target, now));
    }

    /// Sets the moment until which requests may be written to a target.
    pub fn allow_until(&self, target: &name::Target, until: Stamp) {
        self.change(|table, now| table.allow_until(target, until, now));
    }

    /// Sets the token for requests to targets of a pooled lane.
    ///
    /// A target of a pooled lane gets no requests before its first token is set.
    pub fn set_token(&self, target: &name::Target, token: Token) {
        self.change(|table, now| table.set_token(target, token, now));
    }

    /// Makes a target the owner of a shard; requests for it carry the token. Wakes waiting requests.
    ///
    /// Requests wait until the permits for an earlier owner are back, unless that target is lost.
    /// The call has no effect if the target is unknown.
    pub fn assign(&self, shard: Shard, target: &name::Target, token: Token) {
        self.change(|table, now| table.assign(shard, target, token, now));
    }

    /// Takes a shard from its owner; its requests wait in the queue from then on.
    pub fn pause(&self, shard: Shard) {
        self.change(|table, now| table.pause(shard, now));
    }

    /// Returns how many requests of a shard hold permits, split keys of the shard excluded.
    pub fn in_flight(&self, shard: Shard) -> usize {
        self.read(|table| table.in_flight(shard)).unwrap_or(0)
    }

    /// Returns how many requests hold permits for a target.
    pub fn target_in_flight(&self, target: &name::Target) -> usize {
        self.read(|table| table.target_in_flight(target)).unwrap_or(0)
    }

    /// Gives one key an owner of its own, apart from its shard.
    ///
    /// Permits that the key holds under its shard count as permits of the key from then on.
    pub fn split(&self, key: &str, target: &name::Target, token: Token) {
        self.change(|table, now| table.split(key, target, token, now));
    }

    /// Holds back the requests of a split key, which wait in the queue from then on.
    ///
    /// A key that is not split yet is held back as well, which prepares a split.
    pub fn pause_key(&self, key: &str) {
        self.change(|table, now| table.pause_key(key, now));
    }

    /// Returns how many requests of a key hold permits.
    pub fn key_in_flight(&self, key: &str) -> usize {
        self.read(|table| table.key_in_flight(key)).unwrap_or(0)
    }

    /// Ends a split; the key belongs to its shard again.
    ///
    /// Requests of the key wait until the permits for its own owner are back.
    pub fn unsplit(&self, key: &str) {
        self.change(|table, now| table.unsplit(key, now));
    }

    /// Refuses all waiting and later requests with the reason. Requests with permits go on; their
    /// permits are recalled, see [`Permit::revoked`].
    pub fn close(&self, reason: Reason) {
        self.change(|table, _| table.close(reason));
    }

    /// Returns the counts of requests since the previous call and starts new ones.
    ///
    /// One caller per lane takes them, once per window of the placement policy.
    pub fn take_counts(&self) -> Report {
        let Ok(mut inner) = self.inner.lock() else { return Report::default() };
        let now = self.clock.now();
        inner.table.rates(now)
    }

    /// Returns the fill of the queue in percent.
    pub fn queue_percent(&self) -> u32 {
        self.read(Table::queue_percent).unwrap_or(100)
    }
}
