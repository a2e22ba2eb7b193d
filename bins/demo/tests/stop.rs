//! Planned stops of entry instances.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use caraway_demo::fault::Action;

use crate::common::Harness;
use crate::common::INTERRUPTED_VERDICTS;
use crate::common::sleep_ms;

/// Guards against requests that a planned stop interrupts or leaves with an unknown outcome, including
/// requests of callers of the stopping instance.
#[test]
fn a_planned_stop_interrupts_no_request() {
    let mut harness = Harness::new();
    let victim = harness.coordinator();
    harness.start_load_with(&[], |profile| {
        profile.kinds.iter_mut().for_each(|kind| kind.service_ms = Some(40));
        profile.kinds.iter_mut().for_each(|kind| kind.answer_bytes = Some(100_000));
    });
    harness.apply(Action::Stop(victim.clone()));
    assert!(harness.environment.wait_for_stop(&victim).unwrap(), "exit code of the planned stop");
    sleep_ms(1500);
    let results = harness.finish();
    assert_eq!(results.count_verdicts(&INTERRUPTED_VERDICTS), 0);
}
