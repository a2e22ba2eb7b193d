//! Ledger of the non-repeatable requests of a group, by idempotency key.
//!
//! A key runs again only if the ledger shows that it did not run, or after the retention time.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::shard;
use caraway_core::time::Stamp;

/// Estimated memory of an entry in bytes besides its key and its answer: the map, the index and the
/// record.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// Number of attempt numbers reserved for each term.
const ATTEMPTS_PER_TERM: u64 = 1 << 32;

/// Settings of a ledger.
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Maximum memory of the entries in bytes.
    pub max_bytes: usize,
    /// Time after its last change for which an entry is kept.
    pub retention: Duration,
    /// Maximum size in bytes of an answer body that is kept for replay.
    pub max_body_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_entries: 50_000,
            max_bytes: 64 * 1024 * 1024,
            retention: Duration::from_secs(600),
            max_body_bytes: 16 * 1024,
        }
    }
}

/// A recorded answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header, empty if there was none.
    pub content_type: Arc<str>,
    /// The body, or `None` if it was too long or the ledger had no room for it.
    pub body: Option<Arc<[u8]>>,
}

/// Recorded state of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum State {
    /// It may have run; its outcome is unknown.
    Open,
    /// It ran with this answer.
    Answered(Answer),
    /// It did not run.
    NotRun,
}

/// An entry as exchanged between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Idempotency key.
    pub key: Arc<str>,
    /// Digest of the request.
    pub digest: u64,
    /// Number of the attempt, which increases over all terms of a group and orders the entries of one
    /// key.
    pub attempt: u64,
    /// Time since the last change.
    pub age: Duration,
    /// Recorded state.
    pub state: State,
}

/// Decision about a new request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run it. The key is recorded as running.
    Run,
    /// The same request is already running.
    InProgress,
    /// It ran before; return the recorded answer.
    Replay(Answer),
    /// It may have run before, with unknown outcome.
    Unknown,
    /// The key was used for a different request.
    KeyReused,
    /// It is not in the ledger, and the ledger may be incomplete.
    HistoryIncomplete,
    /// The ledger is full of entries that must be retained.
    Full,
}

/// Returns the digest of a request. For a body that is not buffered, `body` is its length.
pub fn digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut text = Vec::with_capacity(method.len() + path.len() + body.len() + 2);
    text.extend_from_slice(method.as_bytes());
    text.push(0);
    text.extend_from_slice(path.as_bytes());
    text.push(0);
    text.extend_from_slice(body);
    shard::hash(&text)
}

#[derive(Clone, Debug)]
struct Record {
    digest: u64,
    attempt: u64,
    changed: Stamp,
    running: bool,
    state: State,
}

impl Record {
    fn bytes(&self, key: &str) -> usize {
        let answer = match &self.state {
            State::Open | State::NotRun => 0,
            State::Answered(answer) => {
                answer.content_type.len() + answer.body.as_ref().map_or(0, |body| body.len())
            }
        };
        ENTRY_OVERHEAD_BYTES + key.len() + answer
    }
}

/// Ledger of one group.
#[derive(Debug)]
pub struct Ledger {
    options: Options,
    records: HashMap<Arc<str>, Record>,
    /// Keys that ran or may have run and are not running, by last change.
    retained: BTreeSet<(Stamp, Arc<str>)>,
    /// Keys that did not run, by last change. They may be evicted to make room.
    not_run: BTreeSet<(Stamp, Arc<str>)>,
    bytes: usize,
    attempt: u64,
    incomplete_until: Stamp,
}

