//! Follows the store: the configuration, the targets, the instances and the coordinator.

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

use crate::state::State;
use crate::store::send;

/// Prefix of the keys under which instances register.
pub const INSTANCES: &str = "caraway/instance/";

/// Key of the coordinator's record.
pub const LEADER: &str = "caraway/coordinator";

/// Key of the tables of all keyed services.
pub const OWNERS: &str = "caraway/owners";

/// Longest wait of a watch. Changes end it sooner. The store may keep a watch without telling it
/// anything; with the reports of the instances, this still leaves time to apply a configuration.
const WAIT: Duration = Duration::from_millis(1000);

/// Time between two watches, in which changes gather: each watch that returns is a priced call.
const GATHER: Duration = Duration::from_millis(250);

/// Time between tries while the store fails.
const RETRY: Duration = Duration::from_millis(300);

/// Follows the store until the process ends.
pub async fn run(state: Rc<State>) {
    let mut lost: Option<Stamp> = None;
    loop {
        let result = follow(&state, lost.is_some()).await;
        let error = match result {
            Ok(()) => continue,
            Err(error) => error,
        };
        let now = Clock.now();
        state.failing.set(true);
        // What changes during an outage is told apart from other changes by a reading.
        state.complete.set(false);
        if lost.is_none() {
            emit(Event::StoreUnreachable { error });
        }
        let since = *lost.get_or_insert(now);
        sleep(RETRY).await;
        if state.heard.get().is_some_and(|heard| heard > since) {
            let outage_ms = millis(now.since(since));
            emit(Event::StoreReachable { outage_ms });
            lost = None;
        }
    }
}

/// Reads everything, unless it is known already, then follows the changes until something asks for a
/// new watch.
async fn follow(state: &Rc<State>, outage: bool) -> Result<(), String> {
    if !state.complete.get() {
        let revision = snapshot(state, outage).await?;
        state.revision.set(state.revision.get().max(revision));
        state.complete.set(true);
    }
    state.failing.set(false);
    loop {
        if state.accompanied.get() && !state.leading.get() {
            // Every watch that returns is a priced call; the coordinator tells what it hears.
            state.rewatch.notified().await;
            return Ok(());
        }
        let after = state.revision.get();
        let call = store::watch("", after, WAIT);
        let answer = tokio::select! {
            answer = send(state, &call, "watch", WAIT) => answer,
            () = state.rewatch.notified() => return Ok(()),
        };
        let page = match answer {
            Ok((status, body)) => store::page_answer(status, &body),
            // A watch that was cut says nothing about the store; the reading that follows does.
            Err(_) => {
                state.complete.set(false);
                return Ok(());
            }
        };
        let page = match page {
            Ok(page) => page,
            // The history is gone; everything is read again.
            Err(caraway_adapter::errors::Error::Refused(410)) => {
                state.complete.set(false);
                return Ok(());
            }
            Err(error) => return Err(error.to_string()),
        };
        apply(state, &page);
        state.revision.set(state.revision.get().max(page.revision));
        if !page.items.is_empty() {
            sleep(GATHER).await;
        }
    }
}

async fn snapshot(state: &Rc<State>, outage: bool) -> Result<u64, String> {
    let mut seen: HashSet<String> = HashSet::new();
    let mut last: Option<String> = None;
    let mut first = None;
    loop {
        let call = store::read_range("", last.as_deref());
        let (status, body) =
            send(state, &call, "range", Duration::ZERO).await.map_err(|error| error.to_string())?;
        let page = store::page_answer(status, &body).map_err(|error| error.to_string())?;
        // The watch starts at the first page's revision, so that no change between pages is missed.
        let revision = *first.get_or_insert(page.revision);
        if seen.is_empty() {
            state.history.borrow_mut().restart(revision);
        }
        last = page.items.last().map(|item| item.key.clone());
        apply(state, &page);
        seen.extend(page.items.into_iter().map(|item| item.key));
        if page.more && last.is_some() {
            continue;
        }
        settle(state, &seen, outage, revision);
        return Ok(revision);
    }
}

/// Removes what a complete list no longer has.
fn settle(state: &State, seen: &HashSet<String>, outage: bool, revision: u64) {
    let listed = |id: &str| seen.contains(&format!("{}{id}", target::PREFIX));
    let gone = state.registry.borrow_mut().reconcile(&listed, outage, Clock.now());
    state.unlist(gone, revision);
    let known = |name: &str| seen.contains(&format!("{INSTANCES}{name}"));
    state.instances.borrow_mut().retain(|name, _| known(name));
    if !seen.contains(LEADER) {
        state.set_leader(None, revision);
    }
}

fn apply(state: &State, page: &Page) {
    for item in &page.items {
        apply_item(state, item);
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
                let change = state.registry.borrow_mut().remove(id, Clock.now());
                state.unlist(change.into_iter().collect(), item.revision);
            }
            Some(value) => match target::read(id, value) {
                Ok(target) => state.list(target, item.revision),
                Err(error) => {
                    let (key, error) = (item.key.clone(), error.to_string());
                    emit(Event::EntryIgnored { key, error });
                }
            },
        }
    } else if let Some(name) = item.key.strip_prefix(INSTANCES) {
        let instance = item.value.as_deref().map(serde_json::from_slice);
        let mut instances = state.instances.borrow_mut();
        match instance {
            Some(Ok(instance)) => {
                instances.insert(name.into(), instance);
            }
            Some(Err(error)) => {
                let (key, error) = (item.key.clone(), error.to_string());
                emit(Event::EntryIgnored { key, error });
            }
            None => {
                instances.remove(name);
            }
        }
    } else if item.key == OWNERS {
        // The coordinator tells more, and sooner. This serves until its first message.
        if state.view.borrow().version.term > 0 {
            return;
        }
        let tables = item.value.as_deref().map(serde_json::from_slice::<Tables>);
        match tables {
            Some(Ok(tables)) => state.own(View::from_tables(&tables, item.revision)),
            Some(Err(error)) => {
                let (key, error) = (item.key.clone(), error.to_string());
                emit(Event::RecordInvalid { key, error });
            }
            None => {}
        }
    } else if item.key == LEADER {
        let name = item.value.as_deref().and_then(|value| std::str::from_utf8(value).ok());
        state.set_leader(name, item.revision);
    }
}
