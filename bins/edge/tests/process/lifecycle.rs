//! Startup, shutdown, settings and metrics of the process.

use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use caraway_production::caller::Caller;

use crate::cluster::Cluster;
use crate::cluster::wait;

const DEADLINE: (&str, &str) = ("carawayscale-deadline-ms", "2000");

/// Guards against a graceful stop that cuts off a request in flight, or accepts a request too late
/// to answer it.
#[test]
fn a_graceful_stop_cuts_off_no_request() {
    let mut cluster = Cluster::start(1, 0, 1);
    let mut idle = cluster.caller(0);
    assert_eq!(idle.call("GET", "/read/x", "k0", &[DEADLINE]).unwrap().status, 200);
    let mut running = cluster.caller(0);
    running.send("GET", "/read/wait-1500", "w", &[DEADLINE], "").unwrap();
    cluster.instances[0].signal("TERM");
    wait(Duration::from_secs(1), "out of rotation", || !cluster.ready(0));
    let response = idle.call("GET", "/read/x", "k1", &[DEADLINE]).unwrap();
    assert_eq!((response.status, response.header("connection")), (200, Some("close")));
    assert_eq!(running.receive().unwrap().status, 200);
    let address = cluster.instances[0].caller_address;
    let started = Instant::now();
    // Every request that is read is answered until the listener refuses connections.
    while let Ok(mut caller) = Caller::open(address) {
        match caller.call("GET", "/read/wait-300", "late", &[DEADLINE]) {
            Ok(response) => assert_eq!(response.status, 200),
            Err(_) => assert_eq!(cluster.runs("late") as u128, 0, "cut off after it was forwarded"),
        }
        if started.elapsed() > Duration::from_secs(8) {
            panic!("connections are still accepted");
        }
        if Caller::open(address).is_err() {
            break;
        }
        thread::sleep(Duration::from_millis(50));
        if cluster.runs("late") > 0 && started.elapsed() > Duration::from_secs(4) {
            panic!("requests are accepted too late");
        }
    }
    let status = cluster.instances[0].wait(Duration::from_secs(6)).unwrap();
    assert_eq!(status.code(), Some(0));
    assert!(cluster.instances[0].log().contains("process-stopped"));
}

/// Guards against closing the connection of a request without an answer at the end of a stop: on day
/// trouble-2 of the grown tray deployment, a target that was full never answered, and the deadline of
/// the request was longer than the grace period.
#[test]
fn a_stop_answers_requests_that_outlast_it() {
    let mut cluster = Cluster::start(1, 0, 1);
    let mut running = cluster.caller(0);
    let deadline = ("carawayscale-deadline-ms", "12000");
    running.send("POST", "/slow/wait-11000", "w", &[deadline], "order").unwrap();
    wait(Duration::from_secs(1), "running", || cluster.runs("w") == 1);
    let started = Instant::now();
    cluster.instances[0].signal("TERM");
    let response = running.receive().unwrap();
    assert_eq!(response.status, 502, "the outcome is unknown: {response:?}");
    // The target may still respond until the last sixth of the grace period.
    assert!(started.elapsed() > Duration::from_secs(5), "{:?}", started.elapsed());
    let status = cluster.instances[0].wait(Duration::from_secs(1)).unwrap();
    assert_eq!(status.code(), Some(0));
}

/// Guards against further SIGTERMs that end the process with requests in flight.
#[test]
fn further_stop_signals_cut_off_no_request() {
    let mut cluster = Cluster::start(1, 0, 1);
    let mut running = cluster.caller(0);
    running.send("GET", "/read/wait-1900", "w", &[DEADLINE], "").unwrap();
    wait(Duration::from_secs(1), "running", || cluster.runs("w") == 1);
    for count in 1..4 {
        cluster.instances[0].signal("TERM");
        let event = if count == 1 { "stop-requested" } else { "stop-repeated" };
        wait(Duration::from_secs(1), event, || cluster.instances[0].log().contains(event));
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(running.receive().unwrap().status, 200);
    let status = cluster.instances[0].wait(Duration::from_secs(6)).unwrap();
    assert_eq!(status.code(), Some(0));
}

/// Guards against a process that cannot be stopped at once by hand.
#[test]
fn an_interrupt_during_a_stop_ends_the_process_at_once() {
    let mut cluster = Cluster::start(1, 0, 1);
    let mut running = cluster.caller(0);
    running.send("GET", "/read/wait-1900", "w", &[DEADLINE], "").unwrap();
    wait(Duration::from_secs(1), "running", || cluster.runs("w") == 1);
    cluster.instances[0].signal("TERM");
    wait(Duration::from_secs(1), "stopping", || {
        cluster.instances[0].log().contains("stop-requested")
    });
    cluster.instances[0].signal("INT");
    assert!(cluster.instances[0].wait(Duration::from_secs(1)).is_some());
}

/// Guards against accepting settings with missing or invalid fields, and against a check that stops
/// at the first finding.
#[test]
fn a_check_prints_all_findings_of_the_settings() {
    let path = std::env::temp_dir().join(format!("caraway-check-{}", std::process::id()));
    std::fs::write(&path, "self.ip=not-an-address\nunknown.field=1\nself.zone=a\n").unwrap();
    let program = env!("CARGO_BIN_EXE_caraway-edge");
    let run = Command::new(program).arg("--settings").arg(&path).arg("--check").output().unwrap();
    let text = String::from_utf8(run.stderr).unwrap();
    assert_eq!(run.status.code(), Some(2));
    for name in ["self.node_name", "self.ip", "platform.platform.address", "terms.bounds.grace_s"] {
        assert!(text.contains(name), "{name} in {text}");
    }
    assert!(!text.contains("unknown.field"), "{text}");
    std::fs::remove_file(&path).unwrap();
}

/// Guards against a metrics endpoint that is not served or lacks request metrics.
#[test]
fn metrics_are_served() {
    let cluster = Cluster::start(1, 0, 1);
    assert_eq!(cluster.get(0, "/read/x", "m").status, 200);
    let mut caller = Caller::open(cluster.instances[0].metrics_address).unwrap();
    let response = caller.call("GET", "/metrics", "m", &[]).unwrap();
    assert!(
        response.body.contains("caraway_answered_total{service=\"pool\"} 1"),
        "{}",
        response.body
    );
    assert!(response.body.contains("caraway_latency_seconds_bucket"));
}
