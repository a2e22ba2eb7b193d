//! Bounded table of traces of recent requests.

use std::borrow::Cow;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use caraway_core::time::Stamp;

/// Largest number of steps in a trace.
const MAX_STEPS: usize = 40;

/// One step of a trace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// Time of the step.
    pub at: Stamp,
    /// Description of the step.
    pub text: Cow<'static, str>,
}

/// Trace of one request.
#[derive(Debug, Default)]
pub struct Trace {
    steps: Mutex<Vec<Step>>,
}

impl Trace {
    /// Adds a step. A full trace ignores it.
    pub fn add(&self, at: Stamp, text: impl Into<Cow<'static, str>>) {
        let mut steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        if steps.len() < MAX_STEPS {
            steps.push(Step { at, text: text.into() });
        }
    }

    /// Returns the steps so far.
    pub fn steps(&self) -> Vec<Step> {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

#[derive(Debug, Default)]
struct Entries {
    by_id: HashMap<Arc<str>, Arc<Trace>>,
    order: VecDeque<Arc<str>>,
}

/// Traces of the most recent requests.
#[derive(Debug)]
pub struct Table {
    limit: usize,
    entries: Mutex<Entries>,
}

impl Table {
    /// Makes a table of at most `limit` traces.
    pub fn new(limit: usize) -> Self {
        Self { limit, entries: Mutex::default() }
    }

    /// Returns the trace of a request. Creates it if necessary, evicting the oldest trace of a full
    /// table.
    pub fn get_or_create(&self, id: &Arc<str>) -> Arc<Trace> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(trace) = entries.by_id.get(id) {
            return trace.clone();
        }
        while entries.order.len() >= self.limit.max(1) {
            if let Some(oldest) = entries.order.pop_front() {
                entries.by_id.remove(&oldest);
            }
        }
        let trace = Arc::new(Trace::default());
        entries.order.push_back(id.clone());
        entries.by_id.insert(id.clone(), trace.clone());
        trace
    }

    /// Returns the trace of a request, if the table still holds it.
    pub fn find(&self, id: &str) -> Option<Arc<Trace>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).by_id.get(id).cloned()
    }
}
