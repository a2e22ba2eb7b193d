//! Grants, fencing tokens and expiry.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use crate::common::Target;

const LONG_MS: u64 = 60_000;

/// Guards against requests and grants of the previous coordinator that are accepted after a takeover, and against
/// a token that is accepted because its term, which has no grant yet, is higher.
#[test]
fn a_higher_term_fences_the_previous_coordinator() {
    let target = Target::start(&[]);
    assert_eq!(target.request("4.1", "3", &[]).refusal(), (409, Some("stale-token")));
    assert_eq!(target.grant((4, 1), LONG_MS, json!([[0, 9]])), 200);
    assert_eq!(target.request("4.7", "3", &[]).status, 200, "a newer grant may still be in flight");
    assert_eq!(target.grant((6, 2), LONG_MS, Value::Null), 200);
    for (token, shard) in [("4.1", "3"), ("4.9", "3"), ("4.9", "50"), ("6.1", "3"), ("8.2", "3")] {
        assert_eq!(target.request(token, shard, &[]).refusal(), (409, Some("stale-token")));
    }
    assert_eq!(target.grant((4, 9), LONG_MS, json!([[0, 99]])), 409);
    assert_eq!(target.request("6.2", "3", &[]).status, 200);
    let status = target.status();
    assert_eq!(status["shards"], json!([[0, 9]]), "a takeover keeps the shards");
    assert_eq!((&status["term"], &status["seq"]), (&json!(6), &json!(2)));
    assert_eq!(target.journal().len(), 2);
}

/// Guards against requests for shards that were never granted, were revoked, or were granted again only after
/// the token of the request was issued.
#[test]
fn a_shard_needs_a_token_at_or_after_its_grant() {
    let target = Target::start(&[]);
    target.grant((4, 1), LONG_MS, json!([[0, 9]]));
    assert_eq!(target.request("4.1", "10", &[]).refusal(), (409, Some("not-owner")));
    target.grant((4, 2), LONG_MS, json!([[0, 4]]));
    assert_eq!(target.request("4.2", "7", &[]).refusal(), (409, Some("not-owner")));
    assert_eq!(target.request("4.1", "2", &[]).status, 200, "shard 2 was kept");
    target.grant((4, 3), LONG_MS, json!([[0, 4], [7, 7]]));
    assert_eq!(target.request("4.1", "7", &[]).refusal(), (409, Some("stale-token")));
    assert_eq!(target.request("4.3", "7", &[]).status, 200);
    assert_eq!(target.status()["shards"], json!([[0, 4], [7, 7]]));
}

/// Guards against a split key that its new owner refuses, or that its owner still accepts after the revocation.
#[test]
fn a_split_key_is_owned_without_its_shard() {
    let target = Target::start(&[]);
    let grant = |seq: u64, keys: Value| {
        let valid_until = target.now_ms() + LONG_MS;
        let body = json!({ "group": "g", "term": 4, "seq": seq, "valid_until_ms": valid_until,
            "shards": null, "keys": keys });
        assert_eq!(target.control("POST", "/control/grant", &body).0, 200);
    };
    grant(2, json!(["hot"]));
    let hot = [("caraway-key", "hot")];
    assert_eq!(target.request("4.2", "3", &hot).status, 200);
    assert_eq!(target.request("4.1", "3", &hot).refusal(), (409, Some("stale-token")));
    assert_eq!(target.request("4.2", "3", &[]).refusal(), (409, Some("not-owner")));
    grant(3, json!([]));
    assert_eq!(target.request("4.3", "3", &hot).refusal(), (409, Some("not-owner")));
}

/// Guards against duplicate or reordered grants that shorten the grant or restore a revoked shard.
#[test]
fn duplicate_and_reordered_grants_change_nothing() {
    let target = Target::start(&[]);
    assert_eq!(target.grant((4, 1), LONG_MS, json!([[0, 9]])), 200);
    assert_eq!(target.grant((4, 1), LONG_MS, json!([[0, 9]])), 200);
    let valid_until = target.status()["valid_until_ms"].clone();
    assert_eq!(target.grant((4, 1), 1, Value::Null), 200, "an older renewal of the same token");
    assert_eq!(target.status()["valid_until_ms"], valid_until);
    assert_eq!(target.grant((4, 2), LONG_MS, json!([[5, 9]])), 200);
    assert_eq!(target.grant((4, 1), LONG_MS, json!([[0, 9]])), 409);
    assert_eq!(target.grant((4, 1), LONG_MS, Value::Null), 409);
    assert_eq!(target.request("4.2", "0", &[]).refusal(), (409, Some("not-owner")));
    assert_eq!(target.status()["shards"], json!([[5, 9]]));
    assert_eq!(target.grant((4, 3), 1, json!([])), 200);
    thread::sleep(Duration::from_millis(5));
    assert_eq!(target.request("4.3", "5", &[]).refusal(), (409, Some("not-owner")));
}

