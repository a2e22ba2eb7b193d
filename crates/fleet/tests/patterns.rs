//! Patterns of load, each with what the fleet does about it.

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

fn life(index: usize) -> Incarnation {
    Incarnation { id: format!("t{index:02}").into(), born: 1 }
}

fn candidates(times: &[f64]) -> Vec<Candidate> {
    let candidate = |(index, time): (usize, &f64)| Candidate {
        incarnation: life(index),
        slots: 4.0,
        service_time: *time,
    };
    times.iter().enumerate().map(candidate).collect()
}

fn table(candidates: &[Candidate]) -> Table {
    let mut table = Table::default();
    for step in plan::repair(&table, candidates, &Demand::new(MOVES_TIME_CONSTANT)) {
        table.apply(&step);
    }
    table
}

/// Adds requests a second for a key.
fn add(demand: &mut Demand, key: u16, rate: f64) {
    demand.add(key, rate * MOVES_TIME_CONSTANT.as_secs_f64());
}

fn uses(table: &Table, candidates: &[Candidate], demand: &Demand) -> Vec<f64> {
    let rates = plan::rates(table, demand);
    let of = |c: &Candidate| {
        rates.get(&c.incarnation).copied().unwrap_or(0.0) * c.service_time / c.slots
    };
    candidates.iter().map(of).collect()
}

fn rebalance(table: &mut Table, candidates: &[Candidate], demand: &Demand, steps: usize) -> usize {
    let mut count = 0;
    for _ in 0..steps {
        for step in balance::balance(table, candidates, demand) {
            table.apply(&step);
            count += 1;
        }
    }
    count
}

/// Pattern: the busy keys are close to one another, so one target has most of the load.
#[test]
fn a_busy_neighborhood_spreads_within_two_steps() {
    let candidates = candidates(&[0.1; 16]);
    let mut table = table(&candidates);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    for key in 50_000..50_400 {
        add(&mut demand, key, 1.0);
    }
    assert!(uses(&table, &candidates, &demand).iter().any(|used| *used > 5.0));
    rebalance(&mut table, &candidates, &demand, 2);
    let uses = uses(&table, &candidates, &demand);
    // 400 requests of 0.1 s a second on 64 slots use 62%.
    assert!(uses.iter().all(|used| *used < 1.0), "{uses:?}");
}

/// Pattern: one key is asked for more often than any target can answer. It stays, alone.
#[test]
fn a_key_that_fills_its_owner_stays_and_its_neighbors_leave() {
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
    assert!(rest < 4.0, "{rest} requests a second beside the hot key");
    let again = rebalance(&mut table, &candidates, &demand, 4);
    assert!(again <= 2, "{again} moves of a settled state");
}

/// Pattern: a hot key on a slow target while a much faster one is idle.
#[test]
fn a_hot_key_moves_to_a_much_faster_target_once() {
    let candidates = candidates(&[0.2, 0.1, 0.2, 0.2]);
    let mut table = table(&candidates);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    let key = table.holdings.iter().find(|h| h.owner == life(0)).unwrap().first;
    add(&mut demand, key, 18.0);
    rebalance(&mut table, &candidates, &demand, 3);
    assert_eq!(table.find(key).unwrap().owner, life(1));
    assert_eq!(rebalance(&mut table, &candidates, &demand, 3), 0);
}

/// Pattern: even, low load. Moves would only interrupt requests.
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

/// Pattern: a target is added while the others have room. It must not stay unused.
#[test]
fn a_new_target_gets_a_part_of_the_load() {
    let old = candidates(&[0.1; 4]);
    let mut table = table(&old);
    let new = candidates(&[0.1; 5]);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    for key in (0..60_000).step_by(500) {
        add(&mut demand, key, 0.2);
    }
    rebalance(&mut table, &new, &demand, 1);
    let rate = plan::rates(&table, &demand).get(&life(4)).copied().unwrap_or(0.0);
    assert!(rate > 1.0, "{rate}");
}

