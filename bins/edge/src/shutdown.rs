//! What the parts of the process need to know of a planned stop.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use caraway_core::time::Clock;
use caraway_fleet::stop::Schedule;

/// The planned stop of a process, if it has begun.
#[derive(Debug, Default)]
pub struct Shutdown {
    schedule: Cell<Option<Schedule>>,
    /// Whether requests no longer wait for their targets.
    failing: Cell<bool>,
    /// Notified when requests no longer wait for their targets.
    failing_notice: Notify,
}

impl Shutdown {
    /// Records that a planned stop has begun.
    pub fn begin(&self, schedule: Schedule) {
        self.schedule.set(Some(schedule));
    }

    /// Makes requests in flight stop waiting for their targets.
    pub fn fail_requests(&self) {
        self.failing.set(true);
        self.failing_notice.notify_waiters();
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Returns whether a request may begin that has `left` until its deadline. A process that stops begins only
    /// requests that end before it does.
    pub fn admits(&self, left: Duration) -> bool {
        self.schedule.get().is_none_or(|schedule| schedule.admits(left, Clock.now()))
    }

    /// Returns how much of `left` an attempt at a target may take.
    pub fn limit(&self, left: Duration) -> Duration {
        self.schedule.get().map_or(left, |schedule| schedule.limit(left, Clock.now()))
    }

    /// Returns when requests no longer wait for their targets, so that each gets a response before the process
    /// exits.
    pub async fn wait_for_failing(&self) {
        let notice = self.failing_notice.notified();
        if !self.failing.get() {
            notice.await;
        }
    }
}
