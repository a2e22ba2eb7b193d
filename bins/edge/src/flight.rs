//! Requests at targets, as the load of a target counts them.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::load::Outcome;
use caraway_fleet::membership::Target;

use crate::state::State;

/// A request at a target; its end is counted even if the caller leaves.
#[derive(Debug)]
pub struct Flight {
    state: Rc<State>,
    target: Arc<Target>,
    started: Stamp,
    rounds: f64,
    open: Cell<bool>,
}

impl Flight {
    /// Counts the start.
    pub fn begin(state: &Rc<State>, target: &Arc<Target>) -> Self {
        let started = Clock.now();
        let rounds =
            state.gauge(&target.incarnation.id, |gauge| gauge.begin(target.slots, started));
        let (state, target) = (state.clone(), target.clone());
        Self { state, target, started, rounds, open: Cell::new(true) }
    }

    /// Counts the end.
    pub fn end(&self, ending: Outcome) {
        if self.open.replace(false) {
            let now = Clock.now();
            let time = now.since(self.started);
            let rounds = self.rounds;
            self.state
                .gauge(&self.target.incarnation.id, |gauge| gauge.end(ending, time, rounds, now));
            self.state.changed.notify_waiters();
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned);
    }
}
