//! Messages between instances.
//!
//! Each instance reports its load to the coordinator several times a second and receives the load
//! of the others. The response also contains the owners of keys, the configuration and the targets
//! if the responding instance has newer ones, so that an instance that cannot reach the store stays
//! up to date.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_call::quarantine;
use caraway_call::quarantine::Crash;
use caraway_call::quarantine::Fingerprint;
use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::admission;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Member;
use caraway_fleet::membership::Target;
use caraway_fleet::reports::Reports;
use caraway_fleet::view::Change;
use caraway_fleet::view::Version;
use caraway_fleet::view::View;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::http;
use crate::metrics::Metrics;
use crate::state::Instance;
use crate::state::Retirement;
use crate::state::State;

/// Path of a report.
pub const REPORT_PATH: &str = "/report";

/// Path of a change of the owners.
pub const OWNERS_PATH: &str = "/owners";

/// Path of the announcement of outstanding grants by a retiring coordinator.
pub const RETIRED_PATH: &str = "/retired";

/// Path of an announcement that an update is available, which makes the receiver report at once.
pub const ANNOUNCEMENT_PATH: &str = "/news";

/// Minimum interval between announcements, to batch updates: in total, and for each instance of a
/// large fleet.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);
const ANNOUNCEMENT_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(1);

/// Time per instance over which the reports after an announcement are spread at random.
const ANNOUNCEMENT_SPREAD: Duration = Duration::from_millis(1);

/// Minimum interval between reports, which is about the age of the load that other instances know.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between reports per instance of a large fleet, which limits the coordinator's load to
/// 150 reports a second.
const REPORT_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(6600);

/// Timeout of a message to another instance.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Age of the latest response of the store above which an instance does not count as up to date.
/// While the store is available, the coordinator's watch and lease renewals yield a response at
/// least every 400 ms.
const MAX_STORE_AGE: Duration = Duration::from_millis(900);

/// Time for which another instance may know a newer revision before the watch is restarted. It
/// covers the batching of changes and a slow response.
const MAX_WATCH_LAG: Duration = Duration::from_millis(600);

/// A report to the coordinator.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Report {
    name: Arc<str>,
    config: u64,
    revision: u64,
    owners: Version,
    demand: BTreeMap<Arc<str>, Vec<(u16, u32)>>,
    /// For each target: in-flight requests, completed requests and their total service time in
    /// seconds, and failed requests.
    loads: Vec<(Arc<str>, u32, u32, f64, u32)>,
    crashes: Crashes,
    #[serde(default)]
    departures: Departures,
}

/// Crashes: fingerprint of the request, target, start time of its incarnation, and age in milliseconds.
type Crashes = Vec<(u64, Arc<str>, u64, u64)>;

/// Targets that have recently announced their departure, and the milliseconds since.
type Departures = Vec<(Incarnation, u64)>;

/// Response to a report: what the reporting instance does not know yet.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Update {
    revision: u64,
    config: Option<String>,
    owners: Option<View>,
    /// For each target: in-flight requests of other instances, and mean service time in seconds.
    loads: Vec<(Arc<str>, f64, f64)>,
    /// Failing targets with their failure ratios.
    failing: Vec<(Arc<str>, f64)>,
    /// Overloaded owners of keys with the share of requests that they can serve.
    shares: HashMap<Arc<str>, f64>,
    crashes: Crashes,
    #[serde(default)]
    departures: Departures,
    /// Whether the responding instance is the coordinator.
    leading: bool,
    /// Whether the responding instance is up to date with the store.
    fresh: bool,
    targets: Option<Targets>,
    instances: Option<BTreeMap<Arc<str>, Instance>>,
    /// Name of the coordinator, if there is one, and the revision of this information.
    leader: (Option<Arc<str>>, u64),
}

/// Targets that have changed since the revision of a report, or all targets.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Targets {
    all: bool,
    listed: Vec<Target>,
    gone: Vec<Arc<str>>,
    /// Draining targets among the listed ones, with the milliseconds since they were first seen draining.
    leaving: Vec<(Arc<str>, u64)>,
}

