//! A bounded table of the recent requests and what happened to them.

use std::borrow::Cow;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use caraway_core::time::Stamp;

/// Largest number of steps that are kept of one request.
const MAX_STEPS: usize = 40;

/// One step of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// When it took place.
    pub at: Stamp,
    /// What took place.
    pub text: Cow<'static, str>,
}

/// The steps of one request.
#[derive(Debug, Default)]
pub struct Trace {
    steps: Mutex<Vec<Step>>,
}

impl Trace {
    /// Adds a step, unless the trace is full.
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
struct Rows {
    by_id: HashMap<Arc<str>, Arc<Trace>>,
    order: VecDeque<Arc<str>>,
}

/// The most recent requests.
#[derive(Debug)]
pub struct Table {
    limit: usize,
    rows: Mutex<Rows>,
}

impl Table {
    /// Makes a table of at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self { limit, rows: Mutex::default() }
    }

    /// Returns the trace of a request, which is made if there is none.
    pub fn open(&self, id: &Arc<str>) -> Arc<Trace> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(trace) = rows.by_id.get(id) {
            return trace.clone();
        }
        while rows.order.len() >= self.limit.max(1) {
            if let Some(oldest) = rows.order.pop_front() {
                rows.by_id.remove(&oldest);
            }
        }
        let trace = Arc::new(Trace::default());
        rows.order.push_back(id.clone());
        rows.by_id.insert(id.clone(), trace.clone());
        trace
    }

    /// Returns the trace of a request, if it is still held.
    pub fn find(&self, id: &str) -> Option<Arc<Trace>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner).by_id.get(id).cloned()
    }
}
