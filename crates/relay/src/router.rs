//! The state that all requests of an instance share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;

use caraway_call::budget::Budget;
use caraway_call::quarantine;
use caraway_call::quarantine::Quarantine;
use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;

use crate::directory::Coordinator;
use crate::directory::Directory;
use crate::explain;
use crate::observe::Observer;
use crate::pool;
use crate::pool::Pool;
use crate::replication;
use crate::report;

/// Settings of the data path.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance.
    pub instance: name::Instance,
    /// Failure domain of this instance.
    pub domain: name::Domain,
    /// Settings of the connection pool.
    pub pool: pool::Options,
    /// Connections to the peer listener of one instance.
    pub max_peer_connections: usize,
    /// Bytes of request bodies that are buffered at once.
    pub max_buffered_bytes: usize,
    /// Requests that can be explained.
    pub explain_capacity: usize,
    /// Requests that may wait for the outcome of their earlier submissions.
    pub max_waiting_duplicates: usize,
    /// Settings of the quarantine.
    pub quarantine: quarantine::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            instance: name::Instance::new(""),
            domain: name::Domain::new(""),
            pool: pool::Options::default(),
            max_peer_connections: 256,
            max_buffered_bytes: 64 * 1024 * 1024,
            explain_capacity: 10_000,
            max_waiting_duplicates: 128,
            quarantine: quarantine::Options::default(),
        }
    }
}

/// Channels to the control plane.
#[derive(Clone, Debug)]
pub struct Channels {
    /// Observations; those that do not fit are dropped.
    pub reports: mpsc::Sender<report::Event>,
    /// Ledger entries to record at other instances.
    pub replication: mpsc::Sender<replication::Job>,
}

/// The data path of one instance.
#[derive(Debug)]
pub struct Router {
    /// Settings.
    pub options: Options,
    /// Clock.
    pub clock: Clock,
    /// Who coordinates each group.
    pub directory: Directory,
    /// Connections to targets and instances.
    pub pool: Pool,
    /// Recent requests.
    pub explain: explain::Table,
    /// Metrics.
    pub observer: Arc<Observer>,
    /// Channels to the control plane.
    pub channels: Channels,
    /// One permit for each byte of request bodies that may be buffered.
    pub memory: Arc<Semaphore>,
    /// Notified when a suspect has ended.
    pub settled: Notify,
    /// Notified when a non-repeatable request has ended.
    pub concluded: Notify,
    /// One permit for each request that may wait for the outcome of its earlier submission.
    pub followers: Arc<Semaphore>,
    /// Number of exchanges that go on without their callers.
    exchanges: watch::Sender<usize>,
    quarantine: Mutex<Quarantine>,
    budget: Mutex<Budget>,
    incarnations: Mutex<HashMap<name::Target, u64>>,
    started: Stamp,
    requests: AtomicU64,
}

/// An exchange that goes on without its caller.
#[derive(Debug)]
pub struct Exchange(Arc<Router>);

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.exchanges.send_modify(|count| *count -= 1);
    }
}

impl Router {
    /// Makes the data path of an instance. It is not ready before its directory has a snapshot.
    pub fn new(
        options: Options,
        clock: Clock,
        channels: Channels,
        observer: Observer,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            directory: Directory::new(),
            pool: Pool::new(options.pool.clone(), clock),
            explain: explain::Table::new(options.explain_capacity),
            observer: Arc::new(observer),
            channels,
            memory: Arc::new(Semaphore::new(
                options.max_buffered_bytes.min(Semaphore::MAX_PERMITS),
            )),
            settled: Notify::new(),
            concluded: Notify::new(),
            followers: Arc::new(Semaphore::new(
                options.max_waiting_duplicates.min(Semaphore::MAX_PERMITS),
            )),
            exchanges: watch::Sender::new(0),
            quarantine: Mutex::new(Quarantine::new(options.quarantine.clone())),
            budget: Mutex::default(),
            incarnations: Mutex::default(),
            started: clock.now(),
            requests: AtomicU64::new(0),
            options,
        })
    }

    /// Returns the quarantine. The lock is held for short steps only, never across a wait.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the retry budget, with the same rule for the lock.
    pub fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an exchange that goes on without its caller, until the result is dropped.
    pub fn track_detached(self: &Arc<Self>) -> Exchange {
        self.exchanges.send_modify(|count| *count += 1);
        Exchange(self.clone())
    }

    /// Returns how many exchanges go on without depending on their callers.
    pub fn detached_exchanges(&self) -> usize {
        *self.exchanges.borrow()
    }

    /// Waits until no exchange goes on without its caller. Each one ends by its deadline.
    pub async fn detached_exchanges_ended(&self) {
        // The sender lives as long as the router, so the wait cannot fail.
        let _ = self.exchanges.subscribe().wait_for(|count| *count == 0).await;
    }

    /// Merges a report of another instance about a crash.
    pub fn merge_crash(&self, report: quarantine::Report) {
        self.quarantine().merge(report, self.clock.now());
    }

    /// Withdraws the suspicion that an incarnation of a target crashed; it turned out to be alive.
    pub fn retract_crash(&self, alive: &quarantine::Crash) {
        self.quarantine().retract(alive);
        self.settled.notify_waiters();
    }

    /// Closes idle connections and forgets what is too old. Called by the control plane once a second
    /// or so.
    pub fn tick(&self) {
        self.pool.sweep();
        let now = self.clock.now();
        self.quarantine().expire(now);
        let Some(snapshot) = self.directory.current() else { return };
        for row in snapshot.coordinators().values() {
            match row {
                Coordinator::Local(local) => local.ledger().expire(now),
                Coordinator::Remote(_) | Coordinator::Unknown => {}
            }
        }
    }

    /// Records the incarnation of a target, as it is seen in an answer or in a grant.
    pub fn record_incarnation(&self, target: &name::Target, incarnation: u64) {
        let mut known = self.incarnations.lock().unwrap_or_else(PoisonError::into_inner);
        if known.get(target) != Some(&incarnation) {
            known.insert(target.clone(), incarnation);
        }
    }

    /// Returns the incarnation of a target as last seen, or zero.
    pub fn incarnation(&self, target: &name::Target) -> u64 {
        let known = self.incarnations.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(target).copied().unwrap_or(0)
    }

    /// Reports an observation to the control plane.
    pub fn report(&self, event: report::Event) {
        if self.channels.reports.try_send(event).is_err() {
            log::debug!("observation dropped; the channel to the control plane is full or closed");
        }
    }

    /// Makes the identity of a request that has none. It is unique among instances of different names
    /// and among runs of this one.
    pub fn new_request_id(&self) -> Arc<str> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let started = self.started.as_micros();
        Arc::from(format!("{}-{started:x}-{number:x}", self.options.instance))
    }
}
