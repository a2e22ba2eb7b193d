//! Tests of the ledger.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;

use caraway_call::ledger::Answer;
use caraway_call::ledger::Decision;
use caraway_call::ledger::Entry;
use caraway_call::ledger::Ledger;
use caraway_call::ledger::Options;
use caraway_call::ledger::State;
use caraway_core::time::Stamp;

const RETENTION: Duration = Duration::from_secs(600);

fn key(number: u8) -> Arc<str> {
    Arc::from(format!("key-{number}"))
}

fn answer(length: usize) -> Answer {
    let body = Some(Arc::from(vec![7; length]));
    Answer { status: 201, content_type: Arc::from("text/plain"), body }
}

fn at(seconds: u64) -> Stamp {
    Stamp::from_millis(1_000_000 + seconds * 1000)
}

#[derive(Clone, Debug)]
enum Op {
    Begin(u8),
    Finish(u8),
    NotRun(u8),
    LoseOutcome(u8),
    /// Delivers the n-th message sent so far to the other instance, possibly again or out of order.
    Deliver(usize),
    /// The other instance becomes the coordinator with the entries that it holds.
    Takeover,
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..3u8).prop_map(Op::Begin),
        2 => (0..3u8).prop_map(Op::Finish),
        2 => (0..3u8).prop_map(Op::NotRun),
        1 => (0..3u8).prop_map(Op::LoseOutcome),
        3 => any::<usize>().prop_map(Op::Deliver),
        1 => prop::strategy::Just(Op::Takeover),
        1 => (1..400u64).prop_map(Op::Wait),
    ]
}

proptest! {
    /// Guards against a key that runs twice. The model tracks when each key may last have run. Intents
    /// reach the other instance before a run; all other messages may be lost, duplicated and reordered.
    #[test]
    fn no_key_runs_twice(ops in prop::collection::vec(op(), 1..80)) {
        let options = || Options { max_entries: 2, ..Options::default() };
        let (mut holder, mut peer) = (Ledger::new(options(), 2), Ledger::new(options(), 0));
        let mut term = 2;
        let mut running: HashMap<u8, Stamp> = HashMap::new();
        // Begin and end of the last run of each key.
        let mut ran: HashMap<u8, (Stamp, Stamp)> = HashMap::new();
        let mut sent: Vec<(Entry, Stamp)> = Vec::new();
        let mut second = 0;
        for op in ops {
            let now = at(second);
            match op {
                Op::Begin(n) => {
                    if holder.begin(&key(n), u64::from(n), now) != Decision::Run {
                        continue;
                    }
                    let earlier = ran.get(&n).filter(|(_, last)| now.since(*last) < RETENTION);
                    prop_assert!(earlier.is_none(), "key {n} ran at {earlier:?} and again at {now:?}");
                    prop_assert!(!running.contains_key(&n), "key {n} is running");
                    running.insert(n, now);
                    let intent = holder.entry(&key(n), now).unwrap();
                    peer.import(intent.clone(), now);
                    sent.push((intent, now));
                }
                Op::Finish(n) if running.contains_key(&n) => {
                    holder.finish(&key(n), answer(10), now);
                    ran.extend(running.remove(&n).map(|began| (n, (began, now))));
                    sent.extend(holder.entry(&key(n), now).map(|entry| (entry, now)));
                }
                Op::NotRun(n) if running.remove(&n).is_some() => {
                    holder.mark_not_run(&key(n), now);
                    sent.extend(holder.entry(&key(n), now).map(|entry| (entry, now)));
                }
                Op::LoseOutcome(n) => {
                    // The peer knows only the time of the intent.
                    if let Some(began) = running.remove(&n) {
                        holder.mark_unknown(&key(n), now);
                        ran.insert(n, (began, began));
                    }
                }
                Op::Finish(_) | Op::NotRun(_) => {}
                Op::Deliver(index) => {
                    if let Some((entry, when)) = sent.get(index % sent.len().max(1)).cloned() {
                        let age = entry.age + now.since(when);
                        peer.import(Entry { age, ..entry }, now);
                    }
                }
                Op::Takeover => {
                    ran.extend(running.drain().map(|(n, began)| (n, (began, began))));
                    // Without the outcome, the retention at the peer starts with the intent, and so
                    // does its incompleteness mark for an entry that did not fit.
                    let held = peer.export(now);
                    for (n, (began, last)) in &mut ran {
                        let known = held.iter().find(|entry| entry.key == key(*n));
                        *last = known.map_or(*began, |entry| (*last).min(now - entry.age));
                    }
                    term += 2;
                    holder = Ledger::new(options(), term);
                    holder.set_incomplete_until(peer.incomplete_until());
                    held.iter().cloned().for_each(|entry| holder.import(entry, now));
                }
                Op::Wait(seconds) => second += seconds,
            }
            prop_assert_eq!(holder.running(), running.len());
            prop_assert!(holder.len() <= 2 && peer.len() <= 2);
        }
    }

    /// Guards against exceeding the memory limit with long answers.
    #[test]
    fn bytes_stay_bounded(lengths in prop::collection::vec(0..20_000usize, 1..60)) {
        let options = Options { max_bytes: 100_000, ..Options::default() };
        let mut ledger = Ledger::new(options, 2);
        for (number, length) in lengths.into_iter().enumerate() {
            let key = Arc::from(format!("key-{number}"));
            if ledger.begin(&key, 1, at(0)) == Decision::Run {
                ledger.finish(&key, answer(length), at(0));
            }
            prop_assert!(ledger.bytes() <= 100_000);
        }
    }
}