/// Announcement of the outstanding grants of a retiring coordinator.
#[derive(Debug, Deserialize, Serialize)]
pub struct RetirementNotice {
    /// Revision of the tables that the coordinator wrote last.
    written: u64,
    /// Targets, and the milliseconds for which they may still hold keys.
    ends: Vec<(Incarnation, u64)>,
}

impl RetirementNotice {
    /// Converts the announcement to the clock of this instance.
    pub fn received(self, now: Stamp) -> Retirement {
        let expiry = |(incarnation, left)| (incarnation, now + Duration::from_millis(left));
        Retirement {
            tables_revision: self.written,
            grant_expiries: self.ends.into_iter().map(expiry).collect(),
        }
    }
}

/// Announces the outstanding grants of this coordinator to all other instances; returns when they
/// have responded or after a timeout.
pub async fn retire(state: &Rc<State>, tables_revision: u64, grants: Vec<(Incarnation, Duration)>) {
    let ends = grants.into_iter().map(|(incarnation, left)| (incarnation, millis(left))).collect();
    let notice = RetirementNotice { written: tables_revision, ends };
    let mut tasks = JoinSet::new();
    broadcast(state, RETIRED_PATH, &notice, &mut tasks);
    state.record_retirement(notice.received(Clock.now()));
    // An instance that misses the announcement waits for the longest possible grants instead.
    let _ = timeout(MESSAGE_TIMEOUT, tasks.join_all()).await;
}

/// Sends reports periodically, and after announcements, until the process exits.
pub async fn run(state: Rc<State>, reports: Rc<RefCell<Reports>>) {
    let mut failed_leader: Option<Arc<str>> = None;
    loop {
        let count = u32::try_from(state.instances.borrow().len()).unwrap_or(u32::MAX);
        let period = REPORT_INTERVAL.max(REPORT_INTERVAL_PER_INSTANCE.saturating_mul(count));
        let pause = period.mul_f64(0.9 + 0.2 * rand::random::<f64>());
        if timeout(pause, state.announcement.notified()).await.is_ok() {
            sleep((ANNOUNCEMENT_SPREAD * count).mul_f64(rand::random())).await;
        }
        let gone = state.registry.borrow_mut().expire(Clock.now());
        state.record_removals(gone, state.revision.get());
        state.pool.expire();
        let leader = state.leader.borrow().as_ref().map(|leader| leader.name.clone());
        let to_leader = leader.filter(|leader| failed_leader.as_ref() != Some(leader));
        failed_leader = None;
        let report = build_report(&state);
        if to_leader.as_ref() == Some(&state.settings.name) {
            let update = handle_report(&state, &reports, report);
            apply_update(&state, update, &state.settings.name.clone());
            continue;
        }
        let peer = to_leader.clone().or_else(|| random_peer(&state));
        let instance = peer.as_ref().and_then(|peer| state.instances.borrow().get(peer).cloned());
        let (Some(peer), Some(Instance { address, .. })) = (peer, instance) else {
            set_watch_delegated(&state, false);
            continue;
        };
        match call::<Update>(&state, address, REPORT_PATH, &report).await {
            Ok(update) => {
                set_watch_delegated(&state, update.fresh && update.leading);
                check_lag(&state, update.revision);
                apply_update(&state, update, &peer);
            }
            Err(error) => {
                emit(Event::PeerUnreached { peer: peer.to_string(), error });
                set_watch_delegated(&state, false);
                // The next report goes to another instance.
                failed_leader = to_leader;
            }
        }
    }
}

/// Sets whether the coordinator watches the store for this instance; if it no longer does, the
/// watch is restarted.
fn set_watch_delegated(state: &State, delegated: bool) {
    if state.watch_delegated.replace(delegated) && !delegated {
        state.watch_restart.notify_waiters();
    }
}

