//! Load reports, which may lag.

use std::collections::VecDeque;

/// Number of past loads kept. At 1,000 requests per second, each with a start and an end, the
/// reports can lag by 10 s.
const HISTORY_LENGTH: usize = 20_000;

/// Number of requests in the target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
}

/// The recent loads with the time since which each applied.
#[derive(Debug, Default)]
pub struct History(VecDeque<(u64, Load)>);

impl History {
    /// Records a change of the load.
    pub fn record(&mut self, now_ms: u64, load: Load) {
        self.0.push_back((now_ms, load));
        if self.0.len() > HISTORY_LENGTH {
            self.0.pop_front();
        }
    }

    /// Returns the load at a moment.
    pub fn at(&self, ms: u64) -> Load {
        let entry = self.0.iter().rev().find(|(since, _)| *since <= ms);
        entry.map(|(_, load)| *load).unwrap_or_default()
    }
}
