//! Tests of `put` and `promote`.

use serde_json::Value;
use serde_json::json;

use crate::Run;
use crate::andina;
use crate::closed_address;
use crate::ctl;
use crate::environment;
use crate::fake::Fake;
use crate::fake::Fault;
use crate::fake::Store;
use crate::file;

const TRIAL: &str = "environments/andina/trial";
const PRODUCTION: &str = "environments/andina/production";

fn put(store: &Store, path: &str) -> Run {
    ctl(&["put", "--store", &store.url(), "--stage", "trial", path])
}

fn promote(address: &str) -> Run {
    ctl(&[
        "promote",
        "--store",
        address,
        "--environment",
        "andina",
        "--from",
        "trial",
        "--to",
        "production",
    ])
}

fn envelope(write_id: &str, document: &Value) -> Value {
    json!({"write_id": write_id, "document": document})
}

/// Returns a store with different documents in trial and production.
fn prepared_store() -> Store {
    let store = Store::start();
    store.set(PRODUCTION, &envelope("first", &andina()));
    let mut next = andina();
    next["limits"]["idle_ms"] = json!(40_000);
    store.set(TRIAL, &envelope("second", &next));
    store
}

/// Guards against a promotion that is reported but not stored, or stored without its write ID.
#[test]
fn a_document_is_put_and_promoted() {
    let store = Store::start();
    let run = put(&store, &environment("andina"));
    assert_eq!(run.code, 0, "{}", run.err);
    let run = promote(&store.url());
    assert_eq!(run.code, 0, "{}", run.err);
    let (value, version) = store.value(PRODUCTION).unwrap();
    assert_eq!(value["document"], andina());
    let write_id = value["write_id"].as_str().unwrap();
    assert!(run.out.contains(&format!("version {version}")) && run.out.contains(write_id));
    assert_ne!(store.value(TRIAL).unwrap().0["write_id"], write_id);
}

/// Guards against a promotion without changes that makes all instances fetch a new version.
#[test]
fn an_unchanged_document_is_not_written() {
    let store = Store::start();
    store.set(TRIAL, &envelope("a", &andina()));
    store.set(PRODUCTION, &envelope("b", &andina()));
    let run = promote(&store.url());
    assert_eq!((run.code, store.writes()), (0, 0), "{}", run.err);
    assert!(run.out.contains("already holds this document as version 42"), "{}", run.out);
}

/// Guards against two concurrent promotions that are both reported as accepted.
#[test]
fn a_conflict_reports_the_accepted_write() {
    let store = prepared_store();
    store.inject(&[Fault::ConflictBefore]);
    let run = promote(&store.url());
    assert_eq!(run.code, 1);
    assert!(run.err.contains("lost the race"), "{}", run.err);
    assert!(run.err.contains("version 43 with write ID other-operator won"), "{}", run.err);
    assert_eq!(store.value(PRODUCTION).unwrap().0["write_id"], "other-operator");
    assert_eq!(store.writes(), 1);
}

/// Guards against an accepted write that is reported as failed because its response was lost.
#[test]
fn a_lost_response_is_read_back() {
    let store = prepared_store();
    store.inject(&[Fault::LoseResponse]);
    let run = promote(&store.url());
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains("version 43"), "{}", run.out);
    assert_eq!(store.writes(), 1);
}

/// Guards against a write without effect that is reported as accepted or as unknown.
#[test]
fn a_dropped_write_is_retried() {
    let store = prepared_store();
    store.inject(&[Fault::DropRequest, Fault::DropRequest]);
    let run = promote(&store.url());
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!((store.value(PRODUCTION).unwrap().1, store.writes()), (43, 3));
}

/// Guards against a conflict reported for a write that was accepted and then replaced.
#[test]
fn a_replaced_write_is_not_reported_as_a_conflict() {
    let store = prepared_store();
    store.inject(&[Fault::LoseResponseThenReplace]);
    let run = promote(&store.url());
    assert_eq!(run.code, 1);
    assert!(run.err.contains("other-operator"), "{}", run.err);
    assert!(run.err.contains("may have been accepted before and replaced"), "{}", run.err);
}

/// Guards against a definite result for a write whose outcome is unknown.
#[test]
fn an_unresolved_write_is_reported_as_unknown() {
    let store = prepared_store();
    store.inject(&[Fault::DropRequest; 3]);
    let run = promote(&store.url());
    assert_eq!((run.code, store.writes()), (1, 3));
    assert!(run.err.contains("it is not known whether write"), "{}", run.err);
}

/// Guards against a promotion that moves shards of a running service between groups.
#[test]
fn a_change_that_moves_shards_is_rejected() {
    let store = prepared_store();
    let mut document = andina();
    document["services"][0]["targets"].as_array_mut().unwrap().remove(0);
    assert_eq!(put(&store, &file("refused", &document)).code, 0);
    let writes = store.writes();
    let run = promote(&store.url());
    assert_eq!((run.code, store.writes()), (1, writes));
    assert!(run.err.contains("/services/0/targets"), "{}", run.err);
}

/// Guards against the promotion of a document of another environment, or of one that is not valid.
#[yare::parameterized(
    other_environment = { "thurgau", "the document is for environment" },
    not_valid = { "", "findings" },
)]
fn an_unsuitable_trial_document_is_rejected(name: &str, problem: &str) {
    let store = Store::start();
    let text = if name.is_empty() {
        "{}".into()
    } else {
        std::fs::read_to_string(environment(name)).unwrap()
    };
    let document: Value = serde_json::from_str(&text).unwrap();
    store.set(TRIAL, &envelope("x", &document));
    let run = promote(&store.url());
    assert_eq!((run.code, store.writes()), (1, 0));
    assert!(run.err.contains(problem), "{}", run.err);
}

#[test]
fn a_missing_trial_document_is_reported() {
    let run = promote(&Store::start().url());
    assert_eq!(run.code, 1);
    assert!(run.err.contains("no value under environments/andina/trial"), "{}", run.err);
}

/// Guards against an invalid document in the store.
#[test]
fn an_invalid_document_is_not_put() {
    let store = Store::start();
    let run = put(&store, &file("invalid", &json!({"format": 1})));
    assert_eq!((run.code, store.writes()), (1, 0));
    assert!(run.err.contains("no field services"), "{}", run.err);
}

/// Guards against an untrusted document whose field names control the terminal.
#[test]
fn control_characters_of_a_document_are_escaped() {
    let store = Store::start();
    let mut document = andina();
    document["\u{1b}[2J"] = json!(1);
    let path = file("control", &document);
    for run in [put(&store, &path), ctl(&["check", &path])] {
        assert_eq!(run.code, 1);
        assert!(!run.err.contains('\u{1b}') && !run.out.contains('\u{1b}'), "{}", run.err);
    }
}

/// Guards against a tool that hangs, or that prints no cause, while the store is down or stuck.
#[test]
fn an_unreachable_store_is_reported() {
    let address = closed_address();
    let run = promote(&format!("http://{address}"));
    assert_eq!(run.code, 1);
    assert!(run.err.contains(&format!("GET http://{address}/v1/kv/{TRIAL}")), "{}", run.err);
    assert!(run.err.contains("refused"), "{}", run.err);
    let silent = Fake::silent();
    let run = promote(&format!("http://{}", silent.address()));
    assert_eq!(run.code, 1);
    assert!(run.err.contains("no answer within 2 s"), "{}", run.err);
}
