//! A key of a large fleet becomes hot: its owner can answer a part of the requests for it.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use caraway_core::time::Stamp;
use caraway_fleet::admission;
use caraway_fleet::admission::Throttle;
use caraway_fleet::demand::ADMISSION_TIME_CONSTANT;
use caraway_fleet::demand::Demand;
use caraway_fleet::load::Admission;
use caraway_fleet::load::Estimate;
use caraway_fleet::load::Outcome;
use caraway_fleet::reports::Reports;

const SERVICE_MILLIS: f64 = 840.0;
const OBJECTIVE_MILLIS: u64 = 5000;
const DEADLINE_MILLIS: u64 = 10_000;
/// Time for which a request waits while its instance is at its limit.
const WAIT_MILLIS: u64 = 1750;
/// Interval in which the coordinator adjusts the admitted shares.
const ADJUSTMENT_MILLIS: u64 = 240;
const REPORT_MILLIS_PER_INSTANCE: f64 = 6.6;
const MIN_REPORT_MILLIS: f64 = 300.0;
const LENGTH_MILLIS: u64 = 20_000;
const HOT_FROM: u64 = 4000;
const HOT_TO: u64 = 12_000;
/// Utilization of the owner by other keys.
const UTILIZATION: f64 = 0.48;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    /// Each instance may have at least one request in flight, and throttles begin without credit.
    Before,
    Now,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive,
    Finish {
        instance: usize,
        arrived: u64,
        sent: u64,
    },
    GiveUp {
        instance: usize,
        sent: u64,
    },
    /// End of the time for which a request waits at an instance.
    Expire {
        instance: usize,
        arrived: u64,
    },
    Report {
        instance: usize,
    },
    Adjust,
}

/// Numbers of requests that arrived during the hot spell.
#[derive(Debug, Default)]
struct Counts {
    arrived: usize,
    in_time: usize,
    late: usize,
    refused: usize,
    unanswered: usize,
    /// Requests that were answered in the spell, relative to the capacity in it.
    utilization: f64,
    /// Requests refused before the spell and after its end, when there is room.
    refused_otherwise: usize,
}

/// Returns the next admitted share under [`Rule::Before`].
fn adjust_share_before(share: f64, per_slot: f64, suggested: f64) -> f64 {
    if per_slot > 3.0 {
        (share * 0.85).min(suggested)
    } else if per_slot < 2.0 {
        (share * 1.25 + 0.05).min(1.0)
    } else {
        share
    }
}

struct Fleet {
    rule: Rule,
    slots: u32,
    random: StdRng,
    instances: Vec<Estimate>,
    names: Vec<Arc<str>>,
    demands: Vec<u32>,
    /// Arrivals of requests that wait for a response to another one of their instance.
    held: Vec<VecDeque<u64>>,
    running: u32,
    waiting: VecDeque<(usize, u64, u64)>,
    reports: Reports,
    demand: Demand,
    share: f64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    sequence: u64,
    counts: Counts,
}

impl Fleet {
    fn new(rule: Rule, instances: usize, slots: u32) -> Self {
        let mut estimate = Estimate::default();
        estimate.service_time = SERVICE_MILLIS / 1000.0;
        Self {
            rule,
            slots,
            random: StdRng::seed_from_u64(11),
            instances: vec![estimate; instances],
            names: (0..instances).map(|index| format!("edge-{index}").into()).collect(),
            demands: vec![0; instances],
            held: vec![VecDeque::new(); instances],
            running: 0,
            waiting: VecDeque::new(),
            reports: Reports::default(),
            demand: Demand::new(ADMISSION_TIME_CONSTANT),
            share: 1.0,
            steps: BinaryHeap::new(),
            sequence: 0,
            counts: Counts::default(),
        }
    }

