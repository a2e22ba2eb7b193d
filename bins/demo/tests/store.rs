//! The store is down, loses answers, or gets two promotions at once.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use std::time::Duration;

use crate::common::Scene;
use crate::common::pause;
use caraway_demo::environment::Kind;
use caraway_demo::fault::Action;

/// Guards against ownership changes inside a group that need the store.
#[test]
fn a_target_is_replaced_while_the_store_is_down() {
    let mut scene = Scene::new();
    let target = scene.target(0);
    scene.load(&[]);
    scene.apply(Action::StoreDown(true));
    pause(1500);
    scene.apply(Action::Kill(target.clone()));
    pause(2500);
    scene.apply(Action::StoreDown(false));
    scene.apply(Action::Restart(target));
    pause(2000);
    scene.finish();
}

/// Guards against groups that wait for the store although a successor holds a reserved term.
#[test]
fn a_successor_takes_over_while_the_store_is_down() {
    let mut scene = Scene::new();
    let victim = scene.coordinator();
    scene.load(&[&victim]);
    pause(1500);
    scene.apply(Action::StoreDown(true));
    pause(1500);
    scene.apply(Action::Kill(victim.clone()));
    scene.wait_for_takeover(&victim);
    pause(2000);
    scene.apply(Action::StoreDown(false));
    pause(3000);
    scene.finish();
}

/// Guards against a failure domain that stops serving its own groups when it is cut off from the
/// platform, also when it loses a coordinator and a target meanwhile.
#[test]
fn a_domain_cut_off_from_the_platform_serves_its_groups() {
    let mut scene = Scene::new();
    let (victim, target) = (scene.coordinator(), scene.target(0));
    scene.load(&[&victim]);
    pause(1500);
    scene.apply(Action::Partition(vec!["d1".to_owned()]));
    pause(1000);
    scene.apply(Action::Kill(target.clone()));
    pause(1500);
    scene.apply(Action::Kill(victim.clone()));
    scene.wait_for_takeover(&victim);
    pause(1500);
    scene.apply(Action::Partition(Vec::new()));
    scene.apply(Action::Restart(target));
    pause(2000);
    scene.finish();
}

/// Guards against a takeover that is done twice or not at all because the answer to its write is lost.
#[test]
fn a_takeover_survives_lost_answers_of_the_store() {
    let mut scene = Scene::new();
    let victim = scene.coordinator();
    scene.load(&[&victim]);
    scene.apply(Action::DropResponses(3));
    scene.apply(Action::Kill(victim.clone()));
    scene.wait_for_takeover(&victim);
    pause(2500);
    let holders = scene.holders();
    assert!(holders.values().all(|count| *count == 1), "{holders:?}");
    scene.finish();
}

/// Guards against two documents in force: of two promotions with the same expected revision one is
/// refused, and every instance applies the other one.
#[test]
fn one_of_two_racing_promotions_wins_everywhere() {
    let mut scene = Scene::new();
    scene.load(&[]);
    let environment = &scene.environment;
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
    let (winner, told) = match results {
        [Ok(winner), Err(told)] | [Err(told), Ok(winner)] => (winner, told),
        other => panic!("both or none accepted: {other:?}"),
    };
    assert_eq!(told, winner, "the loser is told which version won");
    let entries = scene.environment.names(Kind::Entry);
    scene
        .environment
        .wait_until("every instance applies the winner", Duration::from_secs(10), |environment| {
            entries.iter().all(|name| environment.config_version(name) == Some(winner))
        })
        .unwrap();
    pause(500);
    scene.finish();
}
