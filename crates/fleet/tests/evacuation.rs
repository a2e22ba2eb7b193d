//! Evacuations of failure domains.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_fleet::balance;
use caraway_fleet::demand::Demand;
use caraway_fleet::demand::MOVES_TIME_CONSTANT;
use caraway_fleet::evacuation::Batches;
use caraway_fleet::evacuation::Change;
use caraway_fleet::evacuation::Evacuations;
use caraway_fleet::evacuation::Service;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::ownership::Move;
use caraway_fleet::ownership::Table;
use caraway_fleet::plan;
use caraway_fleet::plan::Candidate;

const BOUND: Duration = Duration::from_secs(5);
/// Interval in which the coordinator plans moves.
const PLAN_MILLIS: u64 = 240;

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(1_000_000 + millis)
}

fn known() -> Evacuations {
    Evacuations::new(Some(BOUND))
}

/// Returns a target; its domain is the first letter of its id.
fn candidate(domain: &str, index: usize) -> Candidate {
    let incarnation = Incarnation { id: format!("{domain}{index}").into(), born: 1 };
    Candidate { incarnation, slots: 4.0, service_time: 0.1 }
}

fn is_leaving(incarnation: &Incarnation) -> bool {
    incarnation.id.starts_with('x')
}

/// Returns the targets of four domains, of which `x` is evacuated, and a table with several
/// holdings for each.
fn fleet(per_domain: usize) -> (Vec<Candidate>, Vec<Candidate>, Table, Demand) {
    let all: Vec<Candidate> = ["a", "b", "c", "x"]
        .iter()
        .flat_map(|domain| (0..per_domain).map(|index| candidate(domain, index)))
        .collect();
    let receivers: Vec<Candidate> =
        all.iter().filter(|target| !is_leaving(&target.incarnation)).cloned().collect();
    let mut demand = Demand::new(MOVES_TIME_CONSTANT);
    let mut table = Table::default();
    for key_move in plan::repair(&table, &all, &demand) {
        table.apply(&key_move);
    }
    for (index, holding) in table.holdings.iter().enumerate() {
        // Holdings differ in their demand.
        demand.add(holding.first, f64::from(u32::try_from(index % 37).unwrap()));
    }
    (all, receivers, table, demand)
}

/// Guards against keys that have not moved by the bound, batches that overload the receivers, and
/// busy keys that are interrupted first.
#[yare::parameterized(few = { 1 }, some = { 4 }, many = { 33 })]
fn keys_move_in_batches_with_the_busiest_last(per_domain: usize) {
    let (all, receivers, mut table, demand) = fleet(per_domain);
    let mut evacuations = known();
    assert!(evacuations.begin("x", (0, 7), at(0), true).is_some());
    let mut batches = Batches::default();
    let name: Arc<str> = "keyed".into();
    let (mut rates, mut sizes) = (Vec::new(), Vec::new());
    let mut last_move = 0;
    for millis in (300..5000).step_by(usize::try_from(PLAN_MILLIS).unwrap()) {
        let service =
            Service { name: &name, table: &table, receivers: &receivers, demand: &demand };
        let moves = batches.next(service, &is_leaving, &evacuations, at(millis));
        if moves.is_empty() {
            continue;
        }
        last_move = millis;
        sizes.push(moves.len());
        let batch: Vec<f64> = moves.iter().map(|m| demand.rate(m.first, m.last)).collect();
        rates.push(batch.iter().sum::<f64>());
        let coldest_left = |table: &Table| {
            let left = table.holdings.iter().filter(|holding| is_leaving(&holding.owner));
            left.map(|holding| demand.rate(holding.first, holding.last)).fold(f64::MAX, f64::min)
        };
        for key_move in &moves {
            assert!(!is_leaving(&key_move.to));
            table.apply(key_move);
        }
        let hottest_moved = batch.iter().copied().fold(0.0, f64::max);
        assert!(hottest_moved <= coldest_left(&table), "a busier key moved first");
    }
    assert!(!table.holdings.iter().any(|holding| is_leaving(&holding.owner)));
    assert!(last_move <= 2500, "the last keys moved after {last_move} ms");
    let total: usize = sizes.iter().sum();
    if per_domain >= 4 {
        assert!(sizes.len() >= 3, "{sizes:?}");
        assert!(sizes.iter().all(|size| *size * 2 <= total + 4), "{sizes:?}");
    }
    // No receiver gets much more than the others.
    let rates = plan::rates(&table, &demand);
    let mean: f64 = rates.values().sum::<f64>() / receivers.len() as f64;
    let highest = rates.values().copied().fold(0.0, f64::max);
    assert!(highest <= mean * 3.0, "{highest} of {mean} on average");
    assert_eq!(all.len(), per_domain * 4);
}