/// Pattern: most of the demand is in a part of the keys, on a large fleet of fast and slow targets that
/// start one after the other, and the demand is known only from counted requests. The fleet had stopped
/// moving keys after four seconds, with a tenth of the owners at twice their capacity and a quarter
/// almost idle.
#[test]
fn skewed_demand_on_many_targets_evens_out() {
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
    let uses = uses(&table, &candidates, &actual);
    let most = uses.iter().copied().fold(0.0, f64::max);
    let mean = 1550.0 / candidates.iter().map(|c| c.slots / c.service_time).sum::<f64>();
    assert!(most < 1.0, "the busiest is used {most}, the mean is {mean}");
    let most = candidates.len() * 6;
    assert!(table.holdings.len() <= most, "{} holdings", table.holdings.len());
    let late: usize = moves[12..].iter().sum();
    assert!(late < 166, "moves of a settled state: {moves:?}");
}

/// Pattern: the busy keys change all the time. The moves leave more and more holdings behind, and at
/// their limit nothing could be moved any more.
#[test]
fn demand_that_wanders_never_ends_the_balance() {
    let candidates = candidates(&[0.1; 24]);
    let mut table = table(&candidates);
    for place in 0..60_u32 {
        let mut demand = Demand::new(MOVES_TIME_CONSTANT);
        for index in 0..3000_u32 {
            let key = u16::try_from((place * 7919 + index * 5) % 65_536).unwrap();
            add(&mut demand, key, 0.2 / (1.0 + f64::from(index) / 500.0));
        }
        rebalance(&mut table, &candidates, &demand, 4);
        let uses = uses(&table, &candidates, &demand);
        let most = uses.iter().copied().fold(0.0, f64::max);
        assert!(most < 0.9, "place {place}: the busiest is used {most}");
        let count = table.holdings.len();
        assert!(count <= candidates.len() * 6 + 32, "place {place}: {count} holdings");
        table.holdings.iter_mut().for_each(|holding| holding.earlier.clear());
        table.merge_adjacent();
    }
}

/// Pattern: requests start, or one key becomes hot, after a quiet time. Counts that are steady enough for
/// moves had shown it only after three seconds. After one second at least half of it is to be seen.
#[test]
fn new_demand_is_seen_within_a_second() {
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
        let lifted = steady.with_surges(&newer);
        (lifted.rate(9, 9), lifted.rate(1000, 1100))
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

/// Pattern: several keys are hot at the same time and next to each other. Each of them fills half of a
/// target, so no two may stay together.
#[test]
fn neighboring_hot_keys_get_owners_of_their_own() {
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
    let uses = uses(&table, &candidates, &demand);
    assert!(uses.iter().all(|used| *used < 1.0), "{uses:?}");
}

/// Pattern: many targets are added while one key is hot. All of them had been given the hot key, one
/// after the other, and had nothing in the end.
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
        assert!(rate > 4.0, "{} gets {rate} requests a second", new.incarnation.id);
    }
}

/// Pattern: targets start one after the other, before the first request. Those that came after the
/// first division of the keys had nothing until the others were overloaded.
#[test]
fn targets_that_come_before_any_request_share_the_keys() {
    let mut table = table(&candidates(&[0.1; 7]));
    let all = candidates(&[0.1; 16]);
    rebalance(&mut table, &all, &Demand::new(MOVES_TIME_CONSTANT), 1);
    for candidate in &all {
        let own = table.holdings.iter().filter(|holding| holding.owner == candidate.incarnation);
        let keys: u32 = own.map(caraway_fleet::ownership::Holding::len).sum();
        assert!(keys > 2000, "{} has {keys} keys", candidate.incarnation.id);
    }
}

