//! Keys, watches, leases, the instance list and malformed calls.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::common::Platform;

/// Guards against a write that ignores the expected revision and so overwrites the record of a takeover.
#[test]
fn put_requires_the_expected_revision() {
    let platform = Platform::start();
    assert_eq!(platform.get("/v1/kv/a/b").0, 404);
    assert_eq!(platform.put("a/b", "1", 0), (200, json!({ "revision": 1 })));
    assert_eq!(platform.put("a/b", "2", 0), (409, json!({ "revision": 1 })));
    assert_eq!(platform.put("c", "3", 0), (200, json!({ "revision": 2 })));
    assert_eq!(platform.put("a/b", "4", 1), (200, json!({ "revision": 3 })));
    let entry = json!({ "key": "a/b", "value": "4", "revision": 3 });
    assert_eq!(platform.get("/v1/kv/a/b"), (200, entry));
    assert_eq!(platform.put("absent", "1", 7), (409, json!({ "revision": 0 })));
}

/// Guards against two concurrent writers that both replace the same revision.
#[test]
fn exactly_one_concurrent_writer_succeeds_per_revision() {
    let platform = Platform::start();
    let successes = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                for revision in 0..20 {
                    let succeeded = platform.put("k", "1", revision).0 == 200;
                    successes.fetch_add(succeeded.into(), Ordering::SeqCst);
                    while platform.get("/v1/kv/k").1["revision"].as_u64() <= Some(revision) {}
                }
            });
        }
    });
    assert_eq!(successes.load(Ordering::SeqCst), 20);
}

/// Guards against watches that block the worker threads, miss a change or are counted more than once.
#[test]
fn waiting_watches_do_not_block_other_calls() {
    let platform = Platform::start();
    platform.put("other/x", "0", 0);
    thread::scope(|scope| {
        let watch = || platform.get("/v1/watch/a/?after=1&wait_ms=15000");
        let watches: Vec<_> = (0..24).map(|_| scope.spawn(watch)).collect();
        platform.await_count("watch", 24);
        assert_eq!(platform.get("/v1/kv/other/x").0, 200);
        platform.put("other/x", "1", 1);
        platform.put("a/k", "2", 0);
        for watch in watches {
            let change = json!({ "key": "a/k", "value": "2", "revision": 3 });
            let body = json!({ "revision": 3, "changes": [change] });
            assert_eq!(watch.join().unwrap(), (200, body));
        }
    });
    assert_eq!(platform.count("watch"), 24);
    let timed_out = platform.get("/v1/watch/a/?after=3&wait_ms=30");
    assert_eq!(timed_out, (200, json!({ "revision": 3, "changes": [] })));
}