/// Restarts the watch if another instance has known a newer revision for [`MAX_WATCH_LAG`].
fn check_lag(state: &State, peer_revision: u64) {
    let (revision, now) = (state.revision.get(), Clock.now());
    match state.peer_ahead.get() {
        _ if peer_revision <= revision => {}
        // The own revision has not changed since, so the watch may be stuck.
        Some((known, since)) if known == revision => {
            if now.since(since) > MAX_WATCH_LAG && !state.store_failing.get() {
                emit(Event::WatchBehind { revision, peer_revision });
                state.peer_ahead.set(None);
                state.synchronized.set(false);
                state.watch_restart.notify_waiters();
            }
        }
        _ => state.peer_ahead.set(Some((revision, now))),
    }
}

/// Returns whether this instance is up to date with the store.
fn is_fresh(state: &State) -> bool {
    let now = Clock.now();
    !state.store_failing.get()
        && state.last_store_response.get().is_some_and(|at| now.since(at) < MAX_STORE_AGE)
}

fn random_peer(state: &State) -> Option<Arc<str>> {
    let instances = state.instances.borrow();
    let others = instances.keys().filter(|name| **name != state.settings.name);
    others.choose(&mut rand::rng()).cloned()
}

/// Builds a report and resets the counts that it contains.
fn build_report(state: &State) -> Report {
    let demand = std::mem::take(&mut *state.demand.borrow_mut());
    let demand = demand.into_iter().map(|(service, keys)| (service, keys.into_iter().collect()));
    let mut loads = Vec::new();
    let now = Clock.now();
    for (id, estimate) in state.estimates.borrow_mut().iter_mut() {
        let in_flight = estimate.live_in_flight(now);
        let (completed, time) = std::mem::take(&mut estimate.unreported);
        let failed = std::mem::take(&mut estimate.unreported_failures);
        if in_flight > 0 || completed > 0 || failed > 0 {
            loads.push((id.clone(), in_flight, completed, time, failed));
        }
    }
    Report {
        name: state.settings.name.clone(),
        config: state.version(),
        revision: state.revision.get(),
        owners: state.view.borrow().version,
        demand: demand.collect(),
        loads,
        crashes: crashes(state),
        departures: departures(state),
    }
}

fn departures(state: &State) -> Departures {
    let now = Clock.now();
    let registry = state.registry.borrow();
    let row =
        |(incarnation, at): (&Incarnation, Stamp)| (incarnation.clone(), millis(now.since(at)));
    registry.recent_departures(now).map(row).collect()
}

fn merge_departures(state: &State, departures: Departures, source: &str) {
    let now = Clock.now();
    for (incarnation, age) in departures {
        state.record_departure(&incarnation, now - Duration::from_millis(age), source);
    }
}

fn crashes(state: &State) -> Crashes {
    let now = Clock.now();
    let reports = state.quarantine.borrow().reports(now);
    let row = |report: quarantine::Report| {
        let target = report.crash.target.as_str().into();
        (report.fingerprint.0, target, report.crash.incarnation, millis(report.age))
    };
    reports.into_iter().map(row).collect()
}

fn merge_crashes(state: &State, crashes: Crashes) {
    let now = Clock.now();
    for (fingerprint, target, incarnation, age) in crashes {
        let report = quarantine::Report {
            fingerprint: Fingerprint(fingerprint),
            crash: Crash { target: name::Target::new(&target), incarnation },
            age: Duration::from_millis(age),
        };
        state.quarantine.borrow_mut().merge(report, now);
    }
}

