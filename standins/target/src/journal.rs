//! The journal of executed requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;
use serde::Serializer;

use crate::errors::Refusal;
use crate::token::Token;

/// Maximum number of retained executions. Evicted ones no longer count for their idempotency key.
const MAX_ENTRIES: usize = 1_000_000;
/// Maximum number of executions in a response.
const PAGE_ENTRIES: usize = 10_000;

/// An execution of a request.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Number of the execution, from 1.
    pub n: u64,
    pub request_id: String,
    pub idempotency_key: Option<Arc<str>>,
    pub key: String,
    /// Shard under which the request ran.
    pub shard: Option<u32>,
    /// Token under which the request ran.
    #[serde(serialize_with = "token_text")]
    pub token: Option<Token>,
    /// Start in milliseconds on the boot-time clock.
    pub started_ms: u64,
    /// End in milliseconds on the boot-time clock, or `None` while the request runs.
    pub ended_ms: Option<u64>,
    /// True if the request ran to completion. False while it runs or if it was cancelled.
    pub completed: bool,
}

fn token_text<S: Serializer>(token: &Option<Token>, serializer: S) -> Result<S::Ok, S::Error> {
    token.map(|token| token.to_string()).serialize(serializer)
}

/// Totals since the start of the process. `repeated` covers only the retained executions.
#[derive(Debug, Serialize)]
pub struct Summary<'a> {
    executions: u64,
    completed: u64,
    cancelled: u64,
    repeated: BTreeMap<&'a str, u32>,
    refused: BTreeMap<&'static str, u64>,
}

/// The journal of executed and refused requests.
#[derive(Debug, Default)]
pub struct Journal {
    entries: VecDeque<Entry>,
    last_number: u64,
    completed: u64,
    cancelled: u64,
    executions_by_key: HashMap<Arc<str>, u32>,
    refused: BTreeMap<Refusal, u64>,
}

impl Journal {
    /// Records the start of an execution and returns its number.
    pub fn start(&mut self, mut entry: Entry) -> u64 {
        self.last_number += 1;
        entry.n = self.last_number;
        if let Some(key) = &entry.idempotency_key {
            *self.executions_by_key.entry(Arc::clone(key)).or_default() += 1;
        }
        self.entries.push_back(entry);
        if self.entries.len() > MAX_ENTRIES {
            self.evict_oldest();
        }
        self.last_number
    }

    /// Records the end of an execution.
    pub fn end(&mut self, n: u64, now_ms: u64, completed: bool) {
        self.completed += u64::from(completed);
        self.cancelled += u64::from(!completed);
        let index = self.entries.front().and_then(|first| n.checked_sub(first.n));
        let index = index.and_then(|index| usize::try_from(index).ok());
        if let Some(entry) = index.and_then(|index| self.entries.get_mut(index)) {
            entry.ended_ms = Some(now_ms);
            entry.completed = completed;
        }
    }

    pub fn refuse(&mut self, refusal: Refusal) {
        *self.refused.entry(refusal).or_default() += 1;
    }

    /// Returns the first page of the executions with a number above `n`.
    pub fn after(&self, n: u64) -> Vec<&Entry> {
        let first = self.entries.front().map_or(0, |entry| entry.n);
        let skip = usize::try_from((n + 1).saturating_sub(first)).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip).take(PAGE_ENTRIES).collect()
    }

    pub fn summary(&self) -> Summary<'_> {
        let repeated = self.executions_by_key.iter().filter(|(_, count)| **count > 1);
        Summary {
            executions: self.last_number,
            completed: self.completed,
            cancelled: self.cancelled,
            repeated: repeated.map(|(key, count)| (&**key, *count)).collect(),
            refused: self.refused.iter().map(|(refusal, count)| (refusal.name(), *count)).collect(),
        }
    }

    fn evict_oldest(&mut self) {
        let Some(key) = self.entries.pop_front().and_then(|entry| entry.idempotency_key) else {
            return;
        };
        if let Some(count) = self.executions_by_key.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.executions_by_key.remove(&key);
            }
        }
    }
}
