//! Load of targets, as one entry instance estimates it, and the choice among them.

use std::time::Duration;

use caraway_core::time::Stamp;

use crate::admission::Throttle;

/// Weight of a new sample in the mean time of a request.
const TIME_WEIGHT: f64 = 0.15;

/// Weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// Time after which a target's report of its load says nothing about its load now: requests that
/// were running then have mostly ended.
const REPORT_AGE: Duration = Duration::from_millis(600);

/// Weight of the share of failures: a target that always fails counts as this many times slower, so
/// that it is used only when all others have long queues.
const DOUBT: f64 = 8.0;

/// What a refusal of a full owner of keys takes off the share of requests that is sent to it, and the
/// time after which half of that is given back: a queue that was full is worked off in a second. An
/// instance of a large fleet gets an answer of the same owner once in ten seconds, so answers cannot tell.
const PACE_CUT: f64 = 0.8;
const PACE_LEAST: f64 = 0.05;
const PACE_BACK: Duration = Duration::from_millis(600);

/// Share from which an owner takes everything again.
const PACED: f64 = 0.97;

/// Time in which a full target resets a connection. A later reset has other reasons.
pub const OVERLOAD_RESET_WINDOW: Duration = Duration::from_millis(60);

/// Age up to which a report of free slots is believed.
const ROOM_AGE: Duration = Duration::from_millis(250);

/// First and longest time for which a target that cannot be reached is left out.
pub const EJECTION: Duration = Duration::from_millis(500);
const PAUSE_LIMIT: Duration = Duration::from_secs(4);

/// A target's report of its load.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Running and waiting requests.
    count: f64,
    /// Requests that it processes at a time.
    slots: f64,
    at: Stamp,
}

/// What is known of a target's load.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Requests of this instance that are at the target.
    pub in_flight: u32,
    /// Requests of other instances that are at the target, as the coordinator last told.
    pub others_in_flight: f64,
    /// What the target reported last.
    report: Option<Report>,
    /// Mean time of a request in seconds, without waiting; zero if none ended yet.
    pub service_time: f64,
    /// Requests that ended and the sum of their times in seconds, without waiting, since they were
    /// last told to the coordinator.
    pub unreported: (u32, f64),
    /// Requests that failed there since they were last told to the coordinator.
    pub unreported_failures: u32,
    /// Share of failures among the latest requests of all instances, as the coordinator last told.
    pub fleet_failure_ratio: f64,
    /// Share of the requests for its keys that it can serve, as the coordinator last told.
    pub admitted_share: f64,
    /// Share that the owner itself let this instance serve, and when that was.
    pace: f64,
    paced: Stamp,
    /// Applies the share.
    gate: Throttle,
    /// Share of failures among the latest requests.
    failures: f64,
    /// Failures to reach it in a row, and when the last one was.
    misses: u32,
    missed: Stamp,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            in_flight: 0,
            others_in_flight: 0.0,
            report: None,
            service_time: 0.0,
            unreported: (0, 0.0),
            unreported_failures: 0,
            fleet_failure_ratio: 0.0,
            admitted_share: 1.0,
            pace: 1.0,
            paced: Stamp::default(),
            gate: Throttle::default(),
            failures: 0.0,
            misses: 0,
            missed: Stamp::default(),
        }
    }
}

/// Whether a request for a key goes to the key's owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It goes.
    Admitted,
    /// The coordinator rations the owner.
    Throttled,
    /// The owner turned requests of this instance away a moment ago.
    BackedOff,
}

/// How a request at a target ended, for the estimate of its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It failed, or was turned away, at the target.
    Failed,
    /// The target could not be reached.
    Unreachable,
    /// The caller left or the time ran out.
    Abandoned,
}

impl Estimate {
    /// Records the start of a request. Returns by how much its time is expected to be longer than
    /// without a queue.
    pub fn begin(&mut self, slots: u32, now: Stamp) -> f64 {
        let rounds = self.rounds(slots, now);
        self.in_flight += 1;
        rounds
    }

    fn rounds(&self, slots: u32, now: Stamp) -> f64 {
        ((self.occupancy(now) + 1.0) / f64::from(slots.max(1))).max(1.0)
    }

    /// Records the end of a request that took `time`, with what [`Estimate::begin`] returned.
    pub fn end(&mut self, ending: Outcome, time: Duration, rounds: f64, now: Stamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // A request waits as long as the target is crowded, also by requests of other instances.
        let seconds = time.as_secs_f64() / rounds.max(self.reported_rounds(now)).max(1.0);
        let outcome = match ending {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Unreachable => 1.0,
            Outcome::Abandoned => self.failures,
        };
        self.failures += (outcome - self.failures) * FAILURE_WEIGHT;
        if matches!(ending, Outcome::Failed | Outcome::Unreachable) {
            self.unreported_failures += 1;
        }
        match ending {
            Outcome::Answered => {
                self.misses = 0;
                self.sample(seconds);
                self.unreported.0 += 1;
                self.unreported.1 += seconds;
            }
            Outcome::Abandoned if seconds > self.service_time => self.sample(seconds),
            Outcome::Unreachable => {
                self.misses += 1;
                self.missed = now;
            }
            Outcome::Abandoned | Outcome::Failed => {}
        }
    }

    /// Returns the rounds of its slots that the target reported just now, or zero.
    fn reported_rounds(&self, now: Stamp) -> f64 {
        let fresh = self.report.filter(|report| now.since(report.at) < ROOM_AGE);
        fresh.map_or(0.0, |report| report.count / report.slots)
    }

