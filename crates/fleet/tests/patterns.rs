//! Load patterns and the expected reaction of the fleet.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;

use caraway_core::time::Stamp;
use caraway_fleet::admission;
use caraway_fleet::admission::Throttle;
use caraway_fleet::balance;
use caraway_fleet::demand::ADMISSION_TIME_CONSTANT;
use caraway_fleet::demand::Demand;
use caraway_fleet::demand::MOVES_TIME_CONSTANT;
use caraway_fleet::load;
use caraway_fleet::load::Admission;
use caraway_fleet::load::Estimate;
use caraway_fleet::load::Outcome;
use caraway_fleet::load::choose;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::ownership::Table;
use caraway_fleet::plan;
use caraway_fleet::plan::Candidate;
use caraway_fleet::reports::Reports;
use caraway_fleet::unowned;
use caraway_fleet::unowned::Ranges;

fn incarnation(index: usize) -> Incarnation {
    Incarnation { id: format!("t{index:02}").into(), born: 1 }
}

fn candidates(times: &[f64]) -> Vec<Candidate> {
    let candidate = |(index, time): (usize, &f64)| Candidate {
        incarnation: incarnation(index),
        slots: 4.0,
        service_time: *time,
    };
    times.iter().enumerate().map(candidate).collect()
}

fn table(candidates: &[Candidate]) -> Table {
    let mut table = Table::default();
    for key_move in plan::repair(&table, candidates, &Demand::new(MOVES_TIME_CONSTANT)) {
        table.apply(&key_move);
    }
    table
}

/// Adds requests per second for a key.
fn add(demand: &mut Demand, key: u16, rate: f64) {
    demand.add(key, rate * MOVES_TIME_CONSTANT.as_secs_f64());
}

fn utilizations(table: &Table, candidates: &[Candidate], demand: &Demand) -> Vec<f64> {
    let rates = plan::rates(table, demand);
    let utilization = |c: &Candidate| {
        rates.get(&c.incarnation).copied().unwrap_or(0.0) * c.service_time / c.slots
    };
    candidates.iter().map(utilization).collect()
}

fn rebalance(table: &mut Table, candidates: &[Candidate], demand: &Demand, plans: usize) -> usize {
    let mut count = 0;
    for _ in 0..plans {
        for key_move in balance::balance(table, candidates, demand) {
            table.apply(&key_move);
            count += 1;
        }
    }
    count
}

/// Busy keys are adjacent, so one target has most of the load.
#[test]
fn adjacent_busy_keys_spread_within_two_plans() {
    let candidates = candidates(&[0.1; 16]);
    let mut table = table(&candidates);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    for key in 50_000..50_400 {
        add(&mut demand, key, 1.0);
    }
    assert!(utilizations(&table, &candidates, &demand).iter().any(|used| *used > 5.0));
    rebalance(&mut table, &candidates, &demand, 2);
    let utilizations = utilizations(&table, &candidates, &demand);
    // 400 requests per second of 0.1 s on 64 slots are a utilization of 62%.
    assert!(utilizations.iter().all(|used| *used < 1.0), "{utilizations:?}");
}

/// A key is requested more often than any target can answer. It must stay with its owner while the
/// other keys leave.
#[test]
fn a_key_that_saturates_its_owner_stays_and_other_keys_leave() {
    let candidates = candidates(&[0.1; 8]);
    let mut table = table(&candidates);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    add(&mut demand, 30_000, 80.0);
    for key in (0..=65_000).step_by(500) {
        add(&mut demand, key + 7, 1.0);
    }
    let owner = table.find(30_000).unwrap().owner.clone();
    rebalance(&mut table, &candidates, &demand, 4);
    assert_eq!(table.find(30_000).unwrap().owner, owner);
    let rest = plan::rates(&table, &demand)[&owner] - 80.0;
    assert!(rest < 4.0, "{rest} requests per second besides the hot key");
    let again = rebalance(&mut table, &candidates, &demand, 4);
    assert!(again <= 2, "{again} moves in a balanced state");
}

/// A hot key is on a slow target while a much faster target is idle.
#[test]
fn a_hot_key_moves_to_a_much_faster_target_once() {
    let candidates = candidates(&[0.2, 0.1, 0.2, 0.2]);
    let mut table = table(&candidates);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    let key = table.holdings.iter().find(|h| h.owner == incarnation(0)).unwrap().first;
    add(&mut demand, key, 18.0);
    rebalance(&mut table, &candidates, &demand, 3);
    assert_eq!(table.find(key).unwrap().owner, incarnation(1));
    assert_eq!(rebalance(&mut table, &candidates, &demand, 3), 0);
}

