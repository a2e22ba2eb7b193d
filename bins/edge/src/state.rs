//! State shared by the tasks of the process, all of which run on one thread.

mod entries;
mod generation;
mod source;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
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
use caraway_call::quarantine::Identity;
use caraway_call::quarantine::Quarantine;
use caraway_call::quarantine::Report;
use caraway_call::suspicion::End;
use caraway_call::suspicion::Loss;
use caraway_call::suspicion::Suspicions;
use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::admission;
use caraway_fleet::allowance;
use caraway_fleet::allowance::Allowance;
use caraway_fleet::backoff::Backoff;
use caraway_fleet::classes::Classes;
use caraway_fleet::configuration::Configuration;
use caraway_fleet::configuration::Splitter;
use caraway_fleet::descriptors;
use caraway_fleet::era;
use caraway_fleet::era::Retirement;
use caraway_fleet::era::Revision;
use caraway_fleet::evacuation::Evacuations;
use caraway_fleet::following::Following;
use caraway_fleet::load::Estimate;
use caraway_fleet::membership::Change;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Member;
use caraway_fleet::membership::Objection;
use caraway_fleet::membership::Registry;
use caraway_fleet::membership::Target;
use caraway_fleet::memory::Budget;
use caraway_fleet::pause::Pauses;
use caraway_fleet::refusal::Callers;
use caraway_fleet::share::Shares;
use caraway_fleet::unowned::Ranges;
use caraway_fleet::view;
use caraway_fleet::view::Change as OwnersChange;
use caraway_fleet::view::View;
use caraway_fleet::warmup;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::http::Connection;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::peers::CrashLog;
use crate::pool::Pool;
use crate::reason::Reason;
use crate::shutdown::Shutdown;

pub use self::entries::History;

/// Time before the end of a target's drain time from which it receives no more requests. It covers
/// the time in which a request is in transit.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

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
    pub term: Revision,
}

/// State of the process.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: Settings,
    /// Pool of connections to targets, the store and other instances.
    pub pool: Pool,
    /// Memory budget of requests and responses.
    pub memory: Rc<Memory>,
    /// Shares of the descriptors.
    pub descriptors: descriptors::Shares,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The configuration in force, once one was received.
    pub active_configuration: RefCell<Option<ActiveConfiguration>>,
    /// Targets listed in the store.
    pub registry: RefCell<Registry>,
    /// Store revision as of which configuration, targets and instances are known.
    pub revision: Cell<Revision>,
    /// Whether the state as of that revision is complete, so that no full read is needed before watching.
    pub synchronized: Cell<bool>,
    /// Time of the latest successful response of the store.
    pub last_store_response: Cell<Option<Stamp>>,
    /// Own revision at the time when another instance was first seen to know a newer one, and that time.
    pub peer_ahead: Cell<Option<(Revision, Stamp)>>,
    /// From whom this instance learns the contents of the store.
    following: RefCell<Following>,
    /// Delay between calls to the store that fail.
    pub store_backoff: RefCell<Backoff>,
    /// Notified when the store responds again after failures.
    pub store_recovered: Notify,
    /// Whether the latest attempt to follow the store failed.
    pub store_failing: Cell<bool>,
    /// Recent changes of the listed targets, for incremental updates to other instances.
    pub history: RefCell<History>,
    /// Owners of the keys of all keyed services.
    pub view: RefCell<View>,
    /// Recent changes of the owners, for other instances.
    pub owner_changes: RefCell<view::Log>,
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
    /// Evacuations of failure domains.
    pub evacuations: RefCell<Evacuations>,
    /// Shares of this instance in the requests to cold targets.
    pub warmup: RefCell<warmup::Shares>,
    /// Keys of entries in the store that cannot be read.
    ignored_entries: RefCell<HashSet<String>>,
    /// Why readable entries of targets are not used, by id.
    objections: RefCell<HashMap<Arc<str>, Objection>>,
    /// This instance's shares of the targets of services without keys.
    pub shares: RefCell<Shares>,
    /// Urgent and other requests by service.
    pub classes: RefCell<HashMap<Arc<str>, Classes>>,
    /// Callers that wait or were refused, by service, and by target for owners of keys.
    pub callers: RefCell<HashMap<Arc<str>, Callers>>,
    /// Load estimates by target id.
    pub estimates: RefCell<HashMap<Arc<str>, Estimate>>,
    /// Time as of which all changes of the store are known, if it was read since the start.
    pub viewed_at: Cell<Option<Stamp>>,
    /// When the coordinator last sent the load of other instances.
    pub loads_at: Cell<Stamp>,
    /// Names of routes with responses that were streamed.
    pub streamed_routes: RefCell<HashSet<Arc<str>>>,
    /// Traffic splitters by route name.
    pub splitters: RefCell<HashMap<Arc<str>, Splitter>>,
    /// Time at which the process started.
    started: Stamp,
    /// Parts of the retry budgets by service, earned since the process started.
    allowances: RefCell<HashMap<Arc<str>, Allowance>>,
    /// Number of requests by service and key since the last report to the coordinator.
    pub demand: RefCell<BTreeMap<Arc<str>, BTreeMap<u16, u32>>>,
    /// Attempts after whose end the target may turn out to have crashed.
    pub suspicions: RefCell<Suspicions<Incarnation>>,
    /// Notified when a request completes.
    pub completed: Notify,
    /// Running probes for crashed targets.
    pub crash_probes: RefCell<JoinSet<()>>,
    /// Requests that have crashed targets.
    pub quarantine: RefCell<Quarantine>,
    /// Crashes that are passed on to other instances.
    pub crashes: RefCell<CrashLog>,
    /// Mean response size by service, in bytes.
    pub response_sizes: RefCell<HashMap<Arc<str>, f64>>,
    /// Registered instances by name.
    pub instances: RefCell<BTreeMap<Arc<str>, Instance>>,
    /// Revisions of the latest known changes of the registrations, including removals.
    instance_revisions: RefCell<BTreeMap<Arc<str>, Revision>>,
    /// Revision as of which a registration of an instance last changed.
    pub instances_revision: Cell<Revision>,
    /// The coordinator, if there is one.
    pub leader: RefCell<Option<Leader>>,
    /// Latest era of the store that this process has seen.
    pub latest_era: Cell<era::Latest>,
    /// Era of the latest complete state.
    pub complete_era: Cell<u64>,
    /// Highest fencing token of each service that this instance has seen.
    pub fences: RefCell<BTreeMap<Arc<str>, u64>>,
    /// Announcement of the latest coordinator that retired.
    pub retirement: RefCell<Retirement>,
    /// Revision of the latest change of the coordinator's record, including its removal.
    pub leader_revision: Cell<Revision>,
    /// Planned stop of the process.
    pub shutdown: Shutdown,
    /// Whether this instance is the coordinator.
    pub leading: Cell<bool>,
}

