//! A large fleet of instances in front of targets whose speeds change, near the targets' capacity.
//!
//! Three rules are compared: the division of the targets among the instances, equal use of all
//! targets of the own failure domain, and the choice among all targets with at least one request of
//! each instance in flight at each of them.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use caraway_core::time::Stamp;
use caraway_fleet::admission;
use caraway_fleet::load::Candidate;
use caraway_fleet::load::Estimate;
use caraway_fleet::load::Outcome;
use caraway_fleet::load::choose;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Target;
use caraway_fleet::rendezvous::Domains;
use caraway_fleet::share::Division;
use caraway_fleet::share::Share;

const DOMAINS: usize = 4;
const SLOTS: u32 = 6;
/// Requests that wait at a target beyond its slots. Further ones are never answered.
const QUEUE: usize = 24;
const SERVICE_MILLIS: f64 = 340.0;
const OBJECTIVE_MILLIS: u64 = 1000;
const DEADLINE_MILLIS: u64 = 4000;
/// Time for which a request waits while the instance is at its limits.
const WAIT_MILLIS: u64 = 350;
/// Interval in which instances learn of each other's requests.
const REPORT_MILLIS: u64 = 300;
/// Idle time up to which a connection is used again.
const IDLE_MILLIS: u64 = 2400;
/// Connections that a target accepts.
const ACCEPTED: usize = 232;
const LENGTH_MILLIS: u64 = 12_000;
/// Period and swing of the waves of load, which are out of phase between domains.
const WAVE_MILLIS: f64 = 15_000.0;
const SWING: f64 = 0.55;
/// Time for which a fifth of the targets is slower, and by which factor.
const SLOW_MILLIS: u64 = 400;
const SLOWDOWN: f64 = 3.0;
/// Share of the rate that is left on average.
const REMAINING_SPEED: f64 = 0.8 + 0.2 / SLOWDOWN;
/// Time at which a fifth of the targets becomes slower for long, in the test of reactions.
const CHANGE_MILLIS: u64 = 6000;
const BIN_MILLIS: u64 = 100;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    /// Each request goes to the next target of the own domain.
    Equal,
    /// Each request goes to the best of four targets of the own domain and three others.
    Sampled,
    /// Each instance has a share of the targets.
    Divided,
}

/// Slow phases of the targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Slow {
    /// Another fifth of the targets in each interval.
    Changing,
    /// The same fifth from one moment on.
    Lasting,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive { domain: usize },
    Finish { target: usize, request: Sent },
    GiveUp { target: usize, instance: usize, sent: u64 },
    Report,
}

/// A request at a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Sent {
    instance: usize,
    arrived: u64,
    sent: u64,
    /// Slowdown that was expected when it was sent, in thousandths.
    slowdown: u64,
}

#[derive(Default)]
struct Queue {
    running: u32,
    waiting: VecDeque<Sent>,
}

/// Numbers of requests.
#[derive(Debug, Default)]
struct Counts {
    arrived: usize,
    in_time: usize,
    late: usize,
    refused: usize,
    /// Requests sent to a target with a full queue.
    unanswered: usize,
    connections: usize,
    sent: usize,
    crossed: usize,
    /// Largest number of requests at a target.
    peak: usize,
}

impl Counts {
    fn percent(&self, count: usize) -> f64 {
        100.0 * count as f64 / self.arrived as f64
    }
}

struct Instance {
    estimates: Vec<Estimate>,
    /// Times since which connections are idle, by target.
    idle: Vec<Vec<u64>>,
    /// Arrivals of requests that wait for a place.
    waiting: VecDeque<u64>,
    share: Option<Share>,
    /// Next target under [`Rule::Equal`].
    next: usize,
}

struct Fleet {
    rule: Rule,
    slow: Slow,
    /// Whether the targets state their present slowdown.
    stated: bool,
    random: StdRng,
    targets: Vec<Arc<Target>>,
    speeds: Vec<f64>,
    instances: Vec<Instance>,
    queues: Vec<Queue>,
    /// Service time of each target in the reports of all instances.
    times: Vec<Option<f64>>,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    sequence: u64,
    counts: Counts,
    /// Requests sent to the targets that become slower for long, by interval.
    sent_to_slow: Vec<usize>,
}

