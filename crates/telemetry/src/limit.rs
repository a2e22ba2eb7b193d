//! Rate limit of log events, for each event number.

use std::collections::BTreeMap;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Events of one number that are logged within a window.
pub const EVENTS_PER_WINDOW: u32 = 20;
/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(1);

/// What happens to one event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The event is logged. The number of events that were suppressed in the window before comes
    /// first, if it is not zero.
    Emit {
        /// Events suppressed since the last logged event of the number.
        suppressed: u64,
    },
    /// The event is counted and not logged.
    Suppress,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    start: Stamp,
    emitted: u32,
    suppressed: u64,
}

/// Counts of events by number.
#[derive(Debug, Default)]
pub struct Limiter {
    windows: BTreeMap<u16, Window>,
}

impl Limiter {
    /// Makes a limiter without counts.
    pub const fn new() -> Self {
        Self { windows: BTreeMap::new() }
    }

    /// Decides about one event.
    pub fn decide(&mut self, number: u16, now: Stamp) -> Decision {
        let fresh = Window { start: now, emitted: 0, suppressed: 0 };
        let window = self.windows.entry(number).or_insert(fresh);
        let mut suppressed = 0;
        if now.since(window.start) >= WINDOW {
            suppressed = window.suppressed;
            *window = fresh;
        }
        if window.emitted >= EVENTS_PER_WINDOW {
            window.suppressed += 1;
            return Decision::Suppress;
        }
        window.emitted += 1;
        Decision::Emit { suppressed }
    }

    /// Removes the windows that have ended and returns the numbers with suppressed events.
    pub fn drain_ended(&mut self, now: Stamp) -> Vec<(u16, u64)> {
        let mut counts = Vec::new();
        self.windows.retain(|number, window| {
            let running = now.since(window.start) < WINDOW;
            if !running && window.suppressed > 0 {
                counts.push((*number, window.suppressed));
            }
            running
        });
        counts
    }
}