/// Records a report and returns what the reporting instance does not know yet.
pub fn handle_report(state: &State, reports: &RefCell<Reports>, report: Report) -> Update {
    let now = Clock.now();
    check_lag(state, report.revision);
    let mut update = Update {
        revision: state.revision.get(),
        leading: state.leading.get(),
        fresh: is_fresh(state),
        ..Update::default()
    };
    merge_crashes(state, report.crashes);
    update.crashes = crashes(state);
    merge_departures(state, report.departures, &report.name);
    update.departures = departures(state);
    if state.leading.get() {
        let mut reports = reports.borrow_mut();
        for (service, keys) in &report.demand {
            reports.add_demand(service, keys);
        }
        reports.mark_reported(&report.name, now);
        reports.clear_instance(&report.name);
        for (target, in_flight, completed, time, failed) in &report.loads {
            reports.add_load(&report.name, target, *in_flight, (*completed, *time), now);
            reports.add_outcomes(target, *completed, *failed, now);
        }
        update.failing = reports.failing(now);
        update.loads = pooled_loads(state, &reports, &report.name, now);
        update.shares.clone_from(&reports.admitted_shares);
    }
    if let Some(current) = state.active_configuration.borrow().as_ref()
        && current.configuration.version > report.config
    {
        update.config = Some(current.text.to_string());
    }
    let view = state.view.borrow();
    if view.version > report.owners {
        update.owners = Some(view.clone());
    }
    if state.revision.get() > report.revision {
        update.targets = Some(targets_since(state, report.revision));
        update.instances = Some(state.instances.borrow().clone());
        let name = state.leader.borrow().as_ref().map(|leader| leader.name.clone());
        update.leader = (name, state.leader_revision.get());
    }
    update
}

/// Returns the load of targets of services without keys. For keyed services, where the owner of a
/// key is the only choice, the admitted shares are sent, and in a large fleet the load of owners
/// without free slots.
fn pooled_loads(
    state: &State,
    reports: &Reports,
    except: &str,
    now: Stamp,
) -> Vec<(Arc<str>, f64, f64)> {
    let registry = state.registry.borrow();
    let configuration = state.configuration();
    let is_keyed = |service: &str| {
        let settings = configuration.as_ref().and_then(|current| current.services.get(service));
        settings.is_some_and(|service| service.keyed)
    };
    let instances = state.instances.borrow().len();
    let is_sent = |target: &Target, others: f64| {
        let (slots, large) = (target.slots, admission::is_large(target.slots, instances));
        !is_keyed(&target.service) || large && others >= f64::from(slots)
    };
    let mut loads = reports.loads(except, now);
    loads.retain(|(id, others, _)| registry.get(id).is_some_and(|m| is_sent(&m.target, *others)));
    loads
}

/// Returns the targets that have changed after a revision, or all targets if the history does not
/// reach back to it.
fn targets_since(state: &State, revision: u64) -> Targets {
    let registry = state.registry.borrow();
    let mut targets = Targets::default();
    let now = Clock.now();
    let add = |targets: &mut Targets, member: &Member| {
        let target = &member.target;
        targets.listed.push((**target).clone());
        if let Some(since) = member.draining_since {
            targets.leaving.push((target.incarnation.id.clone(), millis(now.since(since))));
        }
    };
    let Some(ids) = state.history.borrow().after(revision) else {
        targets.all = true;
        let present = registry.members().filter(|member| member.missing_since.is_none());
        present.for_each(|member| add(&mut targets, member));
        return targets;
    };
    for id in ids {
        match registry.get(&id) {
            Some(member) => add(&mut targets, member),
            None => targets.gone.push(id),
        }
    }
    targets
}

