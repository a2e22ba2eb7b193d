//! Messages between instances.
//!
//! Each instance reports its load to the coordinator several times a second and receives the load
//! of the others. The response also contains the owners of keys, the configuration and the targets
//! if the responding instance has newer ones, so that an instance that cannot reach the store stays
//! up to date.

mod crashes;
mod message;
mod report;
mod update;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::era::Revision;
use caraway_fleet::following::News;
use caraway_fleet::reports::Reports;
use caraway_fleet::view::Change;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::http;
use crate::metrics::Metrics;
use crate::pool::Bounds;
use crate::state::State;
use crate::sync::BATCH_DELAY;

pub use self::crashes::CrashLog;
pub use self::message::ANNOUNCEMENT_PATH;
pub use self::message::OWNERS_PATH;
pub use self::message::REPORT_PATH;
pub use self::message::RETIRED_PATH;
use self::message::Report;
pub use self::message::RetirementNotice;
use self::message::Update;
use self::report::build_query;
use self::report::build_report;
pub use self::report::handle_report;
use self::update::apply_update;

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

/// Interval between reports while an instance looks for another one that is up to date, and the
/// time for which it does after it last followed one. Its last news is older by an interval between
/// reports, so it watches the store itself during most of that time.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);
const SEARCH_TIME: Duration = Duration::from_secs(2);

/// Length of the encoded values of a field that has no content.
const EMPTY_BYTES: usize = 5;

/// Timeout of a message to another instance.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Additional time for an update that keeps arriving: one with a configuration of a megabyte takes
/// seconds on a slow link.
const UPDATE_TIME: Duration = Duration::from_secs(5);

/// Time for which another instance may know a newer revision before the watch is restarted. It
/// covers the batching of changes and a slow response.
const MAX_WATCH_LAG: Duration = Duration::from_millis(600);

/// Announces the outstanding grants of this coordinator to all other instances; returns when they
/// have responded or after a timeout.
pub async fn retire(state: &Rc<State>, notice: RetirementNotice) {
    let mut tasks = JoinSet::new();
    broadcast(state, RETIRED_PATH, &notice, &mut tasks);
    state.record_retirement(notice.received(Clock.now()));
    // An instance that misses the announcement waits for the longest possible grants instead.
    let _ = timeout(MESSAGE_TIMEOUT, tasks.join_all()).await;
}

/// Sends reports periodically, and after announcements, until the process exits.
pub async fn run(state: Rc<State>, reports: Rc<RefCell<Reports>>) {
    // Position of the instance to ask if the coordinator is not up to date.
    let mut attempt = 0;
    // Whether another instance is looked for, and when one was last followed.
    let (mut searching, mut followed_at) = (true, Clock.now());
    // Time until which the coordinator is not asked, since it failed to respond or is not up to
    // date: neither its timeout nor a crowd of reports must delay the search for another source.
    let mut skip_leader_until = Stamp::default();
    let mut leader_responded_at = Stamp::default();
    loop {
        let count = u32::try_from(state.instances.borrow().len()).unwrap_or(u32::MAX);
        let period = REPORT_INTERVAL.max(REPORT_INTERVAL_PER_INSTANCE.saturating_mul(count));
        let urgent = searching && Clock.now().since(followed_at) < SEARCH_TIME;
        let pause = if urgent { SEARCH_INTERVAL } else { period };
        let pause = pause.mul_f64(0.9 + 0.2 * rand::random::<f64>());
        if timeout(pause, state.announcement.notified()).await.is_ok() {
            sleep((ANNOUNCEMENT_SPREAD * count).mul_f64(rand::random())).await;
        }
        let gone = state.registry.borrow_mut().expire(Clock.now());
        state.record_removals(gone, state.revision.get());
        state.pool.expire();
        if state.leading.get() {
            let report = build_report(&state);
            let update = handle_report(&state, &reports, report);
            apply_update(&state, update, &state.settings.name.clone());
            (attempt, searching, followed_at) = (0, false, Clock.now());
            continue;
        }
        let leader = state.other_leader().filter(|_| Clock.now() >= skip_leader_until);
        if let Some(leader) = leader {
            let response = exchange(&state, &leader, build_report(&state)).await;
            if response.is_some() {
                leader_responded_at = Clock.now();
            }
            if response == Some(true) {
                (attempt, searching, followed_at) = (0, false, Clock.now());
                continue;
            }
            skip_leader_until = Clock.now() + period;
        }
        // A deputy that is up to date itself and reaches the coordinator needs no other source. It
        // would keep that one from following the coordinator again.
        let reaches_leader = Clock.now().since(leader_responded_at) < period * 3;
        if reaches_leader && state.is_fresh() && state.is_deputy() {
            (attempt, searching, followed_at) = (0, false, Clock.now());
            continue;
        }
        let name = &state.settings.name;
        let Some(source) = state.with_fleet(|fleet| fleet.source(name, attempt).cloned()) else {
            continue;
        };
        searching = exchange(&state, &source, build_query(&state)).await != Some(true);
        if searching {
            attempt += 1;
        } else {
            followed_at = Clock.now();
        }
    }
}

