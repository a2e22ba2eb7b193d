//! What the parts of the process share. Everything runs on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
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
use caraway_call::budget;
use caraway_call::budget::Budget;
use caraway_call::quarantine;
use caraway_call::quarantine::Crash;
use caraway_call::quarantine::Quarantine;
use caraway_call::suspicion::Suspicions;
use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::admission;
use caraway_fleet::configuration::Configuration;
use caraway_fleet::configuration::Splitter;
use caraway_fleet::load::Estimate;
use caraway_fleet::membership::Change;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Registry;
use caraway_fleet::membership::Target;
use caraway_fleet::unowned::Ranges;
use caraway_fleet::view::Change as OwnersChange;
use caraway_fleet::view::View;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::http::Connection;
use crate::metrics::Metrics;
use crate::pool::Pool;

/// Parts that are used of the repeats that the fleet may make for its requests, and of those besides:
/// requests arrive at targets later than they are counted, and an instance that starts again does not
/// know what it has used.
const RATIO_SHARE: f64 = 0.92;
const FLOOR_SHARE: f64 = 0.6;

/// Requests that crash targets are refused after three crashes, since connections break and targets end
/// for other reasons too. Two minutes are longer than a target takes to start.
const QUARANTINE: quarantine::Options = quarantine::Options {
    max_crashes: 3,
    max_suspects: 10_000,
    retention: Duration::from_secs(120),
};

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Current {
    /// Decoded.
    pub configuration: Rc<Configuration>,
    /// As the store holds it, for instances that the store turns away.
    pub text: Arc<str>,
    /// A longer idle limit that was in force before, and until when callers may still rely on it.
    former_idle: (Duration, Stamp),
}

impl Current {
    /// Returns the time after which an idle connection of a caller may be closed.
    pub fn idle_limit(&self, now: Stamp) -> Duration {
        let (former, until) = self.former_idle;
        let limit = self.configuration.limits.idle_timeout;
        if now < until { limit.max(former) } else { limit }
    }
}

/// An instance, as it registers in the store.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Instance {
    /// Address for other instances.
    pub address: SocketAddr,
    /// Part of a processor core that it may use.
    pub processor: f64,
}

/// The coordinator, as the store names it.
#[derive(Clone, Debug)]
pub struct Leader {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Revision at which it took over.
    pub term: u64,
}

/// What a coordinator tells the others when it ends: how long the targets may hold keys under the grants
/// that it and its predecessors have sent.
#[derive(Clone, Debug, Default)]
pub struct Retirement {
    /// Revision of the tables that it wrote last.
    pub written: u64,
    /// Ends of the grants; other targets hold nothing.
    pub ends: HashMap<Incarnation, Stamp>,
}

/// Changes that are remembered; those of some seconds, also while all targets are replaced.
const CHANGES: usize = 1024;

/// Latest changes of the listed targets.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<(u64, Arc<str>)>,
    /// Revision up to which changes have been forgotten.
    floor: u64,
}

impl History {
    fn add(&mut self, revision: u64, id: &Arc<str>) {
        if self.changes.len() >= CHANGES
            && let Some((forgotten, _)) = self.changes.pop_front()
        {
            self.floor = self.floor.max(forgotten);
        }
        self.changes.push_back((revision, id.clone()));
    }

    /// Forgets everything: the targets are known as of a revision, and not what changed before.
    pub fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.floor = revision;
    }

    /// Returns the targets that changed after a revision, or none if that is not known.
    pub fn after(&self, revision: u64) -> Option<BTreeSet<Arc<str>>> {
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        (revision >= self.floor).then(|| later.map(|(_, id)| id.clone()).collect())
    }
}

