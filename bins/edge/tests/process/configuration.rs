//! Configurations reach the instances and never go back.

use std::time::Duration;

use caraway_production::store::Mode;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::wait;

const APPLY: Duration = Duration::from_millis(2000);

/// Guards against a version that is late, and against an old one that stays.
#[test]
fn a_version_is_in_force_within_two_seconds() {
    let cluster = Cluster::start(1, 0, 2);
    cluster.store.put("op/config", &configuration(5));
    for index in 0..2 {
        wait(APPLY, "version 5", || cluster.get(index, "/version-5/x", "v").status == 200);
        assert_eq!(cluster.get(index, "/version-1/x", "v").status, 404);
    }
}

/// Guards against a version that waits for the next report of an instance, which comes every two seconds
/// in a fleet of three hundred: it was in force after 2.4 s.
#[test]
fn a_version_reaches_a_large_fleet_in_time() {
    let cluster = Cluster::start(1, 0, 2);
    for index in 0..298 {
        let instance = serde_json::json!({ "address": "127.0.0.1:1", "processor": 0.1 });
        cluster.store.put(&format!("caraway/instance/other-{index}"), &instance);
    }
    std::thread::sleep(Duration::from_secs(3));
    for version in [5, 7, 9] {
        cluster.store.put("op/config", &configuration(version));
        let path = format!("/version-{version}/x");
        for index in 0..2 {
            let limit = Duration::from_millis(1200);
            wait(limit, "in force", || cluster.get(index, &path, "v").status == 200);
        }
        std::thread::sleep(Duration::from_millis(700));
    }
}

/// Guards against a change that is missed because the store forgot its history.
#[test]
fn a_version_arrives_though_the_history_is_gone() {
    let cluster = Cluster::start(1, 0, 1);
    cluster.store.put("op/config", &configuration(2));
    cluster.store.compact();
    wait(APPLY, "version 2", || cluster.get(0, "/version-2/x", "v").status == 200);
}

/// Guards against watches that the store keeps without telling them of changes, as it does while it
/// drops its history: a configuration was not in force before the watches ran out.
#[test]
fn a_version_arrives_though_the_watches_hear_nothing() {
    let cluster = Cluster::start(1, 0, 3);
    cluster.store.set_mode(Mode::Deaf);
    // The watches that wait now still hear of this change; those that follow are deaf.
    cluster.store.put("op/config", &configuration(2));
    std::thread::sleep(Duration::from_millis(1500));
    cluster.store.put("op/config", &configuration(6));
    cluster.store.set_mode(Mode::Up);
    for index in 0..3 {
        wait(APPLY, "version 6", || cluster.get(index, "/version-6/x", "v").status == 200);
    }
}

/// Guards against a malformed or older configuration that replaces a valid one.
#[test]
fn malformed_and_older_versions_change_nothing() {
    let cluster = Cluster::start(1, 0, 1);
    cluster.store.put("op/config", &configuration(7));
    wait(APPLY, "version 7", || cluster.get(0, "/version-7/x", "v").status == 200);
    let mut unknown = configuration(9);
    unknown["virtual_hosts"][0]["paths"][0]["service"] = "missing".into();
    cluster.store.put("op/config", &unknown);
    cluster.store.put_bytes("op/config", b"{\"version\": 10");
    cluster.store.put("op/config", &configuration(3));
    wait(APPLY, "a line about each", || {
        let log = cluster.instances[0].log();
        log.matches("configuration-refused").count() == 2 && log.contains("configuration-old")
    });
    assert_eq!(cluster.get(0, "/version-7/x", "v").status, 200);
    assert_eq!(cluster.get(0, "/version-3/x", "v").status, 404);
}

/// Guards against an entry of another writer that stops the instance or hides targets.
#[test]
fn foreign_entries_are_left_out() {
    let cluster = Cluster::start(1, 0, 1);
    cluster.store.put_bytes("servers/broken", b"\xff\x00");
    cluster.store.put("servers/partial", &serde_json::json!({ "address": "127.0.0.1:1" }));
    wait(APPLY, "two lines", || cluster.instances[0].log().matches("entry-ignored").count() == 2);
    assert_eq!(cluster.get(0, "/read/x", "v").status, 200);
}

/// Guards against an instance that stops serving, or forgets its configuration, while the store is
/// away.
#[yare::parameterized(busy = { Mode::Busy }, silent = { Mode::Silent })]
fn requests_are_served_while_the_store_is_away(mode: Mode) {
    let cluster = Cluster::start(1, 2, 2);
    cluster.wait_owned(0);
    cluster.store.set_mode(mode);
    for round in 0..25 {
        assert_eq!(cluster.get(round % 2, "/read/x", "s").status, 200);
        assert_eq!(cluster.get_key(round % 2, 30_000, "s").status, 200, "after {round}");
        std::thread::sleep(Duration::from_millis(200));
    }
    cluster.store.set_mode(Mode::Up);
    cluster.store.put("op/config", &configuration(4));
    wait(Duration::from_secs(5), "version 4", || cluster.get(0, "/version-4/x", "v").status == 200);
    assert!(cluster.journal.conflicts().is_empty());
}
