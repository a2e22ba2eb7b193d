//! Tests of put and promote.

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

/// Returns a store with a document in trial and in production that differs.
fn prepared() -> Store {
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

/// Guards against a promotion without change that gives every instance a new version to fetch.
#[test]
fn an_unchanged_document_is_not_written() {
    let store = Store::start();
    store.set(TRIAL, &envelope("a", &andina()));
    store.set(PRODUCTION, &envelope("b", &andina()));
    let run = promote(&store.url());
    assert_eq!((run.code, store.writes()), (0, 0), "{}", run.err);
    assert!(run.out.contains("already holds this document as version 42"), "{}", run.out);
}

/// Guards against two promotions of which both are told that they won.
#[test]
fn a_lost_race_names_the_winner() {
    let store = prepared();
    store.fault(&[Fault::Race]);
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
    let store = prepared();
    store.fault(&[Fault::Lose]);
    let run = promote(&store.url());
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains("version 43"), "{}", run.out);
    assert_eq!(store.writes(), 1);
}

/// Guards against a write without effect that is reported as accepted or as unknown.
#[test]
fn a_dropped_write_is_sent_again() {
    let store = prepared();
    store.fault(&[Fault::Drop, Fault::Drop]);
    let run = promote(&store.url());
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!((store.value(PRODUCTION).unwrap().1, store.writes()), (43, 3));
}

/// Guards against "lost the race" for a write that was in force for a while.
#[test]
fn a_replaced_write_is_not_called_lost() {
    let store = prepared();
    store.fault(&[Fault::LoseThenRace]);
    let run = promote(&store.url());
    assert_eq!(run.code, 1);
    assert!(run.err.contains("other-operator"), "{}", run.err);
    assert!(run.err.contains("may have been accepted before and replaced"), "{}", run.err);
}

/// Guards against a result that is claimed without knowing it.
#[test]
fn an_unresolved_write_is_called_unknown() {
    let store = prepared();
    store.fault(&[Fault::Drop; 3]);
    let run = promote(&store.url());
    assert_eq!((run.code, store.writes()), (1, 3));
    assert!(run.err.contains("it is not known whether write"), "{}", run.err);
}

/// Guards against a promotion that moves shards of a running service between groups.
#[test]
fn a_change_that_moves_shards_is_refused() {
    let store = prepared();
    let mut document = andina();
    document["services"][0]["targets"].as_array_mut().unwrap().remove(0);
    assert_eq!(put(&store, &file("refused", &document)).code, 0);
    let writes = store.writes();
    let run = promote(&store.url());
    assert_eq!((run.code, store.writes()), (1, writes));
    assert!(run.err.contains("/services/0/targets"), "{}", run.err);
}

/// Guards against the document of another environment, or one that no instance would apply.
#[yare::parameterized(
    other_environment = { "thurgau", "the document is for environment" },
    not_valid = { "", "findings" },
)]
fn an_unsuitable_trial_document_is_refused(name: &str, problem: &str) {
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
fn a_promotion_without_a_trial_document_says_so() {
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

/// Guards against a document from elsewhere whose field names control the terminal.
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

/// Guards against a tool that hangs or says only "error" while the store is down or stuck.
#[test]
fn an_unreachable_store_is_named() {
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
