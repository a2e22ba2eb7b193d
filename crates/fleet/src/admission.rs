//! Refuses at once what an owner of keys cannot serve.
//!
//! Only one target may run requests for a key, so when a key is asked for more often than its owner
//! can answer, no other target helps. Without a limit the owner's queue fills until every answer is
//! late. The coordinator knows the demand of all instances and tells each the share of requests that
//! the owner can serve; the rest is refused at once.

use std::time::Duration;

/// Utilization up to which an owner's requests are let through. A queue with random arrivals grows
/// without bound towards 1; at this value a request waits about as long as it runs.
const MOST: f64 = 0.92;

/// Standard deviations by which a counted rate must exceed what an owner can serve before requests
/// are refused. Counts of some requests vary by half by chance.
const CERTAINTY: f64 = 2.5;

/// Returns the share of the requests that an owner can serve, given the rate of its requests, counted
/// over about `memory`, their mean time in seconds and the owner's slots.
pub fn sustainable_share(rate: f64, memory: Duration, time: f64, slots: f64) -> f64 {
    let capacity = MOST * slots.max(1.0) / time.max(1e-6);
    let deviation = (rate / memory.as_secs_f64()).sqrt();
    if rate - CERTAINTY * deviation > capacity { capacity / rate } else { 1.0 }
}

/// Requests at an owner, in rounds of its slots, above which its share falls and below which it rises.
/// At three rounds an answer takes about as long as its objective allows; below two, an owner whose
/// requests come in clumps is idle at times.
const CROWDED: f64 = 3.0;
const RELIEVED: f64 = 2.0;

/// Factor by which a share falls, and what it rises by, at each look at the owner.
const FALL: f64 = 0.85;
const RISE: f64 = 1.25;
const RISE_STEP: f64 = 0.05;

/// Returns an owner's next share, given the share until now, the requests at it and the share that
/// its demand suggests.
///
/// Refused requests come back and count as demand again, so demand alone would keep an owner
/// rationed that has long had room. What is at the owner decides; demand only speeds the first
/// reaction up.
pub fn adjust_share(share: f64, running: f64, slots: f64, suggested: f64) -> f64 {
    let rounds = running / slots.max(1.0);
    if rounds > CROWDED {
        (share * FALL).min(suggested)
    } else if rounds < RELIEVED {
        (share * RISE + RISE_STEP).min(1.0)
    } else {
        share
    }
}

/// Lets a share of requests through, evenly spread.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    credit: f64,
}

impl Throttle {
    /// Decides about one request.
    pub fn admit(&mut self, share: f64) -> bool {
        if share >= 1.0 {
            self.credit = 0.0;
            return true;
        }
        self.credit = (self.credit + share.max(0.0)).min(2.0);
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

/// Rounds of an owner's slots that all instances together keep under way at most. Targets queue a
/// few rounds and reset or turn away what is beyond.
const ROUNDS: f64 = 3.0;

/// Returns how many requests one of several instances keeps under way at an owner of keys. What one
/// instance knows of the others' requests is older than the time in which a hot key fills a queue,
/// so each has a fixed part.
pub fn in_flight_limit(slots: u32, instances: usize) -> u32 {
    let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
    let part = (f64::from(slots) * ROUNDS / instances).round();
    (1..).find(|count| f64::from(*count) >= part).unwrap_or(1)
}

/// Idle connections that an instance keeps to a target: one request in most cases finds one.
const KEPT: usize = 2;

/// Part of the connections that a target accepts which all instances together keep idle, one in so many.
const KEPT_PART: usize = 2;

/// Returns how many idle connections one of several instances keeps to a target that accepts a number of
/// connections from all of them.
pub fn idle_connections(accepted: usize, instances: usize) -> usize {
    (accepted / KEPT_PART / instances.max(1)).min(KEPT)
}