/// Guards against keys that outlive their lease, and against deletions that watches do not report.
#[test]
fn an_expired_lease_deletes_its_keys() {
    let platform = Platform::start();
    let lease = platform.call("POST", "/v1/leases", r#"{"ttl_ms":400}"#).1["lease"].clone();
    let body = json!({ "value": "1", "expect": 0, "lease": lease }).to_string();
    assert_eq!(platform.call("PUT", "/v1/kv/held", &body).0, 200);
    platform.put("kept", "1", 0);
    for _ in 0..8 {
        thread::sleep(Duration::from_millis(100));
        assert_eq!(platform.call("PUT", &format!("/v1/leases/{lease}"), "").0, 200);
    }
    assert_eq!(platform.get("/v1/kv/held").0, 200);
    // The wait exceeds the client's timeout, so the watch must end with the deletion.
    let watch = platform.get("/v1/watch/held?after=1&wait_ms=60000");
    let change = json!({ "key": "held", "value": null, "revision": 3 });
    assert_eq!(watch, (200, json!({ "revision": 3, "changes": [change] })));
    assert_eq!(platform.get("/v1/kv/held").0, 404);
    assert_eq!(platform.get("/v1/kv/kept").0, 200);
    assert_eq!(platform.call("PUT", &format!("/v1/leases/{lease}"), "").0, 404);
    assert_eq!(platform.put("held", "2", 0).0, 200);
}

/// Guards against a list that shows a state before the lag has elapsed, or never shows it.
#[test]
fn the_instance_list_lags_behind_its_writes() {
    let platform = Platform::start();
    let put = |state: &str| {
        let body =
            json!({ "kind": "target", "failure_domain": "a", "address": "b", "state": state });
        assert_eq!(platform.call("PUT", "/v1/instances/t-1", &body.to_string()).0, 200);
    };
    put("live");
    thread::sleep(Duration::from_millis(2));
    let state = || platform.get("/v1/instances").1[0]["state"].clone();
    assert_eq!(state(), json!("live"));
    thread::sleep(Duration::from_millis(1500));
    platform.fault(json!({ "list_lag_ms": 1000 }));
    put("gone");
    assert_eq!(state(), json!("live"));
    thread::sleep(Duration::from_millis(1100));
    assert_eq!(state(), json!("gone"));
}

/// Guards against a value limit that is off by one, or that counts the JSON escapes of the request.
#[test]
fn values_over_the_limit_are_refused() {
    let platform = Platform::start();
    let fits = format!("\"{}\"", "x".repeat((1 << 20) - 2));
    let large = format!("\"{}\"", "x".repeat((1 << 20) - 1));
    assert_eq!(platform.put("k", &large, 0).0, 413);
    assert_eq!(platform.put("k", &fits, 0).0, 200);
    assert_eq!(platform.get("/v1/kv/k").1["value"].as_str().unwrap().len(), 1 << 20);
}

/// Guards against malformed calls that crash the process, succeed or have a response without a JSON error.
#[yare::parameterized(
    not_json = { "PUT", "/v1/kv/k", "{" },
    no_expect = { "PUT", "/v1/kv/k", r#"{"value":"1"}"# },
    negative_revision = { "PUT", "/v1/kv/k", r#"{"value":"1","expect":-1}"# },
    value_is_not_a_string = { "PUT", "/v1/kv/k", r#"{"value":1,"expect":0}"# },
    value_is_not_json = { "PUT", "/v1/kv/k", r#"{"value":"{","expect":0}"# },
    unknown_lease = { "PUT", "/v1/kv/k", r#"{"value":"1","expect":0,"lease":9}"# },
    empty_key = { "GET", "/v1/kv/", "" },
    escaped_key = { "GET", "/v1/kv/a%20b", "" },
    bad_wait = { "GET", "/v1/watch/a?wait_ms=x", "" },
    unknown_parameter = { "GET", "/v1/watch/a?since=1", "" },
    zero_ttl = { "POST", "/v1/leases", r#"{"ttl_ms":0}"# },
    bad_lease = { "PUT", "/v1/leases/x", "" },
    bad_state = { "PUT", "/v1/instances/i", r#"{"kind":"entry","failure_domain":"a","address":"b","state":"c"}"# },
    bad_fault = { "POST", "/v1/fault", r#"{"delay_ms":-1}"# },
    unknown_fault = { "POST", "/v1/fault", r#"{"delay":1}"# },
)]
fn malformed_calls_are_refused(method: &str, path: &str, body: &str) {
    let platform = Platform::start();
    let (status, response) = platform.call(method, path, body);
    assert_eq!(status, 400);
    assert!(response["error"].is_string(), "{response}");
}

/// Guards against a malformed request line or an incomplete request that disables the server.
#[test]
fn broken_connections_do_not_affect_later_calls() {
    let platform = Platform::start();
    for bytes in [&b"\0\xff\r\n\r\n"[..], b"PUT /v1/kv/k HTTP/1.1\r\ncontent-length: 99\r\n\r\n{"] {
        let mut connection = TcpStream::connect(&platform.address).unwrap();
        connection.write_all(bytes).unwrap();
        connection.shutdown(std::net::Shutdown::Write).unwrap();
        let _ = connection.read_to_end(&mut Vec::new());
    }
    assert_eq!(platform.get("/v1/kv/k").0, 404);
}