/// Pattern: a target is lost. No other gets all of its load.
#[test]
fn the_load_of_a_lost_target_is_divided() {
    let all = candidates(&[0.1; 4]);
    let mut table = table(&all);
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    for key in (0..65_000).step_by(130) {
        add(&mut demand, key, 0.2);
    }
    let left: Vec<Candidate> = all[1..].to_vec();
    for step in plan::repair(&table, &left, &demand) {
        table.apply(&step);
    }
    let uses = uses(&table, &left, &demand);
    let most = uses.iter().copied().fold(0.0, f64::max);
    let mean = uses.iter().sum::<f64>() / 3.0;
    assert!(most < mean * 1.3, "{uses:?}");
    assert!(table.unowned_ranges().is_empty());
}

/// Pattern: a hot key beyond its owner's capacity. The share that can be served is let through,
/// evenly, and everything is let through as soon as there is room.
#[test]
fn a_gate_lets_the_served_share_through() {
    let share = |rate| admission::sustainable_share(rate, ADMISSION_TIME_CONSTANT, 0.1, 4.0);
    let served = share(80.0);
    assert!((served - 0.46).abs() < 0.001, "{served}");
    let mut gate = Throttle::default();
    let admitted = (0..1000).filter(|_| gate.admit(served)).count();
    assert!((455..=465).contains(&admitted), "{admitted}");
    assert!((0..100).all(|_| gate.admit(share(30.0))));
}

/// Pattern: refused requests come back and are counted again. Rationing ends all the same when the
/// owner has room: it had refused a seventh of all requests for a whole day.
#[test]
fn returning_requests_do_not_keep_an_owner_rationed() {
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
    // Between the two bounds it stays, so that it does not swing.
    assert!((admission::adjust_share(0.6, 10.0, 4.0, suggested) - 0.6).abs() < 1e-9);
}

/// Pattern: many owners with moderate load, each counted from some requests. Chance alone must not
/// refuse any: on a fleet of 166 owners it refused a tenth of the requests.
#[test]
fn a_busy_second_of_an_owner_refuses_nothing() {
    // 70% of the capacity is 28 requests a second; one second in forty has 39 or more.
    assert!(
        (admission::sustainable_share(42.0, ADMISSION_TIME_CONSTANT, 0.1, 4.0) - 1.0).abs() < 1e-9
    );
    assert!(admission::sustainable_share(70.0, ADMISSION_TIME_CONSTANT, 0.1, 4.0) < 0.6);
}

/// Pattern: an owner was full for a moment, and each of a hundred instances asks it once in ten seconds.
/// It gets everything again after some seconds; counted by answers it was rationed for a minute.
#[test]
fn an_owner_that_was_full_gets_everything_again_soon() {
    let at = Stamp::from_millis;
    let mut gauge = gauge(0.1, 0);
    for _ in 0..6 {
        gauge.record_overload(at(1000));
    }
    let through = |gauge: &mut Estimate, at| gauge.admit(at) == Admission::Admitted;
    let admitted = (0..100).filter(|_| through(&mut gauge, at(1000))).count();
    assert!(admitted < 40, "{admitted}");
    assert!(!gauge.is_unthrottled(at(1000)));
    assert!((0..20).all(|_| through(&mut gauge, at(5000))));
    assert!(gauge.is_unthrottled(at(5000)));
}

