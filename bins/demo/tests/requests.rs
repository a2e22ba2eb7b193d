//! Requests that crash targets, are submitted again, or whose answers are cut off or late.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use std::time::Duration;

use crate::common::Scene;
use crate::common::pause;
use caraway_demo::environment::Kind;
use caraway_demo::fault::Action;
use caraway_demo::fixture::Size;
use caraway_load::profile::Arrival;
use caraway_load::run;

/// Guards against a request that crashes one target after the other, also when its caller sends it
/// again through other instances.
#[test]
fn a_crashing_request_is_contained_after_two_targets() {
    let mut scene = Scene::with(3, &Size { targets: 4, ..Size::default() }, 2);
    let mut profile = caraway_demo::traffic::profile(
        &scene.environment,
        &caraway_demo::traffic::Options { run: "crash".to_owned(), ..Default::default() },
    );
    profile.kinds.truncate(1);
    // A path of its own: requests with the same fingerprint are refused too.
    profile.kinds[0].path = "/libro/crash".to_owned();
    profile.kinds[0].headers = vec![("test-crash".to_owned(), "1".to_owned())];
    profile.arrival = Arrival::Closed { connections: 1 };
    scene.load(&[]);
    let mut crashed = Vec::new();
    for submission in 0..8 {
        profile.requests = 1;
        profile.run = format!("crash{submission}");
        profile.entries.rotate_left(1);
        let record = run::run_to_completion(profile.clone()).unwrap();
        println!("{}", record.samples[0].verdict.name());
        assert!(!record.samples[0].verdict.answered());
        pause(300);
        crashed.extend(scene.environment.reap_exited(Kind::Target));
    }
    assert!((1..=2).contains(&crashed.len()), "crashed targets: {crashed:?}");
    for name in crashed {
        scene.apply(Action::Restart(name));
    }
    pause(2500);
    scene.finish();
}

/// Guards against an order that runs twice when an impatient caller gives up and sends it again
/// through another instance while it may still run.
#[test]
fn an_order_of_an_impatient_caller_runs_at_most_once() {
    let mut scene = Scene::new();
    scene.load_with(&[], |profile| {
        profile.kinds.retain(|kind| kind.idempotency_key);
        profile.kinds.iter_mut().for_each(|kind| kind.service_ms = Some(150));
        profile.arrival = Arrival::Open { rate: 20.0, connections: 60, poisson: true };
        profile.timeout_ms = 80;
        profile.resends = 5;
    });
    pause(3000);
    let ending = scene.finish_idle(0);
    assert!(ending.report.orders.submitted_again > 30, "{:?}", ending.report.orders);
}

/// Guards against an order that runs twice when it is submitted through two instances at the same time,
/// and against a later submission that does not get the recorded answer.
#[test]
fn an_order_submitted_through_several_instances_runs_once() {
    let mut scene = Scene::new();
    let options = caraway_demo::traffic::Options {
        run: "twice".to_owned(),
        service_ms: Some(60),
        arrival: Arrival::Open { rate: 50.0, connections: 50, poisson: false },
        ..Default::default()
    };
    let mut profile = caraway_demo::traffic::profile(&scene.environment, &options);
    profile.kinds.retain(|kind| kind.idempotency_key);
    profile.requests = 60;
    let mut records = Vec::new();
    let first = run::Run::start(profile.clone()).unwrap();
    pause(30);
    profile.entries.rotate_left(3);
    records.push(run::run_to_completion(profile.clone()).unwrap());
    records.push(first.finish().unwrap());
    profile.entries.rotate_left(1);
    let last = run::run_to_completion(profile.clone()).unwrap();
    let journals = scene.environment.journals().unwrap();
    for record in &records {
        let findings = caraway_load::journal::compare(&profile, record, &journals);
        assert_eq!((findings.doubled, findings.executions), (0, 60), "{:?}", findings.details);
    }
    for sample in &last.samples {
        assert!(sample.verdict.answered(), "{} of {}", sample.verdict.name(), sample.number);
    }
}

/// Guards against orders that run twice, or are refused although they ran, when their coordinator is
/// lost and callers send them again.
#[test]
fn orders_run_at_most_once_when_their_coordinator_is_killed() {
    let mut scene = Scene::new();
    let victim = scene.coordinator();
    scene.load_with(&[], |profile| {
        profile.kinds.retain(|kind| kind.idempotency_key);
        profile.kinds.iter_mut().for_each(|kind| kind.service_ms = Some(30));
        profile.resends = 5;
    });
    scene.apply(Action::Kill(victim.clone()));
    scene.wait_for_takeover(&victim);
    pause(2500);
    let ending = scene.finish();
    assert!(ending.report.orders.answered > 100, "{:?}", ending.report.orders);
}

/// Guards against a cut-off answer that looks complete to its caller.
#[test]
fn an_answer_cut_off_by_a_dying_target_is_never_shown_as_whole() {
    let mut scene = Scene::new();
    let targets = [scene.target(0), scene.environment.names(Kind::Target)[0].clone()];
    scene.load_with(&[], |profile| {
        profile.kinds.iter_mut().for_each(|kind| kind.answer_bytes = Some(4_000_000));
        profile.arrival = Arrival::Open { rate: 60.0, connections: 60, poisson: true };
    });
    for target in &targets {
        scene.apply(Action::Kill(target.clone()));
        pause(1000);
    }
    for target in targets {
        scene.apply(Action::Restart(target));
    }
    pause(2500);
    scene.finish();
}

/// Guards against an answer that arrives after its caller gave up and is taken for the answer to a later
/// request.
#[test]
fn a_late_answer_reaches_nobody_else() {
    let mut scene = Scene::with(2, &Size { patience_ms: 200, ..Size::default() }, 30);
    let target = scene.target(0);
    scene.load(&[]);
    for _ in 0..4 {
        scene.apply(Action::Freeze(target.clone()));
        // Longer than the patience of the readers, shorter than a grant, and then longer than both.
        std::thread::sleep(Duration::from_millis(350));
        scene.apply(Action::Resume(target.clone()));
        pause(400);
    }
    scene.apply(Action::Freeze(target.clone()));
    pause(1200);
    scene.apply(Action::Resume(target));
    pause(2000);
    scene.finish();
}
