//! What the targets of a test have seen: arrivals, executions and holds of keys.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// An execution of a request by a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the target.
    pub target: String,
    /// Id of the caller's attempt.
    pub attempt: String,
    /// Path with query.
    pub path: String,
    /// Key, for a keyed service.
    pub key: Option<u16>,
    /// Header fields with lowercase names.
    pub headers: Vec<(String, String)>,
    /// Complete request body.
    pub body: Vec<u8>,
    /// Start of the execution.
    pub at: Instant,
    /// Whether the connection was still open at the end of the execution.
    pub heard: bool,
}

/// A range of keys that a target held, with the time span.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Id of the target.
    pub target: String,
    /// Start time of the target's incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// First key of the range.
    pub first: u16,
    /// Last key of the range, inclusive.
    pub last: u16,
    /// Fencing token of the grant.
    pub fence: u64,
    /// Time at which the grant first arrived.
    pub from: Instant,
    /// Time at which the grant expires, or was released or lost.
    pub until: Instant,
}

/// Arrival of a request at a target that holds its key, executed or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the target.
    pub target: String,
    /// Start time of the target's incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Id of the caller's attempt.
    pub attempt: String,
    /// Time of the arrival.
    pub at: Instant,
}

/// Arrivals, executions and holds of all targets of a test.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    pub(crate) arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub(crate) runs: Arc<Mutex<Vec<Run>>>,
    pub(crate) holds: Arc<Mutex<Vec<Hold>>>,
}

impl Journal {
    /// Returns the arrivals so far, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    /// Returns the executions so far, in order of their start.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Returns pairs of holds with common keys by different incarnations that overlap in time, or whose
    /// fencing tokens do not increase with time.
    pub fn conflicts(&self) -> Vec<(Hold, Hold)> {
        let holds = lock(&self.holds).clone();
        let mut conflicts = Vec::new();
        for (index, a) in holds.iter().enumerate() {
            for b in holds.iter().skip(index + 1) {
                let same_keys = a.first <= b.last && b.first <= a.last;
                let same_time = a.from < b.until && b.from < a.until;
                let increasing =
                    if a.from < b.from { a.fence < b.fence } else { b.fence < a.fence };
                let different = (&a.target, a.born) != (&b.target, b.born);
                if same_keys && different && (same_time || !increasing) {
                    conflicts.push((a.clone(), b.clone()));
                }
            }
        }
        conflicts
    }
}

/// Locks a mutex, also after a panic of another thread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
