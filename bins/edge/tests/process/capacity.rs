//! Targets of a service without keys that are divided among many instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::wait;

/// Registered instances without a process. With the real ones there are more than seven for each
/// of the four slots of a target, so the targets are divided.
const ABSENT_INSTANCES: usize = 34;
const TARGETS: usize = 16;

fn start() -> Cluster {
    let cluster = Cluster::start(TARGETS, 1, 2);
    for index in 0..ABSENT_INSTANCES {
        // Port 9 takes no connections.
        let entry = json!({ "address": "127.0.0.1:9", "domain": "a", "processor": 0.5 });
        cluster.store.put(&format!("caraway/instance/absent-{index}"), &entry);
    }
    // Both instances learn of the entries and compute their shares anew.
    thread::sleep(Duration::from_millis(2500));
    cluster
}

fn used(cluster: &Cluster, prefix: &str) -> BTreeSet<String> {
    let runs = cluster.journal.runs();
    let used = runs.iter().filter(|run| run.attempt.starts_with(prefix));
    used.map(|run| run.target.clone()).collect()
}

/// Guards against an instance of a large fleet that spreads its requests over all targets, and
/// against one that cannot send at all.
#[test]
fn an_instance_of_a_large_fleet_uses_its_share() {
    let cluster = start();
    for index in 0..2 {
        for request in 0..60 {
            let response = cluster.get(index, "/read/x", &format!("{index}-{request}"));
            assert_eq!(response.status, 200, "{}", response.body);
        }
    }
    // Five places of each target for every two slots, for 36 instances.
    for index in 0..2 {
        let used = used(&cluster, &format!("{index}-"));
        assert!((1..=7).contains(&used.len()), "instance {index} uses {used:?}");
    }
}

/// Guards against more requests of an instance at a target than its place there allows, and against
/// requests that wait in vain instead of being refused with a time to return.
#[test]
fn an_instance_of_a_large_fleet_stays_within_its_places() {
    let cluster = start();
    // The instance learns that requests take long.
    for request in 0..4 {
        cluster.get(0, "/read/wait-300", &format!("first-{request}"));
    }
    let responses: Vec<_> = thread::scope(|scope| {
        let call = |request| {
            let cluster = &cluster;
            scope.spawn(move || cluster.get(0, "/read/wait-300", &format!("many-{request}")))
        };
        let calls: Vec<_> = (0..30).map(call).collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    let count = |status| responses.iter().filter(|r| r.status == status).count();
    assert_eq!(count(200) + count(503), 30, "{responses:?}");
    assert!(count(200) >= 3 && count(503) >= 3, "{responses:?}");
    for response in responses.iter().filter(|response| response.status == 503) {
        // A third of the two seconds that the caller has.
        let delay: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!(delay > 0.0 && delay <= 0.667, "{response:?}");
    }
    // A place allows one or two requests at a time.
    let mut starts: BTreeMap<String, Vec<_>> = BTreeMap::new();
    for run in cluster.journal.runs().into_iter().filter(|run| run.attempt.starts_with("many-")) {
        starts.entry(run.target).or_default().push(run.at);
    }
    for (target, mut starts) in starts {
        starts.sort();
        let third = starts.windows(3).find(|at| at[2] - at[0] < Duration::from_millis(250));
        assert!(third.is_none(), "{target}: {starts:?}");
    }
}

/// A target takes requests and answers none. Guards against orders that are sent to it, which cannot
/// be sent again, and against callers that all wait until their deadline.
#[test]
fn a_silent_target_gets_no_orders() {
    let cluster = Cluster::start(2, 1, 1);
    for request in 0..20 {
        assert_eq!(cluster.get(0, "/read/x", &format!("first-{request}")).status, 200);
    }
    // The time of the first measurements is used from the next second on.
    thread::sleep(Duration::from_millis(1100));
    thread::scope(|scope| {
        let mut request = 0;
        wait(Duration::from_secs(5), "a request is at the target", || {
            let attempt = format!("found-{request}");
            request += 1;
            let cluster = &cluster;
            scope.spawn(move || cluster.get(0, "/read/wait-300-hang-at-p0", &attempt));
            used(cluster, "found-").contains("p0")
        });
        // Its response is overdue after a second, or 4.5 times what the other target takes.
        thread::sleep(Duration::from_millis(1700));
        // Together they would be too many for one of two usable targets.
        let order = |request| {
            let cluster = &cluster;
            scope.spawn(move || {
                let headers = [("carawayscale-deadline-ms", "2000")];
                let attempt = format!("order-{request}");
                let path = "/order/wait-200-hang-at-p0";
                cluster.caller(0).call("POST", path, &attempt, &headers).unwrap()
            })
        };
        let orders: Vec<_> = (0..10).map(order).collect();
        for response in orders.into_iter().map(|order| order.join().unwrap()) {
            assert_eq!(response.status, 200, "{}", response.body);
        }
    });
    assert_eq!(used(&cluster, "order-"), BTreeSet::from(["p1".to_owned()]));
}
