//! Requests to cold targets in a fleet whose instances and targets come and go.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use caraway_core::time::Stamp;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Registry;
use caraway_fleet::membership::Target;
use caraway_fleet::ownership::Holding;
use caraway_fleet::ownership::Table;
use caraway_fleet::plan::Candidate;
use caraway_fleet::plan::prefer_warm;
use caraway_fleet::rendezvous::Domains;
use caraway_fleet::warmup::Rate;
use caraway_fleet::warmup::Shares;

const INSTANCES: usize = 122;
const DOMAINS: usize = 4;
const TARGETS: usize = 132;
const REQUESTS_PER_SECOND: u64 = 1139;
const LENGTH_MILLIS: u64 = 25_000;
const WARMUP_MILLIS: u64 = 3000;
const RATE: f64 = 4.2;
/// Requests that a cold target gets in any second at most: 4.2 x 1.5 + 8.
const BOUND: usize = 14;
/// Longest time until an instance learns of a change of the targets or of the instances.
const MAX_LAG_MILLIS: u64 = 3000;
/// Time within which a new target must get a request. It includes the time until the instances that
/// may send to it learn of it.
const MAX_FIRST_MILLIS: u64 = 5000;
/// Longest time in which a request is in transit.
const MAX_TRANSIT_MILLIS: u64 = 60;

/// Which targets may get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// All, as before the shares.
    All,
    /// Those that are warm, and those that the shares allow.
    Shares,
}

struct Known {
    incarnation: Incarnation,
    /// Time until which the target counts as cold.
    cold_until: u64,
}

struct Instance {
    domain: usize,
    up: bool,
    shares: Shares,
    /// What it knows of each target; `None` for one that is not listed.
    targets: Vec<Option<Known>>,
    list: Domains,
}

/// Message that an instance receives later.
enum News {
    Target(usize, Option<(Incarnation, u64)>),
    Instance(Arc<str>, Option<Arc<str>>),
}

struct Outcome {
    /// Largest number of arrivals at a cold target in any second.
    peak: usize,
    /// Times from the start of each new target to the first request, in milliseconds.
    first_requests: Vec<u64>,
    /// Requests that no target could get.
    refused: usize,
    /// New targets without any request.
    unused: usize,
}

fn domain(index: usize) -> Arc<str> {
    format!("d{index}").into()
}

fn target(index: usize) -> Target {
    Target {
        incarnation: incarnation(index, 0),
        address: ([127, 0, 0, 1], 1).into(),
        domain: domain(index % DOMAINS),
        service: "pool".into(),
        slots: 6,
        draining: false,
        warmup: Duration::ZERO,
    }
}

fn incarnation(index: usize, born: u64) -> Incarnation {
    Incarnation { id: format!("t-{index}").into(), born }
}

