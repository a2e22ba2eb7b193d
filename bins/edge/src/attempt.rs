//! Attempts of requests at targets, counted in the targets' load estimates.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::load::Outcome;
use caraway_fleet::membership::Target;

use crate::state::State;

/// An attempt at a target. If its end is not recorded, for instance because the caller disconnects,
/// it is counted as abandoned on drop.
#[derive(Debug)]
pub struct Attempt {
    state: Rc<State>,
    target: Arc<Target>,
    started: Stamp,
    factor: f64,
    urgent: bool,
    open: Cell<bool>,
    /// Time from the start until the pace of the caller determines the rest, if it does.
    own_time: Cell<Option<Duration>>,
}

impl Attempt {
    /// Records the start of an attempt of a request that is urgent or not.
    pub fn begin(state: &Rc<State>, target: &Arc<Target>, urgent: bool) -> Self {
        let started = Clock.now();
        let factor = state.with_estimate(&target.incarnation.id, |estimate| {
            estimate.begin(target.slots, started)
        });
        state.with_classes(&target.service, |classes| classes.begin(urgent));
        let (state, target) = (state.clone(), target.clone());
        let (open, own_time) = (Cell::new(true), Cell::new(None));
        Self { state, target, started, factor, urgent, open, own_time }
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
        self.state.with_estimate(&self.target.incarnation.id, |estimate| {
            estimate.record_response(self.started);
        });
    }

    /// Records the end of the attempt; later calls have no effect.
    pub fn end(&self, outcome: Outcome) {
        if self.open.replace(false) {
            let now = Clock.now();
            let time = self.own_time.get().unwrap_or_else(|| now.since(self.started));
            let factor = self.factor;
            self.state.with_estimate(&self.target.incarnation.id, |estimate| {
                estimate.end(outcome, time, factor, now)
            });
            self.state.with_classes(&self.target.service, |classes| classes.end(self.urgent));
            self.state.changed.notify_waiters();
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned);
    }
}
