//! Grants and releases at targets whose responses are wrong, endless or arrive twice.

use std::thread;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::wait;

/// Bound on the growth of an instance's peak memory. The buffers of all grants and releases in
/// flight take less than half of it.
const MAX_GROWTH_KIB: u64 = 24 << 10;

/// Returns the highest fencing token in the stored tables.
fn highest_fence(cluster: &Cluster) -> u64 {
    let value = cluster.store.get("caraway/owners").unwrap();
    let tables: serde_json::Value = serde_json::from_slice(&value).unwrap();
    tables["keyed"]["fence"].as_u64().unwrap()
}

/// Guards against a release that is confirmed by a late copy of the response to a request that was
/// sent on the same connection. The keys then have two owners until the target has released them.
#[test]
fn a_copy_of_an_earlier_response_does_not_confirm_a_release() {
    let cluster = Cluster::start(0, 2, 1);
    cluster.wait_owned(0);
    let leaving = cluster.targets[0].clone();
    leaving.set_release_time(Duration::from_millis(600));
    let headers =
        |key: &'static str| [("carawayscale-deadline-ms", "2000"), ("carawayscale-shard-key", key)];
    // All connections to the target that are kept have a copy to come.
    let calls = ["0", "20000", "40000", "65535"].map(|key| {
        let mut caller = cluster.caller(0);
        thread::spawn(move || {
            caller.call("GET", "/key/wait-200-repeat-later", key, &headers(key)).unwrap().status
        })
    });
    for call in calls {
        assert_eq!(call.join().unwrap(), 200);
    }
    cluster.store.put(&leaving.registration_key(), &leaving.registration("draining"));
    // Requests would use up the connections with a copy before the release.
    thread::sleep(Duration::from_secs(2));
    wait(Duration::from_secs(5), "all keys at the other target", || {
        [0, 20_000, 40_000, 65_535].iter().all(|key| {
            let response = cluster.get_key(0, *key, "moved");
            response.status == 200 && response.body.starts_with("k1")
        })
    });
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
}

/// Guards against an instance that collects the body of a response to a grant or a release, which
/// it does not use. A coordinator with a few faulty targets exceeded the memory of its machine.
#[test]
fn endless_responses_to_grants_and_releases_are_not_collected() {
    let cluster = Cluster::start(0, 5, 1);
    cluster.wait_owned(0);
    let before = cluster.instances[0].peak_memory_kib();
    for (target, keyword) in cluster.targets.iter().zip(["chunks", "close", "chunks", "close"]) {
        target.answer_calls_endlessly(&format!("endless-{keyword}"));
    }
    // The keys of the faulty targets move to the last one when their grants have expired. Until
    // then their releases are in flight.
    thread::sleep(Duration::from_secs(6));
    let grown = cluster.instances[0].peak_memory_kib().saturating_sub(before);
    assert!(grown < MAX_GROWTH_KIB, "the peak memory grew by {grown} KiB");
    wait(Duration::from_secs(20), "all keys at the last target", || {
        [0, 20_000, 40_000, 65_535].iter().all(|key| {
            let response = cluster.get_key(0, *key, "moved");
            response.status == 200 && response.body.starts_with("k4")
        })
    });
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
}

/// Guards against a second response to a grant that is taken for the response to the next grant on
/// the connection.
#[test]
fn surplus_bytes_after_a_grant_end_its_connection() {
    let cluster = Cluster::start(0, 2, 1);
    cluster.wait_owned(0);
    let before = highest_fence(&cluster);
    cluster.targets[0].double_grant_responses();
    wait(Duration::from_secs(6), "a new token", || highest_fence(&cluster) > before);
    for key in [0, 20_000, 40_000, 65_535] {
        assert_eq!(cluster.get_key(0, key, "doubled").status, 200, "key {key}");
    }
    assert!(cluster.journal.conflicts().is_empty(), "{:?}", cluster.journal.conflicts());
}