/// The load is even and low, so moves would only interrupt requests.
#[test]
fn low_load_moves_nothing() {
    let candidates = candidates(&[0.1, 0.15, 0.08, 0.1]);
    let mut table = table(&candidates);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    for key in (0..60_000).step_by(1000) {
        add(&mut demand, key, 0.5);
    }
    assert_eq!(rebalance(&mut table, &candidates, &demand, 3), 0);
}

/// A target is added while the others have free capacity. It must not stay unused.
#[test]
fn a_new_target_gets_a_share_of_the_load() {
    let old = candidates(&[0.1; 4]);
    let mut table = table(&old);
    let new = candidates(&[0.1; 5]);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    for key in (0..60_000).step_by(500) {
        add(&mut demand, key, 0.2);
    }
    rebalance(&mut table, &new, &demand, 1);
    let rate = plan::rates(&table, &demand).get(&incarnation(4)).copied().unwrap_or(0.0);
    assert!(rate > 1.0, "{rate}");
}

/// Most of the demand is in a part of the keys, on a large fleet of fast and slow targets that
/// start one after the other, and the demand is estimated from request counts. Guards against a
/// plan that stops moving keys after four seconds, with a tenth of the owners at twice their
/// capacity and a quarter almost idle.
#[test]
fn skewed_demand_on_many_targets_is_balanced() {
    let times: Vec<f64> = (0..166).map(|i| if i % 3 == 2 { 0.48 } else { 0.21 }).collect();
    let candidates = candidates(&times);
    let mut table = table(&candidates[..72]);
    rebalance(&mut table, &candidates, &Demand::new(MOVES_TIME_CONSTANT), 2);
    let weight = |index: u32| f64::from(index + 1).powf(-0.385);
    let keys = WeightedIndex::new((0..60_000).map(weight)).unwrap();
    let mut random = StdRng::seed_from_u64(7);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    let mut actual = Demand::new(MOVES_TIME_CONSTANT);
    let key_of = |index: u32| u16::try_from((28_000 + index) % 65_536).unwrap();
    let total: f64 = (0..60_000).map(weight).sum();
    for index in 0..60_000 {
        add(&mut actual, key_of(index), 1550.0 * weight(index) / total);
    }
    let mut moves = Vec::new();
    for step in 1..=24 {
        for _ in 0..775 {
            let index = u32::try_from(keys.sample(&mut random)).unwrap();
            demand.add(key_of(index), 1.0);
        }
        demand.decay(Stamp::from_millis(500 * step));
        moves.push(rebalance(&mut table, &candidates, &demand, 1));
    }
    let utilizations = utilizations(&table, &candidates, &actual);
    let highest = utilizations.iter().copied().fold(0.0, f64::max);
    let mean = 1550.0 / candidates.iter().map(|c| c.slots / c.service_time).sum::<f64>();
    assert!(highest < 1.0, "highest utilization is {highest}, mean is {mean}");
    let max_holdings = candidates.len() * 6;
    assert!(table.holdings.len() <= max_holdings, "{} holdings", table.holdings.len());
    let late: usize = moves[12..].iter().sum();
    assert!(late < 166, "moves in a balanced state: {moves:?}");
}

/// The busy keys change all the time, and every move may add holdings. Guards against a table that
/// reaches the limit of the holdings, after which no move is possible.
#[test]
fn shifting_demand_does_not_exhaust_the_holdings() {
    let candidates = candidates(&[0.1; 24]);
    let mut table = table(&candidates);
    for place in 0..60_u32 {
        let mut demand = Demand::new(MOVES_TIME_CONSTANT);
        for index in 0..3000_u32 {
            let key = u16::try_from((place * 7919 + index * 5) % 65_536).unwrap();
            add(&mut demand, key, 0.2 / (1.0 + f64::from(index) / 500.0));
        }
        rebalance(&mut table, &candidates, &demand, 4);
        let utilizations = utilizations(&table, &candidates, &demand);
        let highest = utilizations.iter().copied().fold(0.0, f64::max);
        assert!(highest < 0.9, "place {place}: highest utilization is {highest}");
        let count = table.holdings.len();
        assert!(count <= candidates.len() * 6 + 32, "place {place}: {count} holdings");
        table.holdings.iter_mut().for_each(|holding| holding.earlier.clear());
        table.merge_adjacent();
    }
}