    fn schedule(&mut self, at: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((at, self.sequence, step)));
    }

    fn is_hot(at: u64) -> bool {
        (HOT_FROM..HOT_TO).contains(&at)
    }

    fn arrive(&mut self, millis: u64) {
        let now = Stamp::from_millis(millis + 1000);
        let instance = self.random.random_range(0..self.instances.len());
        self.demands[instance] += 1;
        self.counts.arrived += usize::from(Self::is_hot(millis));
        let phase = if self.rule == Rule::Before { 0.0 } else { self.random.random() };
        if self.instances[instance].admit(phase, now) != Admission::Admitted {
            self.refuse(millis);
        } else if self.has_room(instance, now) {
            self.send(millis, instance, millis);
        } else if self.rule == Rule::Now && !self.has_place(instance, now) {
            self.refuse(millis);
        } else {
            self.held[instance].push_back(millis);
            self.schedule(millis + WAIT_MILLIS, Step::Expire { instance, arrived: millis });
        }
    }

    fn refuse(&mut self, arrived: u64) {
        let hot = Self::is_hot(arrived);
        self.counts.refused += usize::from(hot);
        self.counts.refused_otherwise += usize::from(!hot);
    }

    /// Returns whether the owner has room for another request, as far as an instance knows.
    fn has_place(&self, instance: usize, now: Stamp) -> bool {
        let estimate = &self.instances[instance];
        match self.rule {
            Rule::Before => admission::has_room(estimate.occupancy(now), self.slots),
            Rule::Now => !estimate.is_full_owner(self.slots, self.instances.len(), now),
        }
    }

    fn has_room(&self, instance: usize, now: Stamp) -> bool {
        let (estimate, slots, count) =
            (&self.instances[instance], self.slots, self.instances.len());
        match self.rule {
            Rule::Before => {
                let free = estimate.has_free_slots(slots, now);
                estimate.in_flight < admission::in_flight_limit(slots, count) + u32::from(free)
            }
            Rule::Now => estimate.has_room_as_owner(slots, count, false, now),
        }
    }

    fn expire(&mut self, millis: u64, instance: usize, arrived: u64) {
        let Some(index) = self.held[instance].iter().position(|at| *at == arrived) else { return };
        self.held[instance].remove(index);
        let now = Stamp::from_millis(millis + 1000);
        if self.instances[instance].is_unthrottled(now) && self.has_place(instance, now) {
            self.send(millis, instance, arrived);
        } else {
            self.refuse(arrived);
        }
    }

    fn send(&mut self, millis: u64, instance: usize, arrived: u64) {
        let now = Stamp::from_millis(millis + 1000);
        self.instances[instance].begin(self.slots, now);
        if self.running < self.slots {
            self.start(millis, instance, arrived, millis);
        } else if self.waiting.len() < 4 * self.slots as usize {
            self.waiting.push_back((instance, arrived, millis));
        } else {
            self.counts.unanswered += 1;
            self.schedule(arrived + DEADLINE_MILLIS, Step::GiveUp { instance, sent: millis });
        }
    }

    fn start(&mut self, now: u64, instance: usize, arrived: u64, sent: u64) {
        self.running += 1;
        let time = SERVICE_MILLIS * (0.5 + self.random.random::<f64>());
        self.schedule(now + time as u64, Step::Finish { instance, arrived, sent });
    }

    fn finish(&mut self, millis: u64, instance: usize, arrived: u64, sent: u64) {
        self.running -= 1;
        if let Some((next, arrived, sent)) = self.waiting.pop_front() {
            self.start(millis, next, arrived, sent);
        }
        if Self::is_hot(millis) {
            let capacity = f64::from(self.slots) * (HOT_TO - HOT_FROM) as f64 / SERVICE_MILLIS;
            self.counts.utilization += 1.0 / capacity;
        }
        if Self::is_hot(arrived) {
            if millis - arrived <= OBJECTIVE_MILLIS {
                self.counts.in_time += 1;
            } else {
                self.counts.late += 1;
            }
        }
        let now = Stamp::from_millis(millis + 1000);
        let waiting = u32::try_from(self.waiting.len()).unwrap();
        let estimate = &mut self.instances[instance];
        estimate.record_report(self.running, waiting, self.slots, now);
        estimate.end(Outcome::Answered, Duration::from_millis(millis - sent), 1.0, now);
        while self.has_room(instance, now)
            && let Some(arrived) = self.held[instance].pop_front()
        {
            self.send(millis, instance, arrived);
        }
    }

    fn report(&mut self, millis: u64, instance: usize) {
        let now = Stamp::from_millis(millis + 1000);
        let (name, target): (Arc<str>, Arc<str>) = (self.names[instance].clone(), "owner".into());
        self.demand.add(1, f64::from(std::mem::take(&mut self.demands[instance])));
        self.reports.clear_instance(&name);
        let estimate = &mut self.instances[instance];
        let completed = std::mem::take(&mut estimate.unreported);
        let in_flight = match self.rule {
            Rule::Before => estimate.in_flight,
            Rule::Now => estimate.live_in_flight(now),
        };
        if in_flight > 0 || completed.0 > 0 {
            self.reports.add_load(&name, &target, in_flight, completed, now);
        }
        estimate.admitted_share = self.share;
        estimate.others_in_flight = 0.0;
        if self.rule == Rule::Now {
            let others =
                f64::from(self.reports.in_flight("owner", now)) - f64::from(estimate.in_flight);
            if others >= f64::from(self.slots) {
                estimate.others_in_flight = others;
            }
        }
        let period = REPORT_MILLIS_PER_INSTANCE * self.instances.len() as f64;
        let period = period.max(MIN_REPORT_MILLIS) * (0.9 + 0.2 * self.random.random::<f64>());
        if millis < LENGTH_MILLIS {
            self.schedule(millis + period as u64, Step::Report { instance });
        }
    }

    fn adjust(&mut self, millis: u64) {
        let now = Stamp::from_millis(millis + 1000);
        self.demand.decay(now);
        let slots = f64::from(self.slots);
        let rate = self.demand.rate(0, u16::MAX);
        let time = SERVICE_MILLIS / 1000.0;
        let suggested = admission::sustainable_share(rate, ADMISSION_TIME_CONSTANT, time, slots);
        let in_flight = f64::from(self.reports.in_flight("owner", now));
        self.share = match self.rule {
            Rule::Before => adjust_share_before(self.share, in_flight / slots, suggested),
            Rule::Now => admission::adjust_share(self.share, in_flight, slots, suggested),
        };
        if millis < LENGTH_MILLIS {
            self.schedule(millis + ADJUSTMENT_MILLIS, Step::Adjust);
        }
    }

    fn play(&mut self, hot_rate: f64) {
        let capacity = f64::from(self.slots) / SERVICE_MILLIS;
        let usual = (capacity * UTILIZATION * LENGTH_MILLIS as f64) as usize;
        let hot = (hot_rate / 1000.0 * (HOT_TO - HOT_FROM) as f64) as usize;
        for _ in 0..usual {
            let at = self.random.random_range(0..LENGTH_MILLIS);
            self.schedule(at, Step::Arrive);
        }
        for _ in 0..hot {
            let at = self.random.random_range(HOT_FROM..HOT_TO);
            self.schedule(at, Step::Arrive);
        }
        for instance in 0..self.instances.len() {
            let at = self.random.random_range(0..800);
            self.schedule(at, Step::Report { instance });
        }
        self.schedule(0, Step::Adjust);
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            match step {
                Step::Arrive => self.arrive(now),
                Step::Finish { instance, arrived, sent } => {
                    self.finish(now, instance, arrived, sent)
                }
                Step::Expire { instance, arrived } => self.expire(now, instance, arrived),
                Step::GiveUp { instance, sent } => {
                    let time = Duration::from_millis(now - sent);
                    let at = Stamp::from_millis(now + 1000);
                    self.instances[instance].end(Outcome::Abandoned, time, 1.0, at);
                }
                Step::Report { instance } => self.report(now, instance),
                Step::Adjust => self.adjust(now),
            }
        }
    }
}

