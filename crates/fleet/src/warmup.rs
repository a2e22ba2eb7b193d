//! Requests to cold targets: shares that are divided in advance.
//!
//! A cold target crashes if it gets more requests in a second than it tolerates, and instances
//! that cannot reach each other must not exceed this together. So no message is involved: each
//! instance derives from the list of instances whether it is one of the few senders of a target,
//! and each sender has a fixed number of requests per interval.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::membership::Incarnation;
use crate::membership::Target;
use crate::rendezvous;
use crate::rendezvous::Domains;

/// Window in which the platform counts the requests that arrive at a cold target.
const WINDOW: Duration = Duration::from_secs(1);

/// Largest difference between the transit times of two requests of one instance. Without it, two
/// requests that are sent a second apart can arrive within a second.
const TRANSIT_MARGIN: Duration = Duration::from_millis(250);

/// Time for which an instance must have been selected by each of its lists before it sends. Other
/// instances learn within about a second that it has taken their place, and what they sent before
/// counts for another second.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Number of lists of instances that may select disjoint senders in the same second: the lists
/// before and after a change, such as the loss of a failure domain.
const DISAGREEING_LISTS: f64 = 2.0;

/// Interval in which the list of instances is read again. It bounds the number of former lists.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);

/// Fraction of the targets of a service above which failed connections are taken to be the fault of
/// this instance's network and not of the targets.
const MAX_SUSPECT_SHARE: f64 = 0.25;

/// Largest number of requests per interval that is divided among instances.
const MAX_REQUESTS: u16 = 1000;

/// Time after its last request for which a target is remembered.
const RETENTION: Duration = Duration::from_secs(60);

/// Number of remembered targets at which those that have expired are removed.
const PRUNE_SIZE: usize = 1024;

/// Requests that a cold target of a service tolerates from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub per_second: f64,
    /// Largest number of requests in any second.
    pub bound: f64,
}

impl Rate {
    /// Returns the rate for a tolerated number of requests per second, of which any second may have
    /// `overshoot` times as many and `slack` more. Returns `None` if there is no limit.
    pub fn new(per_second: f64, overshoot: f64, slack: f64) -> Option<Self> {
        let bound = per_second * overshoot.max(1.0) + slack.max(0.0);
        (per_second > 0.0).then_some(Self { per_second, bound })
    }

    /// Returns the requests that all senders of one list may send per [`Rate::interval`].
    fn total(self) -> usize {
        let total = self.per_second.min(self.bound / DISAGREEING_LISTS).floor().max(1.0);
        let within = (1..=MAX_REQUESTS).take_while(|count| f64::from(*count) <= total);
        within.last().map_or(1, usize::from)
    }

    /// Returns the interval in which a sender may send its requests.
    pub fn interval(self) -> Duration {
        let tolerated = Duration::try_from_secs_f64(1.0 / self.per_second).unwrap_or(Duration::MAX);
        WINDOW.max(tolerated.min(Duration::from_secs(3600))) + TRANSIT_MARGIN
    }

    /// Returns the number of senders among a number of instances, and the requests that each may
    /// send per interval.
    fn shares(self, instances: usize) -> (usize, usize) {
        let total = self.total();
        let senders = total.min(instances).max(1);
        (senders, total / senders)
    }
}

/// Requests of this instance to one target.
#[derive(Clone, Debug, Default)]
struct Sender {
    /// Generation of the lists for which the quota was derived.
    generation: u64,
    /// Requests that this instance may send per interval; zero if it is not a sender.
    quota: usize,
    /// Times of the latest requests.
    sent: VecDeque<Stamp>,
}

/// Share of this instance in the requests to cold targets.
#[derive(Clone, Debug)]
pub struct Shares {
    /// Name of this instance.
    name: Arc<str>,
    current: Domains,
    /// Former lists with the times at which they were replaced. They begin with an empty one, so
    /// that an instance that has just started sends nothing: it may have sent before a restart.
    former: VecDeque<(Stamp, Domains)>,
    /// When the list was read last.
    observed: Option<Stamp>,
    /// Number of changes of the lists.
    generation: u64,
    senders: HashMap<Incarnation, Sender>,
    /// Targets that did not take a connection, with their service and the time until which a
    /// successor would be cold.
    suspects: HashMap<Arc<str>, (Arc<str>, Stamp)>,
}

impl Shares {
    /// Creates the shares of the named instance, which knows no instances yet.
    pub fn new(name: Arc<str>) -> Self {
        Self {
            name,
            current: Domains::new(),
            former: VecDeque::new(),
            observed: None,
            generation: 0,
            senders: HashMap::new(),
            suspects: HashMap::new(),
        }
    }

