//! Faults of the store, and concurrent promotions.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use std::time::Duration;

use crate::common::Harness;
use crate::common::sleep_ms;
use caraway_demo::environment::Kind;
use caraway_demo::fault::Action;

/// Guards against ownership changes within a group that require the store.
#[test]
fn a_target_is_replaced_while_the_store_is_down() {
    let mut harness = Harness::new();
    let target = harness.target(0);
    harness.start_load(&[]);
    harness.apply(Action::StoreDown(true));
    sleep_ms(1500);
    harness.apply(Action::Kill(target.clone()));
    sleep_ms(2500);
    harness.apply(Action::StoreDown(false));
    harness.apply(Action::Restart(target));
    sleep_ms(2000);
    harness.finish();
}

/// Guards against a takeover that waits for the store although the successor has a reserved term.
#[test]
fn a_successor_takes_over_while_the_store_is_down() {
    let mut harness = Harness::new();
    let victim = harness.coordinator();
    harness.start_load(&[&victim]);
    sleep_ms(1500);
    harness.apply(Action::StoreDown(true));
    sleep_ms(1500);
    harness.apply(Action::Kill(victim.clone()));
    harness.wait_for_takeover(&victim);
    sleep_ms(2000);
    harness.apply(Action::StoreDown(false));
    sleep_ms(3000);
    harness.finish();
}

/// Guards against a failure domain that stops serving its groups when it is partitioned from the platform,
/// including when a target and a coordinator are killed during the partition.
#[test]
fn a_domain_partitioned_from_the_platform_serves_its_groups() {
    let mut harness = Harness::new();
    let (victim, target) = (harness.coordinator(), harness.target(0));
    harness.start_load(&[&victim]);
    sleep_ms(1500);
    harness.apply(Action::Partition(vec!["d1".to_owned()]));
    sleep_ms(1000);
    harness.apply(Action::Kill(target.clone()));
    sleep_ms(1500);
    harness.apply(Action::Kill(victim.clone()));
    harness.wait_for_takeover(&victim);
    sleep_ms(1500);
    harness.apply(Action::Partition(Vec::new()));
    harness.apply(Action::Restart(target));
    sleep_ms(2000);
    harness.finish();
}

/// Guards against a takeover that happens twice or not at all because the response to its write is lost.
#[test]
fn a_takeover_survives_dropped_responses_of_the_store() {
    let mut harness = Harness::new();
    let victim = harness.coordinator();
    harness.start_load(&[&victim]);
    harness.apply(Action::DropResponses(3));
    harness.apply(Action::Kill(victim.clone()));
    harness.wait_for_takeover(&victim);
    sleep_ms(2500);
    let counts = harness.coordinator_counts();
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
    harness.finish();
}

/// Guards against two documents in effect: of two promotions with the same expected revision, one is
/// rejected and all instances apply the other one.
#[test]
fn one_of_two_racing_promotions_wins_everywhere() {
    let mut harness = Harness::new();
    harness.start_load(&[]);
    let environment = &harness.environment;
    let documents = [300, 400].map(|patience_ms| {
        let mut document = environment.document().clone();
        document.classes[0].patience_ms = patience_ms;
        document
    });
    let results = std::thread::scope(|scope| {
        let writers = documents.each_ref().map(|document| {
            scope.spawn(move || {
                let expect = environment.revision();
                environment.put_document("production", "race", document, expect).unwrap()
            })
        });
        writers.map(|writer| writer.join().unwrap())
    });
    let (winner, reported) = match results {
        [Ok(winner), Err(reported)] | [Err(reported), Ok(winner)] => (winner, reported),
        other => panic!("both or neither accepted: {other:?}"),
    };
    assert_eq!(reported, winner, "the rejection reports the accepted version");
    let entries = harness.environment.names(Kind::Entry);
    harness
        .environment
        .wait_until(
            "all instances apply the accepted version",
            Duration::from_secs(10),
            |environment| {
                entries.iter().all(|name| environment.config_version(name) == Some(winner))
            },
        )
        .unwrap();
    sleep_ms(500);
    harness.finish();
}