fn target(index: usize, domain: usize) -> Arc<Target> {
    let id: Arc<str> = format!("target-{index}").into();
    Arc::new(Target {
        incarnation: Incarnation { id, born: 1 },
        address: "127.0.0.1:80".parse().unwrap(),
        domain: format!("domain-{domain}").into(),
        service: "service".into(),
        slots: SLOTS,
        draining: false,
        warmup: Duration::ZERO,
    })
}

impl Fleet {
    fn new(rule: Rule, slow: Slow, instances: usize, targets: usize) -> Self {
        let targets: Vec<Arc<Target>> =
            (0..targets).map(|index| target(index, index % DOMAINS)).collect();
        let name = |index: usize| format!("instance-{index}");
        let domains: Domains = (0..instances)
            .map(|index| (name(index).into(), format!("domain-{}", index % DOMAINS).into()))
            .collect();
        let division = Division::new(&targets, &domains);
        let divided =
            rule == Rule::Divided && caraway_fleet::share::is_divided(&targets, instances);
        let instances = (0..instances)
            .map(|index| Instance {
                estimates: vec![Estimate::default(); targets.len()],
                idle: vec![Vec::new(); targets.len()],
                waiting: VecDeque::new(),
                share: divided.then(|| division.share(&name(index))),
                next: index,
            })
            .collect();
        let mut random = StdRng::seed_from_u64(7);
        Self {
            rule,
            slow,
            stated: false,
            speeds: targets.iter().map(|_| random.random_range(0.5..1.6)).collect(),
            queues: targets.iter().map(|_| Queue::default()).collect(),
            times: vec![None; targets.len()],
            random,
            targets,
            instances,
            steps: BinaryHeap::new(),
            sequence: 0,
            counts: Counts::default(),
            sent_to_slow: vec![0; (LENGTH_MILLIS / BIN_MILLIS) as usize],
        }
    }

