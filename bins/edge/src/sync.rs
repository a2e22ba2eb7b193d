//! Synchronization with the store: configuration, targets, instances, coordinator and owners.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use caraway_adapter::configuration;
use caraway_adapter::store;
use caraway_adapter::store::Item;
use caraway_adapter::store::Page;
use caraway_adapter::target;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::coordinator::Tables;
use caraway_fleet::era::Revision;
use caraway_fleet::following;
use caraway_fleet::view::View;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::evacuation;
use crate::state::State;
use crate::store::send;

/// Key prefix of the entries that instances write.
const OWN_PREFIX: &str = "caraway/";

/// Key prefix of the registrations of instances.
pub const INSTANCE_PREFIX: &str = "caraway/instance/";

/// Key of the coordinator's record.
pub const COORDINATOR_KEY: &str = "caraway/coordinator";

/// Key of the ownership tables of all keyed services in era 0; the keys of other eras begin with it.
pub const OWNERS_KEY: &str = "caraway/owners";

/// Longest time for which a watch waits; it returns sooner if there are changes. The store may keep
/// a watch open without delivering changes; this limit, together with the reports between
/// instances, still leaves time to apply a configuration.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Delay after a watch that returned changes, to batch further ones: each call to the store is billed.
pub const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Size of a watch response from which on the next watch starts at once.
const LARGE_RESPONSE_BYTES: usize = 256 << 10;

/// Longest time for which the watch of a deputy waits. A deputy counts as up to date only if the
/// store has responded within the last 900 ms, and it makes no other calls.
const DEPUTY_WATCH_WAIT: Duration = Duration::from_millis(600);

/// Time in which an instance that starts registers: it does so 700 ms after its start.
const REGISTRATION_TIME: Duration = Duration::from_millis(900);

/// Mean time for which an instance waits for another one to send everything, once the store
/// responds. A deputy calls the store every second at least and reads everything at once.
const SOURCE_TIME: Duration = Duration::from_secs(2);

/// Mean time for which an instance waits for another one during an outage of the store before it
/// calls the store itself.
const OUTAGE_TIME: Duration = Duration::from_secs(1);

/// Interval of checks whether another instance has sent everything.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which an instance that follows another one checks whether it still does.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Follows the store, or waits while another instance is followed, until the process exits.
pub async fn run(state: Rc<State>) {
    let mut outage_start: Option<Stamp> = None;
    loop {
        let Err(error) = follow(&state, &mut outage_start).await else { continue };
        state.store_failing.set(true);
        // Forces a full read after the outage: registrations missing in it are kept for a grace
        // period, unlike those that are removed while the store is watched.
        state.synchronized.set(false);
        if outage_start.is_none() {
            emit(Event::StoreUnreachable { error });
            outage_start = Some(Clock.now());
        }
        state.wait_for_store().await;
    }
}

/// Records that the store has responded, which ends an outage.
fn end_outage(state: &State, outage_start: &mut Option<Stamp>) {
    state.store_failing.set(false);
    if let Some(start) = outage_start.take() {
        emit(Event::StoreReachable { outage_ms: millis(Clock.now().since(start)) });
    }
}

