//! Tests of attempts that are given up.

use caraway_call::attempt::Attempts;
use caraway_call::attempt::Event;
use caraway_call::attempt::Policy;
use caraway_call::attempt::Verdict;
use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;

/// Guards against "did not run" about a request that was given up, and against giving up the last
/// attempt, whose answer may still come.
#[test]
fn giving_up_counts_as_a_run() {
    let call = Policy { repeatable: true, buffered: true, max_attempts: 2 };
    let mut trail = Attempts::new();
    assert!(trail.may_give_up(call));
    assert_eq!(trail.record(Event::GivenUp, call), Verdict::Retry);
    assert!(!trail.may_give_up(call));
    let unknown = Outcome::Unknown(Reason::ConnectionLost);
    assert_eq!(trail.conclude(Reason::NoOwner), unknown);
    assert_eq!(trail.record(Event::GivenUp, call), Verdict::End(unknown));
}

/// Guards against giving up a request that must not run again.
#[test]
fn request_that_may_not_run_again_is_not_given_up() {
    let call = Policy { repeatable: false, buffered: true, max_attempts: 3 };
    assert!(!Attempts::new().may_give_up(call));
    assert!(!Attempts::new().may_give_up(Policy { repeatable: true, buffered: false, ..call }));
}
