//! What instances tell each other.
//!
//! Every instance reports its load to the coordinator a few times a second and learns the load of
//! the others. With the answer come the owners of keys, the configuration and the targets, if the
//! answering instance knows newer ones; so an instance that the store turns away stays current.

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
pub const REPORT: &str = "/report";

/// Path of a view of the owners.
pub const OWNERS: &str = "/owners";

/// Path of what a coordinator tells when it ends.
pub const RETIRED: &str = "/retired";

/// Path of the word that there is news, which makes an instance report at once.
pub const NEWS: &str = "/news";

/// Time between two such words, in which news gathers, for each instance of a large fleet and at least.
const NEWS_PERIOD: Duration = Duration::from_millis(300);
const NEWS_PERIOD_PER_INSTANCE: Duration = Duration::from_millis(1);

/// Time for each instance over which the reports that follow are spread.
const NEWS_SPREAD: Duration = Duration::from_millis(1);

/// Time between two reports: load is known to others with about this delay.
const PERIOD: Duration = Duration::from_millis(300);

/// Time between two reports for each instance of a large fleet, so that the coordinator gets 150 a
/// second at most.
const PERIOD_PER_INSTANCE: Duration = Duration::from_micros(6600);

/// Longest time for a message to another instance.
const LIMIT: Duration = Duration::from_millis(500);

/// Age of the store's last answer from which what the coordinator knows is not relied on. While the
/// store is well, its watch and its lease bring an answer every 400 ms.
const FRESH: Duration = Duration::from_millis(900);

/// Time for which another instance may know a newer revision before the watch starts anew. It
/// covers the time in which changes gather and a slow answer.
const BEHIND: Duration = Duration::from_millis(600);

/// A report to the coordinator.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Report {
    name: Arc<str>,
    config: u64,
    revision: u64,
    owners: Version,
    demand: BTreeMap<Arc<str>, Vec<(u16, u32)>>,
    /// Target, requests under way, requests that were answered and their time in seconds, and requests
    /// that failed.
    loads: Vec<(Arc<str>, u32, u32, f64, u32)>,
    crashes: Crashes,
}

/// Fingerprints of requests that crashed targets: target, start of its life, milliseconds since.
type Crashes = Vec<(u64, Arc<str>, u64, u64)>;

/// What the other instance knows.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Knowledge {
    revision: u64,
    config: Option<String>,
    owners: Option<View>,
    /// Target, requests of other instances under way, mean time in seconds.
    loads: Vec<(Arc<str>, f64, f64)>,
    /// Targets that fail, with the share of their failures.
    failing: Vec<(Arc<str>, f64)>,
    /// Owners that cannot serve all requests for their keys, with the share that they can.
    shares: HashMap<Arc<str>, f64>,
    crashes: Crashes,
    /// Whether the answering instance is the coordinator.
    leading: bool,
    /// Whether the answering instance follows the store and hears from it.
    fresh: bool,
    targets: Option<Targets>,
    instances: Option<BTreeMap<Arc<str>, Instance>>,
    /// Name of the coordinator, if there is one, and the revision as of which that is known.
    leader: (Option<Arc<str>>, u64),
}

/// Listed targets: those that changed since the revision of a report, or all.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Targets {
    all: bool,
    listed: Vec<Target>,
    gone: Vec<Arc<str>>,
    /// Those of the listed that are leaving, with the milliseconds since that became known.
    leaving: Vec<(Arc<str>, u64)>,
}

/// What a coordinator tells when it ends.
#[derive(Debug, Deserialize, Serialize)]
pub struct Ends {
    /// Revision of the tables that it wrote last.
    written: u64,
    /// Targets and the milliseconds for which they may still hold keys.
    ends: Vec<(Incarnation, u64)>,
}

impl Ends {
    /// Returns the ends on the clock of this instance.
    pub fn received(self, now: Stamp) -> Retirement {
        let end = |(life, left)| (life, now + Duration::from_millis(left));
        Retirement { written: self.written, ends: self.ends.into_iter().map(end).collect() }
    }
}

