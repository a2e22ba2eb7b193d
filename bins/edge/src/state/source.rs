//! From whom this instance learns the contents of the store.

use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::backoff;
use caraway_fleet::era::Revision;
use caraway_fleet::following::Fleet;
use caraway_fleet::following::Following;
use caraway_fleet::following::Mode;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::state::Leader;
use crate::state::State;

/// Age of the latest response of the store above which an instance does not count as up to date.
/// While the store is available, the coordinator's watch and lease renewals yield a response at
/// least every 400 ms, and the watch of a deputy at least every 600 ms.
const MAX_STORE_AGE: Duration = Duration::from_millis(900);

impl State {
    /// Sets the coordinator as of a revision, unless a newer one is known.
    pub fn set_leader(&self, name: Option<&str>, revision: Revision) {
        if revision <= self.leader_revision.get() {
            return;
        }
        self.leader_revision.set(revision);
        *self.leader.borrow_mut() = name.map(|name| Leader { name: name.into(), term: revision });
        self.follow(|following, deputy, _| following.record_leader(name, deputy));
        self.leader_changed.notify_waiters();
    }

    /// Returns the name of the coordinator, unless it is this instance.
    pub fn other_leader(&self) -> Option<Arc<str>> {
        let leader = self.leader.borrow();
        let name = leader.as_ref().map(|leader| leader.name.clone());
        name.filter(|name| *name != self.settings.name)
    }

    /// Calls a function with the instances among which deputies are chosen.
    pub fn with_fleet<T>(&self, operate: impl FnOnce(Fleet<'_>) -> T) -> T {
        let instances = self.domains();
        let known = self.instances.borrow();
        let known = known.iter().map(|(name, known)| (name.clone(), known.cpu_share));
        let this = (self.settings.name.clone(), self.settings.cpu_share);
        let capacities = known.chain(std::iter::once(this)).collect();
        let leader = self.other_leader();
        operate(Fleet { instances: &instances, capacities: &capacities, leader: leader.as_deref() })
    }

    /// Returns whether this instance is a deputy of the coordinator in its failure domain.
    pub fn is_deputy(&self) -> bool {
        self.with_fleet(|fleet| {
            fleet.deputies(&self.settings.domain).contains(&&self.settings.name)
        })
    }

    /// Applies an event to the state of following; the event gets whether this instance is a deputy
    /// and the current time. Restarts the watch of the store if this instance has to watch it now.
    pub fn follow<T>(&self, event: impl FnOnce(&mut Following, bool, Stamp) -> T) -> T {
        let (deputy, now) = (self.is_deputy(), Clock.now());
        let mut following = self.following.borrow_mut();
        let before = following.watches_store();
        let result = event(&mut following, deputy, now);
        following.expire(now);
        let (mode, age) = (describe(following.mode()), following.age(now));
        let watches = following.watches_store();
        drop(following);
        if watches != before {
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            emit(Event::FollowingChanged { mode, age_ms });
            if watches {
                self.watch_restart.notify_waiters();
            }
        }
        result
    }

    /// Returns whether this instance watches the store itself at the moment.
    pub fn watches_store(&self) -> bool {
        self.follow(|following, _, _| following.watches_store())
    }

    /// Records the start of a term of this instance as coordinator, which watches the store itself.
    pub fn begin_term(&self) {
        self.leading.set(true);
        self.follow(|following, _, _| following.begin_term());
        self.watch_restart.notify_waiters();
    }

    /// Records the end of a term of this instance as coordinator.
    pub fn end_term(&self) {
        self.leading.set(false);
        self.follow(|following, _, _| following.end_term());
    }

    /// Records a response of the store.
    pub fn record_store_response(&self) {
        let now = Clock.now();
        self.last_store_response.set(Some(now));
        let mut following = self.following.borrow_mut();
        // A response proves the age of the view only if the view is complete and a watch is open.
        if self.synchronized.get() && following.watches_store() {
            following.record_store_response(now);
        }
        drop(following);
        if self.store_backoff.borrow_mut().record_success() {
            self.store_recovered.notify_waiters();
        }
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&self) {
        let relied_on = self.leading.get() || self.is_deputy();
        let max = if relied_on { backoff::MAX_DEPUTY_DELAY } else { backoff::MAX_DELAY };
        self.store_backoff.borrow_mut().record_failure(max, rand::random(), Clock.now());
    }

    /// Waits until the store may be called again after a failure.
    pub async fn wait_for_store(&self) {
        let delay = self.store_backoff.borrow().delay(Clock.now());
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = self.store_recovered.notified() => {}
        }
    }

    /// Returns the time since the store, or an instance that is up to date with it, was last heard
    /// from.
    pub fn view_age(&self) -> Duration {
        self.following.borrow().age(Clock.now())
    }

    /// Returns whether this instance watches the store and is up to date with it.
    pub fn is_fresh(&self) -> bool {
        let now = Clock.now();
        self.following.borrow().watches_store()
            && self.synchronized.get()
            && !self.store_failing.get()
            && self.last_store_response.get().is_some_and(|at| now.since(at) < MAX_STORE_AGE)
    }

    /// Returns whether the view is recent enough to serve callers: the store or an instance that is
    /// up to date was heard from within twice the longest grant. Outages of the store are shorter.
    pub fn is_current(&self) -> bool {
        self.view_age() < self.settings.max_grant_duration * 2
    }
}

fn describe(mode: &Mode) -> String {
    match mode {
        Mode::Store => "the store".to_owned(),
        Mode::Coordinating => "the store, as the coordinator".to_owned(),
        Mode::Delegated { source, coordinator: true, .. } => format!("coordinator {source}"),
        Mode::Delegated { source, .. } => format!("instance {source}"),
    }
}
