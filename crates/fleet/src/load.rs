//! Load estimates of targets on one entry instance, and the choice among targets.

use std::time::Duration;

use caraway_core::time::Stamp;

use crate::admission;
use crate::admission::Throttle;
use crate::refusal::Room;
use crate::speed;
use crate::speed::Silence;
use crate::speed::Slowdown;

/// EWMA weight of a new sample in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.15;

/// Exponent of the queueing or slowdown factor that divides the weight of a sample of the service
/// time. What is left after dividing by an estimate of such a factor is less certain the larger the
/// factor is.
const SAMPLE_WEIGHT_EXPONENT: i32 = 2;

/// EWMA weight of a new outcome in the failure ratio.
const FAILURE_WEIGHT: f64 = 0.2;

/// Age at which a target's load report no longer counts. Most of the requests that were running
/// when it was sent have ended by then.
const REPORT_LIFETIME: Duration = Duration::from_millis(600);

/// Weight of the failure ratio in [`Estimate::failure_penalty`]. A target whose requests all fail
/// counts as nine times slower, so that it is used only when all others have long queues.
const FAILURE_PENALTY: f64 = 8.0;

/// Factor by which a refusal by an overloaded key owner reduces the share of requests that is sent
/// to it, the lower bound of that share, and the half-life of the reduction. A full queue is worked
/// off within a second. Recovery follows time rather than responses because one instance of a large
/// fleet gets a response from the same owner only once in ten seconds.
const BACKOFF_FACTOR: f64 = 0.8;
const MIN_BACKOFF_SHARE: f64 = 0.05;
const BACKOFF_HALF_LIFE: Duration = Duration::from_millis(600);

/// Share at which the backoff of an owner ends.
const FULL_SHARE: f64 = 0.97;

/// Time within which an overloaded target resets a connection. A later reset has another cause.
pub const OVERLOAD_RESET_WINDOW: Duration = Duration::from_millis(60);

/// Age up to which a load report is taken as the current load.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(250);

/// Initial and longest time for which an unreachable target is ejected. The time doubles with each
/// failure in a row.
pub const EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Load report of a target.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Requests that run or wait at the target.
    requests: f64,
    /// Requests that the target processes concurrently.
    slots: f64,
    at: Stamp,
}

/// Estimate of a target's load.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Requests of this instance in flight at the target.
    pub in_flight: u32,
    /// Requests of other instances in flight at the target, as last received from the coordinator.
    pub others_in_flight: f64,
    /// Latest load report of the target.
    report: Option<Report>,
    /// Usual service time in seconds, without queueing and without the present slowdown; zero
    /// before the first sample.
    pub service_time: f64,
    /// Mean of the usual service times of the other targets of its service in seconds, or zero. It
    /// stands in for the first sample where the time until a response is overdue matters.
    pub assumed_time: f64,
    /// Slowdown that the target states in its responses.
    slowdown: Slowdown,
    /// Requests of this instance without a response.
    silence: Silence,
    /// Completed requests and the sum of their service times in seconds that have not been reported
    /// to the coordinator yet.
    pub unreported: (u32, f64),
    /// Failed requests that have not been reported to the coordinator yet.
    pub unreported_failures: u32,
    /// Failure ratio over the requests of all instances, as last received from the coordinator.
    pub fleet_failure_ratio: f64,
    /// Share of the requests for its keys that the target can serve, as last received from the
    /// coordinator.
    pub admitted_share: f64,
    /// Share of requests that is sent to the owner after its refusals, and when it was last
    /// reduced.
    backoff_share: f64,
    backed_off_at: Stamp,
    /// Applies the smaller of both shares.
    throttle: Throttle,
    /// Failure ratio over the requests of this instance.
    failure_ratio: f64,
    /// Consecutive failures to connect, and when the latest one occurred.
    connect_failures: u32,
    last_connect_failure: Stamp,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            in_flight: 0,
            others_in_flight: 0.0,
            report: None,
            service_time: 0.0,
            assumed_time: 0.0,
            slowdown: Slowdown::default(),
            silence: Silence::default(),
            unreported: (0, 0.0),
            unreported_failures: 0,
            fleet_failure_ratio: 0.0,
            admitted_share: 1.0,
            backoff_share: 1.0,
            backed_off_at: Stamp::default(),
            throttle: Throttle::default(),
            failure_ratio: 0.0,
            connect_failures: 0,
            last_connect_failure: Stamp::default(),
        }
    }
}

/// Decision on a request for a key at the key's owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may be sent.
    Admitted,
    /// The coordinator limits the requests to the owner.
    Throttled,
    /// The owner refused requests of this instance recently.
    BackedOff,
}

