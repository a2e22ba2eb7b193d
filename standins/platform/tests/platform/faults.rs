//! Fault injection and graceful shutdown.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::common::Platform;

/// Guards against a fault that drops the write together with its response, or that sends the response.
#[test]
fn a_write_with_a_lost_response_takes_effect() {
    let platform = Platform::start();
    platform.put("k", "1", 0);
    platform.fault(json!({ "lose_answers": 1 }));
    assert_eq!(platform.put("k", "9", 0).0, 409, "a conflict does not consume the fault");
    let body = json!({ "value": "2", "expect": 1 }).to_string();
    assert!(platform.call_from("med", "PUT", "/v1/kv/k", &body).is_err());
    assert_eq!(platform.get("/v1/kv/k").1["value"], "2");
    assert_eq!(platform.put("k", "3", 2).0, 200);
}

/// Guards against calls that succeed during an outage, and against control calls that fail during it.
#[test]
fn an_outage_fails_all_calls() {
    let platform = Platform::start();
    platform.put("k", "1", 0);
    platform.fault(json!({ "down": true }));
    for path in ["/v1/kv/k", "/v1/watch/k?wait_ms=0", "/v1/instances"] {
        assert!(platform.call_from("med", "GET", path, "").is_err(), "{path}");
    }
    assert!(platform.call_from("med", "PUT", "/v1/kv/k", "").is_err());
    platform.fault(json!({ "down": false }));
    assert_eq!(platform.get("/v1/kv/k").0, 200);
}

/// Guards against a cut that leaves waiting watches connected or affects other failure domains.
#[test]
fn a_cut_closes_only_the_connections_of_its_domain() {
    let platform = Platform::start();
    thread::scope(|scope| {
        let watch = |domain: &'static str| {
            let path = "/v1/watch/k?after=0&wait_ms=15000";
            let platform = &platform;
            scope.spawn(move || platform.call_from(domain, "GET", path, ""))
        };
        let cut = watch("bog");
        let connected = watch("med");
        platform.await_count("watch", 2);
        let fault = r#"{"cut_domains":["bog"]}"#;
        let control = platform.call_from("bog", "POST", "/v1/fault", fault);
        assert_eq!(control.unwrap().0, 200, "a control call is never cut");
        assert!(cut.join().unwrap().is_err());
        assert!(platform.call_from("bog", "GET", "/v1/kv/k", "").is_err());
        assert_eq!(platform.put("k", "1", 0).0, 200);
        assert_eq!(connected.join().unwrap().unwrap().0, 200);
    });
    platform.fault(json!({ "cut_domains": [] }));
    assert_eq!(platform.call_from("bog", "GET", "/v1/kv/k", "").unwrap().0, 200);
}

/// Guards against delays that block the worker threads, so that the delays of concurrent calls add up.
#[test]
fn delays_of_concurrent_calls_overlap() {
    let platform = Platform::start();
    platform.fault(json!({ "delay_ms": 300 }));
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..24 {
            scope.spawn(|| platform.get("/v1/kv/k"));
        }
    });
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(300), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(3 * 300), "{elapsed:?}");
}

/// Guards against a shutdown that hangs on a waiting watch or exits with a failure.
#[test]
fn sigterm_ends_the_process_despite_a_waiting_watch() {
    let mut platform = Platform::start();
    let address = platform.address.clone();
    let watch = thread::spawn(move || {
        ureq::get(format!("http://{address}/v1/watch/k?wait_ms=15000")).call().is_err()
    });
    platform.await_count("watch", 1);
    assert_eq!(platform.terminate().code(), Some(0));
    assert!(watch.join().unwrap());
}
