//! Changes of the domain record.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::fake::Fake;
use crate::fake::Step;
use caraway_store::errors::Error;
use caraway_store::record::Domain;
use caraway_store::record::Group;
use caraway_store::write::Change;
use caraway_store::write::Options;
use caraway_store::write::Outcome;
use caraway_store::write::Writer;

const READ: Step = Step::Serve;

fn writer(fake: &Fake) -> Writer {
    let ms = Duration::from_millis;
    let options = Options { limit: ms(1200), conflicts: 3, pause: ms(10) };
    Writer::new(fake.client(), "domains/andina/med", "e-1/7", options)
}

/// Acquires term 2 of a group, unless the group has a term.
fn acquire(domain: &mut Domain) -> Change {
    if domain.groups.iter().any(|group| group.term >= 2) {
        return Change::Unchanged;
    }
    let group = "s/med/0".into();
    let holder = Some("e-1".into());
    let (term, holder_incarnation, successor, reason) = (2, 7, None, "start".to_owned());
    domain.groups = vec![Group { group, term, holder, holder_incarnation, successor, reason }];
    Change::Changed
}

fn start(script: &[Step]) -> Fake {
    let fake = Fake::start(script);
    fake.set(r#"{"format":1,"write_id":"","members":[],"groups":[]}"#);
    fake
}

fn taken_by_other(record: &mut Value) {
    record["write_id"] = json!("other");
    record["groups"] = json!([{ "group": "s/med/0", "term": 2, "holder": "e-2",
        "holder_incarnation": 1, "successor": null, "reason": "start" }]);
}

fn touched_by_other(record: &mut Value) {
    record["write_id"] = json!("other");
}

/// Guards against a result that does not match what the store holds, for each fault of the write.
#[yare::parameterized(
    answered = { &[READ, Step::Serve], 2 },
    answer_lost = { &[READ, Step::LoseAnswer], 2 },
    call_lost = { &[READ, Step::LoseCall], 2 },
    answer_garbage = { &[READ, Step::Answer(200, "?")], 2 },
    read_back_fails_twice = { &[READ, Step::LoseAnswer, Step::LoseCall, Step::Answer(500, "")], 2 },
    second_answer_lost = { &[READ, Step::LoseCall, READ, Step::LoseAnswer], 2 },
    takes_effect_after_the_timeout = { &[READ, Step::Late(Duration::from_millis(450))], 2 },
    overtaken_by_another_change = { &[READ, Step::Overtake(touched_by_other)], 3 },
)]
fn a_change_that_took_effect_is_written(script: &[Step], expected: u64) {
    let fake = start(script);
    match writer(&fake).change(acquire).unwrap() {
        Outcome::Written { revision } => assert_eq!(revision, expected),
        other => panic!("{other:?}"),
    }
    assert_eq!(fake.record()["groups"][0]["holder"], "e-1");
}

/// Guards against a caller that believes it holds a term that another instance has acquired.
#[yare::parameterized(
    conflict = { &[READ, Step::Overtake(taken_by_other)], "e-2" },
    overtaken_while_unknown = { &[READ, Step::LoseCall, Step::Overtake(taken_by_other)], "e-2" },
    written_then_overtaken = { &[READ, Step::LoseThenOvertake(taken_by_other)], "e-2" },
    written_then_touched = { &[READ, Step::LoseThenOvertake(touched_by_other)], "e-1" },
)]
fn a_change_after_which_others_wrote_is_lost(script: &[Step], expected: &str) {
    let fake = start(script);
    match writer(&fake).change(acquire).unwrap() {
        Outcome::Lost { current } => {
            assert_eq!(current.domain.groups[0].holder, Some(expected.into()));
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against a loss that is reported while a write may still take effect: the delayed write
/// is settled by a second one at the same revision, so that only one of them takes effect.
#[test]
fn a_delayed_write_is_settled_by_a_second_one() {
    let fake = start(&[READ, Step::Late(Duration::from_millis(700))]);
    assert!(matches!(writer(&fake).change(acquire).unwrap(), Outcome::Written { revision: 2 }));
    let first = fake.record();
    assert_eq!(first["write_id"], "e-1/7/1");
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(fake.record(), first);
}

/// Guards against an outage that is taken for a result, and against waiting when nothing was sent.
#[test]
fn an_outage_is_unavailable() {
    let mut script = vec![READ, Step::LoseAnswer];
    script.extend(vec![Step::LoseCall; 1000]);
    let fake = start(&script);
    let outcome = writer(&fake).change(acquire).unwrap();
    assert!(matches!(outcome, Outcome::Unavailable { cause: Error::Unanswered(_) }));
    assert!(fake.calls().len() > 10, "the read back is repeated until the limit");
    let fake = start(&[Step::LoseCall; 10]);
    assert!(matches!(writer(&fake).change(acquire).unwrap(), Outcome::Unavailable { .. }));
    assert_eq!(fake.calls().len(), 1);
}

/// Guards against a write without a change, and against endless retries.
#[test]
fn unchanged_records_and_repeated_conflicts_end_the_change() {
    let fake = start(&[]);
    let outcome = writer(&fake).change(|_| Change::Unchanged).unwrap();
    assert!(matches!(outcome, Outcome::Unchanged { .. }));
    assert_eq!(fake.calls().len(), 1);
    let conflict = [READ, Step::Overtake(touched_by_other)];
    let fake = start(&conflict.repeat(20));
    assert!(matches!(writer(&fake).change(acquire).unwrap(), Outcome::Lost { .. }));
    assert_eq!(fake.calls().len(), 7, "three attempts and the last read");
}

/// Guards against an overwritten record of a newer version, and a first record that is not written.
#[test]
fn unusable_and_absent_records() {
    let fake = start(&[]);
    fake.set(r#"{"format":2}"#);
    assert!(matches!(writer(&fake).change(acquire), Err(Error::Record(_))));
    assert_eq!(fake.record()["format"], 2);
    let fake = Fake::start(&[]);
    assert!(matches!(writer(&fake).change(acquire).unwrap(), Outcome::Written { revision: 1 }));
    assert_eq!(fake.record()["write_id"], "e-1/7/0");
}
