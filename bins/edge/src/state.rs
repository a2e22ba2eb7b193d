//! State shared by the tasks of the process, all of which run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use caraway_adapter::settings::Settings;
use caraway_call::quarantine;
use caraway_call::quarantine::Crash;
use caraway_call::quarantine::Quarantine;
use caraway_call::suspicion::Suspicions;
use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::admission;
use caraway_fleet::allowance;
use caraway_fleet::allowance::Allowance;
use caraway_fleet::classes::Classes;
use caraway_fleet::configuration::Configuration;
use caraway_fleet::configuration::Splitter;
use caraway_fleet::load::Estimate;
use caraway_fleet::membership::Change;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Member;
use caraway_fleet::membership::Registry;
use caraway_fleet::membership::Target;
use caraway_fleet::pause::Pauses;
use caraway_fleet::refusal::Callers;
use caraway_fleet::share::Shares;
use caraway_fleet::unowned::Ranges;
use caraway_fleet::view::Change as OwnersChange;
use caraway_fleet::view::View;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::http::Connection;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::reason::Reason;

/// Time before the end of a target's drain time from which it receives no more requests. It covers
/// the time in which a request is in transit.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of unreadable entries that are remembered, so that each is logged once.
const MAX_IGNORED_ENTRIES: usize = 4096;

/// A request is refused after three crashes, since a single connection may also break, or a target
/// end, for other reasons. Two minutes are longer than a target takes to start.
const QUARANTINE: quarantine::Options = quarantine::Options {
    max_crashes: 3,
    max_suspects: 10_000,
    retention: Duration::from_secs(120),
};

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct ActiveConfiguration {
    /// Decoded configuration.
    pub configuration: Rc<Configuration>,
    /// Encoded configuration as stored, for instances that cannot reach the store.
    pub text: Arc<str>,
    /// Previous idle timeout, and the time until which callers may still rely on it.
    previous_idle: (Duration, Stamp),
}

impl ActiveConfiguration {
    /// Returns the idle time after which a caller's connection is closed.
    pub fn idle_timeout(&self, now: Stamp) -> Duration {
        let (previous, until) = self.previous_idle;
        let timeout = self.configuration.limits.idle_timeout;
        if now < until { timeout.max(previous) } else { timeout }
    }
}

/// Registration of an instance in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Instance {
    /// Address of its listener for other instances.
    pub address: SocketAddr,
    /// Failure domain of the instance; empty in registrations of earlier versions.
    #[serde(default)]
    pub domain: Arc<str>,
    /// CPU share of the instance, in cores.
    #[serde(rename = "processor")]
    pub cpu_share: f64,
}

/// The coordinator according to the store.
#[derive(Clone, Debug)]
pub struct Leader {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Term of the coordinator: the store revision at which it was elected.
    pub term: u64,
}

/// Outstanding grants of a coordinator at the end of its term, including those of its predecessors.
#[derive(Clone, Debug, Default)]
pub struct Retirement {
    /// Store revision of the tables that the coordinator wrote last.
    pub tables_revision: u64,
    /// Expiry of the grants by target; other targets hold no keys.
    pub grant_expiries: HashMap<Incarnation, Stamp>,
}

/// Number of changes kept in the history: enough for several seconds, even while all targets are replaced.
const MAX_HISTORY: usize = 1024;

/// History of changes of the listed targets.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<(u64, Arc<str>)>,
    /// Revision up to which changes have been dropped.
    dropped_revision: u64,
}

impl History {
    fn add(&mut self, revision: u64, id: &Arc<str>) {
        if self.changes.len() >= MAX_HISTORY
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.dropped_revision = self.dropped_revision.max(dropped);
        }
        self.changes.push_back((revision, id.clone()));
    }

    /// Clears the history after the targets were read as of a revision.
    pub fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.dropped_revision = revision;
    }

    /// Returns the ids of the targets that changed after a revision, or `None` if the history does
    /// not reach back to it.
    pub fn after(&self, revision: u64) -> Option<BTreeSet<Arc<str>>> {
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        (revision >= self.dropped_revision).then(|| later.map(|(_, id)| id.clone()).collect())
    }
}

