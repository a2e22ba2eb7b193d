//! Which target a request is sent to.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::Instant;
use tokio::time::timeout_at;

use caraway_core::time::Clock;
use caraway_fleet::admission;
use caraway_fleet::load::Admission;
use caraway_fleet::load::Candidate;
use caraway_fleet::load::choose;
use caraway_fleet::membership::Member;
use caraway_fleet::membership::Target;
use caraway_fleet::unowned;

use crate::forward::Call;
use crate::reason::Reason;

/// Time in which a grant reaches its target after the instances have learned of it.
const GRANT_WAY: Duration = Duration::from_millis(120);

/// Part of the time in which an answer has its full value for which a request waits until this
/// instance has fewer requests at the owner of its key.
const TURN_SHARE: f64 = 0.35;

/// Time before the end of a leaving target's notice from which it gets no more requests.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Expected time of a request at a target of which nothing is known, in seconds.
const USUAL_TIME: f64 = 0.1;

/// Least size of an answer with its request, in kilobytes.
const LEAST_KB: f64 = 1.0;

/// Targets of the own failure domain and of the others among which one is chosen. Instances that
/// compare all targets by the same reports send to the same one at the same time.
const NEAR_SAMPLE: usize = 4;
const FAR_SAMPLE: usize = 3;

/// Part of the requests for which a target of which nothing is known is preferred, and the factor
/// on its expected time then. Without it, a new target that is slow at first would get nothing while
/// the others have room, and its speed would never be known.
const EXPLORE: f64 = 0.1;
const NEW: f64 = 0.1;

