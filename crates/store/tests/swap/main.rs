//! Tests of compare-and-swap with lost, racing and rejected writes.

// Extends the lint settings for test functions to their helpers.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

mod fake;

use caraway_store::client::Observer;
use caraway_store::errors::Error;
use caraway_store::record::Domain;
use caraway_store::swap;
use caraway_store::swap::Limits;
use caraway_store::swap::Swap;
use caraway_store::swap::Write;
use caraway_store::write;
use caraway_store::write::Outcome;

use crate::fake::Fake;
use crate::fake::Fault;

fn send(fake: &Fake) -> Result<Swap, Error> {
    let write = Write { key: "k", text: "{\"write_id\":\"mine\"}", write_id: "mine", expect: 0 };
    swap::write(&fake.client(), &write, Limits::default())
}

/// Guards against a reported result that does not match the store, and against unnecessary calls.
#[yare::parameterized(
    plain = { &[], "written 11", (0, 1) },
    lost_response = { &[Fault::Lose], "written 11", (1, 1) },
    dropped = { &[Fault::Drop, Fault::Drop], "written 11", (2, 3) },
    conflict = { &[Fault::Race], "lost to version 11 with write ID other", (1, 1) },
    dropped_then_raced = { &[Fault::Drop, Fault::Race], "replaced by version 11 with write ID other", (2, 2) },
    replaced = { &[Fault::LoseThenRace], "replaced by version 12 with write ID other", (1, 1) },
    never_applied = { &[Fault::Drop; 3], "unknown", (3, 3) },
    server_error = { &[Fault::Status(500)], "written 11", (1, 2) },
    conflict_without_revision = { &[Fault::Status(409)], "written 11", (1, 2) },
    too_large = { &[Fault::Status(413)], "error the store answered with status 413", (0, 1) },
)]
fn a_write_has_a_known_result(faults: &[Fault], expected: &str, calls: (usize, usize)) {
    let fake = Fake::start(faults);
    let result = match send(&fake) {
        Ok(Swap::Written(revision)) => format!("written {revision}"),
        Ok(Swap::Lost(found)) => format!("lost to {found}"),
        Ok(Swap::Replaced(found)) => format!("replaced by {found}"),
        Ok(Swap::Unknown(_)) => "unknown".to_owned(),
        Err(error) => format!("error {error}"),
    };
    assert_eq!((result.as_str(), fake.calls()), (expected, calls));
}

/// Guards against treating a refused connection as a write with an unknown result.
#[test]
fn a_refused_connection_has_no_effect() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let write = Write { key: "k", text: "{}", write_id: "mine", expect: 0 };
    let result = swap::write(&fake::client(&address), &write, Limits::default());
    assert!(
        matches!(&result, Err(error @ Error::NotSent(_)) if error.is_unanswered()),
        "{result:?}"
    );
}

fn change(fake: &Fake) -> Result<Outcome, Error> {
    let mut number = 0;
    let mut write_id = || {
        number += 1;
        format!("mine-{number}")
    };
    write::change(&fake.client(), "k", None, &mut write_id, &mut |record: &mut Domain| {
        record.groups.is_empty()
    })
}

/// Guards against a change that is based on an outdated record or reported with a wrong result.
#[yare::parameterized(
    plain = { &[], "written mine-1", (1, 1) },
    lost_response = { &[Fault::Lose], "written mine-1", (2, 1) },
    dropped = { &[Fault::Drop], "written mine-1", (2, 2) },
    raced = { &[Fault::Race], "written mine-2", (2, 2) },
    raced_always = { &[Fault::Race; 8], "lost", (9, 8) },
    replaced = { &[Fault::LoseThenRace], "lost", (2, 1) },
    refused = { &[Fault::Status(400)], "refused", (1, 1) },
    store_goes_down = { &[Fault::Down], "unknown", (2, 1) },
)]
fn a_change_has_a_known_result(faults: &[Fault], expected: &str, calls: (usize, usize)) {
    let fake = Fake::start(faults);
    let result = match change(&fake) {
        Ok(Outcome::Written { record, .. }) => format!("written {}", record.write_id),
        Ok(Outcome::Unchanged { .. }) => "unchanged".to_owned(),
        Ok(Outcome::Lost) => "lost".to_owned(),
        Err(Error::NoAnswer(_)) => "unknown".to_owned(),
        Err(_) => "refused".to_owned(),
    };
    assert_eq!((result.as_str(), fake.calls()), (expected, calls));
}

/// Guards against writing a change that no longer applies.
#[test]
fn a_change_that_does_not_apply_is_not_written() {
    let fake = Fake::start(&[]);
    let outcome =
        write::change(&fake.client(), "k", None, &mut || "mine".to_owned(), &mut |_| false)
            .unwrap();
    assert_eq!(outcome, Outcome::Unchanged { revision: 0, record: Domain::default() });
    assert_eq!(fake.calls(), (1, 0));
}

/// Guards against overwriting a record of a newer format version.
#[test]
fn a_record_of_another_format_is_not_changed() {
    let fake = Fake::start(&[]);
    let text = r#"{"format":2,"write_id":"other","members":[],"groups":[]}"#;
    {
        let mut state = fake.state.lock().unwrap();
        state.value = Some(text.to_owned());
        state.revision = 7;
    }
    let result = write::change(&fake.client(), "k", None, &mut || "mine".to_owned(), &mut |_| true);
    assert!(matches!(result, Err(Error::Invalid(_))), "{result:?}");
    assert_eq!(fake.calls(), (1, 0));
}

/// Guards against duplicate write IDs.
#[test]
fn write_ids_differ() {
    let ids: std::collections::BTreeSet<_> = (0..1000).map(|_| swap::write_id()).collect();
    assert!(ids.len() == 1000 && ids.iter().all(|id| id.len() == 32));
}

/// Guards against store calls that are missing in the metrics. Every call of a write must be
/// observed with its own result, including repeated writes and reads after a lost response.
#[yare::parameterized(
    plain = { &[], "Put Done" },
    lost_response = { &[Fault::Lose], "Put Ambiguous, Get Done" },
    conflict = { &[Fault::Race], "Put Conflict, Get Done" },
    dropped = { &[Fault::Drop, Fault::None], "Put Ambiguous, Get Done, Put Done" },
    too_large = { &[Fault::Status(413)], "Put Failed" },
    read_fails = { &[Fault::Down], "Put Ambiguous, Get Failed, Put Done" },
)]
fn every_call_is_observed(faults: &[Fault], expected: &str) {
    let fake = Fake::start(faults);
    let (calls, observed) = std::sync::mpsc::channel();
    let observer = Observer::new(move |kind, completion| {
        let _ = calls.send(format!("{kind:?} {completion:?}"));
    });
    let client = fake.client().with_observer(observer);
    let write = Write { key: "k", text: "{\"write_id\":\"mine\"}", write_id: "mine", expect: 0 };
    let _ = swap::write(&client, &write, Limits::default());
    drop(client);
    let seen: Vec<String> = observed.iter().collect();
    assert_eq!(seen.join(", "), expected);
}