fn begun() -> Ledger {
    let mut ledger = Ledger::new(Options { max_entries: 2, ..Options::default() }, 2);
    assert_eq!(ledger.begin(&key(1), 11, at(0)), Decision::Run);
    ledger
}

/// Guards against a resend that runs again, or that receives the outcome of a different request.
#[test]
fn resend_gets_the_recorded_answer() {
    let mut ledger = begun();
    assert_eq!(ledger.begin(&key(1), 11, at(1)), Decision::InProgress);
    ledger.finish(&key(1), answer(5), at(2));
    assert_eq!(ledger.begin(&key(1), 11, at(3)), Decision::Replay(answer(5)));
    assert_eq!(ledger.begin(&key(1), 12, at(3)), Decision::KeyReused);
}

/// Guards against replaying a truncated copy of a long answer as if it were complete.
#[test]
fn long_answer_loses_its_body() {
    let mut ledger = begun();
    ledger.finish(&key(1), answer(16 * 1024 + 1), at(0));
    let replayed = ledger.begin(&key(1), 11, at(0));
    assert!(matches!(replayed, Decision::Replay(Answer { status: 201, body: None, .. })));
}

/// Guards against a key that stays blocked after its request was refused.
#[test]
fn key_that_did_not_run_may_run_again() {
    let mut ledger = begun();
    ledger.mark_not_run(&key(1), at(1));
    assert_eq!(ledger.begin(&key(1), 12, at(2)), Decision::Run);
}

/// Guards against evicting an entry within its retention time to make room.
#[test]
fn full_ledger_refuses_and_keeps() {
    let mut ledger = begun();
    ledger.mark_unknown(&key(1), at(0));
    assert_eq!(ledger.begin(&key(2), 1, at(1)), Decision::Run);
    assert_eq!(ledger.begin(&key(3), 1, at(2)), Decision::Full);
    assert_eq!(ledger.begin(&key(1), 11, at(599)), Decision::Unknown);
    assert_eq!(ledger.begin(&key(3), 1, at(600)), Decision::Run);
}

/// Guards against running a key while another instance may hold an intent that is missing here.
#[test]
fn incomplete_history_stops_unknown_keys_only() {
    let mut ledger = begun();
    ledger.finish(&key(1), answer(1), at(0));
    ledger.set_incomplete_until(at(100));
    assert_eq!(ledger.begin(&key(2), 1, at(99)), Decision::HistoryIncomplete);
    assert_eq!(ledger.begin(&key(1), 11, at(99)), Decision::Replay(answer(1)));
    assert_eq!(ledger.begin(&key(2), 1, at(100)), Decision::Run);
}

/// Guards against silently dropping an imported entry that does not fit.
#[test]
fn import_without_room_marks_the_history_incomplete() {
    let mut ledger = Ledger::new(Options { max_entries: 1, ..Options::default() }, 2);
    for number in 0..2 {
        let age = Duration::from_secs(1);
        let entry = Entry { key: key(number), digest: 1, attempt: 1, age, state: State::Open };
        ledger.import(entry, at(0));
    }
    assert_eq!(ledger.begin(&key(0), 1, at(0)), Decision::Unknown);
    assert_eq!(ledger.begin(&key(1), 1, at(0)), Decision::HistoryIncomplete);
    assert_eq!(ledger.begin(&key(1), 1, at(601)), Decision::Run);
}