    /// Takes note of the registered instances, at most once in [`OBSERVATION_INTERVAL`]. An instance
    /// that is not registered itself is no sender, because the others do not count on it.
    pub fn observe(&mut self, registered: impl FnOnce() -> Domains, now: Stamp) {
        if self.observed.is_some_and(|at| now.since(at) < OBSERVATION_INTERVAL) {
            return;
        }
        self.observed = Some(now);
        let before = self.former.len();
        self.former.retain(|(replaced, _)| now.since(*replaced) < SETTLING_TIME);
        if self.former.len() != before {
            self.generation += 1;
        }
        let registered = registered();
        if registered != self.current {
            self.generation += 1;
            let replaced = std::mem::replace(&mut self.current, registered);
            self.former.push_back((now, replaced));
        }
    }

    /// Returns `Ok` if this instance may send a request to a cold target now, and otherwise the
    /// time at which it may, as far as it is known.
    ///
    /// # Errors
    ///
    /// Returns the end of the current interval if the request has to wait.
    pub fn check(
        &mut self,
        incarnation: &Incarnation,
        domain: &str,
        rate: Rate,
        now: Stamp,
    ) -> Result<(), Stamp> {
        let sender = self.senders.entry(incarnation.clone()).or_default();
        // Generation zero has no list.
        if sender.generation != self.generation {
            sender.generation = self.generation;
            let lists = self.former.iter().map(|(_, list)| list).chain([&self.current]);
            let quota = |list| quota(&self.name, incarnation, domain, rate, list);
            sender.quota = lists.map(quota).min().unwrap_or(0);
        }
        if sender.quota == 0 {
            return Err(now + rate.interval());
        }
        let Some(index) = sender.sent.len().checked_sub(sender.quota) else { return Ok(()) };
        let free_at = sender.sent.get(index).map_or(now, |at| *at + rate.interval());
        if free_at <= now { Ok(()) } else { Err(free_at) }
    }

    /// Counts a request that is sent to a target, cold or not: a warm target may turn cold.
    pub fn record(&mut self, incarnation: &Incarnation, rate: Rate, now: Stamp) {
        if self.senders.len() >= PRUNE_SIZE && !self.senders.contains_key(incarnation) {
            let recent =
                |sender: &Sender| sender.sent.back().is_some_and(|at| now.since(*at) < RETENTION);
            self.senders.retain(|_, sender| recent(sender));
        }
        let sender = self.senders.entry(incarnation.clone()).or_default();
        sender.sent.push_back(now);
        while sender.sent.len() > rate.total() {
            sender.sent.pop_front();
        }
    }

    /// Records that the latest request to a target was sent completely. Until then it may arrive.
    pub fn record_sent(&mut self, incarnation: &Incarnation, now: Stamp) {
        if let Some(sender) = self.senders.get_mut(incarnation)
            && let Some(latest) = sender.sent.back_mut()
        {
            *latest = now.max(*latest);
        }
    }
}

impl Shares {
    /// Records that a target took no connection. It may have crashed, and the next incarnation is
    /// cold before its entry says so.
    pub fn record_unreachable(&mut self, target: &Target, until: Stamp, now: Stamp) {
        self.suspects.retain(|_, (_, until)| *until > now);
        self.suspects.insert(target.incarnation.id.clone(), (target.service.clone(), until));
    }

    /// Records that a target has stated its warm-up time itself.
    pub fn clear_suspicion(&mut self, id: &str) {
        self.suspects.remove(id);
    }

    /// Returns whether a target counts as cold because it took no connection a moment ago. This
    /// does not hold if a large part of the `listed` targets of its service took none.
    pub fn is_suspect(&self, target: &Target, listed: usize, now: Stamp) -> bool {
        let is_current = |until: &Stamp| *until > now;
        if !self.suspects.get(&target.incarnation.id).is_some_and(|(_, until)| is_current(until)) {
            return false;
        }
        let of_service = self
            .suspects
            .values()
            .filter(|(service, until)| *service == target.service && is_current(until));
        let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
        count(of_service.count()) <= (count(listed) * MAX_SUSPECT_SHARE).max(1.0)
    }
}

/// Returns the requests per interval that an instance may send to a target according to one list.
fn quota(
    name: &Arc<str>,
    incarnation: &Incarnation,
    domain: &str,
    rate: Rate,
    list: &Domains,
) -> usize {
    let (senders, quota) = rate.shares(list.len());
    if rendezvous::is_selected(name, incarnation, domain, list, senders) { quota } else { 0 }
}
