//! Targets that are killed, frozen, resumed or drained, or that report false loads.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use crate::common::Harness;
use crate::common::INTERRUPTED_VERDICTS;
use crate::common::sleep_ms;
use caraway_demo::fault::Action;
use caraway_demo::fixture::Size;

/// Guards against keys that stay assigned to a killed target.
#[test]
fn keys_of_a_killed_target_move_to_the_others() {
    let mut harness = Harness::new();
    let target = harness.target(0);
    harness.start_load(&[]);
    harness.apply(Action::Kill(target.clone()));
    sleep_ms(2500);
    harness.apply(Action::Restart(target));
    sleep_ms(2500);
    harness.finish();
}

/// Guards against a resumed target that executes requests from its queue or sockets after its shards have
/// moved. The comparison of journals detects such an execution, because its fencing token is older than
/// that of the new owner.
#[test]
fn a_frozen_target_runs_nothing_after_its_shards_moved() {
    let mut harness = Harness::with(2, &Size::default(), 20);
    let target = harness.target(0);
    harness.start_load(&[]);
    harness.apply(Action::Freeze(target.clone()));
    sleep_ms(2500);
    harness.apply(Action::Resume(target));
    sleep_ms(2500);
    let results = harness.finish();
    let findings = results.report.journal.unwrap();
    assert_eq!(findings.without_token, 0);
    assert!(findings.journals_lost.is_empty(), "{:?}", findings.journals_lost);
}

/// Guards against new requests to a draining target, and against requests that the drain interrupts.
#[test]
fn a_leaving_target_finishes_its_work_and_gets_no_more() {
    let mut harness = Harness::new();
    let target = harness.target(0);
    harness.start_load_with(&[], |profile| {
        profile.kinds.iter_mut().for_each(|kind| kind.service_ms = Some(30));
    });
    harness.apply(Action::Drain(target.clone()));
    sleep_ms(3000);
    let before = harness.environment.target_status(&target).unwrap();
    let executed = harness.environment.execution_count(&target).unwrap();
    sleep_ms(2000);
    let status = harness.environment.target_status(&target).unwrap();
    assert_eq!(
        harness.environment.execution_count(&target).unwrap(),
        executed,
        "{before} {status}"
    );
    assert_eq!(status["running"], 0);
    let results = harness.finish();
    assert_eq!(results.count_verdicts(&INTERRUPTED_VERDICTS), 0);
}

/// Guards against false load reports of a target that change ownership: such reports may only reduce the
/// number of requests sent to the target.
#[test]
fn a_lying_target_does_not_change_the_outcome_of_requests() {
    let mut harness = Harness::new();
    let target = harness.target(0);
    harness.start_load(&[]);
    let faults = serde_json::json!({ "lie_running": 0, "report_lag_ms": 400, "extra_ms": 30 });
    harness.environment.set_target_faults(&target, &faults).unwrap();
    sleep_ms(2500);
    let results = harness.finish();
    assert_eq!(results.count_verdicts(&INTERRUPTED_VERDICTS), 0);
}
