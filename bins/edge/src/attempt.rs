//! Attempts of requests at targets, counted in the targets' load estimates.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use caraway_call::quarantine::Identity;
use caraway_call::suspicion::End;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::load::Outcome;
use caraway_fleet::membership::Target;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::probe::probe_target;
use crate::state::State;

/// An attempt at a target. Every attempt ends in one of the ways below, each of which says what the
/// attempt means for the load of the target and for a crash of the target that follows. If none is
/// recorded, for instance because the caller disconnects, the attempt is given up on drop.
#[derive(Debug)]
pub struct Attempt {
    state: Rc<State>,
    target: Arc<Target>,
    /// Id of the caller's attempt.
    id: Arc<str>,
    /// Identity of the request in the quarantine.
    request: Identity,
    /// Whether any part of the request may have reached the target.
    sent: Cell<bool>,
    started: Stamp,
    factor: f64,
    urgent: bool,
    open: Cell<bool>,
    /// Time from the start until the pace of the caller determines the rest, if it does.
    own_time: Cell<Option<Duration>>,
}

impl Attempt {
    /// Records the start of an attempt of a request, which has the id of its caller's attempt and is
    /// urgent or not.
    pub fn begin(
        state: &Rc<State>,
        target: &Arc<Target>,
        (id, request): (Arc<str>, Identity),
        urgent: bool,
    ) -> Self {
        let started = Clock.now();
        let factor = state.with_estimate(&target.incarnation.id, |estimate| {
            estimate.begin(target.slots, started)
        });
        state.with_classes(&target.service, |classes| classes.begin(urgent));
        let (state, target) = (state.clone(), target.clone());
        let (open, sent, own_time) = (Cell::new(true), Cell::new(false), Cell::new(None));
        Self { state, target, id, request, sent, started, factor, urgent, open, own_time }
    }

    /// Records that the request is sent from now on.
    pub fn record_sent(&self) {
        self.sent.set(true);
    }

    /// Records that the rest of the response is read at the pace of the caller. The time that this takes says
    /// nothing about the target: callers that read nothing would make it look slower than any deadline.
    pub fn pass_pace(&self) {
        if self.own_time.get().is_none() {
            self.own_time.set(Some(Clock.now().since(self.started)));
        }
    }

    /// Records that a response has begun. Its body may take as long as the caller reads it.
    pub fn record_response(&self) {
        self.state.record_answer(&self.target, self.started);
        self.state.with_estimate(&self.target.incarnation.id, |estimate| {
            estimate.record_response(self.started);
        });
    }

    /// Ends an attempt whose request was not sent, or was not run according to the target.
    pub fn end_without_run(&self, outcome: Outcome) {
        self.end(outcome, End::NotRun);
    }

    /// Ends an attempt with a complete response.
    pub fn complete(&self, outcome: Outcome) {
        self.end(outcome, End::Complete);
    }

    /// Ends an attempt whose connection was lost before the response was complete, or carried
    /// something else. The target is probed for a crash unless it was recently.
    pub fn break_off(&self, error: &str) {
        let probe = self.end(Outcome::Failed, End::Broken);
        emit(Event::AnswerBroken {
            request_id: self.id.to_string(),
            target: self.target.incarnation.id.to_string(),
            error: error.to_owned(),
        });
        if probe {
            probe_target(&self.state, &self.target);
        }
    }

    /// Ends an attempt that this instance gives up before the response is complete.
    pub fn give_up(&self, outcome: Outcome) {
        self.end(outcome, End::GivenUp);
    }

    /// Records the end of the attempt; later calls have no effect. Returns whether the target should
    /// be probed.
    fn end(&self, outcome: Outcome, end: End) -> bool {
        if !self.open.replace(false) {
            return false;
        }
        let now = Clock.now();
        let time = self.own_time.get().unwrap_or_else(|| now.since(self.started));
        let factor = self.factor;
        self.state.with_estimate(&self.target.incarnation.id, |estimate| {
            estimate.end(outcome, time, factor, now)
        });
        self.state.with_classes(&self.target.service, |classes| classes.end(self.urgent));
        self.state.changed.notify_waiters();
        let end = if self.sent.get() { end } else { End::NotRun };
        self.state.record_end(&self.target, self.request, end)
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.give_up(Outcome::Abandoned);
    }
}
