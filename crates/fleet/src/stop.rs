//! Planned stops: how long a stopping instance accepts requests, and by when each request has ended.
//!
//! The platform kills a process at the end of its grace period. A request that begins during a stop must end before
//! that, so it is accepted only if its whole time fits. Any other is refused before it reaches a target: the caller's
//! next attempt reaches another instance, while a request that is broken off may have been executed.

use std::time::Duration;

use caraway_core::time::Stamp;

/// Fraction of the grace period in which the listener and idle connections stay open. The platform checks
/// readiness once a second and removes an instance after two failed checks.
const ACCEPT_SHARE: f64 = 0.45;

/// Fraction of the grace period after which requests no longer wait for their targets. The rest is for telling their
/// callers that the outcome is unknown.
const WAIT_SHARE: f64 = 0.9;

/// Time before the end of the grace period at which the process exits even with requests in flight.
const KILL_MARGIN: Duration = Duration::from_millis(250);

/// Times of a planned stop, all derived from its beginning and the grace period.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    began: Stamp,
    grace: Duration,
    response_time: Duration,
}

impl Schedule {
    /// Creates the schedule of a stop that began at `began`. `response_time` is the time for which a target's response
    /// is awaited beyond the deadline of its request.
    pub fn new(began: Stamp, grace: Duration, response_time: Duration) -> Self {
        Self { began, grace, response_time }
    }

    /// Returns the time since the stop began.
    pub fn elapsed(&self, now: Stamp) -> Duration {
        now.since(self.began)
    }

    /// Returns the end of the time in which the listener and idle connections are open.
    pub fn accept_end(&self) -> Stamp {
        self.began + self.grace.mul_f64(ACCEPT_SHARE)
    }

    /// Returns the latest deadline of a request at a target.
    pub fn run_end(&self) -> Stamp {
        self.answer_end() - self.response_time
    }

    /// Returns the time from which requests no longer wait for their targets.
    pub fn answer_end(&self) -> Stamp {
        (self.began + self.grace.mul_f64(WAIT_SHARE)).min(self.exit())
    }

    /// Returns the time at which the process exits at the latest.
    pub fn exit(&self) -> Stamp {
        self.began + self.grace.saturating_sub(KILL_MARGIN)
    }

    /// Returns whether a request may begin that has `left` until its deadline.
    pub fn admits(&self, left: Duration, now: Stamp) -> bool {
        now + left <= self.run_end()
    }

    /// Returns how much of `left` an attempt at a target may take.
    pub fn limit(&self, left: Duration, now: Stamp) -> Duration {
        left.min(self.run_end().since(now))
    }
}

/// Stage in which the listener and idle connections are open.
#[derive(Debug)]
pub struct Accepting;

/// Stage in which no further connection is accepted and requests in flight are answered.
#[derive(Debug)]
pub struct Draining;

/// Stage in which the requests that are still in flight are failed.
#[derive(Debug)]
pub struct Failing;

/// A planned stop in one of its stages, which follow each other.
#[derive(Debug)]
pub struct Stop<S> {
    schedule: Schedule,
    _stage: S,
}

impl Stop<Accepting> {
    /// Begins a stop.
    pub fn begin(schedule: Schedule) -> Self {
        Self { schedule, _stage: Accepting }
    }

    /// Returns the end of the stage.
    pub fn end(&self) -> Stamp {
        self.schedule.accept_end()
    }

    /// Closes the listener.
    pub fn close(self) -> Stop<Draining> {
        Stop { schedule: self.schedule, _stage: Draining }
    }
}

impl Stop<Draining> {
    /// Returns the end of the stage.
    pub fn end(&self) -> Stamp {
        self.schedule.answer_end()
    }

    /// Fails the requests that still wait for their targets.
    pub fn fail(self) -> Stop<Failing> {
        Stop { schedule: self.schedule, _stage: Failing }
    }
}

impl Stop<Failing> {
    /// Returns the end of the stage, at which the process exits.
    pub fn end(&self) -> Stamp {
        self.schedule.exit()
    }
}