impl Call<'_> {
    /// Returns the target that the request is sent to next.
    pub(super) async fn target(&self) -> Result<Arc<Target>, Reason> {
        match self.key {
            Some(key) => self.owner(key).await,
            None => self.least_loaded(),
        }
    }

    /// Waits for the owner of a key.
    async fn owner(&self, key: u16) -> Result<Arc<Target>, Reason> {
        let end = Instant::now() + unowned::MAX_WAIT.min(self.left() / 2);
        loop {
            let changed = self.state.changed.notified();
            let after_refusal = self.last == Reason::NotOwner && !self.tried.is_empty();
            let known = self.known_owner(key);
            let again = known.as_ref().is_some_and(|known| {
                after_refusal && self.tried.last() == Some(&known.incarnation.id)
            });
            let Some(target) = known else {
                let until = end.min(Instant::now() + self.gap(key));
                if timeout_at(until, changed).await.is_err() && self.known_owner(key).is_none() {
                    return Err(Reason::NoOwner);
                }
                continue;
            };
            if again {
                // The same target may own the key in a moment: its grant may be on the way.
                let until = end.min(Instant::now() + GRANT_WAY);
                if timeout_at(until, changed).await.is_err() {
                    return Ok(target);
                }
                continue;
            }
            let now = Clock.now();
            if !self.state.gauge(&target.incarnation.id, |gauge| gauge.is_usable_as_owner(now)) {
                return Err(Reason::OwnerUnreached);
            }
            self.room(&target)?;
            if self.turn(&target) {
                return Ok(target);
            }
            let wait = self.route.latency_objective.mul_f64(TURN_SHARE);
            if timeout_at(self.request.received + wait, changed).await.is_err() {
                let now = Clock.now();
                let calm =
                    self.state.gauge(&target.incarnation.id, |gauge| gauge.is_unthrottled(now));
                return if calm { Ok(target) } else { Err(Reason::Crowded) };
            }
        }
    }

    /// Returns how long the request may wait for an owner of a key that has none.
    fn gap(&self, key: u16) -> Duration {
        let first = self.first_of_run(key);
        self.state.gaps.borrow_mut().remaining_wait(&self.service, first, Clock.now())
    }

    /// Returns the first of the keys that have the same owner as a key and are next to it.
    fn first_of_run(&self, key: u16) -> u16 {
        let view = self.state.view.borrow();
        let span = view.services.get(&self.service).and_then(|owners| owners.span(key));
        span.map_or(key, |span| span.first)
    }

    fn known_owner(&self, key: u16) -> Option<Arc<Target>> {
        let view = self.state.view.borrow();
        let (life, granted) = view.services.get(&self.service)?.find(key)?;
        let registry = self.state.registry.borrow();
        let member = registry.get(&life.id).filter(|member| member.target.incarnation == *life)?;
        let notice = self.state.settings.drain_time.saturating_sub(DRAIN_MARGIN);
        let leaving = member.draining_since.is_some_and(|since| Clock.now().since(since) > notice);
        let target = (granted && !leaving).then(|| member.target.clone())?;
        let first = view.services.get(&self.service)?.span(key)?.first;
        self.state.gaps.borrow_mut().mark_served(&self.service, first);
        Some(target)
    }

    /// Returns whether this instance may send another request to an owner of keys now.
    fn turn(&self, target: &Target) -> bool {
        let window = admission::in_flight_limit(target.slots, self.state.instances.borrow().len());
        let now = Clock.now();
        self.state.gauge(&target.incarnation.id, |gauge| {
            gauge.in_flight
                < window + u32::from(self.urgent || gauge.has_free_slots(target.slots, now))
        })
    }

    /// Checks that the queue of a target leaves time for the request.
    fn room(&self, target: &Target) -> Result<(), Reason> {
        let now = Clock.now();
        let (expected, admitted) = self.state.gauge(&target.incarnation.id, |gauge| {
            // What an owner cannot serve is taken from the less urgent requests.
            let decided = self.urgent || !self.tried.is_empty() || self.admitted.replace(true);
            let admitted = if decided { Admission::Admitted } else { gauge.admit(now) };
            (gauge.expected_time(target.slots, USUAL_TIME, now), admitted)
        });
        if expected * 0.7 > self.left().as_secs_f64() {
            return Err(Reason::Overloaded);
        }
        match admitted {
            Admission::Admitted => Ok(()),
            Admission::Throttled => Err(Reason::Rationed),
            Admission::BackedOff => Err(Reason::Full),
        }
    }

    fn least_loaded(&self) -> Result<Arc<Target>, Reason> {
        let now = Clock.now();
        let registry = self.state.registry.borrow();
        let mut gauges = self.state.gauges.borrow_mut();
        let size = self.state.sizes.borrow().get(&self.service).copied().unwrap_or(0.0);
        let objective = self.route.latency_objective.as_secs_f64().max(1e-3);
        let of_service = registry.members().filter(|member| {
            member.target.service == self.service && member.draining_since.is_none()
        });
        // Targets that cannot be reached, then those that failed it, are the last resort.
        let (mut good, mut silent, mut failed) = (Vec::new(), Vec::new(), Vec::new());
        for member in of_service {
            let gauge = gauges.get(&member.target.incarnation.id);
            let reachable = gauge.is_none_or(|gauge| gauge.is_usable(now));
            match (self.tried.contains(&member.target.incarnation.id), reachable) {
                (false, true) => good.push(member),
                (false, false) => silent.push(member),
                (true, true) => failed.push(member),
                (true, false) => {}
            }
        }
        let all = [good, silent, failed].into_iter().find(|members| !members.is_empty());
        let Some(all) = all else {
            return Err(if self.unreached > 0 { Reason::Unreached } else { Reason::NoTarget });
        };
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            all.into_iter().partition(|m| m.target.domain == self.state.settings.domain);
        let mut random = rand::rng();
        let mut sample = near.into_iter().choose_multiple(&mut random, NEAR_SAMPLE);
        sample.extend(far.into_iter().choose_multiple(&mut random, FAR_SAMPLE));
        let mut targets = Vec::new();
        let mut choices = Vec::new();
        for member in sample {
            let target = &member.target;
            let gauge = gauges.entry(target.incarnation.id.clone()).or_default();
            let new = gauge.is_unmeasured() && rand::random::<f64>() < EXPLORE;
            let cold = if now < member.warm_at { 2.0 } else { 1.0 };
            let cold = if new { NEW } else { cold };
            let time = gauge.expected_time(target.slots, USUAL_TIME, now);
            let expected = time * cold * gauge.failure_penalty() / objective;
            let fill = gauge.occupancy(now) / f64::from(target.slots.max(1));
            let near = target.domain == self.state.settings.domain;
            let distant_kb = if near { 0.0 } else { (size / 1024.0).max(LEAST_KB) };
            targets.push((target.clone(), time));
            choices.push(Candidate {
                latency_ratio: expected,
                utilization: fill,
                cross_domain_kb: distant_kb,
            });
        }
        let best = choose(&choices, &mut rand::random).and_then(|index| targets.get(index));
        let Some((target, time)) = best else { return Err(Reason::NoTarget) };
        if *time * 0.7 > self.left().as_secs_f64() {
            return Err(Reason::Overloaded);
        }
        Ok(target.clone())
    }
}
