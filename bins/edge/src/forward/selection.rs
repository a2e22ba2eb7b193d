//! Selection of the target of an attempt.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::Instant;
use tokio::time::timeout_at;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::admission;
use caraway_fleet::load::Admission;
use caraway_fleet::load::Candidate;
use caraway_fleet::load::Estimate;
use caraway_fleet::load::choose;
use caraway_fleet::membership::Member;
use caraway_fleet::membership::Registry;
use caraway_fleet::membership::Target;
use caraway_fleet::refusal::Room;
use caraway_fleet::share::Place;
use caraway_fleet::unowned;

use crate::forward::Call;
use crate::reason::Reason;
use crate::state::State;

/// Time in which a grant reaches its target after the instances have been informed of it.
const GRANT_DELIVERY_TIME: Duration = Duration::from_millis(120);

/// Fraction of the latency objective for which a request waits while this instance is at its limit
/// of in-flight requests at the owner of the key, or at all targets of a service without keys.
const MAX_WAIT_SHARE: f64 = 0.35;

/// Expected service time at a target without measurements, in seconds.
pub const DEFAULT_SERVICE_TIME: f64 = 0.1;

/// Lower bound for the size of a response with its request, in KiB.
const MIN_TRANSFER_KB: f64 = 1.0;

/// Numbers of random candidates from the local failure domain and from the other ones. Sampling
/// prevents instances, which compare targets by the same reports, from all choosing the same target
/// at the same time.
const LOCAL_SAMPLE: usize = 4;
const REMOTE_SAMPLE: usize = 3;

/// Fraction of selections in which a target without measurements is preferred, and the factor on
/// its expected time in these. Without exploration, a new target that is slow while it warms up
/// would receive no requests as long as others have capacity, and would never be measured.
const EXPLORATION_SHARE: f64 = 0.1;
const EXPLORATION_FACTOR: f64 = 0.1;

/// A request that waits for room at the targets of a service.
struct Waiting<'a> {
    state: &'a State,
    service: &'a Arc<str>,
}

impl<'a> Waiting<'a> {
    fn begin(state: &'a State, service: &'a Arc<str>) -> Self {
        state.callers.borrow_mut().entry(service.clone()).or_default().waiting += 1;
        Self { state, service }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(callers) = self.state.callers.borrow_mut().get_mut(self.service) {
            callers.waiting = callers.waiting.saturating_sub(1);
        }
    }
}

