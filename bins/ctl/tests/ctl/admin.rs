//! Tests of `status` and `explain`.

use serde_json::Value;
use serde_json::json;

use crate::closed_address;
use crate::ctl;
use crate::fake::Fake;

fn status(instance: &str, version: u64, degraded: Value) -> Value {
    json!({"instance": instance, "incarnation": 3, "failure_domain": "med", "environment": "andina",
        "config_version": version, "ready": true, "stopping": false,
        "groups": [{"group": "lectura/med/0", "term": 8, "state": "live", "since_ms": 7000,
            "targets": [{"target": "lectura-01", "state": "live", "shards": 16, "in_flight": 2}]}],
        "degraded": degraded, "store": {"reachable": degraded == json!([]), "last_ok_ms": 65_300}})
}

/// Guards against a status that hides an unresponsive instance, an old version or a degraded function.
#[test]
fn status_shows_every_instance() {
    let degraded = json!([{"what": "store", "since_ms": 65_000, "waiting_for": "the store"}]);
    let first = Fake::admin(&[("/status", status("med-1", 57, json!([])))]);
    let second = Fake::admin(&[("/status", status("med-2", 56, degraded))]);
    let closed = closed_address();
    let entries = format!("{},{},{closed}", first.address(), second.address());
    let run = ctl(&["status", "--entry", &entries]);
    assert_eq!(run.code, 1, "an instance did not answer");
    let lines: Vec<_> = run.out.lines().collect();
    assert!(lines[1].starts_with("med-1     med     57       ready"), "{}", run.out);
    assert!(lines[2].contains("down, last ok 1 min 5 s ago"), "{}", run.out);
    assert!(lines[3].contains("no answer") && lines[3].ends_with(&closed), "{}", run.out);
    assert!(run.out.contains("configuration versions differ: 56 at 1, 57 at 1"), "{}", run.out);
    assert!(run.out.contains("refused"), "{}", run.out);
    let json = ctl(&["--json", "status", "--entry", &entries]).json();
    assert_eq!(json["instances"][1]["answer"]["degraded"][0]["waiting_for"], "the store");
    assert!(json["instances"][2]["problem"].is_string());
}

#[test]
fn status_succeeds_when_all_instances_respond() {
    let first = Fake::admin(&[("/status", status("med-1", 57, json!([])))]);
    let run = ctl(&["status", "--entry", &first.address()]);
    assert_eq!(run.code, 0, "{}", run.err);
}

/// Guards against an error that does not list the queried addresses.
#[test]
fn no_response_from_any_instance_is_a_failure() {
    let (closed, silent) = (closed_address(), Fake::silent());
    let run = ctl(&["status", "--entry", &closed, "--entry", &silent.address()]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains(&closed) && run.err.contains(&silent.address()), "{}", run.err);
    assert!(run.err.contains("no answer within 2 s"), "{}", run.err);
}

fn key(term: u64, coordinator: &str, address: &str, owner: Option<&str>) -> Value {
    json!({"service": "lectura", "key": "step 1/7", "shard": 12, "group": "lectura/med/0",
        "coordinator": coordinator, "coordinator_address": address, "term": term, "owner": owner,
        "token": owner.map(|_| "8.4"), "since_ms": 90_000, "decided_by": "med-2",
        "reason": "grant-ended", "age_ms": 40,
        "changes": [{"at_ms": 90_000, "owner": owner, "token": "8.4", "reason": "grant-ended"}]})
}

const KEY_PATH: &str = "/explain/key/lectura/step%201%2F7";

/// Guards against an incomplete answer from an instance that only knows the coordinator, and against a key
/// that corrupts the path.
#[test]
fn explain_key_queries_the_coordinator() {
    let coordinator = Fake::admin(&[(KEY_PATH, key(8, "med-2", "", Some("lectura-03")))]);
    let other = Fake::admin(&[(KEY_PATH, key(8, "med-2", &coordinator.address(), None))]);
    let run = ctl(&["explain", "key", "--entry", &other.address(), "lectura", "step 1/7"]);
    assert_eq!(run.code, 0, "{}{}", run.out, run.err);
    assert!(run.out.starts_with("owner         lectura-03\n"), "{}", run.out);
    assert!(run.out.contains("owned for     1 min 30 s"), "{}", run.out);
    assert!(run.out.contains(&format!("answered by   {}", coordinator.address())), "{}", run.out);
    assert!(!run.out.contains("disagree"), "{}", run.out);
}