/// Outcome of a request at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// The target failed, or refused the request.
    Failed,
    /// The target asked for a pause, or the request was not sent after all. This says nothing about
    /// the speed or the failures of the target.
    Deferred,
    /// No connection to the target could be established.
    Unreachable,
    /// The caller disconnected or the deadline expired.
    Abandoned,
}

impl Estimate {
    /// Records the start of a request. Returns the expected time as a multiple of the usual service
    /// time: the factor by queueing, at least one, times the present slowdown.
    pub fn begin(&mut self, slots: u32, now: Stamp) -> f64 {
        let factor = self.queueing(slots, now) * self.slowdown.at(now);
        let time = self.usual_time(self.assumed_time);
        self.silence.begin((time > 0.0).then_some(time * factor), now);
        self.in_flight += 1;
        factor
    }

    /// Returns the factor by which waiting lengthens a request.
    fn queueing(&self, slots: u32, now: Stamp) -> f64 {
        ((self.occupancy(now) + 1.0) / f64::from(slots.max(1))).max(1.0)
    }

    /// Records that the response to the request that started at `started` has begun.
    pub fn record_response(&mut self, started: Stamp) {
        self.silence.end_answered(started);
    }

    /// Records the outcome of a request that took `time`. `factor` is the result of
    /// [`Estimate::begin`].
    pub fn end(&mut self, outcome: Outcome, time: Duration, factor: f64, now: Stamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // The time depends on the load and the slowdown of the target, which begin and end while
        // the request is there. The load includes requests of other instances.
        let factor = factor.max(self.reported_load(now).max(1.0) * self.slowdown.at(now));
        let seconds = time.as_secs_f64() / factor;
        let was_silent = self.silence.is_silent(now);
        match outcome {
            Outcome::Answered | Outcome::Failed => self.silence.end_answered(now - time),
            Outcome::Abandoned | Outcome::Deferred | Outcome::Unreachable => {
                self.silence.end_unanswered(now - time, now);
            }
        }
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Unreachable => 1.0,
            Outcome::Abandoned | Outcome::Deferred => self.failure_ratio,
        };
        self.failure_ratio += (failed - self.failure_ratio) * FAILURE_WEIGHT;
        if matches!(outcome, Outcome::Failed | Outcome::Unreachable) {
            self.unreported_failures += 1;
        }
        match outcome {
            Outcome::Answered => {
                self.connect_failures = 0;
                let seconds = self.weighted(seconds, factor);
                self.record_service_time(seconds);
                self.unreported.0 += 1;
                self.unreported.1 += seconds;
            }
            // A silent target says nothing about its speed.
            Outcome::Abandoned if seconds > self.service_time && !was_silent => {
                self.record_service_time(seconds);
            }
            Outcome::Unreachable => {
                self.connect_failures += 1;
                self.last_connect_failure = now;
            }
            Outcome::Abandoned | Outcome::Deferred | Outcome::Failed => {}
        }
    }

    /// Returns the requests per slot that the target reported recently, or zero.
    fn reported_load(&self, now: Stamp) -> f64 {
        let fresh = self.report.filter(|report| now.since(report.at) < FRESH_REPORT_AGE);
        fresh.map_or(0.0, |report| report.requests / report.slots)
    }

    /// Returns a sample of the service time, moved towards the mean by as much as its weight is
    /// lower than that of a sample without queueing and slowdown. At a target that states no
    /// slowdown, longer times are the only sign of one, and all samples have the same weight.
    fn weighted(&self, seconds: f64, factor: f64) -> f64 {
        if self.service_time <= 0.0 || !self.slowdown.is_stated() {
            return seconds;
        }
        let weight = factor.max(1.0).powi(-SAMPLE_WEIGHT_EXPONENT);
        self.service_time + (seconds - self.service_time) * weight
    }

    fn record_service_time(&mut self, seconds: f64) {
        self.service_time = if self.service_time > 0.0 {
            self.service_time + (seconds - self.service_time) * SERVICE_TIME_WEIGHT
        } else {
            seconds
        };
    }

    /// Records a load report of the target.
    pub fn record_report(&mut self, running: u32, waiting: u32, slots: u32, now: Stamp) {
        let requests = f64::from(running) + f64::from(waiting);
        self.report = Some(Report { requests, slots: f64::from(slots.max(1)), at: now });
    }

    /// Records the slowdown that the target stated in a response, where 100 is usual.
    pub fn record_slowdown(&mut self, figure: u32, now: Stamp) {
        self.slowdown.record(figure, now);
    }

    /// Returns the factor by which work at the target takes longer than usual at present.
    pub fn slowdown(&self, now: Stamp) -> f64 {
        self.slowdown.at(now)
    }

    /// Returns whether the target is silent.
    pub fn is_silent(&self, now: Stamp) -> bool {
        self.silence.is_silent(now)
    }

    /// Returns whether a repeatable request may be sent to the silent target as a probe.
    pub fn may_probe(&self, now: Stamp) -> bool {
        self.is_reachable(now) && self.silence.may_probe(now)
    }

    /// Records that the target refused a request because it was overloaded.
    pub fn record_overload(&mut self, now: Stamp) {
        self.backoff_share = (self.backoff_share(now) * BACKOFF_FACTOR).max(MIN_BACKOFF_SHARE);
        self.backed_off_at = now;
    }

    /// Returns the share of requests that is sent to the owner after its refusals.
    fn backoff_share(&self, now: Stamp) -> f64 {
        let half_lives =
            now.since(self.backed_off_at).as_secs_f64() / BACKOFF_HALF_LIFE.as_secs_f64();
        let backoff_share = 1.0 - (1.0 - self.backoff_share) * 0.5_f64.powf(half_lives);
        if backoff_share > FULL_SHARE { 1.0 } else { backoff_share }
    }

    /// Decides whether a request for a key of the target may be sent, and which limit applies if
    /// not. `phase` is a random number from 0 to 1.
    pub fn admit(&mut self, phase: f64, now: Stamp) -> Admission {
        let backoff_share = self.backoff_share(now);
        if self.throttle.admit(self.admitted_share.min(backoff_share), phase) {
            Admission::Admitted
        } else if self.admitted_share < backoff_share {
            Admission::Throttled
        } else {
            Admission::BackedOff
        }
    }

    /// Returns whether neither the coordinator nor the target itself limits the requests.
    pub fn is_unthrottled(&self, now: Stamp) -> bool {
        self.admitted_share >= 1.0 && self.backoff_share(now) >= 1.0
    }

    /// Returns whether the target recently reported free slots.
    pub fn has_free_slots(&self, slots: u32, now: Stamp) -> bool {
        let fresh = |at: Stamp| now.since(at) < FRESH_REPORT_AGE;
        self.report.is_some_and(|report| fresh(report.at) && report.requests < f64::from(slots))
    }

    /// Returns whether an instance may have another request in flight at an owner of keys with this
    /// number of slots. `urgent` requests, and all requests while the owner has free slots, may
    /// exceed the limit by one.
    pub fn has_room_as_owner(
        &self,
        slots: u32,
        instances: usize,
        urgent: bool,
        now: Stamp,
    ) -> bool {
        let free = self.has_free_slots(slots, now);
        let limit = admission::in_flight_limit(slots, instances) + u32::from(urgent || free);
        if self.live_in_flight(now) >= limit {
            return false;
        }
        free || !self.is_full_owner(slots, instances, now)
    }

    /// Returns whether an owner of keys is full with requests of a large fleet, of which one of each
    /// instance does not fit into it.
    pub fn is_full_owner(&self, slots: u32, instances: usize, now: Stamp) -> bool {
        let occupancy = self.occupancy_with(self.live_in_flight(now), now);
        admission::is_large(slots, instances) && !admission::has_room(occupancy, slots)
    }

    /// Returns the room that becomes free at an owner of keys for one of several instances.
    pub fn room_as_owner(
        &self,
        slots: u32,
        instances: usize,
        default_time: f64,
        now: Stamp,
    ) -> Room {
        // Completions per second at the owner.
        let rate = f64::from(slots.max(1)) / self.present_time(default_time, now).max(1e-3);
        let occupancy = self.occupancy_with(self.live_in_flight(now), now);
        let excess = (occupancy + 1.0 - admission::max_requests(slots)).max(1.0);
        let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        Room { first: Duration::from_secs_f64(excess / rate), rate: rate / instances }
    }

    /// Returns whether the target may be chosen among others: it is not silent, and not ejected or
    /// its ejection has ended.
    pub fn is_usable(&self, now: Stamp) -> bool {
        self.is_reachable(now) && !self.is_silent(now)
    }

    /// Returns whether the target is not ejected, or its ejection has ended.
    pub fn is_reachable(&self, now: Stamp) -> bool {
        let ejection =
            EJECTION * 2_u32.saturating_pow(self.connect_failures.saturating_sub(1).min(8));
        self.connect_failures == 0 || now >= self.last_connect_failure + ejection.min(MAX_EJECTION)
    }

    /// Returns whether the target may be tried for a key that only it may serve. The ejection does
    /// not grow in this case, since no other target serves the key until it moves.
    pub fn is_usable_as_owner(&self, now: Stamp) -> bool {
        self.connect_failures == 0 || now >= self.last_connect_failure + EJECTION
    }

    /// Returns the requests of this instance in flight at the target, without those that it has most
    /// likely lost because it could not queue them.
    pub fn live_in_flight(&self, now: Stamp) -> u32 {
        self.in_flight.saturating_sub(self.silence.overdue_count(now))
    }

    /// Returns the estimated number of requests at the target.
    pub fn occupancy(&self, now: Stamp) -> f64 {
        self.occupancy_with(self.in_flight, now)
    }

    fn occupancy_with(&self, in_flight: u32, now: Stamp) -> f64 {
        let counted = f64::from(in_flight) + self.others_in_flight;
        let reported = self.report.map_or(0.0, |report| {
            let age = now.since(report.at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
            report.requests * (1.0 - age).max(0.0)
        });
        counted.max(reported)
    }

    /// Returns the expected time in seconds of a request that is sent now. `default_time` stands in
    /// for the service time before the first sample.
    pub fn expected_time(&self, slots: u32, default_time: f64, now: Stamp) -> f64 {
        self.present_time(default_time, now) * self.queueing(slots, now)
    }

    /// Returns the present service time in seconds, without queueing.
    pub fn present_time(&self, default_time: f64, now: Stamp) -> f64 {
        self.usual_time(default_time) * self.slowdown.at(now)
    }

    fn usual_time(&self, default_time: f64) -> f64 {
        if self.service_time > 0.0 { self.service_time } else { default_time }
    }

    /// Returns the limit of concurrent requests of all instances at the target, which answers them
    /// within a part of the latency objective in seconds.
    pub fn concurrency_limit(
        &self,
        slots: u32,
        part_of_objective: f64,
        default_time: f64,
        now: Stamp,
    ) -> f64 {
        let (usual, slowdown) = (self.usual_time(default_time), self.slowdown.at(now));
        speed::concurrency_limit(slots, usual, slowdown, part_of_objective)
    }

    /// Returns the factor by which failures increase the cost of a target, since a failed request
    /// has to be retried elsewhere.
    pub fn failure_penalty(&self) -> f64 {
        1.0 + FAILURE_PENALTY * self.failure_ratio.max(self.fleet_failure_ratio)
    }

    /// Returns whether nothing is known about the target's speed.
    pub fn is_unmeasured(&self) -> bool {
        self.service_time <= 0.0 && self.in_flight == 0 && self.others_in_flight < 1.0
    }
}

