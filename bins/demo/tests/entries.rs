//! Entry instances are killed, frozen and resumed.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use crate::common::GROUP;
use crate::common::Harness;
use crate::common::sleep_ms;
use caraway_demo::fault::Action;

/// Guards against groups that stay without a coordinator, and against a takeover that moves shards: targets
/// must keep their shards when only the coordinator changes.
#[test]
fn a_killed_entry_instance_is_replaced_and_targets_keep_their_shards() {
    let mut harness = Harness::new();
    let victim = harness.coordinator();
    harness.start_load(&[&victim]);
    let keys: Vec<String> = (0..16)
        .map(|n| format!("/explain/key/libro/k{n}"))
        .filter(|path| harness.environment.admin_json(&victim, path).unwrap()["group"] == GROUP)
        .collect();
    assert!(keys.len() > 3, "{keys:?}");
    let explain =
        |harness: &Harness, name: &str, path: &str| harness.environment.admin_json(name, path);
    let owners: Vec<_> = keys
        .iter()
        .map(|path| explain(&harness, &victim, path).unwrap()["owner"].clone())
        .collect();
    harness.apply(Action::Kill(victim.clone()));
    let coordinator = harness.wait_for_takeover(&victim);
    sleep_ms(200);
    for (path, owner) in keys.iter().zip(&owners) {
        let page = explain(&harness, &coordinator, path).unwrap();
        // Changes are listed newest first; the oldest one is that of the takeover.
        let oldest = page["changes"].as_array().unwrap().last().unwrap().clone();
        assert_eq!((&oldest["owner"], &oldest["reason"]), (owner, &"kept".into()), "{path}");
    }
    sleep_ms(1300);
    harness.apply(Action::Restart(victim));
    sleep_ms(1500);
    harness.finish();
}

/// Guards against two coordinators of a group after a frozen coordinator resumes.
#[test]
fn a_frozen_entry_instance_drops_its_groups_when_resumed() {
    let mut harness = Harness::new();
    let victim = harness.coordinator();
    let before = harness.environment.term(&victim, GROUP);
    harness.start_load(&[&victim]);
    harness.apply(Action::Freeze(victim.clone()));
    harness.wait_for_takeover(&victim);
    sleep_ms(800);
    harness.apply(Action::Resume(victim.clone()));
    sleep_ms(2000);
    let counts = harness.coordinator_counts();
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
    // The group may have been handed back to the instance in the meantime, but only under a higher term.
    let after = harness.environment.term(&victim, GROUP);
    assert!(after.is_none_or(|after| Some(after) > before), "{before:?} {after:?}");
    harness.finish();
}

/// Guards against a takeover that waits for a target that was killed together with the coordinator.
#[test]
fn a_takeover_does_not_wait_for_a_killed_target() {
    let mut harness = Harness::new();
    let (victim, target) = (harness.coordinator(), harness.target(0));
    harness.start_load(&[&victim]);
    harness.apply(Action::Kill(victim.clone()));
    harness.apply(Action::Kill(target.clone()));
    harness.wait_for_takeover(&victim);
    sleep_ms(2500);
    harness.apply(Action::Restart(target));
    harness.apply(Action::Restart(victim));
    sleep_ms(2000);
    harness.finish();
}
