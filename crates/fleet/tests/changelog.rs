//! Facts that instances pass on to each other.

use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_fleet::changelog::Changelog;

fn start() -> Stamp {
    Stamp::default() + Duration::from_secs(1000)
}

fn log() -> Changelog<u32> {
    Changelog::new(Duration::from_secs(120), 100)
}

fn facts(log: &Changelog<u32>, position: u64, receiver: &str) -> (Vec<u32>, u64) {
    let (facts, next) = log.after(position, receiver, 10);
    (facts.into_iter().map(|(fact, _)| *fact).collect(), next)
}

/// Guards against messages that repeat all facts of two minutes, or return them to their sender.
#[test]
fn a_fact_is_sent_once_to_each_instance_and_never_to_its_source() {
    let (mut log, now) = (log(), start());
    let source: Arc<str> = "edge-1".into();
    assert!(log.add(1, None, now, now));
    assert!(log.add(2, Some(&source), now, now));
    assert!(!log.add(1, Some(&source), now, now));
    let (first, position) = facts(&log, 0, "edge-2");
    assert_eq!(first, [1, 2]);
    assert_eq!(facts(&log, position, "edge-2"), (vec![], position));
    assert_eq!(facts(&log, 0, "edge-1").0, [1]);
    log.add(3, None, now, now);
    assert_eq!(facts(&log, position, "edge-2").0, [3]);
}

/// Guards against a long message after many crashes, and against facts that are left out by the
/// limit.
#[test]
fn facts_beyond_the_limit_follow_in_the_next_message() {
    let (mut log, now) = (log(), start());
    (0..25).for_each(|fact| assert!(log.add(fact, None, now, now)));
    let (mut position, mut received) = (0, Vec::new());
    for _ in 0..3 {
        let (facts, next) = facts(&log, position, "edge-2");
        position = next;
        received.extend(facts);
    }
    assert_eq!(received, (0..25).collect::<Vec<u32>>());
}

/// Guards against memory that grows with the number of crashes, and positions that shift when
/// facts are dropped.
#[test]
fn old_and_surplus_facts_are_dropped() {
    let (mut log, now) = (log(), start());
    (0..150).for_each(|fact| assert!(log.add(fact, None, now, now)));
    assert_eq!(log.after(0, "edge-2", 1000).0.len(), 100);
    assert_eq!(facts(&log, 148, "edge-2").0, [148, 149]);
    let later = now + Duration::from_secs(121);
    assert!(!log.add(500, None, now, later), "a fact that is too old");
    assert!(log.add(501, None, later, later));
    assert_eq!(facts(&log, 0, "edge-2").0, [501]);
}