/// Tells all other instances how long targets may hold keys after this coordinator has ended, and
/// returns when they know or do not answer.
pub async fn retire(state: &Rc<State>, written: u64, ends: Vec<(Incarnation, Duration)>) {
    let ends = ends.into_iter().map(|(life, left)| (life, millis(left))).collect();
    let ends = Ends { written, ends };
    let mut work = JoinSet::new();
    send_all(state, RETIRED, &ends, &mut work);
    state.retire(ends.received(Clock.now()));
    // An instance that does not learn of it waits longer for silent targets.
    let _ = timeout(LIMIT, work.join_all()).await;
}

/// Reports until the process ends.
pub async fn run(state: Rc<State>, reports: Rc<RefCell<Reports>>) {
    let mut failed: Option<Arc<str>> = None;
    loop {
        let count = u32::try_from(state.instances.borrow().len()).unwrap_or(u32::MAX);
        let period = PERIOD.max(PERIOD_PER_INSTANCE.saturating_mul(count));
        let pause = period.mul_f64(0.9 + 0.2 * rand::random::<f64>());
        if timeout(pause, state.news.notified()).await.is_ok() {
            sleep((NEWS_SPREAD * count).mul_f64(rand::random())).await;
        }
        let gone = state.registry.borrow_mut().expire(Clock.now());
        state.unlist(gone, state.revision.get());
        state.pool.expire();
        let leader = state.leader.borrow().as_ref().map(|leader| leader.name.clone());
        let to_leader = leader.filter(|leader| failed.as_ref() != Some(leader));
        failed = None;
        let report = report(&state);
        if to_leader.as_ref() == Some(&state.settings.name) {
            let knowledge = respond(&state, &reports, report);
            learn(&state, knowledge, &state.settings.name.clone());
            continue;
        }
        let peer = to_leader.clone().or_else(|| any_peer(&state));
        let instance = peer.as_ref().and_then(|peer| state.instances.borrow().get(peer).copied());
        let (Some(peer), Some(Instance { address, .. })) = (peer, instance) else {
            accompany(&state, false);
            continue;
        };
        match call::<Knowledge>(&state, address, REPORT, &report).await {
            Ok(knowledge) => {
                accompany(&state, knowledge.fresh && knowledge.leading);
                compare(&state, knowledge.revision);
                learn(&state, knowledge, &peer);
            }
            Err(error) => {
                emit(Event::PeerUnreached { peer: peer.to_string(), error });
                accompany(&state, false);
                // The next report goes to another instance.
                failed = to_leader;
            }
        }
    }
}

/// Follows the store again as soon as the coordinator does not do so for this instance.
fn accompany(state: &State, accompanied: bool) {
    if state.accompanied.replace(accompanied) && !accompanied {
        state.rewatch.notify_waiters();
    }
}

/// Starts the watch anew if another instance has known a newer revision for [`BEHIND`].
fn compare(state: &State, other: u64) {
    let (revision, now) = (state.revision.get(), Clock.now());
    match state.behind.get() {
        _ if other <= revision => {}
        // The revision has moved on since, so the watch works.
        Some((known, since)) if known == revision => {
            if now.since(since) > BEHIND && !state.failing.get() {
                emit(Event::WatchBehind { revision, peer_revision: other });
                state.behind.set(None);
                state.complete.set(false);
                state.rewatch.notify_waiters();
            }
        }
        _ => state.behind.set(Some((revision, now))),
    }
}

fn is_fresh(state: &State) -> bool {
    let now = Clock.now();
    !state.failing.get() && state.heard.get().is_some_and(|heard| now.since(heard) < FRESH)
}

fn any_peer(state: &State) -> Option<Arc<str>> {
    let instances = state.instances.borrow();
    let others = instances.keys().filter(|name| **name != state.settings.name);
    others.choose(&mut rand::rng()).cloned()
}