/// Candidate target for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Expected time of a request divided by the latency objective.
    pub latency_ratio: f64,
    /// Occupied share of its slots.
    pub utilization: f64,
    /// Size of the response in kilobytes if it crosses failure domains, or else zero.
    pub cross_domain_kb: f64,
}

/// Weight of the utilization relative to the expected time. Of two targets without a queue, the
/// less utilized one is preferred.
const UTILIZATION_WEIGHT: f64 = 0.5;

/// Cost of another failure domain for each request and for each kilobyte, relative to the value of
/// a response in time. Bandwidth between domains is limited and charged for, while a response that
/// is in time anyway gains nothing from a faster target.
const CROSS_DOMAIN_COST: f64 = 0.002;
const CROSS_DOMAIN_COST_PER_KB: f64 = 0.004;

/// Returns the index of the candidate with the lowest cost. `jitter` returns numbers from 0 to 1
/// and keeps instances that see the same state from choosing the same target.
pub fn choose(candidates: &[Candidate], jitter: &mut dyn FnMut() -> f64) -> Option<usize> {
    let mut best = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let weighted_latency =
            candidate.latency_ratio * (1.0 + UTILIZATION_WEIGHT * candidate.utilization);
        // The risk of a late response grows slowly while there is slack and quickly near the
        // deadline.
        let lateness = weighted_latency.powi(3);
        let distance = if candidate.cross_domain_kb > 0.0 { CROSS_DOMAIN_COST } else { 0.0 };
        let cost = lateness + distance + CROSS_DOMAIN_COST_PER_KB * candidate.cross_domain_kb;
        let cost = cost * (1.0 + 0.2 * jitter());
        if best.is_none_or(|(_, lowest)| cost < lowest) {
            best = Some((index, cost));
        }
    }
    best.map(|(index, _)| index)
}