/// Guards against a target that resumes after its grant has expired and serves requests because an old renewal
/// was waiting in its socket buffer.
#[test]
fn a_renewal_received_while_frozen_does_not_revive_an_expired_grant() {
    let target = Target::start(&[]);
    target.grant((4, 1), LONG_MS, json!([[0, 9]]));
    assert_eq!(target.request("4.1", "0", &[]).status, 200);
    target.grant((4, 2), 400, Value::Null);
    let valid_until = target.now_ms() + 400;
    target.signal(Signal::STOP);
    let body = json!({ "group": "g", "term": 4, "seq": 2, "valid_until_ms": valid_until,
        "shards": null, "keys": null })
    .to_string();
    let renewal = format!(
        "POST /control/grant HTTP/1.1\r\nhost: t\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let request = "GET /s/k HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncaraway-token: 4.2\r\n\
        caraway-shard: 0\r\ncaraway-request-id: late\r\n\r\n";
    let mut connection = TcpStream::connect(&target.address).unwrap();
    connection.write_all(renewal.as_bytes()).unwrap();
    connection.write_all(request.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(600));
    target.signal(Signal::CONT);
    let mut responses = String::new();
    connection.read_to_string(&mut responses).unwrap();
    assert!(responses.contains("caraway-refused: grant-expired"), "{responses}");
    assert_eq!(target.journal().len(), 1);
    target.grant((4, 2), LONG_MS, Value::Null);
    assert_eq!(target.request("4.2", "0", &[]).status, 200, "a fresh renewal is accepted");
}

/// Guards against an expiry that is checked only on arrival and not after the wait for a slot.
#[test]
fn a_grant_that_expires_during_queueing_refuses_the_request() {
    let target = Target::start(&["--slots", "1"]);
    target.grant((4, 1), 400, json!([[0, 9]]));
    thread::scope(|scope| {
        let slow = scope.spawn(|| target.request("4.1", "0", &[("test-service-ms", "700")]));
        target.await_status("running", &json!(1));
        assert_eq!(target.request("4.1", "0", &[]).refusal(), (409, Some("grant-expired")));
        assert_eq!(slow.join().unwrap().status, 200, "a running request completes");
    });
    assert_eq!(target.journal().len(), 1);
}

/// Guards against token checks on a target that must not check tokens.
#[test]
fn an_unchecked_target_accepts_every_request() {
    let target = Target::unchecked(&[]);
    target.grant((4, 1), 1, json!([]));
    assert_eq!(target.request("2.1", "77", &[]).status, 200);
    let without_token = target.send("GET", "/s/k", &[("caraway-request-id", "r")], b"").unwrap();
    assert_eq!(without_token.status, 200);
}

/// Guards against malformed control calls and requests that are accepted or crash the process.
#[yare::parameterized(
    not_json = { "POST", "/control/grant", &[], "{" },
    missing_group = { "POST", "/control/grant", &[], r#"{"term":1,"seq":1,"valid_until_ms":1}"# },
    reversed_range = { "POST", "/control/grant", &[], r#"{"group":"g","term":1,"seq":1,"valid_until_ms":1,"shards":[[2,1]],"keys":null}"# },
    huge_range = { "POST", "/control/grant", &[], r#"{"group":"g","term":1,"seq":1,"valid_until_ms":1,"shards":[[0,4294967295]],"keys":null}"# },
    bad_fault = { "POST", "/control/fault", &[], r#"{"lie_running":-1}"# },
    bad_after = { "GET", "/control/journal?after=x", &[], "" },
    missing_id = { "GET", "/k", &[("caraway-token", "0.0"), ("caraway-shard", "0")], "" },
    missing_token = { "GET", "/k", &[("caraway-request-id", "r"), ("caraway-shard", "0")], "" },
    bad_token = { "GET", "/k", &[("caraway-request-id", "r"), ("caraway-token", "4"), ("caraway-shard", "0")], "" },
    bad_shard = { "GET", "/k", &[("caraway-request-id", "r"), ("caraway-token", "0.0"), ("caraway-shard", "-1")], "" },
)]
fn malformed_calls_are_refused(method: &str, path: &str, headers: &[(&str, &str)], body: &str) {
    let target = Target::start(&[]);
    assert_eq!(target.send(method, path, headers, body.as_bytes()).unwrap().status, 400);
    assert_eq!(target.summary()["executions"], 0);
}