/// Requests start, or a key becomes hot, after a quiet period. Counts that are steady enough for
/// moves showed this only after three seconds. Within one second the estimate must reach at least
/// half of the rate.
#[test]
fn new_demand_is_estimated_within_a_second() {
    let mut steady = Demand::new(MOVES_TIME_CONSTANT);
    let mut newer = Demand::new(ADMISSION_TIME_CONSTANT);
    let at = Stamp::from_millis;
    let mut count = |from: u64, to: u64, hot: f64, spread: f64| {
        for step in from / 250..to / 250 {
            for demand in [&mut steady, &mut newer] {
                demand.add(9, hot / 4.0);
                for key in 1000..1100 {
                    demand.add(key, spread / 400.0);
                }
                demand.decay(at((step + 1) * 250));
            }
        }
        let adjusted = steady.with_surges(&newer);
        (adjusted.rate(9, 9), adjusted.rate(1000, 1100))
    };
    count(250, 8000, 0.0, 0.0);
    let (_, spread) = count(8000, 9000, 0.0, 120.0);
    assert!((60.0..150.0).contains(&spread), "{spread}");
    let (_, spread) = count(9000, 20_000, 0.0, 120.0);
    assert!((110.0..125.0).contains(&spread), "{spread}");
    let (hot, spread) = count(20_000, 21_000, 40.0, 120.0);
    assert!((20.0..50.0).contains(&hot), "{hot}");
    assert!((100.0..150.0).contains(&spread), "{spread}");
}

/// Several adjacent keys are hot at the same time. Each takes up half of a target, so no two of
/// them may share an owner.
#[test]
fn adjacent_hot_keys_get_separate_owners() {
    let candidates = candidates(&[0.1; 16]);
    let mut table = table(&candidates);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    for key in 50_000..50_006 {
        add(&mut demand, key, 26.0);
    }
    for key in (0..65_000).step_by(500) {
        add(&mut demand, key + 7, 1.0);
    }
    rebalance(&mut table, &candidates, &demand, 3);
    let utilizations = utilizations(&table, &candidates, &demand);
    assert!(utilizations.iter().all(|used| *used < 1.0), "{utilizations:?}");
}

/// Many targets are added while one key is hot. Guards against assigning the hot key to each new
/// target in turn, which leaves all but the last without keys.
#[test]
fn new_targets_do_not_take_the_hot_key_from_each_other() {
    let old = candidates(&[0.1; 16]);
    let mut table = table(&old);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    add(&mut demand, 30_000, 80.0);
    for key in (0..65_000).step_by(130) {
        add(&mut demand, key, 0.5);
    }
    let owner = table.find(30_000).unwrap().owner.clone();
    let all = candidates(&[0.1; 24]);
    rebalance(&mut table, &all, &demand, 2);
    assert_eq!(table.find(30_000).unwrap().owner, owner);
    let rates = plan::rates(&table, &demand);
    for new in &all[16..] {
        let rate = rates.get(&new.incarnation).copied().unwrap_or(0.0);
        assert!(rate > 4.0, "{} gets {rate} requests per second", new.incarnation.id);
    }
}

/// Targets start one after the other before the first request. Guards against targets that join
/// after the first assignment of keys and get no keys until the others are overloaded.
#[test]
fn targets_that_join_before_any_request_share_the_keys() {
    let mut table = table(&candidates(&[0.1; 7]));
    let all = candidates(&[0.1; 16]);
    rebalance(&mut table, &all, &Demand::new(MOVES_TIME_CONSTANT), 1);
    for candidate in &all {
        let own = table.holdings.iter().filter(|holding| holding.owner == candidate.incarnation);
        let keys: u32 = own.map(caraway_fleet::ownership::Holding::len).sum();
        assert!(keys > 2000, "{} has {keys} keys", candidate.incarnation.id);
    }
}

/// A target is lost. No other target may take over its whole load.
#[test]
fn the_load_of_a_lost_target_is_divided() {
    let all = candidates(&[0.1; 4]);
    let mut table = table(&all);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    for key in (0..65_000).step_by(130) {
        add(&mut demand, key, 0.2);
    }
    let left: Vec<Candidate> = all[1..].to_vec();
    for key_move in plan::repair(&table, &left, &demand) {
        table.apply(&key_move);
    }
    let utilizations = utilizations(&table, &left, &demand);
    let highest = utilizations.iter().copied().fold(0.0, f64::max);
    let mean = utilizations.iter().sum::<f64>() / 3.0;
    assert!(highest < mean * 1.3, "{utilizations:?}");
    assert!(table.unowned_ranges().is_empty());
}

