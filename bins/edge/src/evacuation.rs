//! Evacuations of failure domains: what this instance knows of them and passes on.

use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::era::Revision;
use caraway_fleet::evacuation::Change;
use caraway_fleet::evacuation::Notice;
use caraway_fleet::membership::Member;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::state::State;

/// Key prefix of the evacuations; the rest of the key is the failure domain.
pub const PREFIX: &str = "op/evacuate/";

impl State {
    /// Applies an entry of the store: the evacuation of a domain, or the end of one.
    pub fn apply_evacuation(&self, domain: &str, evacuated: bool, revision: Revision) {
        let now = Clock.now();
        // In a complete read, the entry may have been there for long.
        let seen = self.synchronized.get();
        let revision = revision.into();
        let mut evacuations = self.evacuations.borrow_mut();
        let change = if evacuated {
            evacuations.begin(domain, revision, now, seen)
        } else {
            evacuations.end(domain, revision, now)
        };
        drop(evacuations);
        self.report_evacuation(change, "store");
    }

    /// Ends the evacuations whose entries are missing in a complete read.
    pub fn retain_evacuations(&self, listed: &dyn Fn(&str) -> bool, revision: Revision) {
        let changes = self.evacuations.borrow_mut().retain(listed, revision.into(), Clock.now());
        for change in changes {
            self.report_evacuation(Some(change), "store");
        }
    }

    /// Returns what this instance passes on to others.
    pub fn evacuation_notices(&self) -> Vec<Notice> {
        self.evacuations.borrow().notices(Clock.now())
    }

    /// Takes in what another instance knows.
    pub fn merge_evacuations(&self, notices: &[Notice], source: &str) {
        for notice in notices {
            let change = self.evacuations.borrow_mut().merge(notice, Clock.now());
            self.report_evacuation(change, source);
        }
    }

    fn report_evacuation(&self, change: Option<Change>, source: &str) {
        let source = source.to_owned();
        let event = match change {
            None => return,
            Some(Change::Began(domain)) => {
                Event::EvacuationBegan { domain: domain.to_string(), source }
            }
            Some(Change::Ended(domain)) => {
                Event::EvacuationEnded { domain: domain.to_string(), source }
            }
        };
        emit(event);
        let count = self.evacuations.borrow().count();
        self.metrics.evacuated_domains.set(i64::try_from(count).unwrap_or(i64::MAX));
        // A coordinator announces departures, after which all instances ask for what is new.
        self.departures.set(self.departures.get() + 1);
        self.changed.notify_waiters();
    }

    /// Returns whether a target must get no more requests: it is leaving and its drain time is
    /// about to end, or its domain is evacuated and the bound is about to end.
    pub fn is_barred(&self, member: &Member, now: Stamp) -> bool {
        self.is_drained(member, now)
            || self.evacuations.borrow().is_closed(&member.target.domain, now)
    }
}
