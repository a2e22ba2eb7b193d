//! Shared state of the data path.

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
    /// Largest number of connections to the peer listener of one instance.
    pub max_peer_connections: usize,
    /// Largest number of request body bytes that are buffered at the same time.
    pub max_buffered_bytes: usize,
    /// Number of recent requests whose traces are kept.
    pub explain_capacity: usize,
    /// Largest number of requests that wait for the outcome of an earlier submission.
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
    /// Observations; dropped if the channel is full.
    pub reports: mpsc::Sender<report::Event>,
    /// Ledger entries to replicate to other instances.
    pub replication: mpsc::Sender<replication::Job>,
}

/// Data path of one instance.
#[derive(Debug)]
pub struct Router {
    /// Settings.
    pub options: Options,
    /// Time source.
    pub clock: Clock,
    /// Coordinators of the groups.
    pub directory: Directory,
    /// Connections to targets and other instances.
    pub pool: Pool,
    /// Traces of recent requests.
    pub explain: explain::Table,
    /// Metrics.
    pub observer: Arc<Observer>,
    /// Channels to the control plane.
    pub channels: Channels,
    /// One permit per byte of request bodies that may be buffered.
    pub buffer_permits: Arc<Semaphore>,
    /// Notified when a suspect request has ended.
    pub suspect_released: Notify,
    /// Notified when a non-repeatable request has ended.
    pub intent_closed: Notify,
    /// One permit per request that may wait for the outcome of an earlier submission.
    pub duplicate_permits: Arc<Semaphore>,
    /// Number of detached exchanges.
    detached: watch::Sender<usize>,
    quarantine: Mutex<Quarantine>,
    budget: Mutex<Budget>,
    incarnations: Mutex<HashMap<name::Target, u64>>,
    started: Stamp,
    request_count: AtomicU64,
}

/// Guard that counts a detached exchange, which continues without its caller.
#[derive(Debug)]
pub struct Detached(Arc<Router>);

impl Drop for Detached {
    fn drop(&mut self) {
        self.0.detached.send_modify(|count| *count -= 1);
    }
}

impl Router {
    /// Makes the data path of an instance. The instance is not ready until its directory has a
    /// snapshot.
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
            buffer_permits: Arc::new(Semaphore::new(
                options.max_buffered_bytes.min(Semaphore::MAX_PERMITS),
            )),
            suspect_released: Notify::new(),
            intent_closed: Notify::new(),
            duplicate_permits: Arc::new(Semaphore::new(
                options.max_waiting_duplicates.min(Semaphore::MAX_PERMITS),
            )),
            detached: watch::Sender::new(0),
            quarantine: Mutex::new(Quarantine::new(options.quarantine.clone())),
            budget: Mutex::default(),
            incarnations: Mutex::default(),
            started: clock.now(),
            request_count: AtomicU64::new(0),
            options,
        })
    }

    /// Returns the locked quarantine. The lock must not be held across a wait.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the locked retry budget. The lock must not be held across a wait.
    pub fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a detached exchange until the guard is dropped.
    pub fn track_detached(self: &Arc<Self>) -> Detached {
        self.detached.send_modify(|count| *count += 1);
        Detached(self.clone())
    }

    /// Returns the number of detached exchanges.
    pub fn detached_exchanges(&self) -> usize {
        *self.detached.borrow()
    }

    /// Waits until there is no detached exchange. Each one ends by its deadline.
    pub async fn detached_exchanges_ended(&self) {
        // The sender lives as long as the router, so the wait cannot fail.
        let _ = self.detached.subscribe().wait_for(|count| *count == 0).await;
    }

    /// Merges a crash report of another instance into the quarantine.
    pub fn merge_crash(&self, report: quarantine::Report) {
        self.quarantine().merge(report, self.clock.now());
    }

    /// Retracts the suspicion that an incarnation of a target crashed, after it proved to be alive.
    pub fn retract_crash(&self, alive: &quarantine::Crash) {
        self.quarantine().retract(alive);
        self.suspect_released.notify_waiters();
    }

    /// Closes idle connections and expires old quarantine and ledger entries. The control plane
    /// calls it about once a second.
    pub fn tick(&self) {
        self.pool.sweep();
        let now = self.clock.now();
        self.quarantine().expire(now);
        let Some(snapshot) = self.directory.current() else { return };
        for coordinator in snapshot.coordinators().values() {
            match coordinator {
                Coordinator::Local(local) => local.ledger().expire(now),
                Coordinator::Remote(_) | Coordinator::Unknown => {}
            }
        }
    }

    /// Records the incarnation of a target, as reported in a response or a grant.
    pub fn record_incarnation(&self, target: &name::Target, incarnation: u64) {
        let mut known = self.incarnations.lock().unwrap_or_else(PoisonError::into_inner);
        if known.get(target) != Some(&incarnation) {
            known.insert(target.clone(), incarnation);
        }
    }

    /// Returns the latest known incarnation of a target, or zero.
    pub fn incarnation(&self, target: &name::Target) -> u64 {
        let known = self.incarnations.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(target).copied().unwrap_or(0)
    }

    /// Reports an observation to the control plane. Drops it if the channel is full.
    pub fn report(&self, event: report::Event) {
        if self.channels.reports.try_send(event).is_err() {
            log::debug!("observation dropped: the channel to the control plane is full or closed");
        }
    }

    /// Returns an ID for a request without one. It is unique among instances and restarts.
    pub fn new_request_id(&self) -> Arc<str> {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        let started = self.started.as_micros();
        Arc::from(format!("{}-{started:x}-{number:x}", self.options.instance))
    }
}
