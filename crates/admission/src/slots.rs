//! Concurrency limit of one target.

use std::time::Duration;

use caraway_core::time::Stamp;

use crate::controller::Completion;
use crate::controller::State;

/// Interval at which the limit of a target that shed a request grows by one slot. A target with 4
/// slots recovers all of them within half a second, longer than a burst takes to drain.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// The weight of a new sample in the moving average of the service time is one over this number.
const SERVICE_TIME_SMOOTHING: u64 = 8;

/// Concurrency limit and slots in use of one target.
#[derive(Clone, Debug)]
pub struct Slots {
    total: u32,
    warmup: Duration,
    state: State,
    cold_since: Stamp,
    reduced: Option<Reduction>,
    in_flight: u32,
    completed: u64,
    mean_service_micros: Option<u64>,
}

/// Reduced limit after a target shed a request.
#[derive(Clone, Copy, Debug)]
struct Reduction {
    at: Stamp,
    limit: u32,
}

impl Slots {
    /// Creates the slots of a target. A total of zero is treated as one.
    pub fn new(total: u32, warmup: Duration, state: State, now: Stamp) -> Self {
        Self {
            total: total.max(1),
            warmup,
            state,
            cold_since: now,
            reduced: None,
            in_flight: 0,
            completed: 0,
            mean_service_micros: None,
        }
    }

    /// Returns the state of the target.
    pub fn state(&self) -> State {
        self.state
    }

    /// Sets the state. The ramp of a cold target starts when it becomes cold, not when the same state
    /// is set again.
    pub fn set_state(&mut self, state: State, now: Stamp) {
        if state == State::Cold && self.state != State::Cold {
            self.reset(now);
        }
        self.state = state;
    }

    /// Resets everything except the slots in use.
    pub fn reset(&mut self, now: Stamp) {
        self.cold_since = now;
        self.reduced = None;
        self.mean_service_micros = None;
    }

    /// Returns true if the state allows new requests.
    pub fn accepts(&self) -> bool {
        match self.state {
            State::Cold | State::Live => true,
            State::Draining | State::Lost => false,
        }
    }

    /// Returns the current limit of concurrent requests.
    pub fn limit(&self, now: Stamp) -> u32 {
        let ramp = match self.state {
            State::Cold => self.ramp(now),
            State::Live => self.total,
            State::Draining | State::Lost => 0,
        };
        let recovery = self.reduced.map_or(self.total, |reduced| self.recovered(reduced, now));
        ramp.min(recovery)
    }

    fn ramp(&self, now: Stamp) -> u32 {
        let elapsed = now.since(self.cold_since).as_micros();
        let warmup = self.warmup.as_micros();
        if elapsed >= warmup {
            return self.total;
        }
        let grown = u128::from(self.total - 1) * elapsed / warmup;
        1 + u32::try_from(grown).unwrap_or(0)
    }

    fn recovered(&self, reduced: Reduction, now: Stamp) -> u32 {
        let steps = now.since(reduced.at).as_micros() / RECOVERY_INTERVAL.as_micros();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        reduced.limit.saturating_add(steps).min(self.total)
    }

    /// Returns true if one more request may be sent.
    pub fn has_free(&self, now: Stamp) -> bool {
        self.in_flight < self.limit(now)
    }

    /// Returns the next time at which the limit may grow without an event.
    pub fn next_growth(&self, now: Stamp) -> Option<Stamp> {
        let recovery = self.reduced.and_then(|reduced| self.next_recovery(reduced, now));
        let ramp = self.next_ramp(now);
        match (recovery, ramp) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    fn next_recovery(&self, reduced: Reduction, now: Stamp) -> Option<Stamp> {
        let limit = self.recovered(reduced, now);
        (limit < self.total).then(|| reduced.at + RECOVERY_INTERVAL * (limit - reduced.limit + 1))
    }

    fn next_ramp(&self, now: Stamp) -> Option<Stamp> {
        if self.state != State::Cold {
            return None;
        }
        let limit = self.ramp(now);
        // The ramp reaches limit + 1 at limit / (total - 1) of the warm-up; the extra microsecond
        // compensates for the division, which rounds down.
        (limit < self.total).then(|| {
            let share = self.warmup * limit / (self.total - 1);
            self.cold_since + share + Duration::from_micros(1)
        })
    }

    /// Acquires a slot.
    ///
    /// # Panics
    ///
    /// If all slots are in use: the caller must check for a free one first.
    pub fn acquire(&mut self) {
        assert!(self.in_flight < self.total, "a request would exceed the slots of a target");
        self.in_flight += 1;
    }

    /// Returns a slot that was not used.
    ///
    /// # Panics
    ///
    /// If no slot is in use.
    pub fn release(&mut self) {
        assert!(self.in_flight > 0, "a slot was returned twice");
        self.in_flight -= 1;
    }

    /// Releases the slot of an attempt that started at `acquired`.
    ///
    /// A shed attempt halves the limit (multiplicative decrease), which then grows by one slot per
    /// interval (additive increase). Attempts that were sent before the last decrease do not decrease
    /// it again, because they belong to the same overload.
    ///
    /// # Panics
    ///
    /// If no slot is in use.
    pub fn complete(&mut self, completion: Completion, acquired: Stamp, now: Stamp) {
        let limit = self.limit(now).max(1);
        self.release();
        match completion {
            Completion::Answered => self.record(now.since(acquired)),
            Completion::Shed => self.reduce(limit, acquired, now),
            Completion::Failed => {}
        }
    }

    fn record(&mut self, service: Duration) {
        self.completed += 1;
        let sample = u64::try_from(service.as_micros()).unwrap_or(u64::MAX);
        let mean = match self.mean_service_micros {
            None => sample,
            Some(mean) => mean - mean / SERVICE_TIME_SMOOTHING + sample / SERVICE_TIME_SMOOTHING,
        };
        self.mean_service_micros = Some(mean);
    }

    fn reduce(&mut self, limit: u32, acquired: Stamp, now: Stamp) {
        let same_overload = self.reduced.is_some_and(|reduced| acquired < reduced.at);
        if !same_overload {
            self.reduced = Some(Reduction { at: now, limit: (limit / 2).max(1) });
        }
    }

    /// Returns the number of slots in use.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of attempts answered since the previous call.
    pub fn take_completed(&mut self) -> u64 {
        std::mem::take(&mut self.completed)
    }

    /// Returns the moving average of the time that an answered attempt holds its slot.
    pub fn mean_service_time(&self) -> Option<Duration> {
        self.mean_service_micros.map(Duration::from_micros)
    }
}