/// Reads everything unless the state is complete, then watches for changes until a restart of the
/// watch is requested or another instance is followed.
async fn follow(state: &Rc<State>, outage_start: &mut Option<Stamp>) -> Result<(), String> {
    // The first watch responds at once and thereby shows that this instance is up to date.
    let mut wait = Duration::ZERO;
    loop {
        if !state.watches_store() {
            // Each call to the store is billed; another instance forwards its changes.
            let _ = timeout(CHECK_INTERVAL, state.watch_restart.notified()).await;
            return Ok(());
        }
        if !state.synchronized.get() {
            if wait_for_source(state).await? {
                return Ok(());
            }
            // After a restoration, entries may be missing until their writers write them again.
            let outage = outage_start.is_some() || state.complete_era.get() != state.era();
            let revision = read_snapshot(state, outage).await?;
            state.complete_era.set(revision.era);
            state.revision.set(state.revision.get().max(revision));
            state.synchronized.set(true);
            end_outage(state, outage_start);
        }
        let after = state.revision.get();
        let call = store::watch("", after.number, wait);
        let (known, sent) = (state.viewed_at.get(), Clock.now());
        let response = tokio::select! {
            response = send(state, &call, "watch", wait) => response,
            () = state.watch_restart.notified() => return Ok(()),
        };
        let size = response.as_ref().map_or(0, |(_, body)| body.len());
        let page = match response {
            Ok((status, body)) => store::parse_page(status, &body),
            Err(error) => return Err(error.to_string()),
        };
        let page = match page {
            Ok(page) => page,
            // The history was compacted, so everything is read again.
            Err(caraway_adapter::errors::Error::Refused(410)) => {
                state.synchronized.set(false);
                return Ok(());
            }
            Err(error) => return Err(error.to_string()),
        };
        end_outage(state, outage_start);
        let now = Clock.now();
        let since = known.map(|known| following::changed_since(known, sent, now));
        apply(state, &page, since);
        state.viewed_at.set(Some(following::viewed_at(sent, now)));
        let revision = Revision::new(state.era(), page.revision);
        state.revision.set(state.revision.get().max(revision));
        // After a large response, more changes are probably waiting.
        if !page.items.is_empty() && size < LARGE_RESPONSE_BYTES {
            sleep(BATCH_DELAY).await;
        }
        wait = if state.leading.get() { WATCH_WAIT } else { DEPUTY_WATCH_WAIT };
    }
}

/// Waits until another instance that is up to date has sent everything, which saves a full read of
/// the store. Returns whether one has.
async fn wait_for_source(state: &Rc<State>) -> Result<bool, String> {
    let started = state.revision.get() == Revision::default();
    let relied_on = || state.leading.get() || state.is_deputy();
    if started {
        discover(state).await?;
        if state.instances.borrow().is_empty() {
            // All instances may be starting for the first time.
            sleep(REGISTRATION_TIME).await;
            discover(state).await?;
        }
    } else if !relied_on() {
        if poll_source(state, OUTAGE_TIME).await {
            return Ok(true);
        }
        // Shows whether the store responds. If it does, deputies read everything soon.
        discover(state).await?;
    }
    let others = state.instances.borrow().keys().any(|name| *name != state.settings.name);
    // A deputy is the source of others, unless it has just started beside a coordinator.
    let waits = !relied_on() || started && state.other_leader().is_some();
    Ok(others && waits && poll_source(state, SOURCE_TIME).await)
}

/// Waits until another instance has sent everything, on average for `limit`. Returns whether one
/// has.
async fn poll_source(state: &State, limit: Duration) -> bool {
    let end = Clock.now() + limit.mul_f64(0.75 + 0.5 * rand::random::<f64>());
    while Clock.now() < end && !state.leading.get() && !state.synchronized.get() {
        sleep(POLL_INTERVAL).await;
    }
    state.synchronized.get()
}

/// Reads the coordinator's record and the first registrations of instances with one call, to find
/// other instances.
async fn discover(state: &Rc<State>) -> Result<(), String> {
    let call = store::read_range(OWN_PREFIX, None);
    let response = send(state, &call, "range", Duration::ZERO).await;
    let (status, body) = response.map_err(|error| error.to_string())?;
    let page = store::parse_page(status, &body).map_err(|error| error.to_string())?;
    apply(state, &page, state.viewed_at.get());
    Ok(())
}

/// Reads all keys and returns the revision of the first page.
async fn read_snapshot(state: &Rc<State>, outage: bool) -> Result<Revision, String> {
    // Includes unreadable entries: they replace no earlier ones.
    let mut seen: HashSet<String> = HashSet::new();
    let mut last: Option<String> = None;
    let mut first = None;
    let (known, sent) = (state.viewed_at.get(), Clock.now());
    loop {
        let call = store::read_range("", last.as_deref());
        let (status, body) =
            send(state, &call, "range", Duration::ZERO).await.map_err(|error| error.to_string())?;
        let page = store::parse_page(status, &body).map_err(|error| error.to_string())?;
        // The watch starts at the revision of the first page, so that no change between pages is missed.
        let revision = *first.get_or_insert(Revision::new(state.era(), page.revision));
        if last.is_none() {
            state.history.borrow_mut().restart(revision);
        }
        apply(state, &page, known);
        seen.extend(page.items.into_iter().map(|item| item.key));
        seen.extend(page.unreadable.into_iter().filter_map(|item| item.key));
        if page.more {
            if page.last_key <= last {
                return Err("the store returned a page without an end".to_owned());
            }
            last = page.last_key;
            continue;
        }
        state.viewed_at.set(Some(sent));
        remove_unlisted(state, &seen, outage, revision);
        return Ok(revision);
    }
}

