//! Requests to cold targets, which tolerate only a few per second from all instances together.

use std::time::Duration;

use caraway_adapter::header as field;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::membership::Target;
use caraway_fleet::rendezvous::Domains;
use caraway_fleet::warmup::Rate;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::http::Head;
use crate::metrics::Metrics;
use crate::state::State;

/// Limit for the cold targets of a service.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    rate: Rate,
    /// Time for which a target is cold after its start.
    time: Duration,
    keyed: bool,
    /// Number of listed targets of the service.
    listed: usize,
}

impl State {
    /// Returns the limit for the cold targets of a service, if it has one.
    pub fn warmup_limit(&self, service: &str) -> Option<Limit> {
        let configuration = self.configuration()?;
        let settings = configuration.services.get(service)?;
        let (overshoot, slack) = (self.settings.warmup_overshoot, self.settings.warmup_slack);
        let rate = Rate::new(settings.warmup_rate, overshoot, slack)?;
        let registry = self.registry.borrow();
        let listed = registry.members().filter(|member| *member.target.service == *service);
        let (time, keyed) = (settings.warmup_time, settings.keyed);
        Some(Limit { rate, time, keyed, listed: listed.count() })
    }

    /// Returns whether a target may be cold.
    fn is_cold(&self, target: &Target, limit: Limit, now: Stamp) -> bool {
        let registry = self.registry.borrow();
        let member = registry.get(&target.incarnation.id);
        let listed = member.filter(|member| member.target.incarnation == target.incarnation);
        let unstated = self.evacuations.borrow().is_unstated(&target.domain, now);
        // The successor of an owner of keys has no grants and executes nothing.
        unstated
            || listed.is_some_and(|member| now < member.warm_at)
            || (!limit.keyed && self.warmup.borrow().is_suspect(target, limit.listed, now))
    }

    /// Checks whether a target may get a request of this instance now.
    ///
    /// # Errors
    ///
    /// Returns the time at which it may, as far as it is known, if the target is cold.
    pub fn check_warmup(&self, target: &Target, limit: Limit, now: Stamp) -> Result<(), Stamp> {
        self.warmup.borrow_mut().observe(|| self.registered_domains(), now);
        if !self.is_cold(target, limit, now) {
            return Ok(());
        }
        let mut shares = self.warmup.borrow_mut();
        shares.check(&target.incarnation, &target.domain, limit.rate, now)
    }

    /// Does the same as [`State::check_warmup`] without any change of the state.
    ///
    /// # Errors
    ///
    /// Returns the time at which the target may get a request, as far as it is known.
    pub fn preview_warmup(&self, target: &Target, limit: Limit, now: Stamp) -> Result<(), Stamp> {
        if !self.is_cold(target, limit, now) {
            return Ok(());
        }
        let mut shares = self.warmup.borrow().clone();
        shares.observe(|| self.registered_domains(), now);
        shares.check(&target.incarnation, &target.domain, limit.rate, now)
    }

    /// Takes a request out of this instance's share in a target if the target is cold. Called
    /// immediately before a request is sent, whatever its kind; returns the time from which it may
    /// be sent if the share is used up.
    pub fn take_warmup(&self, target: &Target) -> Result<(), Stamp> {
        let Some(limit) = self.warmup_limit(&target.service) else { return Ok(()) };
        let now = Clock.now();
        self.check_warmup(target, limit, now)?;
        if self.is_cold(target, limit, now) {
            Metrics::count(&self.metrics.cold_requests, "service", &target.service);
        }
        self.warmup.borrow_mut().record(&target.incarnation, limit.rate, now);
        Ok(())
    }

    /// Records that the latest request to a target was sent completely.
    pub fn record_sent(&self, target: &Target) {
        self.warmup.borrow_mut().record_sent(&target.incarnation, Clock.now());
    }

    /// Records that a target took no connection: if it has crashed, its successor is cold.
    pub fn suspect_cold(&self, target: &Target) {
        if let Some(limit) = self.warmup_limit(&target.service) {
            let now = Clock.now();
            self.warmup.borrow_mut().record_unreachable(target, now + limit.time, now);
        }
    }

    /// Takes in what a response says about the remaining warm-up time of its target.
    pub fn record_warmup(&self, target: &Target, head: &Head) {
        let Some(value) = head.headers.get(field::WARMUP) else { return };
        let Some(left) = value.to_str().ok().and_then(field::parse_warmup) else {
            emit(Event::WarmupInvalid {
                target: target.incarnation.id.to_string(),
                service: target.service.to_string(),
                value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
            });
            return;
        };
        let id = &target.incarnation.id;
        self.warmup.borrow_mut().clear_suspicion(id);
        let turned_cold = self.registry.borrow_mut().record_warmup(id, left, Clock.now());
        if turned_cold {
            emit(Event::TargetCold {
                target: id.to_string(),
                service: target.service.to_string(),
                left_ms: caraway_core::time::millis(left),
            });
        }
    }

    /// Returns the failure domains of the instances that are registered in the store.
    fn registered_domains(&self) -> Domains {
        let mut domains = self.domains();
        if !self.instances.borrow().contains_key(&self.settings.name) {
            domains.remove(&self.settings.name);
        }
        domains
    }
}