impl State {
    /// Creates the initial state, without data from the store.
    pub fn new(settings: Settings) -> Self {
        let warmup = RefCell::new(warmup::Shares::new(settings.name.clone()));
        let evacuations = RefCell::new(Evacuations::new(settings.evacuation_time));
        // Without a limit of the platform, memory is not limited.
        let budget = match (settings.ingress.memory_mb, settings.memory_mb) {
            (Some(megabytes), _) => Budget::new(megabytes.saturating_mul(1_000_000)),
            (None, Some(megabytes)) => Budget::of_machine(megabytes.saturating_mul(1_000_000)),
            (None, None) => Budget::new(u64::MAX),
        };
        let limit = settings.max_descriptors;
        let mut descriptors = limit.map_or(descriptors::Shares::UNLIMITED, descriptors::Shares::of);
        descriptors.callers = settings.ingress.max_connections.unwrap_or(descriptors.callers);
        descriptors.requests = settings.ingress.max_requests.unwrap_or(descriptors.requests);
        Self {
            evacuations,
            warmup,
            memory: Memory::new(budget),
            descriptors,
            pool: Pool::default(),
            metrics: Metrics::new(),
            active_configuration: RefCell::default(),
            registry: RefCell::new(Registry::for_named_services()),
            revision: Cell::default(),
            synchronized: Cell::new(false),
            last_store_response: Cell::new(None),
            peer_ahead: Cell::new(None),
            following: RefCell::new(Following::new(settings.name.clone(), Clock.now())),
            store_backoff: RefCell::default(),
            store_recovered: Notify::new(),
            store_failing: Cell::new(false),
            history: RefCell::default(),
            view: RefCell::default(),
            owner_changes: RefCell::default(),
            unowned: RefCell::default(),
            changed: Notify::new(),
            announcement: Notify::new(),
            departures: Cell::new(0),
            watch_restart: Notify::new(),
            leader_changed: Notify::new(),
            pauses: RefCell::default(),
            ignored_entries: RefCell::default(),
            objections: RefCell::default(),
            shares: RefCell::default(),
            classes: RefCell::default(),
            callers: RefCell::default(),
            estimates: RefCell::default(),
            viewed_at: Cell::new(None),
            loads_at: Cell::new(Stamp::default()),
            streamed_routes: RefCell::default(),
            splitters: RefCell::default(),
            started: Clock.now(),
            allowances: RefCell::default(),
            demand: RefCell::default(),
            suspicions: RefCell::default(),
            completed: Notify::new(),
            crash_probes: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(QUARANTINE)),
            crashes: RefCell::new(CrashLog::new(QUARANTINE.retention)),
            response_sizes: RefCell::default(),
            instances: RefCell::default(),
            instance_revisions: RefCell::default(),
            instances_revision: Cell::default(),
            leader: RefCell::default(),
            latest_era: Cell::default(),
            complete_era: Cell::new(0),
            fences: RefCell::default(),
            retirement: RefCell::default(),
            leader_revision: Cell::default(),
            shutdown: Shutdown::default(),
            leading: Cell::new(false),
            settings,
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
        self.list_named_targets();
        self.forget_removed_routes();
        self.changed.notify_waiters();
    }