/// A hot key exceeds its owner's capacity. The share that the owner can serve is admitted evenly,
/// and everything is admitted once there is free capacity.
#[test]
fn a_throttle_admits_the_sustainable_share() {
    let share = |rate| admission::sustainable_share(rate, ADMISSION_TIME_CONSTANT, 0.1, 4.0);
    let sustainable = share(80.0);
    assert!((sustainable - 0.46).abs() < 0.001, "{sustainable}");
    let mut throttle = Throttle::default();
    let admitted = (0..1000).filter(|_| throttle.admit(sustainable, 0.0)).count();
    assert!((455..=465).contains(&admitted), "{admitted}");
    assert!((0..100).all(|_| throttle.admit(share(30.0), 0.0)));
}

/// Refused requests are retried and counted again. Throttling must end once the owner has free
/// capacity. An owner that stayed throttled refused a seventh of all requests for a day.
#[test]
fn retried_requests_do_not_keep_an_owner_throttled() {
    let suggested = admission::sustainable_share(90.0, ADMISSION_TIME_CONSTANT, 0.1, 4.0);
    let mut share = 1.0;
    for _ in 0..4 {
        share = admission::adjust_share(share, 13.0, 4.0, suggested);
    }
    assert!(share < 0.5, "{share}");
    for _ in 0..8 {
        share = admission::adjust_share(share, 7.0, 4.0, suggested);
    }
    assert!((share - 1.0).abs() < 1e-9, "{share}");
    // Between the two thresholds the share stays the same, so that it does not oscillate.
    assert!((admission::adjust_share(0.6, 10.0, 4.0, suggested) - 0.6).abs() < 1e-9);
}

/// Many owners have a moderate load that is estimated from few requests. Random variation must not
/// cause refusals. On a fleet of 166 owners it refused a tenth of the requests.
#[test]
fn random_variation_refuses_no_requests() {
    // 70% of the capacity is 28 requests per second. One second in forty has 39 or more.
    assert!(
        (admission::sustainable_share(42.0, ADMISSION_TIME_CONSTANT, 0.1, 4.0) - 1.0).abs() < 1e-9
    );
    assert!(admission::sustainable_share(70.0, ADMISSION_TIME_CONSTANT, 0.1, 4.0) < 0.6);
}

/// An owner was overloaded for a moment, and each of a hundred instances sends it a request once in
/// ten seconds. The backoff must end within seconds. A backoff that counts answers lasted a minute.
#[test]
fn the_backoff_from_an_overloaded_owner_ends_within_seconds() {
    let at = Stamp::from_millis;
    let mut estimate = estimate(0.1, 0);
    for _ in 0..6 {
        estimate.record_overload(at(1000));
    }
    let is_admitted = |estimate: &mut Estimate, at| estimate.admit(0.0, at) == Admission::Admitted;
    let admitted = (0..100).filter(|_| is_admitted(&mut estimate, at(1000))).count();
    assert!(admitted < 40, "{admitted}");
    assert!(!estimate.is_unthrottled(at(1000)));
    assert!((0..20).all(|_| is_admitted(&mut estimate, at(5000))));
    assert!(estimate.is_unthrottled(at(5000)));
}

/// An instance is lost while its requests are in flight at an owner. Guards against counting these
/// requests further, which kept the owner throttled until the instance returned.
#[test]
fn requests_of_a_lost_instance_do_not_throttle_an_owner() {
    let at = Stamp::from_millis;
    let mut reports = Reports::default();
    let (target, lost, other): (Arc<str>, Arc<str>, Arc<str>) =
        ("t".into(), "lost".into(), "other".into());
    reports.add_load(&lost, &target, 14, (0, 0.0), at(1000));
    reports.add_load(&other, &target, 2, (0, 0.0), at(1000));
    assert_eq!(reports.in_flight("t", at(1500)), 16);
    reports.add_load(&other, &target, 3, (0, 0.0), at(3500));
    assert_eq!(reports.in_flight("t", at(3600)), 3);
}

/// Instances are replaced every day and their entries remain. Guards against a share of the retries
/// and of the owners' queues that stays reserved for instances that are gone.
#[test]
fn an_instance_without_reports_becomes_stale() {
    let at = Stamp::from_millis;
    let mut reports = Reports::default();
    let names: Vec<Arc<str>> = vec!["here".into(), "gone".into(), "never".into()];
    reports.mark_reported(&names[0], at(100_000));
    reports.mark_reported(&names[1], at(30_000));
    let stale = |now| reports.stale_instances(names.iter(), at(20_000), at(now));
    assert!(stale(79_000).is_empty());
    assert_eq!(stale(85_000), vec![names[2].clone()]);
    assert_eq!(stale(100_000), names[1..].to_vec());
}