    fn sample(&mut self, seconds: f64) {
        self.service_time = if self.service_time > 0.0 {
            self.service_time + (seconds - self.service_time) * TIME_WEIGHT
        } else {
            seconds
        };
    }

    /// Records a report of the target.
    pub fn record_report(&mut self, running: u32, waiting: u32, slots: u32, now: Stamp) {
        let count = f64::from(running) + f64::from(waiting);
        self.report = Some(Report { count, slots: f64::from(slots.max(1)), at: now });
    }

    /// Records that the target was full.
    pub fn record_overload(&mut self, now: Stamp) {
        self.pace = (self.pace(now) * PACE_CUT).max(PACE_LEAST);
        self.paced = now;
    }

    /// Returns the share of requests that the owner is known to take.
    fn pace(&self, now: Stamp) -> f64 {
        let back = now.since(self.paced).as_secs_f64() / PACE_BACK.as_secs_f64();
        let pace = 1.0 - (1.0 - self.pace) * 0.5_f64.powf(back);
        if pace > PACED { 1.0 } else { pace }
    }

    /// Decides whether a request for a key of the target is let through, and by whose word if not.
    pub fn admit(&mut self, now: Stamp) -> Admission {
        let pace = self.pace(now);
        if self.gate.admit(self.admitted_share.min(pace)) {
            Admission::Admitted
        } else if self.admitted_share < pace {
            Admission::Throttled
        } else {
            Admission::BackedOff
        }
    }

    /// Returns whether neither the coordinator nor the target has told of more requests than it can
    /// serve.
    pub fn is_unthrottled(&self, now: Stamp) -> bool {
        self.admitted_share >= 1.0 && self.pace(now) >= 1.0
    }

    /// Returns whether the target reported free slots just now.
    pub fn has_free_slots(&self, slots: u32, now: Stamp) -> bool {
        let fresh = |at: Stamp| now.since(at) < ROOM_AGE;
        self.report.is_some_and(|report| fresh(report.at) && report.count < f64::from(slots))
    }

    /// Returns whether the target is to be chosen among others: it could be reached when it was last
    /// tried, or that was long enough ago.
    pub fn is_usable(&self, now: Stamp) -> bool {
        let pause = EJECTION * 2_u32.saturating_pow(self.misses.saturating_sub(1).min(8));
        self.misses == 0 || now >= self.missed + pause.min(PAUSE_LIMIT)
    }

    /// Returns whether the target is to be tried for a key that only it may serve. The pause does not
    /// grow then: no other target serves the key until it moves.
    pub fn is_usable_as_owner(&self, now: Stamp) -> bool {
        self.misses == 0 || now >= self.missed + EJECTION
    }

    /// Returns the estimated number of requests at the target.
    pub fn occupancy(&self, now: Stamp) -> f64 {
        let counted = f64::from(self.in_flight) + self.others_in_flight;
        let reported = self.report.map_or(0.0, |report| {
            let age = now.since(report.at).as_secs_f64() / REPORT_AGE.as_secs_f64();
            report.count * (1.0 - age).max(0.0)
        });
        counted.max(reported)
    }

    /// Returns the expected time of a request that is sent now.
    pub fn expected_time(&self, slots: u32, usual: f64, now: Stamp) -> f64 {
        let time = if self.service_time > 0.0 { self.service_time } else { usual };
        time * self.rounds(slots, now)
    }

    /// Returns the factor by which failures make a target less attractive: a request that fails
    /// has to begin anew elsewhere.
    pub fn failure_penalty(&self) -> f64 {
        1.0 + DOUBT * self.failures.max(self.fleet_failure_ratio)
    }

    /// Returns whether nothing is known of the target's speed.
    pub fn is_unmeasured(&self) -> bool {
        self.service_time <= 0.0 && self.in_flight == 0 && self.others_in_flight < 1.0
    }
}

/// A target among which one is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Expected time of a request, as a part of the time in which an answer has its full value.
    pub latency_ratio: f64,
    /// Occupied share of its slots.
    pub utilization: f64,
    /// Kilobytes that the answer sends between failure domains.
    pub cross_domain_kb: f64,
}

/// Weight of the fill against the expected time, so that of two idle targets the emptier one is
/// preferred before a queue forms.
const FILL: f64 = 0.5;

/// What another failure domain costs, as a part of the value of an answer in time: for each request, and
/// for each kilobyte. The way between domains is narrow and paid for, while an answer that is in time
/// anyway gains nothing from a faster target.
const DISTANCE: f64 = 0.002;
const DISTANCE_PER_KB: f64 = 0.004;

/// Returns the index of the best of the options. `noise` returns numbers from 0 to 1; it keeps
/// instances that see the same state from choosing the same target.
pub fn choose(options: &[Candidate], noise: &mut dyn FnMut() -> f64) -> Option<usize> {
    let mut best = None;
    for (index, option) in options.iter().enumerate() {
        let crowded = option.latency_ratio * (1.0 + FILL * option.utilization);
        // The chance of being late grows slowly while there is time to spare and fast near the end.
        let late = crowded.powi(3);
        let far = if option.cross_domain_kb > 0.0 { DISTANCE } else { 0.0 };
        let cost = late + far + DISTANCE_PER_KB * option.cross_domain_kb;
        let cost = cost * (1.0 + 0.2 * noise());
        if best.is_none_or(|(_, lowest)| cost < lowest) {
            best = Some((index, cost));
        }
    }
    best.map(|(index, _)| index)
}