/// Sends requests while targets crash and return cold, and instances leave and join.
/// Every instance learns of each change after a time of its own.
fn simulate(rule: Rule, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let rate = Rate::new(RATE, 1.5, 8.0).unwrap();
    let name = |index: usize| -> Arc<str> { format!("edge-{index}").into() };
    let list: Domains =
        (0..INSTANCES).map(|index| (name(index), domain(index % DOMAINS))).collect();
    let listed = |index| Some(Known { incarnation: incarnation(index, 0), cold_until: 0 });
    let start = |index: usize, list: &Domains| Instance {
        domain: index % DOMAINS,
        up: true,
        shares: Shares::new(name(index)),
        targets: (0..TARGETS).map(listed).collect(),
        list: list.clone(),
    };
    let mut instances: Vec<Instance> = (0..INSTANCES).map(|index| start(index, &list)).collect();
    let mut truth = list;
    // For each target: the time from which it runs, and its start as the incarnation has it.
    let mut running: Vec<(u64, u64)> = vec![(0, 0); TARGETS];
    let mut news: BTreeMap<u64, Vec<(usize, News)>> = BTreeMap::new();
    let mut arrivals: HashMap<(usize, u64), Vec<u64>> = HashMap::new();
    let mut returns: VecDeque<(u64, usize)> = VecDeque::new();
    let mut refused = 0;
    let places: Vec<Arc<str>> = (0..DOMAINS).map(domain).collect();
    for now in 0..LENGTH_MILLIS {
        let stamp = Stamp::from_millis(1_000_000 + now);
        for (index, change) in news.remove(&now).into_iter().flatten() {
            let instance = &mut instances[index];
            match change {
                News::Target(target, entry) => {
                    let newer = entry.as_ref().is_none_or(|(incarnation, _)| {
                        let known = instance.targets[target].as_ref();
                        known.is_none_or(|known| known.incarnation.born <= incarnation.born)
                    });
                    if newer {
                        let known =
                            |(incarnation, left)| Known { incarnation, cold_until: now + left };
                        instance.targets[target] = entry.map(known);
                    }
                }
                News::Instance(name, Some(domain)) => drop(instance.list.insert(name, domain)),
                News::Instance(name, None) => drop(instance.list.remove(&name)),
            }
        }
        // About one target in 100 ms crashes, and runs again 3 to 6 s later.
        if now > 4000 && random.random_ratio(1, 100) {
            let index = random.random_range(0..TARGETS);
            let (from, _) = running[index];
            if from == 0 || from + MAX_FIRST_MILLIS <= now {
                let back = now + random.random_range(MAX_LAG_MILLIS..2 * MAX_LAG_MILLIS);
                running[index] = (back, back);
                returns.push_back((back, index));
                for other in 0..INSTANCES {
                    let at = now + random.random_range(1..MAX_LAG_MILLIS);
                    news.entry(at).or_default().push((other, News::Target(index, None)));
                    let at = back + random.random_range(1..MAX_LAG_MILLIS);
                    let entry = (incarnation(index, back), WARMUP_MILLIS);
                    news.entry(at).or_default().push((other, News::Target(index, Some(entry))));
                }
            }
        }
        // An instance leaves or joins every second; at 10 s and 16 s a third of a domain does.
        let group = [10_000, 16_000].contains(&now);
        if (now > 4000 && random.random_ratio(1, 1000)) || group {
            let chosen: Vec<usize> = if group {
                (0..INSTANCES).filter(|index| index % (DOMAINS * 3) == 1).collect()
            } else {
                vec![random.random_range(0..INSTANCES)]
            };
            for index in chosen {
                let joins = !instances[index].up;
                if joins {
                    truth.insert(name(index), domain(index % DOMAINS));
                    let mut joined = start(index, &truth);
                    for (target, (from, born)) in running.iter().enumerate() {
                        let left = (from + WARMUP_MILLIS).saturating_sub(now);
                        joined.targets[target] = (*from <= now).then(|| Known {
                            incarnation: incarnation(target, *born),
                            cold_until: now + left,
                        });
                    }
                    instances[index] = joined;
                } else {
                    truth.remove(&name(index));
                    instances[index].up = false;
                }
                for other in 0..INSTANCES {
                    let at = now + random.random_range(1..MAX_LAG_MILLIS);
                    let entry = joins.then(|| domain(index % DOMAINS));
                    news.entry(at).or_default().push((other, News::Instance(name(index), entry)));
                }
            }
        }
        for instance in instances.iter_mut().filter(|instance| instance.up) {
            instance.shares.observe(|| instance.list.clone(), stamp);
        }
        let mut left = REQUESTS_PER_SECOND;
        while random.random_range(0..1000) < left {
            left = left.saturating_sub(1000);
            let index = random.random_range(0..INSTANCES);
            let instance = &mut instances[index];
            if !instance.up {
                continue;
            }
            let shares = &mut instance.shares;
            let eligible: Vec<(usize, &Known)> = instance
                .targets
                .iter()
                .enumerate()
                .filter_map(|(target, known)| known.as_ref().map(|known| (target, known)))
                .filter(|(target, known)| {
                    let place = &places[target % DOMAINS];
                    rule == Rule::All
                        || known.cold_until <= now
                        || shares.check(&known.incarnation, place, rate, stamp).is_ok()
                })
                .collect();
            // As the instances do, a few targets of the own domain and of the others are compared.
            // New ones, which have no measurements, are preferred in a tenth of the selections.
            let is_local = |(target, _): &&(usize, &Known)| target % DOMAINS == instance.domain;
            let local: Vec<&(usize, &Known)> = eligible.iter().filter(is_local).collect();
            let mut sample: Vec<(usize, &Known)> =
                local.choose_multiple(&mut random, 4).map(|entry| **entry).collect();
            sample.extend(eligible.choose_multiple(&mut random, 3));
            let new = sample.iter().find(|(_, known)| known.cold_until > now).copied();
            let chosen = match new.filter(|_| random.random_ratio(1, 10)) {
                Some(new) => Some(new),
                None => sample.choose(&mut random).copied(),
            };
            let Some((target, known)) = chosen else {
                refused += 1;
                continue;
            };
            shares.record(&known.incarnation, rate, stamp);
            let at = now + random.random_range(0..MAX_TRANSIT_MILLIS);
            let (from, born) = running[target];
            if from > 0 && from <= at {
                arrivals.entry((target, born)).or_default().push(at);
            }
        }
    }
    let mut peak = 0;
    let mut first_requests = Vec::new();
    let mut unused = 0;
    for (back, index) in returns {
        let mut times = arrivals.remove(&(index, back)).unwrap_or_default();
        times.sort_unstable();
        let first = times.first().copied();
        match first {
            Some(first) => first_requests.push(first - back),
            None if back + MAX_FIRST_MILLIS < LENGTH_MILLIS => unused += 1,
            None => {}
        }
        times.retain(|at| *at < back + WARMUP_MILLIS);
        for (position, time) in times.iter().enumerate() {
            let within = times[position..].iter().take_while(|at| **at < time + 1000).count();
            peak = peak.max(within);
        }
    }
    Outcome { peak, first_requests, refused, unused }
}

