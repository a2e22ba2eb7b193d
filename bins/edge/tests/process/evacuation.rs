//! Evacuations of failure domains.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use caraway_production::store::Mode;

use crate::cluster::Cluster;
use crate::cluster::wait;

/// Bound of evacuations in the settings of the instances.
const BOUND: Duration = Duration::from_millis(4000);

/// Puts a target into failure domain `b`; targets are in `a` otherwise.
fn relocate(cluster: &Cluster, index: usize) {
    let target = &cluster.targets[index];
    cluster.store.put(&target.registration_key(), &target.registration_in("ready", "b"));
}

/// Returns the number of requests that have arrived at a target since a time.
fn arrivals(cluster: &Cluster, target: &str, since: Instant) -> usize {
    let arrivals = cluster.journal.arrivals();
    arrivals.iter().filter(|arrival| arrival.target == target && arrival.at >= since).count()
}

/// Guards against requests to the targets of an evacuated domain, against keys that are not served
/// while they move, and against a domain that gets nothing after its evacuation.
#[test]
fn an_evacuated_domain_is_emptied_without_failures_and_used_again_afterwards() {
    let cluster = Cluster::start(2, 3, 2);
    // The evacuated domain `a` is that of the instances, whose targets they prefer.
    for index in [0, 3, 4] {
        relocate(&cluster, index);
    }
    cluster.wait_owned(0);
    let owned = |index: usize, key: u16, attempt: &str| {
        let response = cluster.get_key(index, key, attempt);
        assert_eq!(response.status, 200, "key {key} at {attempt}: {}", response.body);
        response.body.starts_with("k0")
    };
    let keys: Vec<u16> = (0..64).map(|index| index * 1024).collect();
    assert!(keys.iter().any(|key| owned(0, *key, "before")));
    cluster.store.put("op/evacuate/a", &json!({}));
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < BOUND + Duration::from_secs(1) {
        round += 1;
        for key in keys.iter().step_by(4) {
            owned(round % 2, *key, &format!("round-{round}"));
        }
        assert_eq!(cluster.get(round % 2, "/read/x", &format!("read-{round}")).status, 200);
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(arrivals(&cluster, "p1", start + Duration::from_millis(1500)), 0);
    assert_eq!(arrivals(&cluster, "k0", start + BOUND), 0);
    assert!(!keys.iter().any(|key| owned(1, *key, "evacuated")));
    assert!(cluster.journal.conflicts().is_empty());
    for instance in &cluster.instances {
        assert!(instance.log().contains("evacuation-began"));
    }
    cluster.store.remove("op/evacuate/a");
    let removed = Instant::now();
    wait(Duration::from_secs(20), "requests and keys return", || {
        // More requests than one instance may have in flight at one target reach both targets.
        thread::scope(|scope| {
            for _ in 0..10 {
                let cluster = &cluster;
                scope.spawn(move || cluster.get(0, "/read/wait-100", "again"));
            }
        });
        let keys_are_back = keys.iter().any(|key| owned(0, *key, "after"));
        keys_are_back && arrivals(&cluster, "p1", removed) > 0
    });
    assert!(cluster.journal.conflicts().is_empty());
}

/// Guards against requests that reach the domain after the bound, although nothing else can serve
/// them and the store and its owners are out of reach, and against refusals before it.
#[test]
fn without_other_targets_and_without_the_store_the_bound_still_holds() {
    let cluster = Cluster::start(1, 1, 1);
    relocate(&cluster, 0);
    relocate(&cluster, 1);
    cluster.wait_owned(0);
    cluster.store.put("op/evacuate/b", &json!({}));
    let start = Instant::now();
    wait(Duration::from_secs(2), "the evacuation is known", || {
        cluster.instances[0].log().contains("evacuation-began")
    });
    cluster.store.set_mode(Mode::Silent);
    let mut early = 0;
    while start.elapsed() < Duration::from_secs(2) {
        assert_eq!(cluster.get(0, "/read/x", "early").status, 200);
        assert_eq!(cluster.get_key(0, 40_000, "early").status, 200);
        early += 1;
        thread::sleep(Duration::from_millis(50));
    }
    assert!(early > 0);
    thread::sleep((BOUND + Duration::from_millis(200)).saturating_sub(start.elapsed()));
    for _ in 0..10 {
        for response in [cluster.get(0, "/read/x", "late"), cluster.get_key(0, 40_000, "late")] {
            assert_eq!(response.status, 503);
            assert!(response.header("retry-after").is_some());
        }
    }
    assert_eq!(arrivals(&cluster, "p0", start + BOUND), 0);
    assert_eq!(arrivals(&cluster, "k0", start + BOUND), 0);
}