/// Sends a report to another instance and applies the response. Returns whether this instance
/// follows the other one, or `None` if it did not respond.
async fn exchange(state: &State, peer: &Arc<str>, mut report: Report) -> Option<bool> {
    let address = state.instances.borrow().get(peer).map(|instance| instance.address)?;
    let (rows, crashes_sent, received) = state.crashes.borrow().for_report(peer);
    (report.crashes, report.crashes_after, report.crashes_received) =
        (rows.in_flight, rows.completed, received);
    let sent = Clock.now();
    match call::<Update>(state, address, REPORT_PATH, &report).await {
        Ok(update) => {
            let received = update.crashes_sent;
            state.crashes.borrow_mut().record_response(peer, crashes_sent, received);
            let news = News {
                source: peer.clone(),
                leading: update.leading,
                fresh: update.fresh,
                sent,
                age: Duration::from_millis(update.age_ms),
            };
            check_lag(state, update.revision);
            // What an instance knows of an earlier era is not followed.
            let fresh = update.fresh && update.revision.era == state.era();
            let news = News { fresh, ..news };
            // The source may have had changes to read while it batched them.
            let viewed_at = news.sent - news.age - BATCH_DELAY;
            if fresh && state.store_failing.get() && state.is_deputy() {
                // The store responds to others, and this instance is the source of some.
                state.store_recovered.notify_waiters();
            }
            apply_update(state, update, peer);
            let followed = state.follow(|following, deputy, now| {
                if !fresh {
                    following.record_failure(peer, deputy);
                }
                following.record_news(news, deputy, now)
            });
            if followed {
                state.viewed_at.set(state.viewed_at.get().max(Some(viewed_at)));
            }
            Some(followed)
        }
        Err(error) => {
            emit(Event::PeerUnreached { peer: peer.to_string(), error });
            state.follow(|following, deputy, _| following.record_failure(peer, deputy));
            None
        }
    }
}

/// Restarts the watch if another instance has known a newer revision for [`MAX_WATCH_LAG`].
fn check_lag(state: &State, peer_revision: Revision) {
    if peer_revision.era > state.era() {
        state.observe_era(peer_revision.era, "another instance");
    }
    let (revision, now) = (state.revision.get(), Clock.now());
    match state.peer_ahead.get() {
        _ if peer_revision <= revision => {}
        // The own revision has not changed since, so the watch may be stuck.
        Some((known, since)) if known == revision => {
            if now.since(since) > MAX_WATCH_LAG && !state.store_failing.get() {
                let (revision, peer_revision) = (revision.number, peer_revision.number);
                emit(Event::WatchBehind { revision, peer_revision });
                state.peer_ahead.set(None);
                state.synchronized.set(false);
                state.watch_restart.notify_waiters();
            }
        }
        _ => state.peer_ahead.set(Some((revision, now))),
    }
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
    state.owner_changes.borrow_mut().add(change.clone());
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
    let kind = path.trim_start_matches('/');
    let instances = state.instances.borrow();
    let others = instances.iter().filter(|(name, _)| **name != state.settings.name);
    for (_, instance) in others {
        let (state, address, text) = (state.clone(), instance.address, text.clone());
        state.metrics.count_bytes(kind, text.len());
        tasks.spawn_local(async move {
            let request = http::request("POST", path, address, &text);
            let response =
                state.pool.exchange(address, &request, &Bounds::message(MESSAGE_TIMEOUT)).await;
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
    state.metrics.count_bytes(path.trim_start_matches('/'), text.len());
    let request = http::request("POST", path, address, &text);
    let bounds = Bounds { extension: UPDATE_TIME, ..Bounds::message(MESSAGE_TIMEOUT) };
    let response = state.pool.exchange(address, &request, &bounds).await;
    let (head, body) = response.map_err(|error| error.to_string())?;
    if head.status != 200 {
        return Err(format!("status {}", head.status));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Encodes the response to a report and counts the bytes of each of its fields.
///
/// # Errors
///
/// Fails if it cannot be encoded.
pub fn encode_update(state: &State, update: &Update) -> serde_json::Result<String> {
    let text = serde_json::to_string(update)?;
    let fields: HashMap<&str, &RawValue> = serde_json::from_str(&text)?;
    for (name, value) in fields {
        // Fields that are empty are a constant part of each response.
        let kind = if value.get().len() > EMPTY_BYTES { name } else { "other" };
        state.metrics.count_bytes(&format!("update_{kind}"), name.len() + value.get().len());
    }
    Ok(text)
}