/// Guards against cold targets that get more requests in a second than they tolerate, because many
/// instances know of them at once or their lists of instances differ, and against cold targets that
/// get no requests. Without the shares the bound is broken, which shows that the load suffices.
#[yare::parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn cold_targets_get_requests_within_the_bound(seed: u64) {
    let before = simulate(Rule::All, seed);
    assert!(before.peak > BOUND, "without shares the peak is only {}", before.peak);
    let outcome = simulate(Rule::Shares, seed);
    assert!(outcome.peak <= BOUND, "{} requests in a second", outcome.peak);
    assert_eq!(outcome.refused, 0);
    let mut first = outcome.first_requests;
    first.sort_unstable();
    println!(
        "peaks {} and {}, first request after {} ms (median), {} ms (longest), {} of {} unused",
        before.peak,
        outcome.peak,
        first[first.len() / 2],
        first[first.len() - 1],
        outcome.unused,
        first.len() + outcome.unused
    );
    assert_eq!(outcome.unused, 0);
    assert!(first.iter().all(|time| *time < MAX_FIRST_MILLIS), "{first:?}");
}

fn shares_of(count: usize, now: Stamp) -> Vec<Shares> {
    let list: Domains =
        (0..count).map(|index| (format!("edge-{index}").into(), domain(index % DOMAINS))).collect();
    let mut all: Vec<Shares> =
        (0..count).map(|index| Shares::new(format!("edge-{index}").into())).collect();
    for shares in &mut all {
        shares.observe(|| list.clone(), now);
        shares.observe(|| list.clone(), now + Duration::from_secs(3));
    }
    all
}

/// Guards against a service all of whose targets are cold and that serves nothing, and against one
/// whose targets get more than they tolerate when all instances send as much as they may.
#[yare::parameterized(
    one_instance = { 1, 4.2 },
    few_instances = { 3, 4.2 },
    many_instances = { 122, 4.2 },
    high_rate = { 10, 50.0 },
    low_rate = { 5, 0.5 },
)]
fn all_instances_together_use_what_a_cold_target_tolerates(count: usize, per_second: f64) {
    let rate = Rate::new(per_second, 1.5, 8.0).unwrap();
    let start = Stamp::from_millis(1_000_000);
    let mut all = shares_of(count, start);
    let id = incarnation(5, 7);
    let mut times = Vec::new();
    for millis in 3000..23_000_u64 {
        let now = start + Duration::from_millis(millis);
        for shares in &mut all {
            if shares.check(&id, "d1", rate, now).is_ok() {
                shares.record(&id, rate, now);
                times.push(millis);
            }
        }
    }
    let peak = (0..times.len())
        .map(|first| times[first..].iter().take_while(|at| **at < times[first] + 1000).count())
        .max()
        .unwrap_or(0);
    let count = f64::from(u32::try_from(peak).unwrap());
    assert!(count <= per_second.max(1.0), "{peak} in a second");
    let total = f64::from(u32::try_from(times.len()).unwrap());
    assert!(total / 20.0 > per_second * 0.35, "only {total} in 20 s");
}

/// Guards against an instance that sends a cold target more than its share by restarting, or sends
/// before it is registered.
#[test]
fn an_instance_that_has_just_started_or_is_not_registered_sends_nothing() {
    let rate = Rate::new(4.2, 1.5, 8.0).unwrap();
    let start = Stamp::from_millis(1_000_000);
    let list = |names: &[&str]| -> Domains {
        names.iter().map(|name| ((*name).into(), domain(0))).collect()
    };
    let id = incarnation(1, 1);
    let mut shares = Shares::new("edge-1".into());
    shares.observe(|| list(&["edge-1"]), start);
    let soon = start + Duration::from_millis(500);
    assert!(shares.check(&id, "d0", rate, soon).is_err());
    let later = start + Duration::from_millis(2500);
    shares.observe(|| list(&["edge-1"]), later);
    assert!(shares.check(&id, "d0", rate, later).is_ok());
    let mut unknown = Shares::new("edge-2".into());
    unknown.observe(|| list(&["edge-1"]), start);
    unknown.observe(|| list(&["edge-1"]), later);
    assert!(unknown.check(&id, "d0", rate, later).is_err());
}

