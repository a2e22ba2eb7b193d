//! Requests that crash targets or are resubmitted, and responses that are truncated or late.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use std::time::Duration;

use crate::common::Harness;
use crate::common::sleep_ms;
use caraway_demo::environment::Kind;
use caraway_demo::fault::Action;
use caraway_demo::fixture::Size;
use caraway_load::profile::Arrival;
use caraway_load::run;

/// Guards against a request that crashes one target after another, including when its caller resends it
/// through other instances.
#[test]
fn a_crashing_request_is_contained_after_two_targets() {
    let mut harness = Harness::with(3, &Size { targets: 4, ..Size::default() }, 2);
    let mut profile = caraway_demo::traffic::profile(
        &harness.environment,
        &caraway_demo::traffic::Options { run: "crash".to_owned(), ..Default::default() },
    );
    profile.kinds.truncate(1);
    // Uses a separate path, because other requests with the same fingerprint are refused as well.
    profile.kinds[0].path = "/libro/crash".to_owned();
    profile.kinds[0].headers = vec![("test-crash".to_owned(), "1".to_owned())];
    profile.arrival = Arrival::Closed { connections: 1 };
    harness.start_load(&[]);
    let mut crashed = Vec::new();
    for submission in 0..8 {
        profile.requests = 1;
        profile.run = format!("crash{submission}");
        profile.entries.rotate_left(1);
        let record = run::run_to_completion(profile.clone()).unwrap();
        println!("{}", record.samples[0].verdict.name());
        assert!(!record.samples[0].verdict.answered());
        sleep_ms(300);
        crashed.extend(harness.environment.reap_exited(Kind::Target));
    }
    assert!((1..=2).contains(&crashed.len()), "crashed targets: {crashed:?}");
    for name in crashed {
        harness.apply(Action::Restart(name));
    }
    sleep_ms(2500);
    harness.finish();
}

/// Guards against an order that runs twice when its caller times out and resubmits it through another
/// instance while it may still be running.
#[test]
fn an_order_resubmitted_after_a_timeout_runs_at_most_once() {
    let mut harness = Harness::new();
    harness.start_load_with(&[], |profile| {
        profile.kinds.retain(|kind| kind.idempotency_key);
        profile.kinds.iter_mut().for_each(|kind| kind.service_ms = Some(150));
        profile.arrival = Arrival::Open { rate: 20.0, connections: 60, poisson: true };
        profile.timeout_ms = 80;
        profile.resends = 5;
    });
    sleep_ms(3000);
    let results = harness.finish_with_min_answered(0);
    assert!(results.report.orders.submitted_again > 30, "{:?}", results.report.orders);
}

/// Guards against an order that runs twice when it is submitted through two instances concurrently, and
/// against a later submission that does not get the recorded response.
#[test]
fn an_order_submitted_through_several_instances_runs_once() {
    let mut harness = Harness::new();
    let options = caraway_demo::traffic::Options {
        run: "twice".to_owned(),
        service_ms: Some(60),
        arrival: Arrival::Open { rate: 50.0, connections: 50, poisson: false },
        ..Default::default()
    };
    let mut profile = caraway_demo::traffic::profile(&harness.environment, &options);
    profile.kinds.retain(|kind| kind.idempotency_key);
    profile.requests = 60;
    let mut records = Vec::new();
    let first = run::Run::start(profile.clone()).unwrap();
    sleep_ms(30);
    profile.entries.rotate_left(3);
    records.push(run::run_to_completion(profile.clone()).unwrap());
    records.push(first.finish().unwrap());
    profile.entries.rotate_left(1);
    let last = run::run_to_completion(profile.clone()).unwrap();
    let journals = harness.environment.journals().unwrap();
    for record in &records {
        let findings = caraway_load::journal::compare(&profile, record, &journals);
        assert_eq!((findings.doubled, findings.executions), (0, 60), "{:?}", findings.details);
    }
    for sample in &last.samples {
        assert!(sample.verdict.answered(), "{} of {}", sample.verdict.name(), sample.number);
    }
}

/// Guards against orders that run twice, or that are reported as refused although they ran, when their
/// coordinator is killed and callers resubmit them.
#[test]
fn orders_run_at_most_once_when_their_coordinator_is_killed() {
    let mut harness = Harness::new();
    let victim = harness.coordinator();
    harness.start_load_with(&[], |profile| {
        profile.kinds.retain(|kind| kind.idempotency_key);
        profile.kinds.iter_mut().for_each(|kind| kind.service_ms = Some(30));
        profile.resends = 5;
    });
    harness.apply(Action::Kill(victim.clone()));
    harness.wait_for_takeover(&victim);
    sleep_ms(2500);
    let results = harness.finish();
    assert!(results.report.orders.answered > 100, "{:?}", results.report.orders);
}

/// Guards against a truncated response that looks complete to its caller.
#[test]
fn a_response_truncated_by_a_killed_target_is_never_shown_as_complete() {
    let mut harness = Harness::new();
    let targets = [harness.target(0), harness.environment.names(Kind::Target)[0].clone()];
    harness.start_load_with(&[], |profile| {
        profile.kinds.iter_mut().for_each(|kind| kind.answer_bytes = Some(4_000_000));
        profile.arrival = Arrival::Open { rate: 60.0, connections: 60, poisson: true };
    });
    for target in &targets {
        harness.apply(Action::Kill(target.clone()));
        sleep_ms(1000);
    }
    for target in targets {
        harness.apply(Action::Restart(target));
    }
    sleep_ms(2500);
    harness.finish();
}

/// Guards against a response that arrives after its caller timed out and is delivered as the response to
/// a later request.
#[test]
fn a_late_response_reaches_no_other_caller() {
    let mut harness = Harness::with(2, &Size { patience_ms: 200, ..Size::default() }, 30);
    let target = harness.target(0);
    harness.start_load(&[]);
    for _ in 0..4 {
        harness.apply(Action::Freeze(target.clone()));
        // Longer than the patience of reads but shorter than a grant; the last freeze below is longer than
        // both.
        std::thread::sleep(Duration::from_millis(350));
        harness.apply(Action::Resume(target.clone()));
        sleep_ms(400);
    }
    harness.apply(Action::Freeze(target.clone()));
    sleep_ms(1200);
    harness.apply(Action::Resume(target));
    sleep_ms(2000);
    harness.finish();
}