/// State of the process.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: Settings,
    /// Pool of connections to targets, the store and other instances.
    pub pool: Pool,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The configuration in force, once one was received.
    pub active_configuration: RefCell<Option<ActiveConfiguration>>,
    /// Targets listed in the store.
    pub registry: RefCell<Registry>,
    /// Store revision as of which configuration, targets and instances are known.
    pub revision: Cell<u64>,
    /// Whether the state as of that revision is complete, so that no full read is needed before watching.
    pub synchronized: Cell<bool>,
    /// Time of the latest successful response of the store.
    pub last_store_response: Cell<Option<Stamp>>,
    /// Own revision at the time when another instance was first seen to know a newer one, and that time.
    pub peer_ahead: Cell<Option<(u64, Stamp)>>,
    /// Whether this instance relies on the coordinator, which responds to its reports and watches
    /// the store, instead of watching the store itself.
    pub watch_delegated: Cell<bool>,
    /// Whether the latest attempt to follow the store failed.
    pub store_failing: Cell<bool>,
    /// Recent changes of the listed targets, for incremental updates to other instances.
    pub history: RefCell<History>,
    /// Owners of the keys of all keyed services.
    pub view: RefCell<View>,
    /// Key ranges that requests have found without an owner.
    pub unowned: RefCell<Ranges>,
    /// Notified when the view, the targets or the load changes.
    pub changed: Notify,
    /// Notified when the coordinator announces an update, which makes this instance report at once.
    pub announcement: Notify,
    /// Number of targets seen draining or removed.
    pub departures: Cell<u64>,
    /// Notified when the watch of the store has to be restarted.
    pub watch_restart: Notify,
    /// Notified when the coordinator changes.
    pub leader_changed: Notify,
    /// Pauses that targets have asked this instance for.
    pub pauses: RefCell<Pauses>,
    /// Keys of entries in the store that cannot be read.
    ignored_entries: RefCell<HashSet<String>>,
    /// This instance's shares of the targets of services without keys.
    pub shares: RefCell<Shares>,
    /// Urgent and other requests by service.
    pub classes: RefCell<HashMap<Arc<str>, Classes>>,
    /// Callers that wait or were refused, by service, and by target for owners of keys.
    pub callers: RefCell<HashMap<Arc<str>, Callers>>,
    /// Load estimates by target id.
    pub estimates: RefCell<HashMap<Arc<str>, Estimate>>,
    /// Traffic splitters by route name.
    pub splitters: RefCell<HashMap<Arc<str>, Splitter>>,
    /// Time at which the process started.
    started: Stamp,
    /// Parts of the retry budgets by service, earned since the process started.
    allowances: RefCell<HashMap<Arc<str>, Allowance>>,
    /// Number of requests by service and key since the last report to the coordinator.
    pub demand: RefCell<BTreeMap<Arc<str>, BTreeMap<u16, u32>>>,
    /// Requests whose connection broke while a target executed them.
    pub suspicions: RefCell<Suspicions<Incarnation>>,
    /// Running probes for crashed targets.
    pub crash_probes: RefCell<JoinSet<()>>,
    /// Requests that have crashed targets.
    pub quarantine: RefCell<Quarantine>,
    /// Mean response size by service, in bytes.
    pub response_sizes: RefCell<HashMap<Arc<str>, f64>>,
    /// Registered instances by name.
    pub instances: RefCell<BTreeMap<Arc<str>, Instance>>,
    /// The coordinator, if there is one.
    pub leader: RefCell<Option<Leader>>,
    /// Outstanding grants announced by the latest coordinator that retired.
    pub retirement: RefCell<Retirement>,
    /// Revision of the latest change of the coordinator's record, including its removal.
    pub leader_revision: Cell<u64>,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// Whether the process is about to exit and requests no longer wait for their targets.
    exiting: Cell<bool>,
    /// Notified when the process is about to exit.
    exit_notice: Notify,
    /// Whether this instance is the coordinator.
    pub leading: Cell<bool>,
}

