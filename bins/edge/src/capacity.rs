//! This instance's part of the capacity of a service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use caraway_core::time::Stamp;
use caraway_fleet::classes::Classes;
use caraway_fleet::membership::Target;
use caraway_fleet::rendezvous::Domains;
use caraway_fleet::share::Share;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::state::State;

impl State {
    /// Returns the failure domains of the known instances, including this one.
    pub fn domains(&self) -> Domains {
        let instances = self.instances.borrow();
        let known = instances.iter().map(|(name, known)| (name.clone(), known.domain.clone()));
        let this = (self.settings.name.clone(), self.settings.domain.clone());
        known.chain(std::iter::once(this)).collect()
    }

    /// Returns this instance's share of the targets of a service without keys, or `None` if they
    /// are not divided among the instances.
    pub fn share(&self, service: &Arc<str>, now: Stamp) -> Option<Arc<Share>> {
        let lists = || self.share_lists(service);
        self.shares.borrow_mut().get(service, &self.settings.name, lists, now)
    }

    /// Does the same as [`State::share`] without any change of the state.
    pub fn preview_share(&self, service: &Arc<str>, now: Stamp) -> Option<Arc<Share>> {
        let mut shares = self.shares.borrow().clone();
        shares.get(service, &self.settings.name, || self.share_lists(service), now)
    }

    /// Returns the targets of a service and the instances among which they are divided.
    fn share_lists(&self, service: &Arc<str>) -> (Vec<Arc<Target>>, Domains) {
        let registry = self.registry.borrow();
        let evacuations = self.evacuations.borrow();
        let listed = registry
            .members()
            .filter(|member| member.target.service == *service)
            .filter(|member| member.draining_since.is_none())
            .filter(|member| !evacuations.is_evacuated(&member.target.domain));
        (listed.map(|member| member.target.clone()).collect(), self.domains())
    }

    /// Returns whether the targets of a service are divided among the instances, as far as requests
    /// of this instance have shown.
    pub fn is_divided(&self, service: &str) -> bool {
        self.shares.borrow().is_divided(service)
    }

    /// Calls a function with the classes of the requests of a service.
    pub fn with_classes<T>(
        &self,
        service: &Arc<str>,
        operate: impl FnOnce(&mut Classes) -> T,
    ) -> T {
        operate(self.classes.borrow_mut().entry(service.clone()).or_default())
    }
}

/// Slowdown from which a target counts as slower than usual in the metrics.
const SLOW: f64 = 1.5;

/// Load of one service at this instance.
#[derive(Default)]
struct Load {
    in_flight: u32,
    /// Number of targets with a known service time, and the sum of these in seconds.
    measured: (u32, f64),
    slow: i64,
}

impl Load {
    /// Returns the mean usual service time of the measured targets in seconds.
    fn mean_time(&self) -> Option<f64> {
        let (count, sum) = self.measured;
        (count > 0).then(|| sum / f64::from(count))
    }
}

/// Sets the times that stand in for the first measurement of a target. In a large fleet an instance
/// meets most owners of keys for the first time when they may be overloaded already.
fn assume_times(state: &State, loads: &BTreeMap<Arc<str>, Load>) {
    let (registry, mut estimates) = (state.registry.borrow(), state.estimates.borrow_mut());
    for member in registry.members() {
        let (id, service) = (&member.target.incarnation.id, &member.target.service);
        if let Some(mean) = loads.get(service).and_then(Load::mean_time) {
            estimates.entry(id.clone()).or_default().assumed_time = mean;
        }
    }
}

/// Updates the metrics of capacity and speed, and logs changes of them.
#[derive(Debug, Default)]
pub struct Monitor {
    /// Targets that were silent at the latest update, with their services.
    silent: BTreeMap<Arc<str>, Arc<str>>,
    /// Requests refused for lack of room until then, by service.
    refused: HashMap<Arc<str>, u64>,
    /// Targets and places of the share, by service.
    shares: HashMap<Arc<str>, (u64, u64)>,
}

impl Monitor {
    /// Updates metrics and log; called once a second.
    pub fn update(&mut self, state: &State, now: Stamp) {
        let mut loads: BTreeMap<Arc<str>, Load> = BTreeMap::new();
        let mut silent = BTreeMap::new();
        {
            let (registry, estimates) = (state.registry.borrow(), state.estimates.borrow());
            for member in registry.members() {
                let (id, service) = (&member.target.incarnation.id, &member.target.service);
                let load = loads.entry(service.clone()).or_default();
                let Some(estimate) = estimates.get(id) else { continue };
                load.in_flight += estimate.in_flight;
                if estimate.service_time > 0.0 {
                    load.measured.0 += 1;
                    load.measured.1 += estimate.service_time;
                }
                let is_silent = estimate.is_silent(now);
                let slow = estimate.slowdown(now) >= SLOW;
                load.slow += i64::from(slow || is_silent);
                if is_silent {
                    silent.insert(id.clone(), service.clone());
                }
            }
        }
        assume_times(state, &loads);
        self.log_silence(silent);
        for (service, load) in loads {
            self.record(state, &service, &load, now);
        }
    }

    /// Logs targets that have become silent or answer again.
    fn log_silence(&mut self, silent: BTreeMap<Arc<str>, Arc<str>>) {
        let (before, after): (HashSet<_>, HashSet<_>) =
            (self.silent.iter().collect(), silent.iter().collect());
        for (target, service) in after.difference(&before) {
            let (target, service) = (target.to_string(), service.to_string());
            emit(Event::TargetUnanswering { target, service });
        }
        for (target, service) in before.difference(&after) {
            let (target, service) = (target.to_string(), service.to_string());
            emit(Event::TargetAnswering { target, service });
        }
        self.silent = silent;
    }

    fn record(&mut self, state: &State, service: &Arc<str>, load: &Load, now: Stamp) {
        let labels = [("service", service.to_string())];
        let metrics = &state.metrics;
        if let Some(mean) = load.mean_time() {
            metrics.service_ms.get_or_create(&labels).set((mean * 1000.0).round() as i64);
        }
        metrics.slow_targets.get_or_create(&labels).set(load.slow);
        let refused = metrics.refused_for_room.get_or_create(&labels).get();
        let before = self.refused.insert(service.clone(), refused).unwrap_or(0);
        if refused > before {
            emit(Event::RoomShort {
                service: service.to_string(),
                refused: refused - before,
                in_flight: load.in_flight.into(),
            });
        }
        let keyed = state.configuration().is_some_and(|current| {
            current.services.get(service).is_some_and(|service| service.keyed)
        });
        let Some(share) = (!keyed).then(|| state.share(service, now)).flatten() else {
            self.shares.remove(service);
            return;
        };
        let places = share.capacity();
        let percent = load.in_flight.saturating_mul(100) / places.max(1);
        metrics.share_percent.get_or_create(&labels).set(percent.into());
        let targets = share.places().filter(|(_, place)| !place.spare).count();
        let summary = (u64::try_from(targets).unwrap_or(u64::MAX), u64::from(places));
        if self.shares.insert(service.clone(), summary) != Some(summary) {
            let instances = u64::try_from(state.domains().len()).unwrap_or(u64::MAX);
            let (targets, places) = summary;
            emit(Event::ShareChanged { service: service.to_string(), targets, places, instances });
        }
    }
}