impl Ledger {
    /// Creates an empty ledger of a coordinator, or of another instance that holds a copy of it.
    ///
    /// The attempts of a term are numbered above those of all earlier terms. Otherwise a delayed
    /// message of an earlier coordinator could be mistaken for one about a new attempt.
    pub fn new(options: Options, term: u64) -> Self {
        Self {
            options,
            records: HashMap::new(),
            retained: BTreeSet::new(),
            not_run: BTreeSet::new(),
            bytes: 0,
            attempt: term.saturating_mul(ATTEMPTS_PER_TERM),
            incomplete_until: Stamp::default(),
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of running requests. A planned handover exports the entries after the
    /// admission controller has closed and this is zero, so that no request ends as "outcome unknown".
    pub fn running(&self) -> usize {
        self.records.len() - self.retained.len() - self.not_run.len()
    }

    /// Returns the estimated memory of the entries in bytes, as counted against the limit.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the time until which the ledger may be incomplete.
    pub fn incomplete_until(&self) -> Stamp {
        self.incomplete_until
    }

    /// Sets the time until which the ledger may be incomplete.
    pub fn set_incomplete_until(&mut self, until: Stamp) {
        self.incomplete_until = until;
    }

    /// Decides whether a request may run. If so, its key is recorded as running.
    pub fn begin(&mut self, key: &Arc<str>, digest: u64, now: Stamp) -> Decision {
        self.expire(now);
        if let Some(decision) = self.recorded_decision(key, digest) {
            return decision;
        }
        if now < self.incomplete_until {
            return Decision::HistoryIncomplete;
        }
        self.remove(key);
        if !self.make_room(ENTRY_OVERHEAD_BYTES + key.len()) {
            return Decision::Full;
        }
        self.attempt += 1;
        let attempt = self.attempt;
        let record = Record { digest, attempt, changed: now, running: true, state: State::Open };
        self.insert(key, record);
        Decision::Run
    }

    /// Records the answer of a request. The body is dropped if it is too long or does not fit.
    pub fn finish(&mut self, key: &Arc<str>, mut answer: Answer, now: Stamp) {
        let Some(record) = self.remove(key) else { return };
        let body = answer.body.as_ref().map_or(0, |body| body.len());
        let needed = ENTRY_OVERHEAD_BYTES + key.len() + answer.content_type.len() + body;
        if body > self.options.max_body_bytes || !self.make_room(needed) {
            answer = Answer { body: None, content_type: Arc::from(""), ..answer };
        }
        let state = State::Answered(answer);
        self.insert(key, Record { changed: now, running: false, state, ..record });
    }

    /// Records that a request begun earlier did not run, so that its key may run again.
    pub fn mark_not_run(&mut self, key: &Arc<str>, now: Stamp) {
        self.set_outcome(key, State::NotRun, now);
    }

    /// Records that the outcome of a running request is unknown.
    pub fn mark_unknown(&mut self, key: &Arc<str>, now: Stamp) {
        self.set_outcome(key, State::Open, now);
    }

    /// Returns the entry of a key.
    pub fn entry(&self, key: &Arc<str>, now: Stamp) -> Option<Entry> {
        let record = self.records.get(key)?;
        Some(entry(key, record, now))
    }

    /// Returns all entries. The receiver also needs [`Ledger::incomplete_until`].
    pub fn export(&self, now: Stamp) -> Vec<Entry> {
        self.records.iter().map(|(key, record)| entry(key, record, now)).collect()
    }

    /// Merges an entry of another instance.
    ///
    /// A later attempt replaces an earlier one. For the same attempt, an answer takes precedence over
    /// "did not run", which takes precedence over "unknown". A request that is running here is not
    /// changed. If an entry does not fit, the ledger counts as incomplete for the retention time.
    pub fn import(&mut self, entry: Entry, now: Stamp) {
        self.expire(now);
        self.attempt = self.attempt.max(entry.attempt);
        if entry.age >= self.options.retention || !self.supersedes(&entry) {
            return;
        }
        self.remove(&entry.key);
        let changed = now - entry.age;
        let Entry { key, digest, attempt, state, .. } = entry;
        let mut record = Record { digest, attempt, changed, running: false, state };
        if !self.make_room(record.bytes(&key))
            && let State::Answered(answer) = &mut record.state
        {
            answer.body = None;
        }
        if !self.make_room(record.bytes(&key)) {
            self.incomplete_until = self.incomplete_until.max(now + self.options.retention);
            return;
        }
        self.insert(&key, record);
    }

    /// Removes the entries whose retention has passed.
    pub fn expire(&mut self, now: Stamp) {
        let limit = self.options.retention;
        while let Some((changed, key)) = self.retained.first().cloned()
            && now.since(changed) >= limit
        {
            self.remove(&key);
        }
        while let Some((changed, key)) = self.not_run.first().cloned()
            && now.since(changed) >= limit
        {
            self.remove(&key);
        }
    }

    fn recorded_decision(&self, key: &Arc<str>, digest: u64) -> Option<Decision> {
        let record = self.records.get(key)?;
        if matches!(record.state, State::NotRun) {
            return None;
        }
        if record.digest != digest {
            return Some(Decision::KeyReused);
        }
        if record.running {
            return Some(Decision::InProgress);
        }
        match &record.state {
            State::Open => Some(Decision::Unknown),
            State::Answered(answer) => Some(Decision::Replay(answer.clone())),
            State::NotRun => None,
        }
    }

    fn supersedes(&self, entry: &Entry) -> bool {
        let Some(record) = self.records.get(&entry.key) else { return true };
        if record.running {
            return false;
        }
        // A later intent takes precedence over an answer to an earlier attempt: the key ran again after
        // the retention time, and the answer would expire before the record of that run.
        let rank = |attempt, state: &State| match state {
            State::Open => (attempt, 0),
            State::NotRun => (attempt, 1),
            State::Answered(_) => (attempt, 2),
        };
        rank(entry.attempt, &entry.state) > rank(record.attempt, &record.state)
    }

    fn set_outcome(&mut self, key: &Arc<str>, state: State, now: Stamp) {
        if !self.records.get(key).is_some_and(|record| record.running) {
            return;
        }
        if let Some(record) = self.remove(key) {
            self.insert(key, Record { changed: now, running: false, state, ..record });
        }
    }

    /// Evicts keys that did not run until an entry of the given size fits; returns false if it does not.
    fn make_room(&mut self, bytes: usize) -> bool {
        while !self.fits(bytes) {
            let Some((_, key)) = self.not_run.first().cloned() else { return false };
            self.remove(&key);
        }
        true
    }

    fn fits(&self, bytes: usize) -> bool {
        self.records.len() < self.options.max_entries
            && self.bytes + bytes <= self.options.max_bytes
    }

    fn insert(&mut self, key: &Arc<str>, record: Record) {
        let order = (record.changed, key.clone());
        match record.state {
            _ if record.running => {}
            State::NotRun => {
                self.not_run.insert(order);
            }
            State::Open | State::Answered(_) => {
                self.retained.insert(order);
            }
        }
        self.bytes += record.bytes(key);
        self.records.insert(key.clone(), record);
    }

    fn remove(&mut self, key: &Arc<str>) -> Option<Record> {
        let record = self.records.remove(key)?;
        let order = (record.changed, key.clone());
        self.retained.remove(&order);
        self.not_run.remove(&order);
        self.bytes -= record.bytes(key);
        Some(record)
    }
}

fn entry(key: &Arc<str>, record: &Record, now: Stamp) -> Entry {
    Entry {
        key: key.clone(),
        digest: record.digest,
        attempt: record.attempt,
        age: now.since(record.changed),
        state: record.state.clone(),
    }
}