fn report(state: &State) -> Report {
    let demand = std::mem::take(&mut *state.demand.borrow_mut());
    let demand = demand.into_iter().map(|(service, keys)| (service, keys.into_iter().collect()));
    let mut loads = Vec::new();
    for (id, gauge) in state.gauges.borrow_mut().iter_mut() {
        let (ended, time) = std::mem::take(&mut gauge.unreported);
        let failed = std::mem::take(&mut gauge.unreported_failures);
        if gauge.in_flight > 0 || ended > 0 || failed > 0 {
            loads.push((id.clone(), gauge.in_flight, ended, time, failed));
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

/// Records a report and returns what the reporting instance does not know.
pub fn respond(state: &State, reports: &RefCell<Reports>, report: Report) -> Knowledge {
    let now = Clock.now();
    compare(state, report.revision);
    let mut knowledge = Knowledge {
        revision: state.revision.get(),
        leading: state.leading.get(),
        fresh: is_fresh(state),
        ..Knowledge::default()
    };
    merge_crashes(state, report.crashes);
    knowledge.crashes = crashes(state);
    if state.leading.get() {
        let mut reports = reports.borrow_mut();
        for (service, keys) in &report.demand {
            reports.add_demand(service, keys);
        }
        reports.mark_reported(&report.name, now);
        reports.clear_instance(&report.name);
        for (target, running, ended, time, failed) in &report.loads {
            reports.add_load(&report.name, target, *running, (*ended, *time), now);
            reports.add_outcomes(target, *ended, *failed, now);
        }
        knowledge.failing = reports.failing(now);
        knowledge.loads = pooled_loads(state, &reports, &report.name, now);
        knowledge.shares.clone_from(&reports.admitted_shares);
    }
    if let Some(current) = state.current.borrow().as_ref()
        && current.configuration.version > report.config
    {
        knowledge.config = Some(current.text.to_string());
    }
    let view = state.view.borrow();
    if view.version > report.owners {
        knowledge.owners = Some(view.clone());
    }
    if state.revision.get() > report.revision {
        knowledge.targets = Some(targets_since(state, report.revision));
        knowledge.instances = Some(state.instances.borrow().clone());
        let name = state.leader.borrow().as_ref().map(|leader| leader.name.clone());
        knowledge.leader = (name, state.leader_revision.get());
    }
    knowledge
}

/// Returns the load of targets that any instance may choose. Owners of keys cannot be chosen, and
/// their overload is told as shares.
fn pooled_loads(
    state: &State,
    reports: &Reports,
    except: &str,
    now: Stamp,
) -> Vec<(Arc<str>, f64, f64)> {
    let registry = state.registry.borrow();
    let configuration = state.configuration();
    let keyed = |service: &str| {
        let known = configuration.as_ref().and_then(|known| known.services.get(service));
        known.is_some_and(|service| service.keyed)
    };
    let pooled = |id: &str| registry.get(id).is_some_and(|m| !keyed(&m.target.service));
    let mut loads = reports.loads(except, now);
    loads.retain(|(id, _, _)| pooled(id));
    loads
}

fn targets_since(state: &State, revision: u64) -> Targets {
    let registry = state.registry.borrow();
    let mut targets = Targets::default();
    let now = Clock.now();
    let list = |targets: &mut Targets, member: &Member| {
        let target = &member.target;
        targets.listed.push((**target).clone());
        if let Some(since) = member.draining_since {
            targets.leaving.push((target.incarnation.id.clone(), millis(now.since(since))));
        }
    };
    let Some(ids) = state.history.borrow().after(revision) else {
        targets.all = true;
        let present = registry.members().filter(|member| member.missing_since.is_none());
        present.for_each(|member| list(&mut targets, member));
        return targets;
    };
    for id in ids {
        match registry.get(&id) {
            Some(member) => list(&mut targets, member),
            None => targets.gone.push(id),
        }
    }
    targets
}

fn learn(state: &State, knowledge: Knowledge, peer: &Arc<str>) {
    let revision = knowledge.revision;
    let note = |what: &str| {
        emit(Event::PeerFollowed { peer: peer.to_string(), what: what.to_owned(), revision });
    };
    if let Some(text) = knowledge.config {
        note("the configuration");
        state.configure(text.as_bytes(), revision, peer);
    }
    merge_crashes(state, knowledge.crashes);
    if let Some(view) = knowledge.owners {
        state.own(view);
    }
    {
        let mut gauges = state.gauges.borrow_mut();
        for gauge in gauges.values_mut() {
            gauge.others_in_flight = 0.0;
            gauge.admitted_share = 1.0;
            gauge.fleet_failure_ratio = 0.0;
        }
        for (target, share) in knowledge.failing {
            gauges.entry(target).or_default().fleet_failure_ratio = share;
        }
        for (target, share) in knowledge.shares {
            gauges.entry(target).or_default().admitted_share = share;
        }
        for (target, others, time) in knowledge.loads {
            let gauge = gauges.entry(target).or_default();
            gauge.others_in_flight = others;
            if time > 0.0 {
                gauge.service_time = time;
            }
        }
    }
    if revision <= state.revision.get() {
        return;
    }
    let Some(targets) = knowledge.targets else { return };
    if targets.all {
        note("all targets");
        let ids: HashSet<&Arc<str>> = targets.listed.iter().map(|t| &t.incarnation.id).collect();
        let listed = |id: &str| ids.contains(&Arc::from(id));
        let gone = state.registry.borrow_mut().reconcile(&listed, false, Clock.now());
        state.unlist(gone, revision);
        state.history.borrow_mut().restart(revision);
    }
    for id in &targets.gone {
        let change = state.registry.borrow_mut().remove(id, Clock.now());
        state.unlist(change.into_iter().collect(), revision);
    }
    state.revision.set(revision);
    for target in targets.listed {
        state.list(target, revision);
    }
    let now = Clock.now();
    for (id, age) in &targets.leaving {
        state.registry.borrow_mut().update_draining_since(id, now - Duration::from_millis(*age));
    }
    if let Some(instances) = knowledge.instances {
        *state.instances.borrow_mut() = instances;
    }
    let (name, term) = knowledge.leader;
    state.set_leader(name.as_deref(), term);
}

/// What the coordinator has told the others that there is news about.
#[derive(Debug, Default)]
pub struct Announcer {
    known: (u64, u64),
    at: Stamp,
}

impl Announcer {
    /// Tells the other instances that there is a newer configuration, or that targets leave, if so. Each
    /// gets it with the answer to the report that it sends then.
    pub fn announce(&mut self, state: &Rc<State>, now: Stamp, work: &mut JoinSet<()>) {
        let news = (state.version(), state.notices.get());
        let count = u32::try_from(state.instances.borrow().len()).unwrap_or(u32::MAX);
        let period = NEWS_PERIOD.max(NEWS_PERIOD_PER_INSTANCE.saturating_mul(count));
        if news == self.known || now.since(self.at) < period {
            return;
        }
        (self.known, self.at) = (news, now);
        send_all(state, NEWS, &(), work);
    }
}

/// Sends a change of the owners of keys to all other instances. An instance that gets no message, or
/// does not have the version before, learns the owners with the answer to its next report.
pub fn push(state: &Rc<State>, change: &Change, work: &mut JoinSet<()>) {
    send_all(state, OWNERS, change, work);
}

fn send_all(state: &Rc<State>, path: &'static str, body: &impl Serialize, work: &mut JoinSet<()>) {
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
        work.spawn_local(async move {
            let request = http::request("POST", path, address, &text);
            let answer = state.pool.exchange(address, &request, LIMIT).await;
            let result = if answer.is_ok() { "answered" } else { "failed" };
            Metrics::count(&state.metrics.messages, "result", &format!("{path} {result}"));
        });
    }
}

async fn call<T: DeserializeOwned>(
    state: &State,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<T, String> {
    let text = serde_json::to_string(body).map_err(|error| error.to_string())?;
    let request = http::request("POST", path, address, &text);
    let answer = state.pool.exchange(address, &request, LIMIT).await;
    let (head, body) = answer.map_err(|error| error.to_string())?;
    if head.status != 200 {
        return Err(format!("status {}", head.status));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