fn play(rule: Rule, instances: usize, slots: u32, hot_rate: f64) -> Counts {
    let mut fleet = Fleet::new(rule, instances, slots);
    fleet.play(hot_rate);
    println!("{rule:?}, {instances} instances, {slots} slots, {hot_rate}/s: {:?}", fleet.counts);
    fleet.counts
}

/// Guards against requests that the owner cannot queue, whose callers wait until their deadline for
/// nothing, and against an owner that is idle while its requests are refused.
#[yare::parameterized(
    warm = { 122, 6, 10.0 },
    hot = { 122, 6, 74.0 },
    very_hot = { 122, 6, 185.0 },
    fewer_instances_warm = { 63, 4, 10.0 },
    fewer_instances_hot = { 63, 4, 70.0 },
)]
fn a_hot_key_in_a_large_fleet(instances: usize, slots: u32, hot_rate: f64) {
    let before = play(Rule::Before, instances, slots, hot_rate);
    let now = play(Rule::Now, instances, slots, hot_rate);
    assert!(now.unanswered <= before.unanswered, "{now:?} and {before:?}");
    assert!(now.in_time >= before.in_time, "{now:?} and {before:?}");
    assert!(now.utilization > 0.75, "{now:?}");
}

/// Guards against refusals of a key that its owner can serve.
#[yare::parameterized(
    large_fleet = { 122, 6 },
    smaller_fleet = { 63, 4 },
)]
fn a_key_within_the_capacity_of_its_owner_is_served(instances: usize, slots: u32) {
    let rate = f64::from(slots) / SERVICE_MILLIS * 1000.0 * 0.3;
    let counts = play(Rule::Now, instances, slots, rate);
    assert!(counts.refused + counts.refused_otherwise <= 2, "{counts:?}");
    assert_eq!(counts.unanswered, 0);
}

/// Guards against instances that all refuse the first requests for a hot key, each counting up to
/// its first admission.
#[test]
fn a_throttle_of_many_instances_admits_from_the_start() {
    let mut random = StdRng::seed_from_u64(3);
    let mut throttles = vec![Throttle::default(); 122];
    let mut admitted = || {
        let mut admits = |throttle: &mut Throttle| throttle.admit(0.1, random.random());
        throttles.iter_mut().filter_map(|throttle| admits(throttle).then_some(())).count()
    };
    for _ in 0..20 {
        let count = admitted();
        assert!((2..=25).contains(&count), "{count}");
    }
}