    fn schedule(&mut self, at: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((at, self.sequence, step)));
    }

    /// Returns whether a target is slower than usual.
    fn is_slow(&self, target: usize, millis: u64) -> bool {
        match self.slow {
            Slow::Changing => {
                let interval = (millis / SLOW_MILLIS) as usize;
                ((target * 31 + interval * 17) % 53).is_multiple_of(5)
            }
            Slow::Lasting => millis >= CHANGE_MILLIS && target.is_multiple_of(5),
        }
    }

    fn start(&mut self, now: u64, target: usize, request: Sent) {
        self.queues[target].running += 1;
        let factor = if self.is_slow(target, now) { SLOWDOWN } else { 1.0 };
        let usual = SERVICE_MILLIS / self.speeds[target] * factor;
        let time = usual * (0.5 + self.random.random::<f64>());
        self.schedule(now + time as u64, Step::Finish { target, request });
    }

    fn is_local(&self, instance: usize, target: usize) -> bool {
        instance % DOMAINS == target % DOMAINS
    }

    /// Returns whether an instance may send another request to a target.
    fn has_room(&self, instance: usize, target: usize, now: Stamp) -> bool {
        let sender = &self.instances[instance];
        let estimate = &sender.estimates[target];
        let occupancy = estimate.occupancy(now);
        let Some(share) = &sender.share else {
            let limit = admission::in_flight_limit(SLOTS, self.instances.len());
            return estimate.in_flight < limit && admission::has_room(occupancy, SLOTS);
        };
        let place = share.place(&self.targets[target].incarnation.id);
        let objective = OBJECTIVE_MILLIS as f64 / 1000.0;
        place.is_some_and(|place| {
            !place.spare && place.has_room(estimate, SLOTS, objective, 0.1, now)
        })
    }

    /// Selects the target of a request like an instance does.
    fn select(&mut self, instance: usize, now: Stamp) -> Option<usize> {
        if self.rule == Rule::Equal {
            let own: Vec<usize> =
                (0..self.targets.len()).filter(|index| self.is_local(instance, *index)).collect();
            self.instances[instance].next += 1;
            return Some(own[self.instances[instance].next % own.len()]);
        }
        let (local, remote): (Vec<usize>, Vec<usize>) = (0..self.targets.len())
            .filter(|target| self.has_room(instance, *target, now))
            .partition(|target| self.is_local(instance, *target));
        let random = &mut self.random;
        let mut sample = local.into_iter().choose_multiple(random, 4);
        sample.extend(remote.into_iter().choose_multiple(random, 3));
        let estimates = &self.instances[instance].estimates;
        let candidates: Vec<Candidate> = sample
            .iter()
            .map(|index| Candidate {
                latency_ratio: estimates[*index].expected_time(SLOTS, 0.1, now)
                    / (OBJECTIVE_MILLIS as f64 / 1000.0),
                utilization: estimates[*index].occupancy(now) / f64::from(SLOTS),
                cross_domain_kb: if instance % DOMAINS == index % DOMAINS { 0.0 } else { 4.0 },
            })
            .collect();
        choose(&candidates, &mut || random.random()).map(|index| sample[index])
    }

    fn arrive(&mut self, millis: u64, domain: usize) {
        self.counts.arrived += 1;
        let count = self.instances.len() / DOMAINS;
        let instance = self.random.random_range(0..count) * DOMAINS + domain;
        if !self.send(millis, instance, millis) {
            self.instances[instance].waiting.push_back(millis);
        }
    }

    /// Sends a request if a target has room.
    fn send(&mut self, millis: u64, instance: usize, arrived: u64) -> bool {
        let now = Stamp::from_millis(millis);
        let Some(target) = self.select(instance, now) else { return false };
        self.counts.sent += 1;
        self.counts.crossed += usize::from(!self.is_local(instance, target));
        if target % 5 == 0 {
            self.sent_to_slow[((millis / BIN_MILLIS) as usize).min(119)] += 1;
        }
        let idle = &mut self.instances[instance].idle[target];
        idle.retain(|since| millis - since < IDLE_MILLIS);
        if idle.pop().is_none() {
            self.counts.connections += 1;
        }
        let slowdown = self.instances[instance].estimates[target].begin(SLOTS, now);
        let slowdown = (slowdown * 1000.0) as u64;
        let request = Sent { instance, arrived, sent: millis, slowdown };
        let queue = &mut self.queues[target];
        let at_target = queue.running as usize + queue.waiting.len() + 1;
        self.counts.peak = self.counts.peak.max(at_target);
        if queue.running < SLOTS {
            self.start(millis, target, request);
        } else if queue.waiting.len() < QUEUE {
            queue.waiting.push_back(request);
        } else {
            self.counts.unanswered += 1;
            let step = Step::GiveUp { target, instance, sent: millis };
            self.schedule(arrived + DEADLINE_MILLIS, step);
        }
        true
    }

    fn max_idle(&self, instance: usize, target: usize) -> usize {
        match &self.instances[instance].share {
            Some(share) => {
                let place = share.place(&self.targets[target].incarnation.id).unwrap();
                admission::idle_connections(ACCEPTED, place.users).min(place.limit as usize)
            }
            None => admission::idle_connections(ACCEPTED, self.instances.len()),
        }
    }

    fn finish(&mut self, millis: u64, target: usize, request: Sent) {
        let Sent { instance, arrived, sent, slowdown } = request;
        if millis - arrived <= OBJECTIVE_MILLIS {
            self.counts.in_time += 1;
        } else {
            self.counts.late += 1;
        }
        self.queues[target].running -= 1;
        if let Some(next) = self.queues[target].waiting.pop_front() {
            self.start(millis, target, next);
        }
        let max_idle = self.max_idle(instance, target);
        let now = Stamp::from_millis(millis);
        let slow = self.is_slow(target, millis);
        let queue = &self.queues[target];
        let waiting = u32::try_from(queue.waiting.len()).unwrap();
        let sender = &mut self.instances[instance];
        if sender.idle[target].len() < max_idle {
            sender.idle[target].push(millis);
        }
        let estimate = &mut sender.estimates[target];
        estimate.record_report(queue.running, waiting, SLOTS, now);
        if self.stated {
            estimate.record_slowdown(if slow { 300 } else { 100 }, now);
        }
        let time = Duration::from_millis(millis - sent);
        estimate.end(Outcome::Answered, time, slowdown as f64 / 1000.0, now);
        self.send_waiting(millis, instance);
    }

    /// Sends or refuses requests that wait at an instance.
    fn send_waiting(&mut self, millis: u64, instance: usize) {
        while let Some(arrived) = self.instances[instance].waiting.front().copied() {
            if millis - arrived > WAIT_MILLIS {
                self.counts.refused += 1;
            } else if !self.send(millis, instance, arrived) {
                return;
            }
            self.instances[instance].waiting.pop_front();
        }
    }

    fn report(&mut self, millis: u64) {
        for target in 0..self.targets.len() {
            let mut total = 0;
            for instance in &mut self.instances {
                let estimate = &mut instance.estimates[target];
                let (count, sum) = std::mem::take(&mut estimate.unreported);
                total += estimate.in_flight;
                if count > 0 {
                    let mean = sum / f64::from(count);
                    let time = self.times[target].get_or_insert(mean);
                    *time += (mean - *time) * (1.0 - 0.95_f64.powf(f64::from(count)));
                }
            }
            for instance in &mut self.instances {
                let estimate = &mut instance.estimates[target];
                estimate.others_in_flight = f64::from(total - estimate.in_flight);
                estimate.service_time = self.times[target].unwrap_or(estimate.service_time);
            }
        }
        for instance in 0..self.instances.len() {
            self.send_waiting(millis, instance);
        }
    }

    /// Plays arrivals at a share of the capacity of all targets.
    fn play(&mut self, load: f64) {
        let rate = self.speeds.iter().sum::<f64>() * f64::from(SLOTS) / SERVICE_MILLIS;
        let rate = rate * REMAINING_SPEED * load;
        let arrivals = (LENGTH_MILLIS as f64 * rate) as usize;
        for _ in 0..arrivals {
            let at = self.random.random_range(0..LENGTH_MILLIS);
            let wave = |domain: usize| {
                let phase = domain as f64 / DOMAINS as f64;
                1.0 + SWING * ((at as f64 / WAVE_MILLIS + phase) * TAU).sin()
            };
            let mut left = self.random.random::<f64>() * DOMAINS as f64;
            let domain = (0..DOMAINS - 1).find(|domain| {
                left -= wave(*domain);
                left < 0.0
            });
            self.schedule(at, Step::Arrive { domain: domain.unwrap_or(DOMAINS - 1) });
        }
        for at in (0..LENGTH_MILLIS + 2 * WAIT_MILLIS).step_by(REPORT_MILLIS as usize) {
            self.schedule(at, Step::Report);
        }
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            match step {
                Step::Arrive { domain } => self.arrive(now, domain),
                Step::Finish { target, request } => self.finish(now, target, request),
                Step::GiveUp { target, instance, sent } => {
                    let time = Duration::from_millis(now - sent);
                    let at = Stamp::from_millis(now);
                    let estimate = &mut self.instances[instance].estimates[target];
                    estimate.end(Outcome::Abandoned, time, 1.0, at);
                    self.send_waiting(now, instance);
                }
                Step::Report => self.report(now),
            }
        }
    }

    /// Returns the time until the targets that became slower get less than 1.3 times what their
    /// part of the remaining capacity is.
    fn reaction_millis(&self) -> u64 {
        let (from, to) = ((CHANGE_MILLIS / BIN_MILLIS) as usize, self.sent_to_slow.len());
        let before: usize = self.sent_to_slow[from - 20..from].iter().sum();
        let limit = before as f64 / 20.0 / SLOWDOWN * 1.3;
        let bin = (from..to - 3).find(|bin| {
            let mean = self.sent_to_slow[*bin..bin + 3].iter().sum::<usize>() as f64 / 3.0;
            mean < limit
        });
        (bin.unwrap_or(to) - from) as u64 * BIN_MILLIS
    }
}