/// State of the process.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: Settings,
    /// Idle connections.
    pub pool: Pool,
    /// Counters.
    pub metrics: Metrics,
    /// The configuration, once one is known.
    pub current: RefCell<Option<Current>>,
    /// Listed targets.
    pub registry: RefCell<Registry>,
    /// Revision of the store up to which configuration, targets and instances are known.
    pub revision: Cell<u64>,
    /// Whether everything up to that revision is known, so that following the changes is enough.
    pub complete: Cell<bool>,
    /// When the store last answered.
    pub heard: Cell<Option<Stamp>>,
    /// The own revision when another instance was first seen to know a newer one, and when.
    pub behind: Cell<Option<(u64, Stamp)>>,
    /// Whether the coordinator answers the reports of this instance and follows the store itself, so
    /// that this instance need not.
    pub accompanied: Cell<bool>,
    /// Whether the store does not answer this instance.
    pub failing: Cell<bool>,
    /// Latest changes of the listed targets, so that others can be told what they miss.
    pub history: RefCell<History>,
    /// Owners of keys.
    pub view: RefCell<View>,
    /// Keys that requests found without an owner.
    pub gaps: RefCell<Ranges>,
    /// Notified when the view, the targets or the load changes.
    pub changed: Notify,
    /// Notified when the coordinator has news.
    pub news: Notify,
    /// Number of targets that were seen to leave or to have left.
    pub notices: Cell<u64>,
    /// Notified when the watch of the store is to start anew.
    pub rewatch: Notify,
    /// Notified when the coordinator changes.
    pub leader_changed: Notify,
    /// Load of targets by id.
    pub gauges: RefCell<HashMap<Arc<str>, Estimate>>,
    /// Division of routes among services, by name of the route.
    pub dividers: RefCell<HashMap<Arc<str>, Splitter>>,
    /// Repeats by service.
    pub budgets: RefCell<HashMap<Arc<str>, Budget>>,
    /// Requests by service and key since they were last told to the coordinator.
    pub demand: RefCell<BTreeMap<Arc<str>, BTreeMap<u16, u32>>>,
    /// Requests whose connection broke while a target ran them.
    pub suspicions: RefCell<Suspicions<Incarnation>>,
    /// Looks whether targets have crashed.
    pub probes: RefCell<JoinSet<()>>,
    /// Requests that crashed targets.
    pub quarantine: RefCell<Quarantine>,
    /// Mean size of answers by service, in bytes.
    pub sizes: RefCell<HashMap<Arc<str>, f64>>,
    /// The instances by name.
    pub instances: RefCell<BTreeMap<Arc<str>, Instance>>,
    /// The coordinator, if there is one.
    pub leader: RefCell<Option<Leader>>,
    /// What the latest coordinator that ended in order has told.
    pub retired: RefCell<Retirement>,
    /// Revision at which the coordinator's record last changed, also when it was removed.
    pub leader_revision: Cell<u64>,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// Whether this instance is the coordinator.
    pub leading: Cell<bool>,
}

