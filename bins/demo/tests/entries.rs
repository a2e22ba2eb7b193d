//! Entry instances are killed, frozen and resumed.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use crate::common::GROUP;
use crate::common::Scene;
use crate::common::pause;
use caraway_demo::fault::Action;

/// Guards against groups that stay without coordinator and against churn: the targets keep their
/// shards when only the coordinator changes.
#[test]
fn a_killed_entry_instance_is_replaced_and_targets_keep_their_shards() {
    let mut scene = Scene::new();
    let victim = scene.coordinator();
    scene.load(&[&victim]);
    let keys: Vec<String> = (0..16)
        .map(|n| format!("/explain/key/libro/k{n}"))
        .filter(|path| scene.environment.admin_json(&victim, path).unwrap()["group"] == GROUP)
        .collect();
    assert!(keys.len() > 3, "{keys:?}");
    let page = |scene: &Scene, name: &str, path: &str| scene.environment.admin_json(name, path);
    let owners: Vec<_> =
        keys.iter().map(|path| page(&scene, &victim, path).unwrap()["owner"].clone()).collect();
    scene.apply(Action::Kill(victim.clone()));
    let holder = scene.wait_for_takeover(&victim);
    pause(200);
    for (path, owner) in keys.iter().zip(&owners) {
        let page = page(&scene, &holder, path).unwrap();
        // The newest change comes first; the oldest one is that of the takeover.
        let first = page["changes"].as_array().unwrap().last().unwrap().clone();
        assert_eq!((&first["owner"], &first["reason"]), (owner, &"kept".into()), "{path}");
    }
    pause(1300);
    scene.apply(Action::Restart(victim));
    pause(1500);
    scene.finish();
}

/// Guards against two coordinators of a group after a frozen one goes on.
#[test]
fn a_frozen_entry_instance_drops_its_groups_when_it_goes_on() {
    let mut scene = Scene::new();
    let victim = scene.coordinator();
    let before = scene.environment.term(&victim, GROUP);
    scene.load(&[&victim]);
    scene.apply(Action::Freeze(victim.clone()));
    scene.wait_for_takeover(&victim);
    pause(800);
    scene.apply(Action::Resume(victim.clone()));
    pause(2000);
    let holders = scene.holders();
    assert!(holders.values().all(|count| *count == 1), "{holders:?}");
    // The group may have been handed back to the instance meanwhile, but under a higher term.
    let after = scene.environment.term(&victim, GROUP);
    assert!(after.is_none_or(|after| Some(after) > before), "{before:?} {after:?}");
    scene.finish();
}

/// Guards against a takeover that waits for a target that is lost too.
#[test]
fn coordinator_and_target_killed_together() {
    let mut scene = Scene::new();
    let (victim, target) = (scene.coordinator(), scene.target(0));
    scene.load(&[&victim]);
    scene.apply(Action::Kill(victim.clone()));
    scene.apply(Action::Kill(target.clone()));
    scene.wait_for_takeover(&victim);
    pause(2500);
    scene.apply(Action::Restart(target));
    scene.apply(Action::Restart(victim));
    pause(2000);
    scene.finish();
}