/// Guards against batches that follow each other at once, and against a new coordinator that takes
/// as long as if the evacuation had just begun.
#[test]
fn batches_are_spaced_and_count_from_the_start_of_the_evacuation() {
    let (_, receivers, table, demand) = fleet(8);
    let mut evacuations = known();
    evacuations.begin("x", (0, 7), at(0), true);
    let name: Arc<str> = "keyed".into();
    let service = Service { name: &name, table: &table, receivers: &receivers, demand: &demand };
    let mut batches = Batches::default();
    let first = batches.next(service, &is_leaving, &evacuations, at(100)).len();
    assert!(first > 0);
    assert!(batches.next(service, &is_leaving, &evacuations, at(200)).is_empty());
    assert!(!batches.next(service, &is_leaving, &evacuations, at(400)).is_empty());
    let mut later = Batches::default();
    let late = later.next(service, &is_leaving, &evacuations, at(1900)).len();
    assert!(late >= first * 4, "{first} at first and {late} later");
}

/// Guards against repairs that move all keys of an evacuated domain at once.
#[test]
fn repairs_leave_the_keys_of_an_evacuated_domain_to_the_batches() {
    let (_, receivers, table, demand) = fleet(4);
    assert!(!plan::repair(&table, &receivers, &demand).is_empty());
    assert!(plan::repair_except(&table, &receivers, &is_leaving, &demand).is_empty());
    let others: Vec<Candidate> = receivers[1..].to_vec();
    let lost = &receivers[0].incarnation;
    let repairs = plan::repair_except(&table, &others, &is_leaving, &demand);
    let lost_keys = table.holdings.iter().filter(|holding| holding.owner == *lost);
    assert!(repairs.len() >= lost_keys.count());
    assert!(repairs.iter().all(|repair| !is_leaving(&repair.to)));
}

/// Guards against requests to an evacuated domain near or after the bound. No message and no
/// response of the store is needed for it.
#[test]
fn a_domain_is_closed_a_second_before_the_bound_without_any_message() {
    let mut evacuations = known();
    assert!(!evacuations.is_closed("x", at(0)));
    evacuations.begin("x", (0, 7), at(0), true);
    assert!(evacuations.is_evacuated("x") && !evacuations.is_evacuated("a"));
    assert!(!evacuations.is_closed("x", at(3999)));
    assert!(evacuations.is_closed("x", at(4000)));
    assert!(evacuations.is_closed("x", at(60_000)));
    assert!(!evacuations.is_closed("a", at(60_000)));
    // The same entry, written again, does not extend the time.
    evacuations.begin("x", (0, 9), at(3000), true);
    assert!(evacuations.is_closed("x", at(4000)));
}

/// Guards against an instance that has just started and counts an old evacuation from its start.
#[test]
fn an_evacuation_of_unknown_age_closes_the_domain_at_once() {
    let mut evacuations = known();
    evacuations.begin("x", (0, 7), at(0), false);
    assert!(evacuations.is_closed("x", at(0)));
    // Another instance has seen it appear.
    let mut other = known();
    other.begin("x", (0, 7), at(100), true);
    for notice in other.notices(at(200)) {
        evacuations.merge(&notice, at(200));
    }
    assert!(!evacuations.is_closed("x", at(200)));
    assert!(evacuations.is_closed("x", at(4100)));
    // The unknown age does not spread to an instance that knows it.
    let mut unseen = known();
    unseen.begin("x", (0, 7), at(0), false);
    for notice in unseen.notices(at(300)) {
        other.merge(&notice, at(300));
    }
    assert!(!other.is_closed("x", at(300)));
}

/// Guards against late messages that start an evacuation again or end one.
#[test]
fn older_knowledge_does_not_replace_newer() {
    let mut ahead = known();
    ahead.begin("x", (0, 7), at(0), true);
    let old = ahead.notices(at(10));
    assert_eq!(ahead.end("x", (0, 9), at(1000)), Some(Change::Ended("x".into())));
    for notice in &old {
        assert_eq!(ahead.merge(notice, at(1500)), None);
    }
    assert!(!ahead.is_evacuated("x"));
    let mut behind = known();
    behind.merge(&old[0], at(1500));
    assert!(behind.is_evacuated("x"));
    for notice in ahead.notices(at(1600)) {
        assert_eq!(behind.merge(&notice, at(1600)), Some(Change::Ended("x".into())));
    }
    assert!(!behind.is_evacuated("x"));
    // A new era counts from the beginning.
    assert!(behind.begin("x", (1, 3), at(2000), true).is_some());
    assert_eq!(behind.end("x", (0, 50), at(2100)), None);
    assert!(behind.is_evacuated("x"));
}

