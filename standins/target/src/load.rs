//! Load reports with an optional lag.

use std::collections::VecDeque;

/// Maximum number of recorded loads. At 1,000 requests per second, each with a start and an end, the history
/// covers a lag of 10 s.
const MAX_HISTORY: usize = 20_000;

/// Number of running and queued requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: usize,
    /// Number of requests that wait for a slot.
    pub queued: usize,
}

/// The recent loads, each with its start in milliseconds on the boot-time clock.
#[derive(Debug, Default)]
pub struct History(VecDeque<(u64, Load)>);

impl History {
    /// Records the load after a change.
    pub fn record(&mut self, now_ms: u64, load: Load) {
        self.0.push_back((now_ms, load));
        if self.0.len() > MAX_HISTORY {
            self.0.pop_front();
        }
    }

    /// Returns the load at a time on the boot-time clock.
    pub fn at(&self, at_ms: u64) -> Load {
        let entry = self.0.iter().rev().find(|(since_ms, _)| *since_ms <= at_ms);
        entry.map(|(_, load)| *load).unwrap_or_default()
    }
}
