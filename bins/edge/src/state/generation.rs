//! Era of the store that this process knows, and what a coordinator leaves to its successor.

use caraway_core::time::Clock;
use caraway_core::time::millis;
use caraway_fleet::era::Observation;
use caraway_fleet::era::Retirement;
use caraway_fleet::era::Revision;
use caraway_fleet::view::View;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::state::State;

impl State {
    /// Returns the era of the store.
    pub fn era(&self) -> u64 {
        self.latest_era.get().era()
    }

    /// Records the era in a response of the store or in a message of another instance. In a higher
    /// era, nothing that is known of the store counts any more: everything is read again, and a
    /// coordinator ends its term. Configuration, targets and owners stay in use until then.
    pub fn observe_era(&self, era: u64, source: &str) -> Observation {
        let now = Clock.now();
        let mut latest = self.latest_era.get();
        let previous = latest.era();
        let observation = latest.observe(era, now);
        self.latest_era.set(latest);
        if observation != Observation::Risen {
            return observation;
        }
        emit(Event::EraRisen { era, previous, source: source.to_owned() });
        let start = Revision::new(era, 0);
        self.synchronized.set(false);
        self.revision.set(start);
        self.peer_ahead.set(None);
        self.instances_revision.set(start);
        // No change of the era before counts, so that others get everything.
        self.history.borrow_mut().restart(start);
        self.set_leader(None, start);
        self.watch_restart.notify_waiters();
        self.leader_changed.notify_waiters();
        self.changed.notify_waiters();
        observation
    }

    /// Records the fencing tokens that a view of the owners contains.
    pub fn record_fences(&self, view: &View) {
        let mut fences = self.fences.borrow_mut();
        for (service, fence) in &view.fences {
            let known = fences.entry(service.clone()).or_default();
            *known = (*fence).max(*known);
        }
    }

    /// Records the retirement of a coordinator, unless a newer one is known.
    pub fn record_retirement(&self, retirement: Retirement) {
        let mut latest = self.retirement.borrow_mut();
        let rank = |retirement: &Retirement| (retirement.tables_revision, retirement.next_era);
        if rank(&retirement) > rank(&latest) {
            if let Some(era) = retirement.next_era {
                let ends = retirement.grant_expiries.values();
                let longest = ends.max().map(|end| end.since(Clock.now())).unwrap_or_default();
                emit(Event::TablesAnnounced { era, longest_ms: millis(longest) });
            }
            *latest = retirement;
        }
    }
}