/// Guards against an evacuation that never ends because its removal was missed, and against one
/// that an older read ends.
#[test]
fn a_complete_read_without_the_entry_ends_the_evacuation() {
    let mut evacuations = known();
    evacuations.begin("x", (0, 7), at(0), true);
    assert!(evacuations.retain(&|_| true, (0, 9), at(10)).is_empty());
    assert!(evacuations.retain(&|_| false, (0, 5), at(10)).is_empty());
    assert!(evacuations.is_evacuated("x"));
    assert_eq!(evacuations.retain(&|_| false, (0, 9), at(10)).len(), 1);
    assert!(!evacuations.is_evacuated("x"));
}

/// Guards against all keys returning at once to a domain whose targets are cold, or have not said
/// yet that they are.
#[test]
fn targets_return_one_after_the_other_after_they_have_stated_their_warm_up() {
    let mut evacuations = known();
    evacuations.begin("x", (0, 7), at(0), true);
    assert!(!evacuations.may_receive("x", 0, 10, at(100)));
    evacuations.end("x", (0, 9), at(10_000));
    let receivers = |now: Stamp| {
        (0..10).filter(|position| evacuations.may_receive("x", *position, 10, now)).count()
    };
    assert!(evacuations.is_unstated("x", at(11_000)));
    assert_eq!(receivers(at(11_900)), 0);
    assert!(!evacuations.is_unstated("x", at(12_000)));
    let half = receivers(at(14_500));
    assert!((4..=6).contains(&half), "{half} after half of the time");
    assert_eq!(receivers(at(17_100)), 10);
    assert!(evacuations.may_receive("a", 9, 10, at(11_000)));
}

/// Guards against keys at targets that are still cold after the evacuation of their domain, and
/// against a domain that gets its share of the keys within one plan.
#[test]
fn keys_return_gradually_and_only_to_warm_targets() {
    let (all, receivers, mut table, mut demand) = fleet(8);
    for holding in table.clone().holdings {
        if is_leaving(&holding.owner) {
            let to = receivers[usize::from(holding.first) % receivers.len()].incarnation.clone();
            table.apply(&Move { first: holding.first, last: holding.last, to });
        }
    }
    for key in (0..=u16::MAX).step_by(16) {
        demand.add(key, 0.5);
    }
    let mut evacuations = known();
    evacuations.begin("x", (0, 7), at(0), true);
    evacuations.end("x", (0, 9), at(10_000));
    let domain = |incarnation: &Incarnation| -> Arc<str> { incarnation.id[..1].into() };
    // The last of the targets is warm 9 s after the end of the evacuation.
    let is_cold = |target: &Candidate, millis: u64| {
        let index: u64 = target.incarnation.id[1..].parse().unwrap();
        is_leaving(&target.incarnation) && millis < 12_000 + index * 1000
    };
    let owners = |table: &Table| {
        let owners: HashSet<Incarnation> =
            table.holdings.iter().map(|holding| holding.owner.clone()).collect();
        owners.into_iter().filter(is_leaving).count()
    };
    for millis in (10_000..26_000).step_by(480) {
        let usable = all.iter().map(|target| (target.clone(), is_cold(target, millis))).collect();
        let (usable, leaving) = evacuations.divide(usable, &table, &domain, at(millis));
        assert!(leaving.is_empty());
        let candidates = plan::prefer_warm(usable, &table);
        let before = owners(&table);
        for key_move in balance::balance(&table, &candidates, &demand) {
            let to = all.iter().find(|target| target.incarnation == key_move.to).unwrap();
            assert!(!is_cold(to, millis), "{} is cold after {millis} ms", key_move.to.id);
            table.apply(&key_move);
        }
        assert!(owners(&table) <= before + 2, "{before} owners, then {}", owners(&table));
        assert!(millis >= 12_000 || owners(&table) == 0);
    }
    assert_eq!(owners(&table), 8);
}

/// Guards against a deployment without the bound in which an entry of that name has an effect.
#[test]
fn without_a_bound_nothing_is_evacuated() {
    let mut evacuations = Evacuations::new(None);
    assert_eq!(evacuations.begin("x", (0, 7), at(0), true), None);
    assert!(!evacuations.is_evacuated("x") && !evacuations.is_closed("x", at(9000)));
}