/// Plays changing speeds, and prints a row of the results.
fn play(rule: Rule, instances: usize, targets: usize, load: f64) -> Counts {
    play_stated(rule, false, instances, targets, load).0
}

/// Plays changing speeds, which the targets may state. Returns also the mean ratio of the estimated
/// usual service times to the true ones, and the mean distance of that ratio from 1.
fn play_stated(
    rule: Rule,
    stated: bool,
    instances: usize,
    targets: usize,
    load: f64,
) -> (Counts, f64, f64) {
    let mut fleet = Fleet::new(rule, Slow::Changing, instances, targets);
    fleet.stated = stated;
    fleet.play(load);
    let ratios: Vec<f64> = (0..targets)
        .filter_map(|t| Some(fleet.times[t]? * 1000.0 * fleet.speeds[t] / SERVICE_MILLIS))
        .collect();
    let mean = |sum: f64| sum / ratios.len() as f64;
    let (bias, error) =
        (mean(ratios.iter().sum()), mean(ratios.iter().map(|r| (r - 1.0).abs()).sum()));
    println!("stated {stated}, service times: ratio {bias:.2}, error {error:.2}");
    let counts = fleet.counts;
    println!(
        "{instances} instances, {targets} targets, load {load:.1}, {rule:?}: in time {:.1}%, late \
         {:.1}%, refused {:.1}%, unanswered {}, peak {}, connections {:.1}%, crossed {:.1}%",
        counts.percent(counts.in_time),
        counts.percent(counts.late),
        counts.percent(counts.refused),
        counts.unanswered,
        counts.peak,
        counts.percent(counts.connections),
        counts.percent(counts.crossed),
    );
    (counts, bias, error)
}