/// The owner of some keys is lost, and the keys are served again only after its grants have
/// expired. The first requests wait briefly as for a move, later ones are refused at once.
#[test]
fn requests_for_keys_without_an_owner_are_refused_after_a_short_wait() {
    let mut ranges = Ranges::default();
    let (service, other): (Arc<str>, Arc<str>) = ("s".into(), "t".into());
    let at = Stamp::from_millis;
    assert_eq!(ranges.remaining_wait(&service, 100, at(0)), unowned::MAX_WAIT);
    assert_eq!(
        ranges.remaining_wait(&service, 100, at(500)),
        unowned::MAX_WAIT - Duration::from_millis(500)
    );
    assert_eq!(ranges.remaining_wait(&service, 100, at(3000)), Duration::ZERO);
    assert_eq!(ranges.remaining_wait(&service, 200, at(3000)), unowned::MAX_WAIT);
    assert_eq!(ranges.remaining_wait(&other, 100, at(3000)), unowned::MAX_WAIT);
    // A later outage of the same keys is independent of this one.
    ranges.mark_served(&service, 100);
    assert_eq!(ranges.remaining_wait(&service, 100, at(4000)), unowned::MAX_WAIT);
    assert_eq!(ranges.remaining_wait(&service, 100, at(60_000)), unowned::MAX_WAIT);
}

/// A key becomes hot before any instance has counted it. All instances together must stay within
/// the queue of the target.
#[yare::parameterized(
    andina = { 4, 19, 1 },
    thurgau = { 3, 16, 1 },
    few_instances = { 4, 3, 4 },
    alone = { 4, 1, 12 },
    many_instances = { 4, 102, 1 },
)]
fn instances_divide_the_queue_of_an_owner(slots: u32, instances: usize, expected: u32) {
    assert_eq!(admission::in_flight_limit(slots, instances), expected);
}

/// Many instances keep idle connections to a target that accepts a fixed number from all of them.
#[yare::parameterized(
    andina = { 232, 19, 2 },
    grown = { 701, 102, 2 },
    many_instances = { 232, 100, 1 },
    more_than_connections = { 232, 300, 0 },
    alone = { 1, 1, 0 },
)]
fn idle_connections_stay_within_what_a_target_accepts(
    accepted: usize,
    instances: usize,
    limit: usize,
) {
    assert_eq!(admission::idle_connections(accepted, instances), limit);
    assert!(admission::idle_connections(accepted, instances) * instances * 2 <= accepted);
}

fn estimate(seconds: f64, running: u32) -> Estimate {
    let mut estimate = Estimate::default();
    estimate.service_time = seconds;
    for _ in 0..running {
        estimate.begin(4, Stamp::from_millis(1));
    }
    estimate
}

/// Returns a candidate for a latency objective of half a second.
fn candidate(estimate: &Estimate, cross_domain_kb: f64, now: Stamp) -> load::Candidate {
    let latency_ratio = estimate.expected_time(4, 0.1, now) * estimate.failure_penalty() / 0.5;
    load::Candidate { latency_ratio, utilization: estimate.occupancy(now) / 4.0, cross_domain_kb }
}

/// Large answers stay in the failure domain of the instance until a queue there would make them
/// late.
#[test]
fn large_answers_stay_in_the_domain_until_there_is_a_queue() {
    let now = Stamp::from_millis(10);
    let remote = candidate(&estimate(0.1, 0), 90.0, now);
    let pick =
        |running| choose(&[candidate(&estimate(0.1, running), 0.0, now), remote], &mut || 0.0);
    assert_eq!(pick(0), Some(0));
    assert_eq!(pick(3), Some(0));
    assert_eq!(pick(12), Some(1));
}

/// Small answers stay in the failure domain while all targets have slack, although a target
/// elsewhere is faster, and leave it before a queue makes them late.
#[test]
fn small_answers_stay_in_the_domain_while_there_is_slack() {
    let now = Stamp::from_millis(10);
    let remote = candidate(&estimate(0.05, 0), 5.0, now);
    let pick =
        |running| choose(&[candidate(&estimate(0.12, running), 0.0, now), remote], &mut || 0.0);
    assert_eq!(pick(0), Some(0));
    assert_eq!(pick(4), Some(1));
}

