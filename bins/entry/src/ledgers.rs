//! Copies of ledger entries that this instance keeps for the coordinators of its failure domain.
//!
//! A coordinator records each non-repeatable request at two other instances before it sends it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use caraway_call::ledger::Answer;
use caraway_call::ledger::Entry;
use caraway_call::ledger::Ledger;
use caraway_call::ledger::Options;
use caraway_call::ledger::State;
use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_wire::peer;

#[derive(Debug)]
struct Table {
    term: u64,
    /// Term of the coordinator whose full ledger was stored.
    copy_term: u64,
    ledger: Ledger,
}

impl Default for Table {
    fn default() -> Self {
        Self { term: 0, copy_term: 0, ledger: Ledger::new(Options::default(), 0) }
    }
}

/// The copies of all groups, shared by the control plane and the gRPC service.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    tables: Arc<Mutex<BTreeMap<name::Group, Table>>>,
}

impl Copies {
    /// Makes an empty set of copies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores entries of a group.
    ///
    /// Of a coordinator whose term has ended, only outcomes are stored: what it says about requests that it finished
    /// stays true, but it may start no request. Returns whether all were stored, and the highest term known.
    pub fn record(
        &self,
        group: &name::Group,
        term: u64,
        entries: Vec<peer::Entry>,
        now: Stamp,
    ) -> (bool, u64) {
        let mut tables = self.lock();
        let table = tables.entry(group.clone()).or_default();
        let ended = term < table.term;
        table.term = table.term.max(term);
        for entry in entries.into_iter().map(from_wire) {
            if ended && entry.state == State::Open {
                return (false, table.term);
            }
            table.ledger.import(entry, now);
        }
        // A ledger that had no room for an entry counts itself as incomplete.
        (now >= table.ledger.incomplete_until(), table.term)
    }

    /// Stores the whole ledger of a group, as [`Copies::record`] stores entries.
    pub fn record_full(
        &self,
        group: &name::Group,
        term: u64,
        entries: Vec<peer::Entry>,
        now: Stamp,
    ) -> (bool, u64) {
        let (stored, known) = self.record(group, term, entries, now);
        if stored && known == term {
            self.lock().entry(group.clone()).or_default().copy_term = term;
        }
        (stored, known)
    }

    /// Returns the entries of a group for a new coordinator with the term of the full copy among them, and
    /// refuses lower terms from then on.
    pub fn history(&self, group: &name::Group, term: u64, now: Stamp) -> (Vec<peer::Entry>, u64) {
        let mut tables = self.lock();
        let table = tables.entry(group.clone()).or_default();
        table.term = table.term.max(term);
        table.ledger.expire(now);
        let entries = table.ledger.export(now).into_iter().map(to_wire).collect();
        (entries, table.copy_term)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<name::Group, Table>> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Turns a ledger entry into its message.
pub fn to_wire(entry: Entry) -> peer::Entry {
    let mut message = peer::Entry {
        idempotency_key: entry.key.to_string(),
        digest: entry.digest,
        attempt: entry.attempt,
        age_ms: u64::try_from(entry.age.as_millis()).unwrap_or(u64::MAX),
        ..peer::Entry::default()
    };
    match entry.state {
        State::Open => message.set_state(peer::State::Open),
        State::NotRun => message.set_state(peer::State::NotRun),
        State::Answered(answer) => {
            message.set_state(peer::State::Answered);
            message.status = u32::from(answer.status);
            message.content_type = answer.content_type.to_string();
            message.body = answer.body.map(|body| body.to_vec());
        }
    }
    message
}

/// Turns a message into a ledger entry. An unknown state counts as open: the request may have run.
pub fn from_wire(message: peer::Entry) -> Entry {
    let state = match message.state() {
        peer::State::Open => State::Open,
        peer::State::NotRun => State::NotRun,
        peer::State::Answered => State::Answered(Answer {
            status: u16::try_from(message.status).unwrap_or(200),
            content_type: Arc::from(message.content_type.as_str()),
            body: message.body.map(Arc::from),
        }),
    };
    Entry {
        key: Arc::from(message.idempotency_key.as_str()),
        digest: message.digest,
        attempt: message.attempt,
        age: Duration::from_millis(message.age_ms),
        state,
    }
}
