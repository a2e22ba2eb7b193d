//! Slots of one target: how many requests it may run at this moment.

use std::time::Duration;

use caraway_core::time::Stamp;

use crate::controller::Completion;
use crate::controller::State;

/// Time after which a target that shed a request gets one slot back. A target with 4 slots is back
/// at all of them within half a second, which is longer than a burst takes to drain.
const RECOVERY_STEP: Duration = Duration::from_millis(250);

/// Weight of a new service time in the running mean is one over this number.
const SERVICE_SMOOTHING: u64 = 8;

/// Slots of one target.
#[derive(Clone, Debug)]
pub struct Slots {
    total: u32,
    warmup: Duration,
    state: State,
    cold_since: Stamp,
    reduced: Option<Reduction>,
    in_flight: u32,
    completed: u64,
    service_micros: Option<u64>,
}

/// Limit after a target shed a request.
#[derive(Clone, Copy, Debug)]
struct Reduction {
    at: Stamp,
    limit: u32,
}

impl Slots {
    /// Makes the slots of a target. A total of zero is treated as one.
    pub fn new(total: u32, warmup: Duration, state: State, now: Stamp) -> Self {
        Self {
            total: total.max(1),
            warmup,
            state,
            cold_since: now,
            reduced: None,
            in_flight: 0,
            completed: 0,
            service_micros: None,
        }
    }

    /// Returns the state of the target.
    pub fn state(&self) -> State {
        self.state
    }

    /// Changes the state. The ramp of a cold target starts when it becomes cold, not when the state
    /// is repeated.
    pub fn set_state(&mut self, state: State, now: Stamp) {
        if state == State::Cold && self.state != State::Cold {
            self.restart(now);
        }
        self.state = state;
    }

    /// Forgets what is known about the target except for the slots that are taken.
    pub fn restart(&mut self, now: Stamp) {
        self.cold_since = now;
        self.reduced = None;
        self.service_micros = None;
    }

    /// Returns true if the state allows new work.
    pub fn accepts(&self) -> bool {
        match self.state {
            State::Cold | State::Live => true,
            State::Draining | State::Lost => false,
        }
    }

    /// Returns how many requests the target may run now.
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
        let steps = now.since(reduced.at).as_micros() / RECOVERY_STEP.as_micros();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        reduced.limit.saturating_add(steps).min(self.total)
    }

    /// Returns true if one more request may be sent.
    pub fn free(&self, now: Stamp) -> bool {
        self.in_flight < self.limit(now)
    }

    /// Returns the next moment at which the limit may grow without any event.
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
        (limit < self.total).then(|| reduced.at + RECOVERY_STEP * (limit - reduced.limit + 1))
    }

    fn next_ramp(&self, now: Stamp) -> Option<Stamp> {
        if self.state != State::Cold {
            return None;
        }
        let limit = self.ramp(now);
        // The ramp reaches limit + 1 at limit / (total - 1) of the warm-up; one microsecond makes up
        // for the rounding of the division.
        (limit < self.total).then(|| {
            let share = self.warmup * limit / (self.total - 1);
            self.cold_since + share + Duration::from_micros(1)
        })
    }

    /// Takes a slot.
    ///
    /// # Panics
    ///
    /// If every slot is taken: the caller must have seen a free one.
    pub fn take(&mut self) {
        assert!(self.in_flight < self.total, "a request would exceed the slots of a target");
        self.in_flight += 1;
    }

    /// Returns a slot that was not used.
    ///
    /// # Panics
    ///
    /// If no slot is taken.
    pub fn give_back(&mut self) {
        assert!(self.in_flight > 0, "a slot was returned twice");
        self.in_flight -= 1;
    }

    /// Returns the slot of an attempt that started at `taken`.
    ///
    /// A shed attempt halves the limit (multiplicative decrease), which then grows by one slot per
    /// step (additive increase). Attempts that were sent before the last decrease do not decrease
    /// it again, because they belong to the same overload.
    ///
    /// # Panics
    ///
    /// If no slot is taken.
    pub fn finish(&mut self, finish: Completion, taken: Stamp, now: Stamp) {
        let limit = self.limit(now).max(1);
        self.give_back();
        match finish {
            Completion::Answered => self.record(now.since(taken)),
            Completion::Shed => self.reduce(limit, taken, now),
            Completion::Failed => {}
        }
    }

    fn record(&mut self, service: Duration) {
        self.completed += 1;
        let sample = u64::try_from(service.as_micros()).unwrap_or(u64::MAX);
        let mean = match self.service_micros {
            None => sample,
            Some(mean) => mean - mean / SERVICE_SMOOTHING + sample / SERVICE_SMOOTHING,
        };
        self.service_micros = Some(mean);
    }

    fn reduce(&mut self, limit: u32, taken: Stamp, now: Stamp) {
        let same_overload = self.reduced.is_some_and(|reduced| taken < reduced.at);
        if !same_overload {
            self.reduced = Some(Reduction { at: now, limit: (limit / 2).max(1) });
        }
    }

    /// Returns how many requests hold slots.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many attempts were answered since the previous call.
    pub fn take_completed(&mut self) -> u64 {
        std::mem::take(&mut self.completed)
    }

    /// Returns the running mean of the time that an answered attempt holds its slot.
    pub fn service(&self) -> Option<Duration> {
        self.service_micros.map(Duration::from_micros)
    }
}
