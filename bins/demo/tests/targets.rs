//! Targets are killed, frozen, resumed and told to leave.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use crate::common::CUT_OFF;
use crate::common::Scene;
use crate::common::pause;
use caraway_demo::fault::Action;
use caraway_demo::fixture::Size;

/// Guards against keys that stay with a dead target.
#[test]
fn keys_of_a_killed_target_move_to_the_others() {
    let mut scene = Scene::new();
    let target = scene.target(0);
    scene.load(&[]);
    scene.apply(Action::Kill(target.clone()));
    pause(2500);
    scene.apply(Action::Restart(target));
    pause(2500);
    scene.finish();
}

/// Guards against a target that goes on with its old ownership: it must not run what waited in its
/// queue or sockets after its shards moved. The comparison of journals finds such an execution, because
/// its token is older than that of the new owner.
#[test]
fn a_frozen_target_runs_nothing_after_its_shards_moved() {
    let mut scene = Scene::with(2, &Size::default(), 20);
    let target = scene.target(0);
    scene.load(&[]);
    scene.apply(Action::Freeze(target.clone()));
    pause(2500);
    scene.apply(Action::Resume(target));
    pause(2500);
    let ending = scene.finish();
    let findings = ending.report.journal.unwrap();
    assert_eq!(findings.without_token, 0);
    assert!(findings.journals_lost.is_empty(), "{:?}", findings.journals_lost);
}

/// Guards against work that a leaving target still gets, and against requests that leaving cuts off.
#[test]
fn a_leaving_target_finishes_its_work_and_gets_no_more() {
    let mut scene = Scene::new();
    let target = scene.target(0);
    scene.load_with(&[], |profile| {
        profile.kinds.iter_mut().for_each(|kind| kind.service_ms = Some(30));
    });
    scene.apply(Action::Drain(target.clone()));
    pause(3000);
    let before = scene.environment.target_status(&target).unwrap();
    let executed = scene.environment.execution_count(&target).unwrap();
    pause(2000);
    let status = scene.environment.target_status(&target).unwrap();
    assert_eq!(scene.environment.execution_count(&target).unwrap(), executed, "{before} {status}");
    assert_eq!(status["running"], 0);
    let ending = scene.finish();
    assert_eq!(ending.count(&CUT_OFF), 0);
}

/// Guards against false reports of a target that change who owns what: the reports may only reduce the
/// work sent to it.
#[test]
fn a_lying_target_does_not_change_the_outcome_of_requests() {
    let mut scene = Scene::new();
    let target = scene.target(0);
    scene.load(&[]);
    let lie = serde_json::json!({ "lie_running": 0, "report_lag_ms": 400, "extra_ms": 30 });
    scene.environment.set_target_faults(&target, &lie).unwrap();
    pause(2500);
    let ending = scene.finish();
    assert_eq!(ending.count(&CUT_OFF), 0);
}