/// Pattern: an instance is lost while its requests are at an owner. They are no longer counted; they had
/// kept the owner rationed until the instance came back.
#[test]
fn requests_of_a_lost_instance_do_not_ration_an_owner() {
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

/// Pattern: instances are replaced every day and their entries stay. Each had kept a part of the repeats
/// and of the owners' queues that nobody used.
#[test]
fn an_instance_without_reports_is_taken_for_gone() {
    let at = Stamp::from_millis;
    let mut reports = Reports::default();
    let names: Vec<Arc<str>> = vec!["here".into(), "gone".into(), "never".into()];
    reports.mark_reported(&names[0], at(100_000));
    reports.mark_reported(&names[1], at(30_000));
    let silent = |now| reports.stale_instances(names.iter(), at(20_000), at(now));
    assert!(silent(79_000).is_empty());
    assert_eq!(silent(85_000), vec![names[2].clone()]);
    assert_eq!(silent(100_000), names[1..].to_vec());
}

/// Pattern: the owner of some keys is lost, and they come back only when its grants have run out. Those
/// who ask first wait for a moment, as for a move; who asks later is told at once.
#[test]
fn keys_that_stay_without_an_owner_are_refused_at_once() {
    let mut gaps = Ranges::default();
    let (service, other): (Arc<str>, Arc<str>) = ("s".into(), "t".into());
    let at = Stamp::from_millis;
    assert_eq!(gaps.remaining_wait(&service, 100, at(0)), unowned::MAX_WAIT);
    assert_eq!(
        gaps.remaining_wait(&service, 100, at(500)),
        unowned::MAX_WAIT - Duration::from_millis(500)
    );
    assert_eq!(gaps.remaining_wait(&service, 100, at(3000)), Duration::ZERO);
    assert_eq!(gaps.remaining_wait(&service, 200, at(3000)), unowned::MAX_WAIT);
    assert_eq!(gaps.remaining_wait(&other, 100, at(3000)), unowned::MAX_WAIT);
    // The next time that they move is another matter.
    gaps.mark_served(&service, 100);
    assert_eq!(gaps.remaining_wait(&service, 100, at(4000)), unowned::MAX_WAIT);
    assert_eq!(gaps.remaining_wait(&service, 100, at(60_000)), unowned::MAX_WAIT);
}

/// Pattern: the same, in the second before anybody has counted it. All instances together stay
/// within what a target queues.
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

/// Pattern: many instances, each with idle connections to a target that accepts a fixed number from all.
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
    kept: usize,
) {
    assert_eq!(admission::idle_connections(accepted, instances), kept);
    assert!(admission::idle_connections(accepted, instances) * instances * 2 <= accepted);
}

fn gauge(seconds: f64, running: u32) -> Estimate {
    let mut gauge = Estimate::default();
    gauge.service_time = seconds;
    for _ in 0..running {
        gauge.begin(4, Stamp::from_millis(1));
    }
    gauge
}

/// Returns the choice of a target for an answer that has its full value within half a second.
fn choice(gauge: &Estimate, distant_kb: f64, now: Stamp) -> load::Candidate {
    let expected = gauge.expected_time(4, 0.1, now) * gauge.failure_penalty() / 0.5;
    load::Candidate {
        latency_ratio: expected,
        utilization: gauge.occupancy(now) / 4.0,
        cross_domain_kb: distant_kb,
    }
}

/// Pattern: large answers. A target of the own failure domain is chosen until its queue would make the
/// answer late.
#[test]
fn large_answers_stay_in_the_domain_until_there_is_a_queue() {
    let now = Stamp::from_millis(10);
    let far = choice(&gauge(0.1, 0), 90.0, now);
    let pick = |running| choose(&[choice(&gauge(0.1, running), 0.0, now), far], &mut || 0.0);
    assert_eq!(pick(0), Some(0));
    assert_eq!(pick(3), Some(0));
    assert_eq!(pick(12), Some(1));
}

/// Pattern: small answers. They stay in the domain while all targets have time to spare, though one
/// elsewhere is faster, and leave it before a queue makes them late.
#[test]
fn small_answers_stay_in_the_domain_while_there_is_time_to_spare() {
    let now = Stamp::from_millis(10);
    let far = choice(&gauge(0.05, 0), 5.0, now);
    let pick = |running| choose(&[choice(&gauge(0.12, running), 0.0, now), far], &mut || 0.0);
    assert_eq!(pick(0), Some(0));
    assert_eq!(pick(4), Some(1));
}

