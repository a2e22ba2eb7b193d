//! Instances apply configuration versions in time and in increasing order.

use std::thread;
use std::time::Duration;

use caraway_production::caller::Caller;
use caraway_production::store::Mode;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::wait;

/// Time limit for applying a configuration.
const APPLY_LIMIT: Duration = Duration::from_millis(2000);

/// Guards against applying a version late, or keeping an old version on some instance.
#[test]
fn a_version_is_in_force_within_two_seconds() {
    let cluster = Cluster::start(1, 0, 2);
    cluster.store.put("op/config", &configuration(5));
    for index in 0..2 {
        wait(APPLY_LIMIT, "version 5", || cluster.get(index, "/version-5/x", "v").status == 200);
        assert_eq!(cluster.get(index, "/version-1/x", "v").status, 404);
    }
}

/// Guards against a version that reaches an instance only with its next periodic report: in a fleet of 300
/// instances, reports are two seconds apart, and the version took effect after 2.4 s.
#[test]
fn a_version_is_announced_to_a_large_fleet() {
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

/// Guards against missing a change because the store compacted its history.
#[test]
fn a_version_is_applied_after_a_compaction() {
    let cluster = Cluster::start(1, 0, 1);
    cluster.store.put("op/config", &configuration(2));
    cluster.store.compact();
    wait(APPLY_LIMIT, "version 2", || cluster.get(0, "/version-2/x", "v").status == 200);
}

/// Guards against missing a change while the store keeps watches open without delivering changes,
/// as it does during a compaction: a configuration did not take effect until the watches timed out.
#[test]
fn a_version_is_applied_while_watches_deliver_no_changes() {
    let cluster = Cluster::start(1, 0, 3);
    cluster.store.set_mode(Mode::Deaf);
    // Watches that are already open deliver this change; later ones deliver nothing.
    cluster.store.put("op/config", &configuration(2));
    std::thread::sleep(Duration::from_millis(1500));
    cluster.store.put("op/config", &configuration(6));
    cluster.store.set_mode(Mode::Up);
    for index in 0..3 {
        wait(APPLY_LIMIT, "version 6", || cluster.get(index, "/version-6/x", "v").status == 200);
    }
}

/// Guards against replacing a valid configuration by a malformed or older one.
#[test]
fn malformed_and_older_versions_change_nothing() {
    let cluster = Cluster::start(1, 0, 1);
    cluster.store.put("op/config", &configuration(7));
    wait(APPLY_LIMIT, "version 7", || cluster.get(0, "/version-7/x", "v").status == 200);
    let mut unknown = configuration(9);
    unknown["virtual_hosts"][0]["paths"][0]["service"] = "missing".into();
    cluster.store.put("op/config", &unknown);
    cluster.store.put_bytes("op/config", b"{\"version\": 10");
    cluster.store.put("op/config", &configuration(3));
    wait(APPLY_LIMIT, "an event for each", || {
        let log = cluster.instances[0].log();
        log.matches("configuration-refused").count() == 2 && log.contains("configuration-old")
    });
    assert_eq!(cluster.get(0, "/version-7/x", "v").status, 200);
    assert_eq!(cluster.get(0, "/version-3/x", "v").status, 404);
}

/// Guards against a malformed registration that stops an instance or hides valid targets.
#[test]
fn malformed_registrations_are_ignored() {
    let cluster = Cluster::start(1, 0, 1);
    cluster.store.put_bytes("servers/broken", b"\xff\x00");
    cluster.store.put("servers/partial", &serde_json::json!({ "address": "127.0.0.1:1" }));
    wait(APPLY_LIMIT, "two events", || {
        cluster.instances[0].log().matches("entry-ignored").count() == 2
    });
    assert_eq!(cluster.get(0, "/read/x", "v").status, 200);
}

/// Guards against an instance that stops serving or loses its configuration during an outage of the store.
#[yare::parameterized(busy = { Mode::Busy }, silent = { Mode::Silent })]
fn requests_are_served_during_a_store_outage(mode: Mode) {
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

/// Guards against requests that are moved to the other service of a route when one of them has no
/// room: the other one would get more than its share, which the operator may have limited.
#[test]
fn what_does_not_fit_into_one_part_of_a_route_is_refused() {
    let mut cluster = Cluster::start(1, 0, 1);
    cluster.add_target("s0", "small", false);
    cluster.targets[1].set_pause(Some("30"));
    let mut split = configuration(2);
    let small = serde_json::json!({ "name": "small", "max_connections": 100 });
    split["services"].as_array_mut().unwrap().push(small);
    split["virtual_hosts"][0]["paths"][0]["traffic_split"] = serde_json::json!([
        { "service": "pool", "weight": 3 },
        { "service": "small", "weight": 1 },
    ]);
    cluster.store.put("op/config", &split);
    wait(APPLY_LIMIT, "version 2", || cluster.get(0, "/version-2/x", "v").status == 200);
    let responses: Vec<_> =
        (0..40).map(|index| cluster.get(0, "/read/x", &format!("part-{index}"))).collect();
    let answered = responses.iter().filter(|response| response.status == 200).count();
    assert_eq!(answered, 30);
    for refused in responses.iter().filter(|response| response.status != 200) {
        assert_eq!(refused.status, 503);
        assert!(refused.header("retry-after").is_some());
    }
}

/// Guards against a request that is forwarded without its body: it was not admitted because it had no
/// route, and a configuration with the route arrived before its response was made.
#[test]
fn requests_around_a_new_route_are_whole_or_refused() {
    let cluster = Cluster::start(1, 0, 1);
    let headers = [("carawayscale-deadline-ms", "5000")];
    let mut callers: Vec<Caller> = (0..100).map(|_| cluster.caller(0)).collect();
    thread::sleep(Duration::from_millis(500));
    for version in 2..8 {
        // After the pause, requests are read before the configuration and answered after it.
        cluster.instances[0].signal("STOP");
        let path = format!("/version-{version}/x");
        for (index, caller) in callers.iter_mut().enumerate() {
            let attempt = format!("{version}-{index}");
            caller.send("POST", &path, &attempt, &headers, "order").unwrap();
        }
        cluster.store.put("op/config", &configuration(version));
        thread::sleep(Duration::from_millis(100));
        cluster.instances[0].signal("CONT");
        let responses: Vec<_> = callers.iter_mut().map(Caller::receive).collect();
        assert!(responses.iter().all(Result::is_ok));
        thread::sleep(Duration::from_millis(300));
    }
    let runs = cluster.journal.runs();
    assert!(runs.iter().all(|run| run.body == b"order"), "a request ran without its body");
}
