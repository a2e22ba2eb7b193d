//! Reports of all instances to the coordinator, aggregated.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::demand;
use crate::demand::Demand;
use crate::membership::Registry;
use caraway_core::time::Stamp;

/// Age at which an instance's report of requests in flight no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time without a report after which an instance is considered gone. Its share of the retries and
/// of the owners' queues is then divided among the others.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(60);

/// EWMA weight of one request in the failure ratio of a target, and the lowest ratio that is sent
/// to the instances.
const FAILURE_WEIGHT: f64 = 0.1;
const MIN_REPORTED_RATIO: f64 = 0.15;

/// Half-life of a failure ratio, so that a target that gets no requests is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// EWMA weight of one request in the mean service time of a target.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Request counts for the keys of a service.
#[derive(Debug)]
pub struct Demands {
    /// Counts on which moves are based.
    pub for_moves: Demand,
    /// Counts on which admission is based.
    pub for_admission: Demand,
}

impl Default for Demands {
    fn default() -> Self {
        let for_moves = Demand::new(demand::MOVES_TIME_CONSTANT);
        Self { for_moves, for_admission: Demand::new(demand::ADMISSION_TIME_CONSTANT) }
    }
}

fn decayed(ratio: f64, at: Stamp, now: Stamp) -> f64 {
    ratio * 0.5_f64.powf(now.since(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
}

/// Requests in flight by instance, and when they were reported.
pub type Counts = HashMap<Arc<str>, (u32, Stamp)>;

/// Aggregated reports of the instances.
#[derive(Debug, Default)]
pub struct Reports {
    /// Demand for keys by service.
    pub demand: HashMap<Arc<str>, Demands>,
    /// Requests in flight by target and instance.
    in_flight: HashMap<Arc<str>, Counts>,
    /// Mean service time in seconds by target.
    pub service_times: HashMap<Arc<str>, f64>,
    /// Failure ratio by target, and when it was last updated.
    failure_ratios: HashMap<Arc<str>, (f64, Stamp)>,
    /// When each instance last reported.
    last_reports: HashMap<Arc<str>, Stamp>,
    /// Owners that cannot serve all requests for their keys, with the share that they can serve.
    pub admitted_shares: HashMap<Arc<str>, f64>,
}

impl Reports {
    /// Adds requests for keys of a service.
    pub fn add_demand(&mut self, service: &Arc<str>, keys: &[(u16, u32)]) {
        let demand = self.demand.entry(service.clone()).or_default();
        for (key, count) in keys {
            demand.for_moves.add(*key, f64::from(*count));
            demand.for_admission.add(*key, f64::from(*count));
        }
    }

    /// Records an instance's requests in flight at a target, and the number and total service time
    /// in seconds of those completed since the last report.
    pub fn add_load(
        &mut self,
        instance: &Arc<str>,
        target: &Arc<str>,
        in_flight: u32,
        completed: (u32, f64),
        now: Stamp,
    ) {
        let counts = self.in_flight.entry(target.clone()).or_default();
        counts.insert(instance.clone(), (in_flight, now));
        if completed.0 > 0 {
            let mean = completed.1 / f64::from(completed.0);
            let service_time = self.service_times.entry(target.clone()).or_insert(mean);
            let weight = 1.0 - (1.0 - SERVICE_TIME_WEIGHT).powf(f64::from(completed.0));
            *service_time += (mean - *service_time) * weight;
        }
    }

    /// Updates the failure ratio of a target with requests that were answered and that failed.
    pub fn add_outcomes(&mut self, target: &Arc<str>, answered: u32, failed: u32, now: Stamp) {
        if answered + failed == 0 {
            return;
        }
        let (ratio, at) = self.failure_ratios.entry(target.clone()).or_insert((0.0, now));
        let weight = 1.0 - (1.0 - FAILURE_WEIGHT).powf(f64::from(answered + failed));
        *ratio = decayed(*ratio, *at, now);
        *ratio += (f64::from(failed) / f64::from(answered + failed) - *ratio) * weight;
        *at = now;
    }

    /// Returns the targets with a high failure ratio, each with the ratio.
    pub fn failing(&self, now: Stamp) -> Vec<(Arc<str>, f64)> {
        let current = |(target, (ratio, at)): (&Arc<str>, &(f64, Stamp))| {
            (target.clone(), decayed(*ratio, *at, now))
        };
        self.failure_ratios
            .iter()
            .map(current)
            .filter(|(_, ratio)| *ratio > MIN_REPORTED_RATIO)
            .collect()
    }

    /// Returns for each target the requests in flight of all instances except one, and the mean
    /// service time in seconds.
    pub fn loads(&self, except: &str, now: Stamp) -> Vec<(Arc<str>, f64, f64)> {
        let load = |(target, counts): (&Arc<str>, &Counts)| {
            let recent = counts
                .iter()
                .filter(|(name, (_, at))| &***name != except && now.since(*at) < REPORT_LIFETIME);
            let count: u32 = recent.map(|(_, (count, _))| count).sum();
            let service_time = self.service_times.get(target).copied().unwrap_or(0.0);
            (count > 0 || service_time > 0.0)
                .then(|| (target.clone(), f64::from(count), service_time))
        };
        self.in_flight.iter().filter_map(load).collect()
    }

    /// Records that an instance reported.
    pub fn mark_reported(&mut self, instance: &Arc<str>, now: Stamp) {
        self.last_reports.insert(instance.clone(), now);
    }

    /// Returns the instances that have sent no report for a minute, counted from `since` at the
    /// earliest.
    pub fn stale_instances<'a>(
        &self,
        instances: impl Iterator<Item = &'a Arc<str>>,
        since: Stamp,
        now: Stamp,
    ) -> Vec<Arc<str>> {
        let latest =
            |name: &Arc<str>| self.last_reports.get(name).copied().unwrap_or_default().max(since);
        instances.filter(|name| now.since(latest(name)) > INSTANCE_TIMEOUT).cloned().collect()
    }

    /// Returns the requests of all instances in flight at a target.
    pub fn in_flight(&self, target: &str, now: Stamp) -> u32 {
        let counts = self.in_flight.get(target).into_iter().flat_map(HashMap::values);
        let recent = counts.filter(|(_, at)| now.since(*at) < REPORT_LIFETIME);
        recent.map(|(count, _)| count).sum()
    }

    /// Removes an instance's requests in flight, before its next report is recorded.
    pub fn clear_instance(&mut self, instance: &str) {
        for counts in self.in_flight.values_mut() {
            counts.remove(instance);
        }
    }

    /// Removes targets that are no longer listed.
    pub fn retain_listed(&mut self, registry: &Registry) {
        self.in_flight.retain(|id, _| registry.get(id).is_some());
        self.service_times.retain(|id, _| registry.get(id).is_some());
        self.failure_ratios.retain(|id, _| registry.get(id).is_some());
        self.admitted_shares.retain(|id, _| registry.get(id).is_some());
    }
}
