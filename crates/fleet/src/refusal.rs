//! Requests for which there is no room: whether they wait, and when refused callers should return.
//!
//! A caller that returns before there is room is refused again, and callers that return together
//! meet each other. The callers that are expected back are therefore counted like a queue: each new
//! one is sent back at a random moment of the time in which the room that becomes free suffices for
//! all of them.

use std::time::Duration;

use caraway_core::time::Stamp;

/// Divisor of the time that a caller has left, which gives the longest delay that it honors. A
/// later return would leave it too little time.
const HONORED_DIVISOR: u32 = 3;

/// Lower bound of a delay. A shorter one is less than a round trip with connection establishment.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// Number of callers that are expected back, beyond which they are not counted. With as many, all
/// delays have reached their upper bound.
const MAX_RETURNS: usize = 512;

/// Room that becomes free for requests of one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Expected time until there is room for one request.
    pub first: Duration,
    /// Requests per second for which room becomes free after that.
    pub rate: f64,
}

impl Room {
    /// Returns the expected time until there is room for a request behind `count` others.
    pub fn wait(&self, count: usize) -> Duration {
        let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let seconds = (count / self.rate.max(1e-6)).min(MAX_WAIT.as_secs_f64());
        self.first.min(MAX_WAIT) + Duration::from_secs_f64(seconds)
    }
}

/// Upper bound of an expected time, longer than the deadline of any caller.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Callers of one service, or of one owner of keys, that wait or were refused.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    /// Number of requests that wait for room.
    pub waiting: usize,
    /// Times at which refused callers are expected back.
    returns: Vec<Stamp>,
}

impl Callers {
    /// Returns the delay after which a refused caller should return. `left` is the time until its
    /// deadline and `random` a random number from 0 to 1.
    pub fn return_delay(
        &mut self,
        room: Room,
        left: Duration,
        random: f64,
        now: Stamp,
    ) -> Duration {
        self.returns.retain(|at| *at > now);
        let honored = left / HONORED_DIVISOR;
        let last = room.wait(self.waiting + self.returns.len() + 1).min(honored);
        // A caller that cannot wait for the first room returns as late as it may.
        let first = room.first.min(honored / 2).min(last);
        let delay = (first + (last - first).mul_f64(random.clamp(0.0, 1.0))).max(MIN_DELAY);
        if self.returns.len() < MAX_RETURNS {
            self.returns.push(now + delay);
        }
        delay
    }
}