impl State {
    /// Makes the state of a process that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pool: Pool::default(),
            metrics: Metrics::new(),
            current: RefCell::default(),
            registry: RefCell::default(),
            revision: Cell::new(0),
            complete: Cell::new(false),
            heard: Cell::new(None),
            behind: Cell::new(None),
            accompanied: Cell::new(false),
            failing: Cell::new(false),
            history: RefCell::default(),
            view: RefCell::default(),
            gaps: RefCell::default(),
            changed: Notify::new(),
            news: Notify::new(),
            notices: Cell::new(0),
            rewatch: Notify::new(),
            leader_changed: Notify::new(),
            gauges: RefCell::default(),
            dividers: RefCell::default(),
            budgets: RefCell::default(),
            demand: RefCell::default(),
            suspicions: RefCell::default(),
            probes: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(QUARANTINE)),
            sizes: RefCell::default(),
            instances: RefCell::default(),
            leader: RefCell::default(),
            retired: RefCell::default(),
            leader_revision: Cell::new(0),
            stopping: Cell::new(false),
            leading: Cell::new(false),
        }
    }

    /// Returns the version of the configuration in force, or zero.
    pub fn version(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |current| current.configuration.version)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.current.borrow().as_ref().map(|current| current.configuration.clone())
    }

    /// Takes over a configuration if it is valid and newer.
    pub fn configure(&self, value: &[u8], revision: u64, source: &str) {
        let refuse = |error: String| emit(Event::ConfigurationRefused { revision, error });
        let configuration = match caraway_adapter::configuration::read(value) {
            Ok(configuration) => configuration,
            Err(error) => return refuse(error.to_string()),
        };
        let (version, in_force) = (configuration.version, self.version());
        if version <= in_force {
            if version < in_force {
                emit(Event::ConfigurationOld { version, in_force });
            }
            return;
        }
        let Ok(text) = std::str::from_utf8(value) else {
            return refuse("the text is not UTF-8".to_owned());
        };
        let mut current = self.current.borrow_mut();
        let now = Clock.now();
        let former = current.as_ref().map(|current| current.idle_limit(now)).unwrap_or_default();
        *current = Some(Current {
            // A connection that was idle when the limit changed was to stay open that long.
            former_idle: (former, now + former),
            configuration: Rc::new(configuration),
            text: text.into(),
        });
        drop(current);
        emit(Event::ConfigurationApplied { version, source: source.to_owned() });
        self.changed.notify_waiters();
    }

    /// Records who coordinates as of a revision, if that is newer than what is known.
    pub fn set_leader(&self, name: Option<&str>, revision: u64) {
        if revision <= self.leader_revision.get() {
            return;
        }
        self.leader_revision.set(revision);
        *self.leader.borrow_mut() = name.map(|name| Leader { name: name.into(), term: revision });
        self.leader_changed.notify_waiters();
    }

    /// Records what a coordinator told when it ended, if it is the latest.
    pub fn retire(&self, retirement: Retirement) {
        let mut known = self.retired.borrow_mut();
        if retirement.written > known.written {
            *known = retirement;
        }
    }

    /// Takes over a view of the owners if it is newer.
    pub fn own(&self, view: View) {
        let mut current = self.view.borrow_mut();
        if view.version <= current.version {
            return;
        }
        let (term, change) = (view.version.term, view.version.change);
        // The coordinator may be known from its own message before the store tells of it.
        self.set_leader(Some(&view.coordinator), term);
        *current = view;
        drop(current);
        emit(Event::OwnersApplied { term, change });
        self.changed.notify_waiters();
    }

    /// Takes over a change of the owners if it applies to those that are known.
    pub fn change_owners(&self, change: OwnersChange) {
        let after = self.view.borrow().with_change(&change);
        if let Some(view) = after {
            self.own(view);
        }
    }

    /// Records the entry of a target, as of a revision.
    pub fn list(&self, target: Target, revision: u64) {
        self.history.borrow_mut().add(revision, &target.incarnation.id);
        let change = self.registry.borrow_mut().put(target, Clock.now());
        self.note(change);
    }

    /// Records that targets are no longer listed, as of a revision.
    pub fn unlist(&self, changes: Vec<Change>, revision: u64) {
        for change in changes {
            if let Change::Gone(target) = &change {
                self.history.borrow_mut().add(revision, &target.incarnation.id);
            }
            self.note(Some(change));
        }
    }

    /// Reports a change of the listed targets.
    fn note(&self, change: Option<Change>) {
        let revision = self.revision.get();
        let named =
            |target: &Target| (target.incarnation.id.to_string(), target.service.to_string());
        if matches!(change, Some(Change::Draining(_) | Change::Gone(_))) {
            self.notices.set(self.notices.get() + 1);
        }
        let event = match change {
            None => return,
            Some(Change::Joined(target)) => {
                if let Some(former) =
                    self.registry.borrow().previous_incarnation(&target.incarnation)
                {
                    self.crashed(&former, &target.service);
                }
                let (id, service) = named(&target);
                let (address, born) = (target.address.to_string(), target.incarnation.born);
                self.gauges.borrow_mut().remove(&target.incarnation.id);
                Event::TargetListed { target: id, service, address, born, revision }
            }
            Some(Change::Draining(target)) => {
                let (target, service) = named(&target);
                Event::TargetDraining { target, service, revision }
            }
            Some(Change::Gone(target)) => {
                self.pool.forget(target.address);
                self.crashed(&target.incarnation, &target.service);
                self.gauges.borrow_mut().remove(&target.incarnation.id);
                let (target, service) = named(&target);
                Event::TargetUnlisted { target, service, revision }
            }
        };
        emit(event);
        self.changed.notify_waiters();
    }

    /// Records that a target cannot be reached, or has ended: requests that it broke off before may be the
    /// cause.
    pub fn crashed(&self, life: &Incarnation, service: &str) {
        let now = Clock.now();
        for fingerprint in self.suspicions.borrow_mut().record_crash(life, now) {
            let crash = Crash { target: name::Target::new(&life.id), incarnation: life.born };
            self.quarantine.borrow_mut().record_crash(fingerprint, crash, now);
            emit(Event::TargetCrashed {
                target: life.id.to_string(),
                service: service.to_owned(),
                request: format!("{:016x}", fingerprint.0),
            });
        }
    }

    /// Keeps a connection to a target for another request.
    pub fn keep(&self, target: &Target, connection: Connection) {
        let current = self.current.borrow();
        let services = current.as_ref().map(|current| &current.configuration.services);
        let service = services.and_then(|services| services.get(&target.service));
        let most = service.map_or(0, |service| {
            admission::idle_connections(service.max_connections, self.instances.borrow().len())
        });
        drop(current);
        self.pool.put_within(target.address, connection, most);
    }

    /// Runs a function on the load of a target.
    pub fn gauge<T>(&self, id: &Arc<str>, step: impl FnOnce(&mut Estimate) -> T) -> T {
        step(self.gauges.borrow_mut().entry(id.clone()).or_default())
    }

    /// Runs a function on the budget of repeats of a service. The fleet's allowance is linear in
    /// the requests, so the instances divide it without talking to each other: each counts its own
    /// requests and has an equal part of the constant.
    pub fn budget<T>(&self, service: &Arc<str>, step: impl FnOnce(&mut Budget) -> T) -> T {
        let instances = u32::try_from(self.instances.borrow().len()).unwrap_or(u32::MAX).max(1);
        let floor = self.settings.retry_floor * FLOOR_SHARE / f64::from(instances);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let ratio = self.settings.retry_ratio * RATIO_SHARE;
            Budget::with_options(budget::Options {
                ratio,
                min_retries: floor,
                window: self.settings.retry_window,
            })
        });
        budget.set_min_retries(floor);
        step(budget)
    }
}
