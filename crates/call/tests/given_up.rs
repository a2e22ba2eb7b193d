//! Tests of abandoned attempts.

use caraway_call::attempt::Attempts;
use caraway_call::attempt::Event;
use caraway_call::attempt::Policy;
use caraway_call::attempt::Verdict;
use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;

/// Guards against reporting "did not run" for an abandoned attempt, and against abandoning the last
/// attempt, whose answer may still arrive.
#[test]
fn given_up_attempt_counts_as_a_run() {
    let policy = Policy { repeatable: true, buffered: true, max_attempts: 2 };
    let mut attempts = Attempts::new();
    assert!(attempts.may_give_up(policy));
    assert_eq!(attempts.record(Event::GivenUp, policy), Verdict::Retry);
    assert!(!attempts.may_give_up(policy));
    let unknown = Outcome::Unknown(Reason::ConnectionLost);
    assert_eq!(attempts.conclude(Reason::NoOwner), unknown);
    assert_eq!(attempts.record(Event::GivenUp, policy), Verdict::End(unknown));
}

/// Guards against abandoning an attempt of a request that must not run again.
#[test]
fn request_that_must_not_repeat_is_not_given_up() {
    let policy = Policy { repeatable: false, buffered: true, max_attempts: 3 };
    assert!(!Attempts::new().may_give_up(policy));
    assert!(!Attempts::new().may_give_up(Policy { repeatable: true, buffered: false, ..policy }));
}