    /// Forgets the routes that the configuration no longer has.
    fn forget_removed_routes(&self) {
        let Some(configuration) = self.configuration() else { return };
        let routes = configuration.hosts.values().flatten();
        let names: HashSet<&Arc<str>> = routes.map(|route| &route.name).collect();
        self.streamed_routes.borrow_mut().retain(|name| names.contains(name));
    }

    /// Applies a view of the owners if it is newer.
    pub fn apply_view(&self, view: View) {
        let mut current = self.view.borrow_mut();
        if view.version <= current.version {
            return;
        }
        let (term, change) = (view.version.term, view.version.change);
        self.record_fences(&view);
        // The message of a new coordinator may arrive before the change of its record in the store.
        self.set_leader(Some(&view.coordinator), term);
        *current = view;
        drop(current);
        emit(Event::OwnersApplied { term: term.number, change });
        self.changed.notify_waiters();
    }

    /// Applies an incremental change of the owners if it is based on the current view.
    pub fn apply_owner_change(&self, change: OwnersChange) {
        let changed = self.view.borrow().with_change(&change);
        if let Some(view) = changed {
            self.owner_changes.borrow_mut().add(change);
            self.apply_view(view);
        }
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

    /// Records that a target refused a request, which may have been a probe, and asked for a pause.
    pub fn record_pause(&self, target: &Target, asked: Duration, probe: bool) {
        let (now, incarnation) = (Clock.now(), &target.incarnation);
        let mut pauses = self.pauses.borrow_mut();
        let pause = if probe {
            pauses.record_probe_refusal(incarnation, asked, now)
        } else {
            pauses.record(incarnation, asked, now)
        };
        drop(pauses);
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
        member.drain_age_unknown
            || member.draining_since.is_some_and(|since| now.since(since) > limit)
    }

    /// Returns the reason why a target must not receive a request at the moment, if there is one.
    pub fn exclusion(&self, target: &Target, repeatable: bool) -> Option<Reason> {
        let now = Clock.now();
        if self.pauses.borrow().next(&target.incarnation, repeatable, now).is_some() {
            return Some(Reason::Paused);
        }
        let registry = self.registry.borrow();
        let member = registry
            .get(&target.incarnation.id)
            .filter(|member| member.target.incarnation == target.incarnation);
        let member = member?;
        if self.is_drained(member, now) {
            return Some(Reason::Leaving);
        }
        self.is_barred(member, now).then_some(Reason::Evacuated)
    }

    /// Records the end of an attempt at a target; returns whether the target should be probed.
    pub fn record_end(&self, target: &Target, request: Identity, end: End) -> bool {
        let mut suspicions = self.suspicions.borrow_mut();
        let probe = suspicions.record_end(&target.incarnation, request, end, Clock.now());
        if end == End::Complete {
            self.completed.notify_one();
        }
        probe
    }

    /// Records that a target answered a request that was sent at `sent`.
    pub fn record_answer(&self, target: &Target, sent: Stamp) {
        let settled = self.suspicions.borrow_mut().record_answer(&target.incarnation, sent);
        self.clear(settled);
    }

    /// Clears requests that have completed, without a crash of their target, of earlier crashes.
    pub fn clear(&self, requests: Vec<Identity>) {
        let mut quarantine = self.quarantine.borrow_mut();
        for request in requests {
            quarantine.record_completion(request);
        }
    }

    /// Records that an incarnation of a target was lost. Requests whose attempts ended shortly
    /// before are suspected as the cause.
    pub fn record_loss(&self, incarnation: &Incarnation, service: &str, loss: Loss) {
        let now = Clock.now();
        for (request, phase) in self.suspicions.borrow_mut().record_loss(incarnation, loss, now) {
            let crash =
                Crash { target: name::Target::new(&incarnation.id), incarnation: incarnation.born };
            let report = Report { request, crash, age: Duration::ZERO };
            self.quarantine.borrow_mut().merge_in_phase(report, phase, now);
            self.crashes.borrow_mut().add(request, phase, &incarnation.id, incarnation.born);
            emit(Event::TargetCrashed {
                target: incarnation.id.to_string(),
                service: service.to_owned(),
                request: format!("{:016x}", request.fingerprint.0),
                phase: phase.as_str().to_owned(),
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
