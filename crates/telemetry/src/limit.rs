//! Rate limiting of log events, separately for each event number.

use std::collections::BTreeMap;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Events of one number that may be logged in one window.
pub const EVENTS_PER_WINDOW: u32 = 20;
/// Length of the fixed rate-limit window.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Decision of the rate limiter about an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The event is logged, after a report of the suppressed events if there were any.
    Emit {
        /// Events of this number suppressed in the previous window.
        suppressed: u64,
    },
    /// The event is counted but not logged.
    Suppress,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    start: Stamp,
    emitted: u32,
    suppressed: u64,
}

/// Fixed-window rate limiter with one window per event number.
#[derive(Debug, Default)]
pub struct Limiter {
    windows: BTreeMap<u16, Window>,
}

impl Limiter {
    /// Creates a limiter without open windows.
    pub const fn new() -> Self {
        Self { windows: BTreeMap::new() }
    }

    /// Counts an event and decides whether it is logged.
    pub fn decide(&mut self, number: u16, now: Stamp) -> Decision {
        let new_window = Window { start: now, emitted: 0, suppressed: 0 };
        let window = self.windows.entry(number).or_insert(new_window);
        let mut suppressed = 0;
        if now.since(window.start) >= WINDOW {
            suppressed = window.suppressed;
            *window = new_window;
        }
        if window.emitted >= EVENTS_PER_WINDOW {
            window.suppressed += 1;
            return Decision::Suppress;
        }
        window.emitted += 1;
        Decision::Emit { suppressed }
    }

    /// Removes the windows that have ended and returns their event numbers with the counts of
    /// suppressed events, where these are not zero.
    pub fn drain_ended(&mut self, now: Stamp) -> Vec<(u16, u64)> {
        let mut counts = Vec::new();
        self.windows.retain(|number, window| {
            let is_open = now.since(window.start) < WINDOW;
            if !is_open && window.suppressed > 0 {
                counts.push((*number, window.suppressed));
            }
            is_open
        });
        counts
    }
}
