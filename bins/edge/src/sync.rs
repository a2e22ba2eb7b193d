//! Synchronization with the store: configuration, targets, instances, coordinator and owners.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use caraway_adapter::configuration;
use caraway_adapter::store;
use caraway_adapter::store::Item;
use caraway_adapter::store::Page;
use caraway_adapter::target;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::coordinator::Tables;
use caraway_fleet::view::View;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::evacuation;
use crate::state::State;
use crate::store::send;

/// Key prefix of the registrations of instances.
pub const INSTANCE_PREFIX: &str = "caraway/instance/";

/// Key of the coordinator's record.
pub const COORDINATOR_KEY: &str = "caraway/coordinator";

/// Key of the ownership tables of all keyed services.
pub const OWNERS_KEY: &str = "caraway/owners";

/// Longest time for which a watch waits; it returns sooner if there are changes. The store may keep
/// a watch open without delivering changes; this limit, together with the reports between
/// instances, still leaves time to apply a configuration.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Delay after a watch that returned changes, to batch further ones: each call to the store is billed.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Size of a watch response from which on the next watch starts at once.
const LARGE_RESPONSE_BYTES: usize = 256 << 10;

/// Delay between attempts while the store fails.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Follows the store until the process exits.
pub async fn run(state: Rc<State>) {
    let mut outage_start: Option<Stamp> = None;
    loop {
        let result = follow(&state, outage_start.is_some()).await;
        let error = match result {
            Ok(()) => continue,
            Err(error) => error,
        };
        let now = Clock.now();
        state.store_failing.set(true);
        // Forces a full read after the outage: registrations missing in it are kept for a grace
        // period, unlike those that are removed while the store is watched.
        state.synchronized.set(false);
        if outage_start.is_none() {
            emit(Event::StoreUnreachable { error });
        }
        let since = *outage_start.get_or_insert(now);
        sleep(RETRY_DELAY).await;
        if state.last_store_response.get().is_some_and(|at| at > since) {
            let outage_ms = millis(now.since(since));
            emit(Event::StoreReachable { outage_ms });
            outage_start = None;
        }
    }
}