/// Pattern: a target sheds or fails while its health is good.
#[test]
fn a_target_that_fails_gets_less() {
    let now = Stamp::from_millis(10);
    let mut bad = gauge(0.1, 0);
    for _ in 0..10 {
        let rounds = bad.begin(4, now);
        bad.end(Outcome::Failed, Duration::from_millis(1), rounds, now);
    }
    let good = gauge(0.1, 3);
    let choices = [choice(&bad, 0.0, now), choice(&good, 0.0, now)];
    assert_eq!(choose(&choices, &mut || 0.0), Some(1));
    // It comes back once it answers.
    for _ in 0..30 {
        let rounds = bad.begin(4, now);
        bad.end(Outcome::Answered, Duration::from_millis(100), rounds, now);
    }
    let choices = [choice(&bad, 0.0, now), choice(&good, 0.0, now)];
    assert_eq!(choose(&choices, &mut || 0.0), Some(0));
}

/// Pattern: a target fails all orders while its health is good, and each instance of a large fleet
/// uses it once in many seconds. What the others saw counts.
#[test]
fn a_target_that_fails_for_others_gets_less() {
    let now = Stamp::from_millis(10);
    let mut bad = gauge(0.1, 0);
    bad.fleet_failure_ratio = 0.8;
    let busy = gauge(0.1, 7);
    let choices = [choice(&bad, 0.0, now), choice(&busy, 0.0, now)];
    assert_eq!(choose(&choices, &mut || 0.0), Some(1));
}

/// Pattern: a target turned slow. Its time is found from few requests, waiting left out.
#[test]
fn a_slow_target_is_found_from_its_answers() {
    let now = Stamp::from_millis(10);
    let mut slow = gauge(0.1, 0);
    for _ in 0..5 {
        let rounds = slow.begin(4, now);
        slow.end(Outcome::Answered, Duration::from_millis(800), rounds, now);
    }
    let normal = gauge(0.1, 5);
    let choices = [choice(&slow, 0.0, now), choice(&normal, 0.0, now)];
    assert_eq!(choose(&choices, &mut || 0.0), Some(1));
    let mut queued = gauge(0.1, 11);
    let rounds = queued.begin(4, now);
    queued.end(Outcome::Answered, Duration::from_millis(300), rounds, now);
    assert!((queued.service_time - 0.1).abs() < 0.01, "{}", queued.service_time);
}

/// Pattern: an owner of keys is crowded by other instances. Its time was taken for the time of its
/// requests with their waiting, so it counted as slow and got less than it can serve.
#[test]
fn waiting_behind_requests_of_others_does_not_make_a_target_slow() {
    let now = Stamp::from_millis(10);
    let mut crowded = gauge(0.1, 0);
    for _ in 0..30 {
        let rounds = crowded.begin(4, now);
        crowded.record_report(4, 8, 4, now);
        crowded.end(Outcome::Answered, Duration::from_millis(300), rounds, now);
    }
    assert!((crowded.service_time - 0.1).abs() < 0.02, "{}", crowded.service_time);
}

/// Pattern: a target cannot be reached. It is left out for longer each time, and used at once when
/// it answers again.
#[test]
fn an_unreached_target_is_left_out_for_a_while() {
    let mut gauge = gauge(0.1, 0);
    let at = Stamp::from_millis;
    let rounds = gauge.begin(4, at(0));
    gauge.end(Outcome::Unreachable, Duration::ZERO, rounds, at(0));
    assert!(!gauge.is_usable(at(400)));
    assert!(gauge.is_usable(at(500)));
    let rounds = gauge.begin(4, at(500));
    gauge.end(Outcome::Unreachable, Duration::ZERO, rounds, at(500));
    assert!(!gauge.is_usable(at(1400)));
    assert!(gauge.is_usable(at(1500)));
}

/// Pattern: reports of a target's load are old. They stop counting.
#[test]
fn old_reports_of_load_fade() {
    let mut gauge = gauge(0.1, 0);
    gauge.record_report(4, 8, 4, Stamp::from_millis(100));
    assert!(gauge.occupancy(Stamp::from_millis(100)) > 11.9);
    assert!(gauge.occupancy(Stamp::from_millis(400)) < 6.1);
    assert!(gauge.occupancy(Stamp::from_millis(700)) < 0.1);
}
