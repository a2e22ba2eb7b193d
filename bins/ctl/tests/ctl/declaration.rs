//! Tests of `declare`.

use serde_json::json;

use crate::Run;
use crate::closed_address;
use crate::ctl;
use crate::fake::Fault;
use crate::fake::Store;

const KEY: &str = "declarations/andina/med";

fn run(address: &str, command: &str, name: &str, more: &[&str]) -> Run {
    let domain = ["--environment", "andina", "--failure-domain", "med"];
    let mut arguments = vec!["declare", command, name, "--store", address];
    arguments.extend(domain.iter().chain(more));
    ctl(&arguments)
}

fn declare(address: &str, name: &str) -> Run {
    let more = ["--reason", "rack 4 is off", "--source", "ana", "--i-have-stopped-it"];
    run(address, "gone", name, &more)
}

fn names(store: &Store) -> Vec<String> {
    let (value, _) = store.value(KEY).unwrap();
    let rows = value["gone"].as_array().unwrap();
    rows.iter().map(|row| row["name"].as_str().unwrap().to_owned()).collect()
}

/// Guards against a declaration in a format that instances cannot read, and against one that removes other
/// declarations.
#[test]
fn declarations_are_added_listed_and_withdrawn() {
    let store = Store::start();
    for name in ["med-1", "lectura-02"] {
        let run = declare(&store.url(), name);
        assert_eq!(run.code, 0, "{}", run.err);
        assert!(run.out.contains("Withdraw the declaration before"), "{}", run.out);
    }
    let (value, _) = store.value(KEY).unwrap();
    let row = json!({"name": "med-1", "reason": "rack 4 is off", "source": "ana"});
    assert_eq!(value["gone"][0], row);
    assert_eq!(value["write_id"].as_str().unwrap().len(), 32);
    let list = ["declare", "list", "--store", &store.url(), "--environment", "andina"];
    let listed = ctl(&list);
    assert!(listed.code == 0 && listed.out.lines().count() == 3, "{}", listed.out);
    assert!(listed.out.contains("rack 4 is off"), "{}", listed.out);
    assert_eq!(run(&store.url(), "withdraw", "med-1", &[]).code, 0);
    assert_eq!(names(&store), ["lectura-02"]);
    assert_eq!(run(&store.url(), "withdraw", "med-1", &[]).code, 1);
    let other = ["declare", "list", "--store", &store.url(), "--environment", "and"];
    assert_eq!(ctl(&other).out, "no declarations\n");
}

/// Guards against a repeated declaration that overwrites the source and the reason of the first one.
#[test]
fn a_repeated_declaration_is_not_written() {
    let store = Store::start();
    declare(&store.url(), "med-1");
    let run = declare(&store.url(), "med-1");
    assert_eq!((run.code, store.writes()), (0, 1), "{}", run.err);
    assert!(run.out.contains("declared gone already by ana: rack 4 is off"), "{}", run.out);
}

/// Guards against a declaration that is lost or written twice when the response to the write is lost.
#[test]
fn a_lost_response_is_read_back() {
    let store = Store::start();
    store.inject(&[Fault::LoseResponse]);
    let run = declare(&store.url(), "med-1");
    assert_eq!((run.code, store.writes()), (0, 1), "{}", run.err);
    assert_eq!(names(&store), ["med-1"]);
}

/// Guards against an accidental declaration: the flag makes the operator confirm that the process is
/// stopped.
#[yare::parameterized(
    not_stopped = { "med-1", &["--reason", "x"], "--i-have-stopped-it" },
    no_reason = { "med-1", &["--i-have-stopped-it"], "--reason" },
    empty_reason = { "med-1", &["--reason", " ", "--i-have-stopped-it"], "the reason" },
    control = { "med-1", &["--reason", "a\u{1b}[2J", "--i-have-stopped-it"], "the reason" },
    other_key = { "../trial", &["--reason", "x", "--i-have-stopped-it"], "the name" },
)]
fn an_incomplete_declaration_is_rejected(name: &str, more: &[&str], problem: &str) {
    let store = Store::start();
    let run = run(&store.url(), "gone", name, more);
    assert_eq!((run.code, store.writes()), (2, 0));
    assert!(run.err.contains(problem), "{}", run.err);
}

/// Guards against a declaration that is reported as written while the store is down, and against an unknown
/// outcome that is reported as a failure.
#[test]
fn a_store_that_does_not_respond_is_reported() {
    let address = closed_address();
    let refused = declare(&format!("http://{address}"), "med-1");
    assert!(refused.code == 1 && refused.err.contains("refused"), "{}", refused.err);
    let store = Store::start();
    store.inject(&[Fault::DropRequest; 3]);
    let unknown = declare(&store.url(), "med-1");
    assert!(unknown.code == 1 && unknown.err.contains("may have been written"), "{}", unknown.err);
}