/// Reads everything unless the state is complete, then watches for changes until a restart of the
/// watch is requested.
async fn follow(state: &Rc<State>, outage: bool) -> Result<(), String> {
    if !state.synchronized.get() {
        let revision = read_snapshot(state, outage).await?;
        state.revision.set(state.revision.get().max(revision));
        state.synchronized.set(true);
    }
    state.store_failing.set(false);
    loop {
        if state.watch_delegated.get() && !state.leading.get() {
            // Each call to the store is billed; the coordinator forwards the changes that it receives.
            state.watch_restart.notified().await;
            return Ok(());
        }
        let after = state.revision.get();
        let call = store::watch("", after, WATCH_WAIT);
        let response = tokio::select! {
            response = send(state, &call, "watch", WATCH_WAIT) => response,
            () = state.watch_restart.notified() => return Ok(()),
        };
        let size = response.as_ref().map_or(0, |(_, body)| body.len());
        let page = match response {
            Ok((status, body)) => store::parse_page(status, &body),
            // A failed watch does not imply an outage of the store; the full read that follows shows one.
            Err(_) => {
                state.synchronized.set(false);
                return Ok(());
            }
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
        apply(state, &page);
        state.revision.set(state.revision.get().max(page.revision));
        // After a large response, more changes are probably waiting.
        if !page.items.is_empty() && size < LARGE_RESPONSE_BYTES {
            sleep(BATCH_DELAY).await;
        }
    }
}

/// Reads all keys and returns the revision of the first page.
async fn read_snapshot(state: &Rc<State>, outage: bool) -> Result<u64, String> {
    // Includes unreadable entries: they replace no earlier ones.
    let mut seen: HashSet<String> = HashSet::new();
    let mut last: Option<String> = None;
    let mut first = None;
    loop {
        let call = store::read_range("", last.as_deref());
        let (status, body) =
            send(state, &call, "range", Duration::ZERO).await.map_err(|error| error.to_string())?;
        let page = store::parse_page(status, &body).map_err(|error| error.to_string())?;
        // The watch starts at the revision of the first page, so that no change between pages is missed.
        let revision = *first.get_or_insert(page.revision);
        if last.is_none() {
            state.history.borrow_mut().restart(revision);
        }
        apply(state, &page);
        seen.extend(page.items.into_iter().map(|item| item.key));
        seen.extend(page.unreadable.into_iter().filter_map(|item| item.key));
        if page.more {
            if page.last_key <= last {
                return Err("the store returned a page without an end".to_owned());
            }
            last = page.last_key;
            continue;
        }
        remove_unlisted(state, &seen, outage, revision);
        return Ok(revision);
    }
}

/// Removes targets, instances and the coordinator that are missing in a complete read.
fn remove_unlisted(state: &State, seen: &HashSet<String>, outage: bool, revision: u64) {
    let listed = |id: &str| seen.contains(&format!("{}{id}", target::PREFIX));
    let gone = state.registry.borrow_mut().reconcile(&listed, outage, Clock.now());
    state.record_removals(gone, revision);
    let evacuated = |domain: &str| seen.contains(&format!("{}{domain}", evacuation::PREFIX));
    state.retain_evacuations(&evacuated, revision);
    let registered = |name: &str| seen.contains(&format!("{INSTANCE_PREFIX}{name}"));
    state.instances.borrow_mut().retain(|name, _| registered(name));
    if !seen.contains(COORDINATOR_KEY) {
        state.set_leader(None, revision);
    }
}

fn apply(state: &State, page: &Page) {
    for item in &page.items {
        apply_item(state, item);
    }
    for item in &page.unreadable {
        let key = item.key.clone().unwrap_or_default();
        state.ignore_entry(&key, &item.error.to_string());
    }
}

fn apply_item(state: &State, item: &Item) {
    if item.key == configuration::KEY {
        if let Some(value) = &item.value {
            state.configure(value, item.revision, "store");
        }
    } else if let Some(id) = item.key.strip_prefix(target::PREFIX) {
        match &item.value {
            None => {
                state.accept_entry(&item.key);
                let change = state.registry.borrow_mut().remove(id, Clock.now());
                state.record_removals(change.into_iter().collect(), item.revision);
            }
            Some(value) => match target::read(id, value) {
                Ok(target) => {
                    state.accept_entry(&item.key);
                    state.record_target(target, item.revision);
                }
                Err(error) => state.ignore_entry(&item.key, &error.to_string()),
            },
        }
    } else if let Some(domain) = item.key.strip_prefix(evacuation::PREFIX) {
        state.apply_evacuation(domain, item.value.is_some(), item.revision);
    } else if let Some(name) = item.key.strip_prefix(INSTANCE_PREFIX) {
        let instance = item.value.as_deref().map(serde_json::from_slice);
        let mut instances = state.instances.borrow_mut();
        match instance {
            Some(Ok(instance)) => {
                instances.insert(name.into(), instance);
            }
            Some(Err(error)) => state.ignore_entry(&item.key, &error.to_string()),
            None => {
                instances.remove(name);
            }
        }
    } else if item.key == OWNERS_KEY {
        // The coordinator's messages are newer and more detailed; the tables are used until its first one.
        if state.view.borrow().version.term > 0 {
            return;
        }
        let tables = item.value.as_deref().map(serde_json::from_slice::<Tables>);
        match tables {
            Some(Ok(tables)) => state.apply_view(View::from_tables(&tables, item.revision)),
            Some(Err(error)) => {
                let (key, error) = (item.key.clone(), error.to_string());
                emit(Event::RecordInvalid { key, error });
            }
            None => {}
        }
    } else if item.key == COORDINATOR_KEY {
        let name = item.value.as_deref().and_then(|value| std::str::from_utf8(value).ok());
        state.set_leader(name, item.revision);
    }
}
