//! Slots, queue, connections, warm-up, drain and load reports.

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use crate::common::Target;

/// Guards against an unbounded queue and against a shed request that runs later.
#[test]
fn a_full_queue_sheds() {
    let target = Target::unchecked(&["--slots", "2"]);
    thread::scope(|scope| {
        let slow = || target.request("1.1", "0", &[("test-service-ms", "500")]).status;
        let running: Vec<_> = (0..2).map(|_| scope.spawn(slow)).collect();
        target.await_status("running", &json!(2));
        let queued: Vec<_> = (0..4).map(|_| scope.spawn(slow)).collect();
        target.await_status("queued", &json!(4));
        assert_eq!(target.request("1.1", "0", &[]).refusal(), (503, Some("shed")));
        for call in running.into_iter().chain(queued) {
            assert_eq!(call.join().unwrap(), 200);
        }
    });
    let summary = target.summary();
    assert_eq!((&summary["executions"], &summary["refused"]), (&json!(6), &json!({ "shed": 1 })));
    assert_eq!(target.status()["running"], 0);
}

/// Guards against a request that starts after its deadline, or is refused long after it.
#[test]
fn a_deadline_that_passes_in_the_queue_stops_the_request() {
    let target = Target::unchecked(&["--slots", "1"]);
    thread::scope(|scope| {
        let slow = scope.spawn(|| target.request("1.1", "0", &[("test-service-ms", "1500")]));
        target.await_status("running", &json!(1));
        let late = target.request("1.1", "0", &[("caraway-deadline-ms", "50")]);
        assert_eq!(late.refusal(), (504, Some("deadline")));
        assert_eq!(target.status()["running"], 1, "the refusal waited for the slot");
        assert_eq!(slow.join().unwrap().status, 200);
    });
    let none = target.request("1.1", "0", &[("caraway-deadline-ms", "0")]);
    assert_eq!(none.refusal(), (504, Some("deadline")));
    assert_eq!(target.summary()["executions"], 1);
    assert_eq!(target.status()["queued"], 0);
}

/// Guards against a cold target that has its full capacity at once, or never gets it.
#[test]
fn a_cold_target_has_fewer_slots_and_is_slower() {
    let cold = Target::unchecked(&["--slots", "4", "--warmup-ms", "60000"]);
    assert_eq!((&cold.status()["state"], &cold.status()["slots"]), (&json!("cold"), &json!(1)));
    let start_at = Instant::now();
    assert_eq!(cold.request("1.1", "0", &[("test-service-ms", "100")]).status, 200);
    assert!(start_at.elapsed() >= Duration::from_millis(250), "{:?}", start_at.elapsed());
    let warm = Target::unchecked(&["--slots", "4", "--warmup-ms", "50"]);
    warm.await_status("state", &json!("live"));
    assert_eq!(warm.status()["slots"], 4);
}

/// Guards against a drain that accepts new requests or cuts off running and queued ones.
#[test]
fn a_draining_target_finishes_its_requests() {
    let target = Target::unchecked(&["--slots", "1"]);
    thread::scope(|scope| {
        let slow = || target.request("1.1", "0", &[("test-service-ms", "300")]).status;
        let running = scope.spawn(slow);
        target.await_status("running", &json!(1));
        let queued = scope.spawn(slow);
        target.await_status("queued", &json!(1));
        let drained = target.control("POST", "/control/drain", &Value::Null);
        assert_eq!((drained.0, &drained.1["state"]), (200, &json!("draining")));
        assert_eq!(target.request("1.1", "0", &[]).refusal(), (503, Some("draining")));
        assert_eq!((running.join().unwrap(), queued.join().unwrap()), (200, 200));
    });
}

/// Guards against a stop that cuts off a request, hangs on an unused connection, or closes the address while one runs: a
/// refused connection would prove to the coordinator that nothing runs.
#[test]
fn sigterm_finishes_requests_before_the_address_closes() {
    let mut target = Target::unchecked(&[]);
    let _unused = TcpStream::connect(&target.address).unwrap();
    thread::scope(|scope| {
        let slow = scope.spawn(|| target.request("1.1", "0", &[("test-service-ms", "400")]));
        target.await_status("running", &json!(1));
        target.signal(Signal::TERM);
        thread::sleep(Duration::from_millis(100));
        assert_eq!(target.request("1.1", "0", &[]).refusal(), (503, Some("draining")));
        assert_eq!(slow.join().unwrap().status, 200);
    });
    assert_eq!(target.wait().code(), Some(0));
    assert!(TcpStream::connect(&target.address).is_err());
}

/// Guards against a connection limit that is not applied or that is never freed.
#[test]
fn connections_over_the_limit_are_closed() {
    let target = Target::unchecked(&["--connections", "3"]);
    target.status();
    let open: Vec<_> = (0..2).map(|_| TcpStream::connect(&target.address).unwrap()).collect();
    let mut over = TcpStream::connect(&target.address).unwrap();
    over.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(over.read(&mut [0; 1]).unwrap(), 0);
    assert_eq!(target.request("1.1", "0", &[]).status, 200);
    drop(open);
    thread::sleep(Duration::from_millis(100));
    let mut next = TcpStream::connect(&target.address).unwrap();
    next.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(next.read(&mut [0; 1]).is_err(), "the connection is closed");
}

/// Guards against reports that tell the truth when a test needs them wrong.
#[test]
fn load_reports_lie_and_lag() {
    let target = Target::unchecked(&[]);
    target.fault(&json!({ "lie_running": 99 }));
    assert_eq!(target.status()["running"], 99);
    target.fault(&json!({ "lie_running": null, "report_lag_ms": 400 }));
    thread::scope(|scope| {
        scope.spawn(|| target.request("1.1", "0", &[("test-service-ms", "800")]));
        thread::sleep(Duration::from_millis(200));
        assert_eq!(target.status()["running"], 0);
        target.await_status("running", &json!(1));
    });
    assert_eq!(target.status()["running"], 1);
    target.await_status("running", &json!(0));
}

/// Guards against faults that have no effect.
#[test]
fn faults_slow_requests_and_refuse_control_calls() {
    let target = Target::unchecked(&[]);
    target.fault(&json!({ "extra_ms": 200, "refuse_control": true }));
    let start_at = Instant::now();
    assert_eq!(target.request("1.1", "0", &[]).status, 200);
    assert!(start_at.elapsed() >= Duration::from_millis(200));
    assert_eq!(target.control("GET", "/control/status", &Value::Null).0, 503);
    assert_eq!(target.journal().len(), 1);
    target.fault(&json!({ "refuse_control": false }));
    assert_eq!(target.status()["running"], 0);
}
