//! Entry instances are stopped as planned.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use caraway_demo::fault::Action;

use crate::common::CUT_OFF;
use crate::common::Scene;
use crate::common::pause;

/// Guards against requests that a planned stop cuts off or leaves with an unknown outcome, also through
/// callers of the stopping instance.
#[test]
fn a_planned_stop_cuts_off_nothing() {
    let mut scene = Scene::new();
    let victim = scene.coordinator();
    scene.load_with(&[], |profile| {
        profile.kinds.iter_mut().for_each(|kind| kind.service_ms = Some(40));
        profile.kinds.iter_mut().for_each(|kind| kind.answer_bytes = Some(100_000));
    });
    scene.apply(Action::Stop(victim.clone()));
    assert!(scene.environment.wait_for_stop(&victim).unwrap(), "exit code of the planned stop");
    pause(1500);
    let ending = scene.finish();
    assert_eq!(ending.count(&CUT_OFF), 0);
}