impl Call<'_> {
    /// Selects the target of the next attempt.
    pub(super) async fn select_target(&self) -> Result<Arc<Target>, Reason> {
        match self.key {
            Some(key) => {
                let target = self.wait_for_owner(key).await?;
                let limit = self.state.warmup_limit(&target.service);
                let room = limit
                    .map_or(Ok(()), |limit| self.state.check_warmup(&target, limit, Clock.now()));
                room.map_or_else(|end| Err(self.wait_for_warmup(end)), |()| Ok(target))
            }
            None => self.wait_for_room().await,
        }
    }

    /// Takes a request out of this instance's share in a cold target; returns the reason if the
    /// request must not be sent to it.
    pub(super) fn take_warmup(&self, target: &Target) -> Option<Reason> {
        self.state.take_warmup(target).err().map(|end| self.wait_for_warmup(end))
    }

    /// Notes when a cold target may get a request again.
    fn wait_for_warmup(&self, end: Stamp) -> Reason {
        self.pause_end.set(Some(end));
        Reason::WarmingUp
    }

    /// Returns a target of a service without keys. If there is none with room, the request waits
    /// while room is expected in time; otherwise its caller is better served by a refusal at once,
    /// since it can return while it still has time.
    async fn wait_for_room(&self) -> Result<Arc<Target>, Reason> {
        let wait = self.route.latency_objective.mul_f64(MAX_WAIT_SHARE);
        let end = self.request.received + wait;
        let mut waiting = None;
        loop {
            let changed = self.state.changed.notified();
            let now = Clock.now();
            let may_send = self
                .state
                .with_classes(&self.service, |classes| classes.may_send(self.urgent, now));
            let selected =
                if may_send { self.select_least_loaded() } else { Err(Reason::InFlightLimit) };
            if selected != Err(Reason::InFlightLimit) {
                return selected;
            }
            if waiting.is_none() {
                if may_send {
                    self.state.with_classes(&self.service, |classes| {
                        classes.record_shortage(self.urgent, now)
                    });
                }
                if !self.is_room_expected(end.saturating_duration_since(Instant::now())) {
                    return selected;
                }
                waiting = Some(Waiting::begin(self.state, &self.service));
            }
            if timeout_at(end, changed).await.is_err() {
                return selected;
            }
        }
    }

    /// Returns whether room at the targets of a service without keys is expected within a time. If
    /// the targets are not divided among the instances, other instances may make room at any moment.
    fn is_room_expected(&self, wait: Duration) -> bool {
        let now = Clock.now();
        if self.state.share(&self.service, now).is_none() {
            return true;
        }
        let callers = self.state.callers.borrow();
        // Urgent requests do not wait behind others.
        let waiting = callers.get(&self.service).map_or(0, |callers| callers.waiting);
        let ahead = if self.urgent { 0 } else { waiting };
        self.room(now).is_some_and(|room| room.wait(ahead) <= wait)
    }

    /// Returns the delay after which the caller should return, if the request is refused for lack of
    /// room.
    pub(super) fn return_delay(&self, now: Stamp) -> Option<Duration> {
        let room = self.room(now)?;
        let owner = self.key.and_then(|key| self.known_owner(key));
        let name = owner.map_or(self.service.clone(), |owner| owner.incarnation.id.clone());
        let mut callers = self.state.callers.borrow_mut();
        let callers = callers.entry(name).or_default();
        Some(callers.return_delay(room, self.time_left(), rand::random(), now))
    }

    /// Returns the room that becomes free for requests of this instance: as its requests end, or as
    /// the owner of the key works off its queue.
    fn room(&self, now: Stamp) -> Option<Room> {
        if let Some(key) = self.key {
            let target = self.known_owner(key)?;
            let instances = self.state.instances.borrow().len();
            return self.state.with_estimate(&target.incarnation.id, |estimate| {
                Some(estimate.room_as_owner(target.slots, instances, DEFAULT_SERVICE_TIME, now))
            });
        }
        let share = self.state.share(&self.service, now);
        let registry = self.state.registry.borrow();
        let estimates = self.state.estimates.borrow();
        let (mut in_flight, mut time) = (0.0, 0.0);
        for member in registry.members().filter(|m| m.target.service == self.service) {
            let (id, slots) = (&member.target.incarnation.id, member.target.slots);
            let used = share.as_ref().is_none_or(|share| share.place(id).is_some());
            let Some(estimate) = estimates.get(id).filter(|e| used && e.in_flight > 0) else {
                continue;
            };
            let count = f64::from(estimate.in_flight);
            in_flight += count;
            time += count * estimate.expected_time(slots, DEFAULT_SERVICE_TIME, now);
        }
        let rate = (in_flight > 0.0).then(|| in_flight * in_flight / time.max(1e-3))?;
        Some(Room { first: Duration::from_secs_f64(1.0 / rate), rate })
    }

    /// Returns the owner of a key, waiting until it has one and may receive the request.
    async fn wait_for_owner(&self, key: u16) -> Result<Arc<Target>, Reason> {
        let end = Instant::now() + unowned::MAX_WAIT.min(self.time_left() / 2);
        loop {
            let changed = self.state.changed.notified();
            let after_refusal = self.last_reason == Reason::NotOwner && !self.selected.is_empty();
            let known = self.known_owner(key);
            let refused_before = known.as_ref().is_some_and(|known| {
                after_refusal && self.selected.last() == Some(&known.incarnation.id)
            });
            let Some(target) = known else {
                let until = end.min(Instant::now() + self.unowned_wait(key));
                if timeout_at(until, changed).await.is_err() && self.known_owner(key).is_none() {
                    return Err(Reason::NoOwner);
                }
                continue;
            };
            if refused_before {
                // The target that has just refused may still become the owner: its grant may be in transit.
                let until = end.min(Instant::now() + GRANT_DELIVERY_TIME);
                if timeout_at(until, changed).await.is_err() {
                    return Ok(target);
                }
                continue;
            }
            let now = Clock.now();
            if let Some(end) =
                self.state.pauses.borrow().next(&target.incarnation, self.route.repeatable, now)
            {
                self.pause_end.set(Some(end));
                return Err(Reason::Paused);
            }
            if !self
                .state
                .with_estimate(&target.incarnation.id, |estimate| estimate.is_usable_as_owner(now))
            {
                return Err(Reason::OwnerUnreachable);
            }
            if self.state.with_estimate(&target.incarnation.id, |e| self.is_barred(e, now)) {
                return Err(Reason::Silent);
            }
            self.check_admission(&target)?;
            if self.is_below_limit(&target) {
                return Ok(target);
            }
            if self.is_full(&target) {
                return Err(Reason::InFlightLimit);
            }
            let wait = self.route.latency_objective.mul_f64(MAX_WAIT_SHARE);
            if timeout_at(self.request.received + wait, changed).await.is_err() {
                let now = Clock.now();
                let unthrottled = self.state.with_estimate(&target.incarnation.id, |estimate| {
                    estimate.is_unthrottled(now)
                        && admission::has_room(estimate.occupancy(now), target.slots)
                });
                return if unthrottled { Ok(target) } else { Err(Reason::InFlightLimit) };
            }
        }
    }

    /// Returns the remaining time for which the request may wait for an owner of its key.
    fn unowned_wait(&self, key: u16) -> Duration {
        let first = self.first_of_range(key);
        self.state.unowned.borrow_mut().remaining_wait(&self.service, first, Clock.now())
    }

    /// Returns the first key of the contiguous range with the same owner that contains a key.
    fn first_of_range(&self, key: u16) -> u16 {
        let view = self.state.view.borrow();
        let span = view.services.get(&self.service).and_then(|owners| owners.span(key));
        span.map_or(key, |span| span.first)
    }

    /// Returns the owner of a key if its grant is confirmed and it is not about to leave.
    fn known_owner(&self, key: u16) -> Option<Arc<Target>> {
        let view = self.state.view.borrow();
        let (incarnation, granted) = view.services.get(&self.service)?.find(key)?;
        let registry = self.state.registry.borrow();
        let member = registry
            .get(&incarnation.id)
            .filter(|member| member.target.incarnation == *incarnation)?;
        let leaving = self.state.is_barred(member, Clock.now());
        let target = (granted && !leaving).then(|| member.target.clone())?;
        let first = view.services.get(&self.service)?.span(key)?.first;
        self.state.unowned.borrow_mut().mark_served(&self.service, first);
        Some(target)
    }

    /// Returns whether this instance may have another request in flight at an owner of keys.
    fn is_below_limit(&self, target: &Target) -> bool {
        let (instances, now) = (self.state.instances.borrow().len(), Clock.now());
        self.state.with_estimate(&target.incarnation.id, |estimate| {
            estimate.has_room_as_owner(target.slots, instances, self.urgent, now)
        })
    }

    /// Returns whether an owner is full with requests of the other instances of a large fleet. What
    /// is known of these changes only with the next report, so waiting is of no use.
    fn is_full(&self, target: &Target) -> bool {
        let (instances, now) = (self.state.instances.borrow().len(), Clock.now());
        self.state.with_estimate(&target.incarnation.id, |estimate| {
            estimate.is_full_owner(target.slots, instances, now)
        })
    }

    /// Applies admission control: the request must be admitted to the owner of its key and be
    /// expected to meet its deadline.
    fn check_admission(&self, target: &Target) -> Result<(), Reason> {
        let now = Clock.now();
        let (expected, admitted) = self.state.with_estimate(&target.incarnation.id, |estimate| {
            // Load is shed from the least urgent requests; retries and urgent requests are always admitted.
            let decided =
                self.urgent || !self.selected.is_empty() || self.admission_decided.replace(true);
            let admitted =
                if decided { Admission::Admitted } else { estimate.admit(rand::random(), now) };
            (estimate.expected_time(target.slots, DEFAULT_SERVICE_TIME, now), admitted)
        });
        if expected > self.time_left().as_secs_f64() {
            return Err(Reason::Overloaded);
        }
        match admitted {
            Admission::Admitted => Ok(()),
            Admission::Throttled => Err(Reason::Throttled),
            Admission::BackedOff => Err(Reason::BackedOff),
        }
    }

    /// Selects a target of a service without keys by its load and failure domain.
    fn select_least_loaded(&self) -> Result<Arc<Target>, Reason> {
        let now = Clock.now();
        let registry = self.state.registry.borrow();
        let members = self.eligible(&registry, now)?;
        let (local, remote): (Vec<&Member>, Vec<&Member>) =
            members.into_iter().partition(|m| m.target.domain == self.state.settings.domain);
        let mut random = rand::rng();
        let mut sample = local.into_iter().choose_multiple(&mut random, LOCAL_SAMPLE);
        sample.extend(remote.into_iter().choose_multiple(&mut random, REMOTE_SAMPLE));
        let size = self.state.response_sizes.borrow().get(&self.service).copied().unwrap_or(0.0);
        let objective = self.route.latency_objective.as_secs_f64().max(1e-3);
        let mut estimates = self.state.estimates.borrow_mut();
        let mut targets = Vec::new();
        let mut candidates = Vec::new();
        for member in sample {
            let target = &member.target;
            let estimate = estimates.entry(target.incarnation.id.clone()).or_default();
            let explore = estimate.is_unmeasured() && rand::random::<f64>() < EXPLORATION_SHARE;
            let factor = if now < member.warm_at { 2.0 } else { 1.0 };
            let factor = if explore { EXPLORATION_FACTOR } else { factor };
            let time = estimate.expected_time(target.slots, DEFAULT_SERVICE_TIME, now);
            let latency_ratio = time * factor * estimate.failure_penalty() / objective;
            let utilization = estimate.occupancy(now) / f64::from(target.slots.max(1));
            let local = target.domain == self.state.settings.domain;
            let cross_domain_kb = if local { 0.0 } else { (size / 1024.0).max(MIN_TRANSFER_KB) };
            targets.push((target.clone(), time));
            candidates.push(Candidate { latency_ratio, utilization, cross_domain_kb });
        }
        let best = choose(&candidates, &mut rand::random).and_then(|index| targets.get(index));
        let Some((target, time)) = best else { return Err(Reason::NoTarget) };
        if *time * 0.7 > self.time_left().as_secs_f64() {
            return Err(Reason::Overloaded);
        }
        Ok(target.clone())
    }

    /// Returns whether a target is silent and the request is no probe of it. A probe may be lost, so
    /// it is a repeatable request.
    fn is_barred(&self, estimate: &Estimate, now: Stamp) -> bool {
        estimate.is_silent(now) && !(self.route.repeatable && estimate.may_probe(now))
    }

    /// Returns whether this instance may have another request in flight at a target of a service
    /// without keys, at which it has a place if the targets are divided among the instances.
    fn has_room(
        &self,
        estimate: &Estimate,
        target: &Target,
        place: Option<Place>,
        now: Stamp,
    ) -> bool {
        let slots = target.slots;
        let Some(place) = place else {
            let instances = self.state.instances.borrow().len();
            return estimate.in_flight < admission::in_flight_limit(slots, instances)
                && admission::has_room(estimate.occupancy(now), slots);
        };
        let objective = self.route.latency_objective.as_secs_f64();
        place.has_room(estimate, slots, objective, DEFAULT_SERVICE_TIME, now)
    }

    /// Returns the targets of a service without keys that may receive the request: those that are
    /// usable and have room. If the targets are divided among the instances, these are those of
    /// the share of this instance, or its spare ones if none of the share is usable. Falls back to
    /// ejected ones, then to usable ones that already failed this request, then to those that are
    /// leaving but still serve, then to those in an evacuated failure domain as long as the bound
    /// allows.
    fn eligible<'r>(&self, registry: &'r Registry, now: Stamp) -> Result<Vec<&'r Member>, Reason> {
        let share = self.state.share(&self.service, now);
        let share = share.as_deref();
        let estimates = self.state.estimates.borrow();
        let pauses = self.state.pauses.borrow();
        let (mut usable, mut ejected, mut failed) = (Vec::new(), Vec::new(), Vec::new());
        let (mut spare, mut leaving) = (Vec::new(), Vec::new());
        let (mut full, mut spare_full, mut silent) = (false, false, false);
        let mut pause_end: Option<Stamp> = None;
        let limit = self.state.warmup_limit(&self.service);
        let mut warmup_end: Option<Stamp> = None;
        let evacuations = self.state.evacuations.borrow();
        let (mut evacuating, mut closed) = (Vec::new(), false);
        for member in registry.members().filter(|m| m.target.service == self.service) {
            let id = &member.target.incarnation.id;
            if self.state.is_drained(member, now) {
                continue;
            }
            let evacuated = evacuations.is_evacuated(&member.target.domain);
            if evacuated && evacuations.is_closed(&member.target.domain, now) {
                closed = true;
                continue;
            }
            let place = share.and_then(|share| share.place(id));
            if share.is_some() && place.is_none() && member.draining_since.is_none() {
                continue;
            }
            if let Some(end) = pauses.next(&member.target.incarnation, self.route.repeatable, now) {
                pause_end = Some(pause_end.map_or(end, |first| first.min(end)));
                continue;
            }
            if let Some(limit) = limit
                && let Err(end) = self.state.check_warmup(&member.target, limit, now)
            {
                warmup_end = Some(warmup_end.map_or(end, |first| first.min(end)));
                continue;
            }
            let estimate = estimates.get(id);
            if estimate.is_some_and(|estimate| self.is_barred(estimate, now)) {
                silent = true;
                continue;
            }
            let is_usable = estimate.is_none_or(|estimate| estimate.is_reachable(now));
            let has_room =
                estimate.is_none_or(|estimate| self.has_room(estimate, &member.target, place, now));
            if evacuated {
                if has_room && !self.selected.contains(id) {
                    evacuating.push(member);
                }
                continue;
            }
            match (member.draining_since, self.selected.contains(id), is_usable) {
                (Some(_), false, _) => leaving.push(member),
                (None, false, true) if place.is_some_and(|place| place.spare) => {
                    if has_room {
                        spare.push(member);
                    } else {
                        spare_full = true;
                    }
                }
                (None, false, true) if has_room => usable.push(member),
                (None, false, true) => full = true,
                (None, false, false) => ejected.push(member),
                (None, true, true) => failed.push(member),
                (Some(_), true, _) | (None, true, false) => {}
            }
        }
        if usable.is_empty() && (full || spare_full && spare.is_empty()) {
            return Err(Reason::InFlightLimit);
        }
        let members = [usable, spare, ejected, failed, leaving, evacuating]
            .into_iter()
            .find(|m| !m.is_empty());
        match members {
            Some(members) => Ok(members),
            None if warmup_end.is_some_and(|end| pause_end.is_none_or(|pause| end < pause)) => {
                self.pause_end.set(warmup_end);
                Err(Reason::WarmingUp)
            }
            None if pause_end.is_some() => {
                self.pause_end.set(pause_end);
                Err(Reason::Paused)
            }
            None if closed => Err(Reason::Evacuated),
            None if silent => Err(Reason::Silent),
            None if self.unsent > 0 => Err(Reason::Unreachable),
            None => Err(Reason::NoTarget),
        }
    }
}