/// Guards against the outdated answer of a resumed coordinator that does not know its successor yet.
#[test]
fn the_answer_with_the_highest_term_is_used() {
    let new = Fake::admin(&[(KEY_PATH, key(10, "med-3", "", Some("lectura-04")))]);
    let old = Fake::admin(&[(KEY_PATH, key(8, "med-2", "", Some("lectura-03")))]);
    let other = Fake::admin(&[(KEY_PATH, key(10, "med-3", &new.address(), None))]);
    let entries = format!("{},{}", old.address(), other.address());
    let run = ctl(&["explain", "key", "--entry", &entries, "lectura", "step 1/7"]);
    assert!(run.out.starts_with("owner         lectura-04\n"), "{}", run.out);
    assert!(run.out.contains("instances disagree"), "{}", run.out);
}

/// Guards against an unconfirmed owner while the coordinator does not respond, and against a loop between
/// two instances that refer to each other.
#[test]
fn an_unconfirmed_owner_is_not_reported() {
    let closed = closed_address();
    let old = Fake::admin(&[(KEY_PATH, key(8, "med-2", "", Some("lectura-03")))]);
    let other = Fake::admin(&[(KEY_PATH, key(10, "med-3", &closed, None))]);
    let entries = format!("{},{}", old.address(), other.address());
    let run = ctl(&["explain", "key", "--entry", &entries, "lectura", "step 1/7"]);
    assert_eq!(run.code, 1);
    assert!(run.out.starts_with("owner         none known"), "{}", run.out);
    assert!(run.out.contains(&closed), "{}", run.out);
}

/// Guards against a failure if only one of the instances knows the request.
#[test]
fn explain_request_merges_the_responses_of_instances() {
    let steps = json!({"id": "r-1", "steps": [{"at_ms": 1500, "text": "arrived\u{1b}[2J"}]});
    let knows = Fake::admin(&[("/explain/request/r-1", steps)]);
    let other = Fake::admin(&[]);
    let entries = format!("{},{}", other.address(), knows.address());
    let run = ctl(&["explain", "request", "--entry", &entries, "r-1"]);
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains(&format!("at {}\n", knows.address())), "{}", run.out);
    assert!(run.out.contains("1.5 s  arrived\\u{1b}[2J"), "{}", run.out);
    let run = ctl(&["explain", "request", "--entry", &other.address(), "r-1"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("not known at this instance"), "{}", run.err);
}

/// Guards against a directory that shows the row of the first response instead of the highest term.
#[test]
fn explain_fleet_shows_disagreement() {
    let row = |term: u64, holder: &str, age: u64| {
        json!({"rows": [{"group": "lectura/med/0", "term": term, "holder": holder,
            "peer_address": "127.0.0.1:1", "admin_address": "127.0.0.1:2", "age_ms": age}]})
    };
    let old = Fake::admin(&[("/directory", row(8, "med-1", 900))]);
    let new = Fake::admin(&[("/directory", row(10, "med-2", 30))]);
    let entries = format!("{},{}", old.address(), new.address());
    let run = ctl(&["explain", "fleet", "--entry", &entries]);
    assert_eq!(run.code, 0, "{}", run.err);
    let line = run.out.lines().nth(1).unwrap();
    assert!(line.starts_with("lectura/med/0  med-2        10"), "{}", run.out);
    assert!(line.ends_with(&format!("30 ms  older at {}", old.address())), "{}", run.out);
    let json = ctl(&["explain", "fleet", "--json", "--entry", &entries]).json();
    assert_eq!(json["groups"][0]["coordinator"], "med-2");
}