impl State {
    /// Creates the initial state, without data from the store.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pool: Pool::default(),
            metrics: Metrics::new(),
            active_configuration: RefCell::default(),
            registry: RefCell::default(),
            revision: Cell::new(0),
            synchronized: Cell::new(false),
            last_store_response: Cell::new(None),
            peer_ahead: Cell::new(None),
            watch_delegated: Cell::new(false),
            store_failing: Cell::new(false),
            history: RefCell::default(),
            view: RefCell::default(),
            unowned: RefCell::default(),
            changed: Notify::new(),
            announcement: Notify::new(),
            departures: Cell::new(0),
            watch_restart: Notify::new(),
            leader_changed: Notify::new(),
            pauses: RefCell::default(),
            ignored_entries: RefCell::default(),
            shares: RefCell::default(),
            classes: RefCell::default(),
            callers: RefCell::default(),
            estimates: RefCell::default(),
            splitters: RefCell::default(),
            started: Clock.now(),
            allowances: RefCell::default(),
            demand: RefCell::default(),
            suspicions: RefCell::default(),
            crash_probes: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(QUARANTINE)),
            response_sizes: RefCell::default(),
            instances: RefCell::default(),
            leader: RefCell::default(),
            retirement: RefCell::default(),
            leader_revision: Cell::new(0),
            stopping: Cell::new(false),
            exiting: Cell::new(false),
            exit_notice: Notify::new(),
            leading: Cell::new(false),
        }
    }

    /// Makes requests in flight stop waiting for their targets, so that each gets a response before
    /// the process exits.
    pub fn announce_exit(&self) {
        self.exiting.set(true);
        self.exit_notice.notify_waiters();
    }

    /// Returns when the process is about to exit.
    pub async fn wait_for_exit(&self) {
        let notice = self.exit_notice.notified();
        if !self.exiting.get() {
            notice.await;
        }
    }

    /// Returns the version of the configuration in force, or zero if there is none.
    pub fn version(&self) -> u64 {
        self.active_configuration
            .borrow()
            .as_ref()
            .map_or(0, |current| current.configuration.version)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.active_configuration.borrow().as_ref().map(|current| current.configuration.clone())
    }

    /// Applies an encoded configuration if it is valid and newer than the one in force.
    pub fn configure(&self, value: &[u8], revision: u64, source: &str) {
        let reject = |error: String| emit(Event::ConfigurationRefused { revision, error });
        let configuration = match caraway_adapter::configuration::read(value) {
            Ok(configuration) => configuration,
            Err(error) => return reject(error.to_string()),
        };
        let (version, in_force) = (configuration.version, self.version());
        if version <= in_force {
            if version < in_force {
                emit(Event::ConfigurationOld { version, in_force });
            }
            return;
        }
        let Ok(text) = std::str::from_utf8(value) else {
            return reject("the configuration is not valid UTF-8".to_owned());
        };
        let mut current = self.active_configuration.borrow_mut();
        let now = Clock.now();
        let previous =
            current.as_ref().map(|current| current.idle_timeout(now)).unwrap_or_default();
        *current = Some(ActiveConfiguration {
            // Callers of connections that are already idle rely on the previous timeout.
            previous_idle: (previous, now + previous),
            configuration: Rc::new(configuration),
            text: text.into(),
        });
        drop(current);
        emit(Event::ConfigurationApplied { version, source: source.to_owned() });
        self.changed.notify_waiters();
    }

    /// Sets the coordinator as of a revision, unless a newer one is known.
    pub fn set_leader(&self, name: Option<&str>, revision: u64) {
        if revision <= self.leader_revision.get() {
            return;
        }
        self.leader_revision.set(revision);
        *self.leader.borrow_mut() = name.map(|name| Leader { name: name.into(), term: revision });
        self.leader_changed.notify_waiters();
    }

    /// Records the retirement of a coordinator, unless a newer one is known.
    pub fn record_retirement(&self, retirement: Retirement) {
        let mut latest = self.retirement.borrow_mut();
        if retirement.tables_revision > latest.tables_revision {
            *latest = retirement;
        }
    }

    /// Applies a view of the owners if it is newer.
    pub fn apply_view(&self, view: View) {
        let mut current = self.view.borrow_mut();
        if view.version <= current.version {
            return;
        }
        let (term, change) = (view.version.term, view.version.change);
        // The message of a new coordinator may arrive before the change of its record in the store.
        self.set_leader(Some(&view.coordinator), term);
        *current = view;
        drop(current);
        emit(Event::OwnersApplied { term, change });
        self.changed.notify_waiters();
    }

    /// Applies an incremental change of the owners if it is based on the current view.
    pub fn apply_owner_change(&self, change: OwnersChange) {
        let changed = self.view.borrow().with_change(&change);
        if let Some(view) = changed {
            self.apply_view(view);
        }
    }

    /// Records that an entry in the store cannot be read, and logs it the first time.
    pub fn ignore_entry(&self, key: &str, error: &str) {
        let mut ignored = self.ignored_entries.borrow_mut();
        if ignored.len() >= MAX_IGNORED_ENTRIES || !ignored.insert(key.to_owned()) {
            return;
        }
        self.metrics.ignored_entries.inc();
        emit(Event::EntryIgnored { key: key.to_owned(), error: error.to_owned() });
    }

    /// Records that an entry in the store can be read, or was removed.
    pub fn accept_entry(&self, key: &str) {
        self.ignored_entries.borrow_mut().remove(key);
    }

    /// Records that a target has announced its departure in a response at the time `at`, according
    /// to the named instance.
    pub fn record_departure(&self, incarnation: &Incarnation, at: Stamp, source: &str) {
        let now = Clock.now();
        let change = self.registry.borrow_mut().record_departure(incarnation, at, now);
        let Some(Change::Draining(target)) = change else { return };
        self.departures.set(self.departures.get() + 1);
        // The target closes its connections; those that are idle here are of no more use.
        self.pool.remove(target.address);
        Metrics::count(&self.metrics.departures, "service", &target.service);
        emit(Event::TargetLeaving {
            target: target.incarnation.id.to_string(),
            service: target.service.to_string(),
            source: source.to_owned(),
            age_ms: millis(now.since(at)),
        });
        self.changed.notify_waiters();
    }

    /// Records that a target refused a request and asked for a pause.
    pub fn record_pause(&self, target: &Target, asked: Duration) {
        let pause = self.pauses.borrow_mut().record(&target.incarnation, asked, Clock.now());
        Metrics::count(&self.metrics.pauses, "service", &target.service);
        emit(Event::TargetPaused {
            target: target.incarnation.id.to_string(),
            service: target.service.to_string(),
            asked_ms: millis(asked),
            pause_ms: millis(pause),
        });
    }

    /// Returns whether a target is leaving and its drain time is about to end.
    pub fn is_drained(&self, member: &Member, now: Stamp) -> bool {
        let limit = self.settings.drain_time.saturating_sub(DRAIN_MARGIN);
        member.draining_since.is_some_and(|since| now.since(since) > limit)
    }

    /// Returns the reason why a target must not receive a request at the moment, if there is one.
    pub fn exclusion(&self, target: &Target) -> Option<Reason> {
        let now = Clock.now();
        if self.pauses.borrow().end(&target.incarnation, now).is_some() {
            return Some(Reason::Paused);
        }
        let registry = self.registry.borrow();
        let member = registry
            .get(&target.incarnation.id)
            .filter(|member| member.target.incarnation == target.incarnation);
        member.is_some_and(|member| self.is_drained(member, now)).then_some(Reason::Leaving)
    }

    /// Records the registration of a target as of a revision.
    pub fn record_target(&self, target: Target, revision: u64) {
        self.history.borrow_mut().add(revision, &target.incarnation.id);
        let change = self.registry.borrow_mut().put(target, Clock.now());
        self.report_change(change);
    }

    /// Records changes of targets, such as removals, as of a revision.
    pub fn record_removals(&self, changes: Vec<Change>, revision: u64) {
        for change in changes {
            if let Change::Gone(target) = &change {
                self.history.borrow_mut().add(revision, &target.incarnation.id);
            }
            self.report_change(Some(change));
        }
    }

    /// Logs a change of the listed targets and updates the state that depends on it.
    fn report_change(&self, change: Option<Change>) {
        let revision = self.revision.get();
        let id_and_service =
            |target: &Target| (target.incarnation.id.to_string(), target.service.to_string());
        if matches!(change, Some(Change::Draining(_) | Change::Gone(_))) {
            self.departures.set(self.departures.get() + 1);
        }
        let event = match change {
            None => return,
            Some(Change::Joined(target)) => {
                if let Some(previous) =
                    self.registry.borrow().previous_incarnation(&target.incarnation)
                {
                    self.record_crash(&previous, &target.service);
                }
                let (id, service) = id_and_service(&target);
                let (address, born) = (target.address.to_string(), target.incarnation.born);
                self.estimates.borrow_mut().remove(&target.incarnation.id);
                Event::TargetListed { target: id, service, address, born, revision }
            }
            Some(Change::Draining(target)) => {
                let (target, service) = id_and_service(&target);
                Event::TargetDraining { target, service, revision }
            }
            Some(Change::Gone(target)) => {
                self.pool.remove(target.address);
                self.record_crash(&target.incarnation, &target.service);
                self.estimates.borrow_mut().remove(&target.incarnation.id);
                self.callers.borrow_mut().remove(&target.incarnation.id);
                let (target, service) = id_and_service(&target);
                Event::TargetUnlisted { target, service, revision }
            }
        };
        emit(event);
        self.changed.notify_waiters();
    }

    /// Records that an incarnation of a target is unreachable or has ended. Requests that it broke
    /// off shortly before are suspected as the cause.
    pub fn record_crash(&self, incarnation: &Incarnation, service: &str) {
        let now = Clock.now();
        for fingerprint in self.suspicions.borrow_mut().record_crash(incarnation, now) {
            let crash =
                Crash { target: name::Target::new(&incarnation.id), incarnation: incarnation.born };
            self.quarantine.borrow_mut().record_crash(fingerprint, crash, now);
            emit(Event::TargetCrashed {
                target: incarnation.id.to_string(),
                service: service.to_owned(),
                request: format!("{:016x}", fingerprint.0),
            });
        }
    }

    /// Returns a connection to a target to the pool, unless the target is leaving.
    pub fn keep_connection(&self, target: &Target, connection: Connection) {
        let leaving = {
            let registry = self.registry.borrow();
            let member = registry.get(&target.incarnation.id);
            member.is_some_and(|member| member.draining_since.is_some())
        };
        if leaving {
            return;
        }
        let current = self.active_configuration.borrow();
        let services = current.as_ref().map(|current| &current.configuration.services);
        let service = services.and_then(|services| services.get(&target.service));
        let max_connections = service.map_or(0, |service| {
            let accepted = service.max_connections;
            let shared = self.shares.borrow().idle_connections(target, accepted);
            let equal = || admission::idle_connections(accepted, self.instances.borrow().len());
            shared.unwrap_or_else(equal)
        });
        drop(current);
        self.pool.put_within(target.address, connection, max_connections);
    }

    /// Calls a function with the load estimate of a target.
    pub fn with_estimate<T>(&self, id: &Arc<str>, operate: impl FnOnce(&mut Estimate) -> T) -> T {
        operate(self.estimates.borrow_mut().entry(id.clone()).or_default())
    }

    /// Records a request for a service, which earns retries.
    pub fn record_request(&self, service: &Arc<str>) {
        let (instances, now) = (self.instances.borrow().len(), Clock.now());
        self.with_allowance(service, |allowance| allowance.record_request(instances, now));
    }

    /// Takes a retry from this instance's part of the fleet's budget for a service; returns whether
    /// there was one.
    pub fn try_retry(&self, service: &Arc<str>) -> bool {
        let (instances, now) = (self.instances.borrow().len(), Clock.now());
        self.with_allowance(service, |allowance| allowance.try_retry(instances, now))
    }

    fn with_allowance<T>(
        &self,
        service: &Arc<str>,
        operate: impl FnOnce(&mut Allowance) -> T,
    ) -> T {
        let options = allowance::Options {
            ratio: self.settings.retry_ratio,
            constant: self.settings.retry_floor,
            window: self.settings.retry_window,
        };
        let mut allowances = self.allowances.borrow_mut();
        let new = || Allowance::new(options, self.started);
        operate(allowances.entry(service.clone()).or_insert_with(new))
    }
}