/// Removes targets, instances and the coordinator that are missing in a complete read.
fn remove_unlisted(state: &State, seen: &HashSet<String>, outage: bool, revision: Revision) {
    let listed = seen.iter().filter_map(|key| key.strip_prefix(target::PREFIX)).map(Into::into);
    state.reconcile_targets(&listed.collect(), outage, revision);
    let evacuated = |domain: &str| seen.contains(&format!("{}{domain}", evacuation::PREFIX));
    // An evacuation that a restoration has lost stays in force until the operator writes it again.
    if state.complete_era.get() == revision.era {
        state.retain_evacuations(&evacuated, revision);
    }
    let registered = |name: &str| seen.contains(&format!("{INSTANCE_PREFIX}{name}"));
    state.retain_instances(&registered, revision);
    if !seen.contains(COORDINATOR_KEY) {
        state.set_leader(None, revision);
    }
}

/// Applies a page of entries that were written at `since` at the earliest, unless they are known.
/// Without it, the entries may have been there for long.
fn apply(state: &State, page: &Page, since: Option<Stamp>) {
    for item in &page.items {
        apply_item(state, item, since);
    }
    for item in &page.unreadable {
        let key = item.key.clone().unwrap_or_default();
        state.ignore_entry(&key, &item.error.to_string());
    }
}

fn apply_item(state: &State, item: &Item, since: Option<Stamp>) {
    // A response of another era is not applied.
    let revision = Revision::new(state.era(), item.revision);
    if item.key == configuration::KEY {
        if let Some(value) = &item.value {
            state.configure(value, item.revision, "store");
        }
    } else if let Some(id) = item.key.strip_prefix(target::PREFIX) {
        match &item.value {
            None => {
                state.accept_entry(&item.key);
                state.remove_target(id, revision);
            }
            Some(value) => match target::read(id, value) {
                Ok(target) => {
                    state.accept_entry(&item.key);
                    state.record_target(target, revision);
                    // The drain time runs from the acknowledgement of the entry.
                    match since {
                        Some(since) => state.registry.borrow_mut().update_draining_since(id, since),
                        None => state.registry.borrow_mut().record_unknown_drain_age(id),
                    }
                }
                Err(error) => state.ignore_entry(&item.key, &error.to_string()),
            },
        }
    } else if let Some(domain) = item.key.strip_prefix(evacuation::PREFIX) {
        state.apply_evacuation(domain, item.value.is_some(), revision);
    } else if let Some(name) = item.key.strip_prefix(INSTANCE_PREFIX) {
        let instance = item.value.as_deref().map(serde_json::from_slice);
        match instance.transpose() {
            Ok(instance) => state.record_instance(name, instance, revision),
            Err(error) => state.ignore_entry(&item.key, &error.to_string()),
        }
    } else if item.key.starts_with(OWNERS_KEY) {
        // The coordinator's messages are newer and more detailed; the tables are used until its first one.
        if state.view.borrow().version.term > Revision::default() {
            return;
        }
        let tables = item.value.as_deref().map(serde_json::from_slice::<Tables>);
        match tables {
            Some(Ok(tables)) => state.apply_view(View::from_tables(&tables, revision)),
            Some(Err(error)) => {
                let (key, error) = (item.key.clone(), error.to_string());
                emit(Event::RecordInvalid { key, error });
            }
            None => {}
        }
    } else if item.key == COORDINATOR_KEY {
        let name = item.value.as_deref().and_then(|value| std::str::from_utf8(value).ok());
        state.set_leader(name, revision);
    }
}
