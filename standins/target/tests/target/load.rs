//! Slots, queueing, connections, warm-up, draining and load reports.

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use crate::common::Target;

/// Guards against an unbounded queue and against shed requests that run nevertheless.
#[test]
fn a_full_queue_sheds_requests() {
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

/// Guards against a request that starts after its deadline or is refused long after the deadline.
#[test]
fn a_deadline_that_passes_during_queueing_refuses_the_request() {
    let target = Target::unchecked(&["--slots", "1"]);
    thread::scope(|scope| {
        let slow = scope.spawn(|| target.request("1.1", "0", &[("test-service-ms", "1500")]));
        target.await_status("running", &json!(1));
        let expired = target.request("1.1", "0", &[("caraway-deadline-ms", "50")]);
        assert_eq!(expired.refusal(), (504, Some("deadline")));
        assert_eq!(target.status()["running"], 1, "the refusal waited for the slot");
        assert_eq!(slow.join().unwrap().status, 200);
    });
    let expired_on_arrival = target.request("1.1", "0", &[("caraway-deadline-ms", "0")]);
    assert_eq!(expired_on_arrival.refusal(), (504, Some("deadline")));
    assert_eq!(target.summary()["executions"], 1);
    assert_eq!(target.status()["queued"], 0);
}

/// Guards against a cold target that has its full capacity immediately or never reaches it.
#[test]
fn a_cold_target_has_fewer_slots_and_is_slower() {
    let cold = Target::unchecked(&["--slots", "4", "--warmup-ms", "60000"]);
    assert_eq!((&cold.status()["state"], &cold.status()["slots"]), (&json!("cold"), &json!(1)));
    let started = Instant::now();
    assert_eq!(cold.request("1.1", "0", &[("test-service-ms", "100")]).status, 200);
    assert!(started.elapsed() >= Duration::from_millis(250), "{:?}", started.elapsed());
    let warm = Target::unchecked(&["--slots", "4", "--warmup-ms", "50"]);
    warm.await_status("state", &json!("live"));
    assert_eq!(warm.status()["slots"], 4);
}

/// Guards against a draining target that accepts new requests or cancels running and queued ones.
#[test]
fn a_draining_target_completes_accepted_requests() {
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

/// Guards against a shutdown that cancels a request, hangs on an unused connection or closes the listener while a
/// request is running: the coordinator takes a refused connection as proof that no request is running.
#[test]
fn sigterm_completes_requests_before_the_listener_closes() {
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

/// Guards against a connection limit that is not enforced, or that closed connections still count towards.
#[test]
fn connections_above_the_limit_are_closed() {
    let target = Target::unchecked(&["--connections", "3"]);
    target.status();
    let open: Vec<_> = (0..2).map(|_| TcpStream::connect(&target.address).unwrap()).collect();
    let mut excess = TcpStream::connect(&target.address).unwrap();
    excess.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(excess.read(&mut [0; 1]).unwrap(), 0);
    assert_eq!(target.request("1.1", "0", &[]).status, 200);
    drop(open);
    thread::sleep(Duration::from_millis(100));
    let mut next = TcpStream::connect(&target.address).unwrap();
    next.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(next.read(&mut [0; 1]).is_err(), "the connection was closed");
}

/// Guards against fault injection that does not affect the load reports.
#[test]
fn load_reports_can_be_falsified_and_delayed() {
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

/// Guards against fault injection without an effect on requests and control calls.
#[test]
fn faults_slow_requests_and_refuse_control_calls() {
    let target = Target::unchecked(&[]);
    target.fault(&json!({ "extra_ms": 200, "refuse_control": true }));
    let started = Instant::now();
    assert_eq!(target.request("1.1", "0", &[]).status, 200);
    assert!(started.elapsed() >= Duration::from_millis(200));
    assert_eq!(target.control("GET", "/control/status", &Value::Null).0, 503);
    assert_eq!(target.journal().len(), 1);
    target.fault(&json!({ "refuse_control": false }));
    assert_eq!(target.status()["running"], 0);
}
