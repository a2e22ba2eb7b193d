//! What the instances report to the coordinator, added up.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::demand;
use crate::demand::Demand;
use crate::membership::Registry;
use caraway_core::time::Stamp;

/// Time after which an instance's report of requests under way counts no longer.
const REPORT_AGE: Duration = Duration::from_secs(2);

/// Time without a report after which an instance is taken for gone. Its part of the repeats and of the
/// queues of owners goes to the others then.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// Weight of a request in the share of a target's failures, and the least share that is told.
const FAILURE_WEIGHT: f64 = 0.1;
const FAILING: f64 = 0.15;

/// Time after which half of a share of failures is forgotten, so that a target that nobody uses any
/// more is tried again.
const FORGET: Duration = Duration::from_secs(4);

/// Weight of a request in the mean time of a target's requests.
const TIME_WEIGHT: f64 = 0.05;

/// Requests for the keys of a service.
#[derive(Debug)]
pub struct Demands {
    /// Counts that decide about moves.
    pub for_moves: Demand,
    /// Counts that decide about admission.
    pub for_admission: Demand,
}

impl Default for Demands {
    fn default() -> Self {
        let for_moves = Demand::new(demand::MOVES_TIME_CONSTANT);
        Self { for_moves, for_admission: Demand::new(demand::ADMISSION_TIME_CONSTANT) }
    }
}

fn faded(share: f64, at: Stamp, now: Stamp) -> f64 {
    share * 0.5_f64.powf(now.since(at).as_secs_f64() / FORGET.as_secs_f64())
}

/// Requests under way by instance, and when they were reported.
pub type Counts = HashMap<Arc<str>, (u32, Stamp)>;

/// What the instances report to the coordinator.
#[derive(Debug, Default)]
pub struct Reports {
    /// Requests for keys by service.
    pub demand: HashMap<Arc<str>, Demands>,
    /// Requests under way by target and instance.
    in_flight: HashMap<Arc<str>, Counts>,
    /// Mean time of a request by target, in seconds.
    pub service_times: HashMap<Arc<str>, f64>,
    /// Share of failures among the latest requests by target, and when it was last updated.
    failures: HashMap<Arc<str>, (f64, Stamp)>,
    /// When each instance last reported.
    last_reports: HashMap<Arc<str>, Stamp>,
    /// Owners that cannot serve all requests for their keys, with the share that they can.
    pub admitted_shares: HashMap<Arc<str>, f64>,
}

impl Reports {
    /// Adds requests for keys.
    pub fn add_demand(&mut self, service: &Arc<str>, keys: &[(u16, u32)]) {
        let demand = self.demand.entry(service.clone()).or_default();
        for (key, count) in keys {
            demand.for_moves.add(*key, f64::from(*count));
            demand.for_admission.add(*key, f64::from(*count));
        }
    }

    /// Records an instance's requests at a target, and those that ended there since the last
    /// report with their time in seconds.
    pub fn add_load(
        &mut self,
        instance: &Arc<str>,
        target: &Arc<str>,
        running: u32,
        ended: (u32, f64),
        now: Stamp,
    ) {
        let counts = self.in_flight.entry(target.clone()).or_default();
        counts.insert(instance.clone(), (running, now));
        if ended.0 > 0 {
            let mean = ended.1 / f64::from(ended.0);
            let time = self.service_times.entry(target.clone()).or_insert(mean);
            let weight = 1.0 - (1.0 - TIME_WEIGHT).powf(f64::from(ended.0));
            *time += (mean - *time) * weight;
        }
    }

    /// Adds requests that were answered and that failed at a target.
    pub fn add_outcomes(&mut self, target: &Arc<str>, answered: u32, failed: u32, now: Stamp) {
        if answered + failed == 0 {
            return;
        }
        let (share, at) = self.failures.entry(target.clone()).or_insert((0.0, now));
        let weight = 1.0 - (1.0 - FAILURE_WEIGHT).powf(f64::from(answered + failed));
        *share = faded(*share, *at, now);
        *share += (f64::from(failed) / f64::from(answered + failed) - *share) * weight;
        *at = now;
    }

    /// Returns the targets that fail, each with the share of its failures.
    pub fn failing(&self, now: Stamp) -> Vec<(Arc<str>, f64)> {
        let of = |(target, (share, at)): (&Arc<str>, &(f64, Stamp))| {
            (target.clone(), faded(*share, *at, now))
        };
        self.failures.iter().map(of).filter(|(_, share)| *share > FAILING).collect()
    }

    /// Returns for each target the requests of all instances but one, and the mean time.
    pub fn loads(&self, except: &str, now: Stamp) -> Vec<(Arc<str>, f64, f64)> {
        let of = |(target, counts): (&Arc<str>, &Counts)| {
            let recent = counts
                .iter()
                .filter(|(name, (_, at))| &***name != except && now.since(*at) < REPORT_AGE);
            let count: u32 = recent.map(|(_, (count, _))| count).sum();
            let time = self.service_times.get(target).copied().unwrap_or(0.0);
            (count > 0 || time > 0.0).then(|| (target.clone(), f64::from(count), time))
        };
        self.in_flight.iter().filter_map(of).collect()
    }

    /// Records that an instance reported.
    pub fn mark_reported(&mut self, instance: &Arc<str>, now: Stamp) {
        self.last_reports.insert(instance.clone(), now);
    }

    /// Returns which instances have sent no report for a minute, of those that are known since a moment.
    pub fn stale_instances<'a>(
        &self,
        instances: impl Iterator<Item = &'a Arc<str>>,
        since: Stamp,
        now: Stamp,
    ) -> Vec<Arc<str>> {
        let latest =
            |name: &Arc<str>| self.last_reports.get(name).copied().unwrap_or_default().max(since);
        instances.filter(|name| now.since(latest(name)) > FORGOTTEN).cloned().collect()
    }

    /// Returns the requests of all instances that are at a target.
    pub fn in_flight(&self, target: &str, now: Stamp) -> u32 {
        let counts = self.in_flight.get(target).into_iter().flat_map(HashMap::values);
        let recent = counts.filter(|(_, at)| now.since(*at) < REPORT_AGE);
        recent.map(|(count, _)| count).sum()
    }

    /// Forgets an instance's requests under way, before its next report is recorded.
    pub fn clear_instance(&mut self, instance: &str) {
        for counts in self.in_flight.values_mut() {
            counts.remove(instance);
        }
    }

    /// Forgets targets that are no longer listed.
    pub fn retain_listed(&mut self, registry: &Registry) {
        self.in_flight.retain(|id, _| registry.get(id).is_some());
        self.service_times.retain(|id, _| registry.get(id).is_some());
        self.failures.retain(|id, _| registry.get(id).is_some());
        self.admitted_shares.retain(|id, _| registry.get(id).is_some());
    }
}