/// Guards against requests that a target cannot queue, whose callers wait until their deadline for
/// nothing, against queues in which all responses are late, and against a connection for each
/// request.
#[yare::parameterized(
    spare_capacity = { 0.8 },
    little_spare_capacity = { 0.9 },
    no_spare_capacity = { 1.0 },
)]
fn a_large_fleet_near_its_capacity(load: f64) {
    let equal = play(Rule::Equal, 100, 100, load);
    let sampled = play(Rule::Sampled, 100, 100, load);
    let divided = play(Rule::Divided, 100, 100, load);
    assert_eq!(divided.unanswered, 0);
    assert!(divided.peak <= SLOTS as usize + QUEUE);
    for other in [&equal, &sampled] {
        assert!(divided.in_time * 10 > other.in_time * 11, "{divided:?} and {other:?}");
        assert!(divided.late * 10 < other.late * 9, "{divided:?} and {other:?}");
        assert!(divided.connections * 2 < other.connections, "{divided:?} and {other:?}");
    }
    // Requests that another domain cannot answer sooner do not cross.
    assert!(divided.crossed < sampled.crossed, "{divided:?} and {sampled:?}");
    // Without a queue at their targets, four of five requests meet slots that are not slowed down.
    assert!(load > 0.8 || divided.in_time * 10 > divided.arrived * 7, "{divided:?}");
}

/// Targets state their present slowdown. Guards against late responses of targets that are slow for
/// a moment, and against usual service times that are distorted by such moments or by queueing.
#[yare::parameterized(
    spare_capacity = { 0.8 },
    little_spare_capacity = { 0.9 },
    no_spare_capacity = { 1.0 },
)]
fn stated_slowdowns_are_used(load: f64) {
    let (unaware, _, unaware_error) = play_stated(Rule::Divided, false, 100, 100, load);
    let (aware, ratio, error) = play_stated(Rule::Divided, true, 100, 100, load);
    assert!(aware.late * 10 < unaware.late * 9, "{aware:?} and {unaware:?}");
    assert!(aware.in_time * 100 > unaware.in_time * 104, "{aware:?} and {unaware:?}");
    // Requests that meet a slowdown of which their instance does not know yet lengthen all times
    // alike, by at most the mean slowdown. The times of the targets relative to each other are right.
    assert!(error < unaware_error * 0.7, "{error} and {unaware_error}");
    assert!((1.0..1.4).contains(&ratio) && error < ratio - 1.0 + 0.1, "{ratio}, {error}");
}

/// Callers see a change of speed until the instances have followed it. A response in time takes one
/// second, so the change must be followed within that.
#[yare::parameterized(
    sampled = { Rule::Sampled, false },
    divided = { Rule::Divided, false },
    divided_and_stated = { Rule::Divided, true },
)]
fn slow_targets_get_fewer_requests_within_a_second(rule: Rule, stated: bool) {
    let mut fleet = Fleet::new(rule, Slow::Lasting, 100, 100);
    fleet.stated = stated;
    fleet.play(0.8);
    println!("{rule:?}, stated {stated}: {} ms", fleet.reaction_millis());
    assert!(rule == Rule::Sampled || fleet.reaction_millis() <= 1000);
}

/// Guards against a change in fleets where one request of each instance fits into every target.
#[yare::parameterized(
    few_targets = { 16, 8 },
    more_targets = { 20, 16 },
)]
fn a_small_fleet_behaves_as_without_shares(instances: usize, targets: usize) {
    let sampled = play(Rule::Sampled, instances, targets, 0.8);
    let divided = play(Rule::Divided, instances, targets, 0.8);
    assert_eq!(format!("{sampled:?}"), format!("{divided:?}"));
}
