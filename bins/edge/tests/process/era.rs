//! Restorations of the store from a copy that is some seconds old.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use caraway_production::store::Copy;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::wait;
use crate::following::metric;

/// Time in which all keys are served again while the coordinator is alive.
const RECOVERY: Duration = Duration::from_secs(6);

/// Time in which all keys are served again if nobody knows the latest owners: the longest possible
/// grant lasts 13.35 s.
const UNKNOWN_RECOVERY: Duration = Duration::from_secs(18);

fn coordinator(cluster: &Cluster) -> Option<usize> {
    let name = cluster.store.get("caraway/coordinator")?;
    cluster.instances.iter().position(|instance| instance.name.as_bytes() == name)
}

/// Starts a cluster, copies its store, and then changes the configuration and the owners of keys.
/// Returns while keys are being handed over.
fn cluster_in_handover() -> (Cluster, Copy) {
    let mut cluster = Cluster::start(1, 4, 3);
    cluster.wait_owned(0);
    let copy = cluster.store.copy();
    cluster.store.put("op/config", &configuration(5));
    let target = cluster.targets[1].clone();
    cluster.store.put(&target.registration_key(), &target.registration("draining"));
    cluster.add_target("k9", "keyed", true);
    let mut key = 0_u16;
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        key = key.wrapping_add(977) % 9000;
        cluster.get_key(0, key, "load");
    }
    for index in 0..3 {
        let applied = || cluster.get(index, "/version-5/x", "v").status == 200;
        wait(Duration::from_secs(3), "version 5", applied);
    }
    // Another handover is in progress at the restoration.
    let target = cluster.targets[2].clone();
    cluster.store.put(&target.registration_key(), &target.registration("draining"));
    thread::sleep(Duration::from_millis(300));
    (cluster, copy)
}

/// Writes the entries of the targets again, as the targets do.
fn register_targets(cluster: &Cluster) {
    for (index, target) in cluster.targets.iter().enumerate() {
        let state = if index == 1 || index == 2 { "draining" } else { "ready" };
        cluster.store.put(&target.registration_key(), &target.registration(state));
    }
}

fn wait_recovered(cluster: &Cluster, index: usize, limit: Duration) {
    let mut key = 0_u16;
    for _ in 0..24 {
        key = key.wrapping_add(2731);
        wait(limit, "recovered", || cluster.get_key(index, key, "again").status == 200);
    }
}

/// Guards against keys with two owners, fencing tokens that are given out twice and a configuration
/// that goes back, after the store was restored in the middle of handovers.
#[test]
fn a_restored_store_gives_no_key_two_owners() {
    let (cluster, copy) = cluster_in_handover();
    cluster.store.restore(&copy);
    thread::sleep(Duration::from_millis(700));
    register_targets(&cluster);
    wait_recovered(&cluster, 0, RECOVERY);
    wait_recovered(&cluster, 2, RECOVERY);
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
    for index in 0..3 {
        assert_eq!(cluster.get(index, "/version-5/x", "v").status, 200, "instance {index}");
        assert_ne!(cluster.get(index, "/version-1/x", "v").status, 200, "instance {index}");
    }
    // Later changes are seen under the new era, also those with a lower revision than before.
    cluster.store.put("op/config", &configuration(6));
    for index in 0..3 {
        let applied = || cluster.get(index, "/version-6/x", "v").status == 200;
        wait(Duration::from_millis(2500), "version 6", applied);
    }
    for index in 0..3 {
        let key = format!("caraway/instance/{}", cluster.instances[index].name);
        assert!(cluster.store.get(&key).is_some(), "instance {index} is not registered");
    }
}

/// Guards against keys with two owners if the coordinator ends together with the store, so that
/// nobody announces the latest owners.
#[test]
fn a_restored_store_without_the_coordinator_gives_no_key_two_owners() {
    let (mut cluster, copy) = cluster_in_handover();
    let killed = coordinator(&cluster).unwrap();
    cluster.instances[killed].kill();
    cluster.store.restore(&copy);
    thread::sleep(Duration::from_millis(700));
    register_targets(&cluster);
    let other = (killed + 1) % 3;
    wait_recovered(&cluster, other, UNKNOWN_RECOVERY);
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
    assert_eq!(cluster.get(other, "/version-5/x", "v").status, 200);
}

/// Guards against a coordinator that was frozen over the restoration and then sends grants.
#[test]
fn a_coordinator_that_was_frozen_over_a_restoration_sends_no_grants() {
    let (cluster, copy) = cluster_in_handover();
    let frozen = coordinator(&cluster).unwrap();
    cluster.instances[frozen].signal("STOP");
    cluster.store.restore(&copy);
    thread::sleep(Duration::from_millis(700));
    register_targets(&cluster);
    let other = (frozen + 1) % 3;
    thread::sleep(Duration::from_secs(2));
    cluster.instances[frozen].signal("CONT");
    wait_recovered(&cluster, other, UNKNOWN_RECOVERY);
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
}

/// Guards against an evacuation that ends because the restored store does not have its entry.
#[test]
fn an_evacuation_that_was_lost_stays_in_force() {
    let cluster = Cluster::start(1, 0, 2);
    let copy = cluster.store.copy();
    cluster.store.put("op/evacuate/a", &serde_json::json!({}));
    let evacuated =
        |index: usize| metric(&cluster, index, "caraway_evacuated_domains").to_bits() != 0;
    wait(Duration::from_secs(3), "evacuated", || evacuated(0) && evacuated(1));
    cluster.store.restore(&copy);
    let risen = |index: usize| metric(&cluster, index, "caraway_store_era") >= 1.0;
    wait(Duration::from_secs(5), "the new era", || risen(0) && risen(1));
    thread::sleep(Duration::from_secs(4));
    assert!(evacuated(0) && evacuated(1));
    cluster.store.put("op/evacuate/a", &serde_json::json!({}));
    cluster.store.remove("op/evacuate/a");
    wait(Duration::from_secs(3), "the end", || !evacuated(0) && !evacuated(1));
}

/// Guards against a restoration to the revision at which a watch is waiting, which no status 410
/// shows, and against several restorations in a row.
#[test]
fn two_restorations_in_a_row_are_seen() {
    let cluster = Cluster::start(1, 3, 2);
    cluster.wait_owned(0);
    let copy = cluster.store.copy();
    thread::sleep(Duration::from_secs(2));
    for era in 1..=2 {
        cluster.store.restore(&copy);
        register_targets(&cluster);
        thread::sleep(Duration::from_millis(600 * era));
        assert_eq!(cluster.store.era(), era);
    }
    register_targets(&cluster);
    wait_recovered(&cluster, 0, UNKNOWN_RECOVERY);
    wait_recovered(&cluster, 1, UNKNOWN_RECOVERY);
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
    for index in 0..2 {
        wait(Duration::from_secs(2), "era 2", || {
            metric(&cluster, index, "caraway_store_era") >= 2.0
        });
    }
}
