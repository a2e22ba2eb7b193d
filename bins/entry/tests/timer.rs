//! Tests of the timer service.

use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_entry::timer::Part;
use caraway_entry::timer::Service;

const PERIOD: Duration = Duration::from_millis(100);

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(millis)
}

/// Guards against a part that runs too early, twice in a period, or never for the first time.
#[test]
fn a_part_is_due_at_once_and_then_once_a_period() {
    let mut service = Service::new();
    service.subscribe(Part::Heartbeat, PERIOD, at(1000));
    let due: Vec<u64> = (1000..1400).filter(|now| !service.due(at(*now)).is_empty()).collect();
    assert_eq!(due, [1000, 1100, 1200, 1300]);
}

/// Guards against a burst of work after a pause of the process: heartbeats and renewals that were missed
/// are not made up for.
#[test]
fn a_part_that_was_missed_several_times_is_due_once() {
    let mut service = Service::new();
    service.subscribe(Part::Heartbeat, PERIOD, at(0));
    assert_eq!(service.due(at(0)), [Part::Heartbeat]);
    assert_eq!(service.due(at(5050)), [Part::Heartbeat]);
    assert_eq!(service.due(at(5149)), []);
    assert_eq!(service.due(at(5150)), [Part::Heartbeat]);
}

/// Guards against an order that changes between turns: groups are stepped before heartbeats report them.
#[test]
fn parts_are_due_in_the_order_of_their_subscription() {
    let mut service = Service::new();
    for part in [Part::Roster, Part::Groups, Part::Metrics] {
        service.subscribe(part, PERIOD, at(0));
    }
    service.subscribe(Part::Survey, PERIOD * 2, at(0));
    assert_eq!(service.due(at(0)), [Part::Roster, Part::Groups, Part::Metrics, Part::Survey]);
    assert_eq!(service.due(at(100)), [Part::Roster, Part::Groups, Part::Metrics]);
}

/// Guards against a hastened part that waits, makes others due, or loses its period.
#[test]
fn a_hastened_part_is_due_at_the_next_turn() {
    let mut service = Service::new();
    service.subscribe(Part::Directory, PERIOD, at(0));
    service.subscribe(Part::Balance, PERIOD, at(0));
    service.due(at(0));
    service.hasten(Part::Directory, at(20));
    assert_eq!(service.due(at(20)), [Part::Directory]);
    assert_eq!(service.due(at(30)), []);
    assert_eq!(service.due(at(100)), [Part::Balance]);
    assert_eq!(service.due(at(120)), [Part::Directory]);
}
