//! Cold targets, which crash if they get more requests in a second than they tolerate.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::wait;

/// Requests per second that a cold target tolerates in the configuration of these tests, and the
/// largest number in any second: 4 x 1.5 + 2, with the factor and the slack of the settings.
const RATE: f64 = 4.0;
const BOUND: usize = 8;

fn cluster(pool: usize, keyed: usize, instances: usize) -> Cluster {
    let cluster = Cluster::start(pool, keyed, instances);
    let mut limited = configuration(2);
    for service in [0, 1] {
        limited["services"][service]["warmup_s"] = json!(3.0);
        limited["services"][service]["warmup_per_s"] = json!(RATE);
    }
    cluster.store.put("op/config", &limited);
    for index in 0..instances {
        wait(Duration::from_secs(5), "configured", || {
            cluster.get(index, "/version-2/x", "version").status == 200
        });
    }
    // An instance sends to cold targets when its list of instances has not changed for a while.
    thread::sleep(Duration::from_millis(2500));
    cluster
}

/// Sends requests to all instances for some time, several at once, and returns those answered.
fn load(cluster: &Cluster, name: &str, time: Duration) -> usize {
    let end = Instant::now() + time;
    let call = |caller: usize| {
        let mut answered = 0;
        for count in 0.. {
            if Instant::now() >= end {
                break;
            }
            let instance = caller % cluster.instances.len();
            let attempt = format!("{name}-{caller}-{count}");
            let response = cluster.get(instance, "/read/wait-10", &attempt);
            assert!([200, 503].contains(&response.status), "{}", response.status);
            if response.status == 503 {
                assert!(response.header("retry-after").is_some());
                thread::sleep(Duration::from_millis(20));
            }
            answered += usize::from(response.status == 200);
        }
        answered
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..8).map(|caller| scope.spawn(move || call(caller))).collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).sum()
    })
}

/// Guards against a cold target that crashes because all instances send to it, and against one that
/// gets no requests while others are warm.
#[test]
fn a_cold_target_beside_a_warm_one_gets_few_requests_and_does_not_crash() {
    let mut cluster = cluster(1, 0, 2);
    cluster.add_cold_target("cold", "pool", Duration::from_secs(4), BOUND);
    load(&cluster, "mixed", Duration::from_secs(7));
    assert!(!cluster.targets[1].is_down());
    assert!(cluster.journal.arrivals().iter().any(|arrival| arrival.target == "cold"));
}

/// Guards against a service all of whose targets are cold that serves nothing or crashes, and
/// against refusals without a time at which callers should return.
#[test]
fn a_service_whose_targets_are_all_cold_serves_what_they_tolerate() {
    let cluster = cluster(1, 0, 2);
    let target = &cluster.targets[0];
    target.make_cold(Duration::from_secs(30), BOUND);
    cluster.store.put(&target.registration_key(), &target.registration("ready"));
    thread::sleep(Duration::from_millis(1500));
    let answered = load(&cluster, "cold", Duration::from_secs(4));
    assert!(!target.is_down());
    assert!((4..=32).contains(&answered), "{answered} answered");
}

/// Guards against a target that turns cold while its entry says that it is warm: its responses say
/// so.
#[test]
fn a_target_that_states_in_a_response_that_it_is_cold_gets_few_requests() {
    let cluster = cluster(1, 0, 1);
    cluster.targets[0].make_cold(Duration::from_secs(30), BOUND);
    load(&cluster, "stated", Duration::from_secs(3));
    assert!(!cluster.targets[0].is_down());
    assert!(cluster.instances[0].log().contains("target-cold"));
}

/// Guards against keys that move to a cold target, which cannot serve them, and against a target
/// that gets none once it is warm.
#[test]
fn a_target_of_a_keyed_service_gets_keys_when_it_is_warm() {
    let mut cluster = cluster(1, 2, 1);
    cluster.wait_owned(0);
    let cold_time = Duration::from_secs(4);
    cluster.add_cold_target("cold", "keyed", cold_time, BOUND);
    let start = Instant::now();
    let owned = || {
        (0..16_u16).any(|index| {
            let response = cluster.get_key(0, index * 4096, "key");
            response.status == 200 && response.body.starts_with("cold")
        })
    };
    while start.elapsed() < cold_time - Duration::from_millis(300) {
        assert!(!owned(), "keys after {:?}", start.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
    wait(Duration::from_secs(8), "keys at the warm target", owned);
    assert!(cluster.journal.conflicts().is_empty());
}