/// A target refuses or fails requests while its health check passes.
#[test]
fn a_failing_target_gets_fewer_requests() {
    let now = Stamp::from_millis(10);
    let mut bad = estimate(0.1, 0);
    for _ in 0..10 {
        let slowdown = bad.begin(4, now);
        bad.end(Outcome::Failed, Duration::from_millis(1), slowdown, now);
    }
    let good = estimate(0.1, 3);
    let candidates = [candidate(&bad, 0.0, now), candidate(&good, 0.0, now)];
    assert_eq!(choose(&candidates, &mut || 0.0), Some(1));
    // The target is used again once it answers.
    for _ in 0..30 {
        let slowdown = bad.begin(4, now);
        bad.end(Outcome::Answered, Duration::from_millis(100), slowdown, now);
    }
    let candidates = [candidate(&bad, 0.0, now), candidate(&good, 0.0, now)];
    assert_eq!(choose(&candidates, &mut || 0.0), Some(0));
}

/// A target fails all orders while its health check passes, and each instance of a large fleet uses
/// it only once in many seconds. The outcomes on the other instances must count.
#[test]
fn a_target_that_fails_for_other_instances_gets_fewer_requests() {
    let now = Stamp::from_millis(10);
    let mut bad = estimate(0.1, 0);
    bad.fleet_failure_ratio = 0.8;
    let busy = estimate(0.1, 7);
    let candidates = [candidate(&bad, 0.0, now), candidate(&busy, 0.0, now)];
    assert_eq!(choose(&candidates, &mut || 0.0), Some(1));
}

/// A target has become slow. Its service time is estimated from few requests, without the time in
/// the queue.
#[test]
fn a_slow_target_is_detected_from_a_few_answers() {
    let now = Stamp::from_millis(10);
    let mut slow = estimate(0.1, 0);
    for _ in 0..5 {
        let slowdown = slow.begin(4, now);
        slow.end(Outcome::Answered, Duration::from_millis(800), slowdown, now);
    }
    let normal = estimate(0.1, 5);
    let candidates = [candidate(&slow, 0.0, now), candidate(&normal, 0.0, now)];
    assert_eq!(choose(&candidates, &mut || 0.0), Some(1));
    let mut queued = estimate(0.1, 11);
    let slowdown = queued.begin(4, now);
    queued.end(Outcome::Answered, Duration::from_millis(300), slowdown, now);
    assert!((queued.service_time - 0.1).abs() < 0.01, "{}", queued.service_time);
}

/// A key owner is overloaded by other instances. Guards against counting the queueing time as
/// service time, which makes the owner appear slow, so that it gets less than it can serve.
#[test]
fn queueing_behind_other_instances_does_not_raise_the_service_time() {
    let now = Stamp::from_millis(10);
    let mut crowded = estimate(0.1, 0);
    for _ in 0..30 {
        let slowdown = crowded.begin(4, now);
        crowded.record_report(4, 8, 4, now);
        crowded.end(Outcome::Answered, Duration::from_millis(300), slowdown, now);
    }
    assert!((crowded.service_time - 0.1).abs() < 0.02, "{}", crowded.service_time);
}

/// A target is unreachable. It is ejected for a longer time after each failure and used again at
/// the end of it.
#[test]
fn an_unreachable_target_is_ejected_with_backoff() {
    let mut estimate = estimate(0.1, 0);
    let at = Stamp::from_millis;
    let slowdown = estimate.begin(4, at(0));
    estimate.end(Outcome::Unreachable, Duration::ZERO, slowdown, at(0));
    assert!(!estimate.is_usable(at(400)));
    assert!(estimate.is_usable(at(500)));
    let slowdown = estimate.begin(4, at(500));
    estimate.end(Outcome::Unreachable, Duration::ZERO, slowdown, at(500));
    assert!(!estimate.is_usable(at(1400)));
    assert!(estimate.is_usable(at(1500)));
}

/// Load reports of a target lose their weight with age.
#[test]
fn old_load_reports_lose_weight() {
    let mut estimate = estimate(0.1, 0);
    estimate.record_report(4, 8, 4, Stamp::from_millis(100));
    assert!(estimate.occupancy(Stamp::from_millis(100)) > 11.9);
    assert!(estimate.occupancy(Stamp::from_millis(400)) < 6.1);
    assert!(estimate.occupancy(Stamp::from_millis(700)) < 0.1);
}
