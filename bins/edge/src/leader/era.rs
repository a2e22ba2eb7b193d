//! Start and end of a term in an era of the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use caraway_adapter::store;
use caraway_core::time::Clock;
use caraway_core::time::millis;
use caraway_fleet::coordinator::Coordinator;
use caraway_fleet::coordinator::Options;
use caraway_fleet::coordinator::Tables;
use caraway_fleet::coordinator::Takeover;
use caraway_fleet::era;
use caraway_fleet::era::Basis;
use caraway_fleet::era::Record;
use caraway_fleet::era::Revision;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::leader::Term;
use crate::peers;
use crate::peers::RetirementNotice;
use crate::state::State;
use crate::store::send;
use crate::sync::OWNERS_KEY;

/// Returns what this instance knows when it is elected.
pub(super) fn takeover(state: &State, stored: Record) -> Takeover {
    let configuration = state.configuration();
    let services = configuration.iter().flat_map(|current| current.services.iter());
    let keyed = services.filter(|(_, service)| service.keyed);
    let services: Vec<Arc<str>> = keyed.map(|(name, _)| name.clone()).collect();
    let latest = state.latest_era.get();
    Takeover {
        basis: era::basis(latest.era(), stored, &state.retirement.borrow()),
        latest,
        fences: state.fences.borrow().clone(),
        services,
    }
}

/// Returns the key of the tables of an era.
pub(super) fn owners_key(era: u64) -> String {
    if era == 0 { OWNERS_KEY.to_owned() } else { format!("{OWNERS_KEY}-{era}") }
}

/// Returns the era of the tables with a key, or `None` if it is another key.
fn key_era(key: &str) -> Option<u64> {
    let rest = key.strip_prefix(OWNERS_KEY)?;
    if rest.is_empty() { Some(0) } else { rest.strip_prefix('-')?.parse().ok() }
}

fn decode(key: &str, value: Option<&[u8]>) -> Result<Tables, String> {
    serde_json::from_slice(value.unwrap_or_default()).map_err(|error| {
        let (key, error) = (key.to_owned(), error.to_string());
        emit(Event::RecordInvalid { key, error: error.clone() });
        error
    })
}

/// Reads the tables of the present era and their revision, if there are any.
pub(super) async fn read_current(state: &State) -> Result<Option<(Tables, Revision)>, String> {
    let era = state.era();
    let key = owners_key(era);
    let call = store::read_key(&key);
    let (status, body) =
        send(state, &call, "key", Duration::ZERO).await.map_err(|error| error.to_string())?;
    let item = store::parse_key(status, &body).map_err(|error| error.to_string())?;
    let Some(item) = item else { return Ok(None) };
    let tables = decode(&key, item.value.as_deref())?;
    Ok(Some((tables, Revision::new(era, item.revision))))
}

/// Reads the latest tables, and the revision of those of the present era. The number of the revision
/// is zero if there are none.
pub(super) async fn read_tables(state: &State) -> Result<(Record, Revision), String> {
    let era = state.era();
    if let Some((tables, revision)) = read_current(state).await? {
        return Ok((Record { era, tables }, revision));
    }
    let absent = Revision::new(era, 0);
    if era == 0 {
        return Ok((Record::default(), absent));
    }
    let call = store::read_range(OWNERS_KEY, None);
    let (status, body) =
        send(state, &call, "range", Duration::ZERO).await.map_err(|error| error.to_string())?;
    let page = store::parse_page(status, &body).map_err(|error| error.to_string())?;
    let tables = page.items.iter().filter_map(|item| Some((key_era(&item.key)?, item)));
    let latest = tables.filter(|(at, _)| *at < era).max_by_key(|(at, _)| *at);
    match latest {
        Some((era, item)) => {
            let tables = decode(&item.key, item.value.as_deref())?;
            Ok((Record { era, tables }, absent))
        }
        None => Ok((Record::default(), absent)),
    }
}

impl Term {
    /// Logs from what the term starts.
    pub(super) fn log_start(&self) {
        if self.coordinator.is_recovering() {
            let horizon = Options::new(self.state.settings.max_grant_duration).grant_horizon;
            let end = era::unknown_grants_end(self.state.latest_era.get().seen_at(), horizon);
            let longest_ms = millis(end.since(Clock.now()));
            emit(Event::OwnersUnknown { era: self.number.era, longest_ms });
        } else {
            self.log_inherited("the maximum grant duration");
        }
    }

    /// Starts anew from an announcement of the last coordinator of the era before that arrived
    /// after the election, if no call was sent to any target yet.
    pub(super) fn start_anew(&mut self) {
        if !self.coordinator.can_start_anew() {
            return;
        }
        let stored = Record { era: 0, tables: self.stored_tables.clone() };
        let takeover = takeover(&self.state, stored);
        if matches!(takeover.basis, Basis::Announced(..)) {
            let options = Options::new(self.state.settings.max_grant_duration);
            let confirmed_at = self.coordinator.confirmed_at();
            self.coordinator = Coordinator::take_over(options, takeover, confirmed_at, Clock.now());
            self.log_inherited("the last coordinator of the era before");
        }
    }

    /// Announces the outstanding grants to the other instances at the end of the term, and the
    /// tables if the term was ended by a new era.
    pub(super) async fn announce(&self) {
        // A term that has not written its tables has granted nothing, and its predecessor's
        // announcement is still valid.
        if !self.settled {
            return;
        }
        let grants = self.coordinator.outstanding_grants(Clock.now());
        let latest = self.state.latest_era.get();
        let last = latest.era() > self.number.era
            && era::is_last(self.coordinator.confirmed_at(), latest.seen_at());
        let next_era = last.then_some(latest.era());
        let tables = if last { self.coordinator.tables() } else { Default::default() };
        let notice = RetirementNotice::new(self.tables_revision, grants, next_era, tables);
        let state: &Rc<State> = &self.state;
        peers::retire(state, notice).await;
    }
}
