//! Copies of the ledgers of other coordinators in the failure domain.
//!
//! A coordinator replicates the ledger entry of each non-repeatable request to two other instances
//! before it sends the request to a target.

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
    /// Term of the coordinator whose full ledger was stored; zero if none was.
    copy_term: u64,
    ledger: Ledger,
}

impl Default for Table {
    fn default() -> Self {
        Self { term: 0, copy_term: 0, ledger: Ledger::new(Options::default(), 0) }
    }
}

/// Ledger copies of all groups, shared by the control plane and the gRPC service.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    tables: Arc<Mutex<BTreeMap<name::Group, Table>>>,
}

impl Copies {
    /// Creates an empty set of copies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores entries of a group.
    ///
    /// From a coordinator whose term has ended, only outcomes are accepted: the outcomes of its
    /// finished requests remain valid, but it must not start any request. Returns whether all
    /// entries were stored, and the highest known term.
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
        // A ledger that had to drop an entry for lack of space marks itself as incomplete.
        (now >= table.ledger.incomplete_until(), table.term)
    }

    /// Stores a full ledger of a group. The terms are checked as in [`Copies::record`].
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

    /// Returns the entries of a group for a new coordinator and the term of the stored full copy.
    /// Entries of open requests under lower terms are refused from then on.
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

/// Converts a ledger entry to a wire message.
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

/// Converts a wire message to a ledger entry. An unknown state counts as open, because the request
/// may have run.
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