/// Guards against requests whose arrivals are closer than their departures: the first is large and
/// takes long to be sent.
#[test]
fn the_interval_counts_from_the_end_of_a_request() {
    let rate = Rate::new(1.0, 1.0, 0.0).unwrap();
    let start = Stamp::from_millis(1_000_000);
    let mut shares = shares_of(1, start).remove(0);
    let id = incarnation(1, 1);
    let now = start + Duration::from_secs(4);
    shares.record(&id, rate, now);
    let sent = now + Duration::from_millis(800);
    shares.record_sent(&id, sent);
    let free = shares.check(&id, "d0", rate, sent + Duration::from_secs(1));
    assert_eq!(free, Err(sent + rate.interval()));
    assert!(shares.check(&id, "d0", rate, sent + rate.interval()).is_ok());
}

/// Guards against full load on the next incarnation of a target that crashed, before its entry says
/// that it is cold, and against an instance with a broken link that takes all targets to be cold.
#[test]
fn a_target_that_takes_no_connection_counts_as_cold_unless_many_do() {
    let now = Stamp::from_millis(1_000_000);
    let until = now + Duration::from_secs(3);
    let mut shares = Shares::new("edge-1".into());
    shares.record_unreachable(&target(0), until, now);
    assert!(shares.is_suspect(&target(0), 8, now));
    assert!(!shares.is_suspect(&target(1), 8, now));
    assert!(!shares.is_suspect(&target(0), 8, until));
    for index in 1..4 {
        shares.record_unreachable(&target(index), until, now);
    }
    assert!(!shares.is_suspect(&target(0), 8, now));
}

fn candidate(index: usize) -> Candidate {
    Candidate { incarnation: incarnation(index, 0), slots: 4.0, service_time: 0.1 }
}

/// Guards against keys at cold targets while warm ones exist, against a service without any owner,
/// and against all keys at the first target that is warm.
#[yare::parameterized(
    all_warm = { [false; 4], &[0], &[0, 1, 2, 3] },
    all_cold = { [true; 4], &[0], &[0, 1, 2, 3] },
    cold_owner = { [true, false, false, false], &[0, 1], &[1, 2, 3] },
    few_are_warm = { [true, true, true, false], &[0, 1], &[0, 1, 3] },
)]
fn keys_go_to_warm_targets(cold: [bool; 4], owners: &[usize], expected: &[usize]) {
    let mut table = Table::default();
    for (first, owner) in (0_u16..).zip(owners) {
        let owner = incarnation(*owner, 0);
        table.holdings.push(Holding { first, last: first, owner, fence: 2, earlier: vec![] });
    }
    let usable = cold.iter().enumerate().map(|(index, cold)| (candidate(index), *cold)).collect();
    let chosen: Vec<Incarnation> =
        prefer_warm(usable, &table).into_iter().map(|candidate| candidate.incarnation).collect();
    let expected: Vec<Incarnation> = expected.iter().map(|index| incarnation(*index, 0)).collect();
    assert_eq!(chosen, expected);
}

/// Guards against a target that counts as cold for the whole time again at each instance that gets
/// its entry from another one, and against a statement for another target.
#[test]
fn the_remaining_warm_up_time_follows_the_latest_statement() {
    let start = Stamp::from_millis(1_000_000);
    let mut registry = Registry::default();
    registry.put(Target { warmup: Duration::from_secs(3), ..target(0) }, start);
    let later = start + Duration::from_secs(2);
    let left = |registry: &Registry, now| registry.get("t-0").unwrap().entry(now).warmup;
    assert_eq!(left(&registry, later), Duration::from_secs(1));
    assert!(!registry.record_warmup("t-1", Duration::from_secs(9), later));
    assert!(!registry.record_warmup("t-0", Duration::from_millis(500), later));
    assert_eq!(left(&registry, later), Duration::from_millis(500));
    let warm = later + Duration::from_millis(600);
    assert_eq!(left(&registry, warm), Duration::ZERO);
    // It turns cold again.
    assert!(registry.record_warmup("t-0", Duration::from_secs(3), warm));
    assert_eq!(left(&registry, warm), Duration::from_secs(3));
    // An entry that says that it is warm ends the warm-up.
    registry.put(target(0), warm);
    assert_eq!(left(&registry, warm), Duration::ZERO);
}