/// Applies what another instance has sent in response to a report.
fn apply_update(state: &State, update: Update, peer: &Arc<str>) {
    let revision = update.revision;
    let log_update = |what: &str| {
        emit(Event::PeerFollowed { peer: peer.to_string(), what: what.to_owned(), revision });
    };
    if let Some(text) = update.config {
        log_update("the configuration");
        state.configure(text.as_bytes(), revision, peer);
    }
    merge_crashes(state, update.crashes);
    merge_departures(state, update.departures, peer);
    if let Some(view) = update.owners {
        state.apply_view(view);
    }
    {
        let mut estimates = state.estimates.borrow_mut();
        for estimate in estimates.values_mut() {
            estimate.others_in_flight = 0.0;
            estimate.admitted_share = 1.0;
            estimate.fleet_failure_ratio = 0.0;
        }
        for (target, ratio) in update.failing {
            estimates.entry(target).or_default().fleet_failure_ratio = ratio;
        }
        for (target, share) in update.shares {
            estimates.entry(target).or_default().admitted_share = share;
        }
        for (target, others, time) in update.loads {
            let estimate = estimates.entry(target).or_default();
            estimate.others_in_flight = others;
            if time > 0.0 {
                estimate.service_time = time;
            }
        }
    }
    if revision <= state.revision.get() {
        return;
    }
    let Some(targets) = update.targets else { return };
    if targets.all {
        log_update("all targets");
        let ids: HashSet<&Arc<str>> = targets.listed.iter().map(|t| &t.incarnation.id).collect();
        let listed = |id: &str| ids.contains(&Arc::from(id));
        let gone = state.registry.borrow_mut().reconcile(&listed, false, Clock.now());
        state.record_removals(gone, revision);
        state.history.borrow_mut().restart(revision);
    }
    for id in &targets.gone {
        let change = state.registry.borrow_mut().remove(id, Clock.now());
        state.record_removals(change.into_iter().collect(), revision);
    }
    state.revision.set(revision);
    for target in targets.listed {
        state.record_target(target, revision);
    }
    let now = Clock.now();
    for (id, age) in &targets.leaving {
        state.registry.borrow_mut().update_draining_since(id, now - Duration::from_millis(*age));
    }
    if let Some(instances) = update.instances {
        *state.instances.borrow_mut() = instances;
    }
    let (name, term) = update.leader;
    state.set_leader(name.as_deref(), term);
}

/// Announces updates of the coordinator to the other instances.
#[derive(Debug, Default)]
pub struct Announcer {
    /// Configuration version and number of departures that were announced last.
    announced: (u64, u64),
    announced_at: Stamp,
}

impl Announcer {
    /// Announces a new configuration version or departing targets, if there are any. Each instance
    /// then sends a report and receives them in the response.
    pub fn announce(&mut self, state: &Rc<State>, now: Stamp, tasks: &mut JoinSet<()>) {
        let latest = (state.version(), state.departures.get());
        let count = u32::try_from(state.instances.borrow().len()).unwrap_or(u32::MAX);
        let period =
            ANNOUNCEMENT_INTERVAL.max(ANNOUNCEMENT_INTERVAL_PER_INSTANCE.saturating_mul(count));
        if latest == self.announced || now.since(self.announced_at) < period {
            return;
        }
        (self.announced, self.announced_at) = (latest, now);
        broadcast(state, ANNOUNCEMENT_PATH, &(), tasks);
    }
}

/// Sends a change of the owners of keys to all other instances. An instance that misses it, or does
/// not have the version that it is based on, receives the owners in the response to its next
/// report.
pub fn push_owners(state: &Rc<State>, change: &Change, tasks: &mut JoinSet<()>) {
    broadcast(state, OWNERS_PATH, change, tasks);
}

/// Sends a message to all other instances, each in its own task.
fn broadcast(
    state: &Rc<State>,
    path: &'static str,
    body: &impl Serialize,
    tasks: &mut JoinSet<()>,
) {
    let text: Arc<str> = match serde_json::to_string(body) {
        Ok(text) => text.into(),
        Err(error) => {
            let task = format!("message {path}");
            emit(Event::TaskFailed { task, error: error.to_string() });
            return;
        }
    };
    let instances = state.instances.borrow();
    let others = instances.iter().filter(|(name, _)| **name != state.settings.name);
    for (_, instance) in others {
        let (state, address, text) = (state.clone(), instance.address, text.clone());
        tasks.spawn_local(async move {
            let request = http::request("POST", path, address, &text);
            let response = state.pool.exchange(address, &request, MESSAGE_TIMEOUT).await;
            let result = if response.is_ok() { "answered" } else { "failed" };
            Metrics::count(&state.metrics.messages, "result", &format!("{path} {result}"));
        });
    }
}

/// Sends a request to another instance and decodes the response.
async fn call<T: DeserializeOwned>(
    state: &State,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<T, String> {
    let text = serde_json::to_string(body).map_err(|error| error.to_string())?;
    let request = http::request("POST", path, address, &text);
    let response = state.pool.exchange(address, &request, MESSAGE_TIMEOUT).await;
    let (head, body) = response.map_err(|error| error.to_string())?;
    if head.status != 200 {
        return Err(format!("status {}", head.status));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
