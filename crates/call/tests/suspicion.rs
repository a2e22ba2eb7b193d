//! Tests of the attribution of crashes to requests.

use std::time::Duration;

use caraway_call::quarantine::Fingerprint;
use caraway_call::quarantine::Identity;
use caraway_call::quarantine::Phase;
use caraway_call::suspicion::End;
use caraway_call::suspicion::Loss;
use caraway_call::suspicion::SETTLE_TIME;
use caraway_call::suspicion::Suspicions;
use caraway_core::time::Stamp;

const REQUEST: Fingerprint = Fingerprint(1);

/// The request as the only suspect, which was in flight.
fn in_flight() -> Vec<(Identity, Phase)> {
    vec![(REQUEST.into(), Phase::InFlight)]
}

/// Guards against attributing a crash to a request whose target answered after the connection was lost, or
/// that was in flight long before the crash.
#[test]
fn only_a_crash_soon_after_is_attributed_to_a_request() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_end(&"a", REQUEST, End::Broken, at(0));
    suspicions.record_answer(&"a", at(5));
    assert!(suspicions.record_loss(&"a", Loss::Ended, at(10)).is_empty());
    suspicions.record_end(&"a", REQUEST, End::Broken, at(20));
    suspicions.record_end(&"b", REQUEST, End::Broken, at(20));
    assert_eq!(suspicions.record_loss(&"a", Loss::Ended, at(1000)), in_flight());
    assert!(
        suspicions.record_loss(&"a", Loss::Ended, at(1000)).is_empty(),
        "a crash is attributed only once"
    );
    assert!(suspicions.record_loss(&"b", Loss::Ended, at(6000)).is_empty());
}

/// Guards against clearing a request that crashed a target because the answer to an earlier request
/// of another caller was still on its way.
#[test]
fn an_answer_to_an_earlier_request_clears_nothing() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_end(&"a", REQUEST, End::Broken, at(100));
    suspicions.record_answer(&"a", at(50));
    assert_eq!(suspicions.record_loss(&"a", Loss::Ended, at(200)), in_flight());
}

/// Guards against one probe for each of many requests whose connections are lost at the same time.
#[test]
fn target_is_probed_at_most_once_a_second() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    let probes =
        (0..10).filter(|ms| suspicions.record_end(&"a", REQUEST, End::Broken, at(*ms))).count();
    assert_eq!(probes, 1);
    assert!(suspicions.record_end(&"a", REQUEST, End::Broken, at(2000)));
}

/// Guards against a way in which an attempt ends that is never attributed to its request, so that the
/// request crashes target after target, and against blaming requests that merely timed out at targets
/// that are cut off.
#[yare::parameterized(
    refused = { End::NotRun, Loss::Ended, false },
    broken_off = { End::Broken, Loss::Ended, true },
    broken_off_and_silent = { End::Broken, Loss::Unreachable, true },
    given_up = { End::GivenUp, Loss::Ended, true },
    given_up_and_silent = { End::GivenUp, Loss::Unreachable, false },
    just_completed = { End::Complete, Loss::Ended, true },
    just_completed_and_silent = { End::Complete, Loss::Unreachable, false },
)]
fn the_end_of_an_attempt_and_the_loss_of_its_target_decide(end: End, loss: Loss, suspect: bool) {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_end(&"a", REQUEST, end, at(100));
    assert_eq!(!suspicions.record_loss(&"a", loss, at(150)).is_empty(), suspect);
}

/// Guards against clearing a request before it is known that its target survived it, and against never
/// clearing it.
#[test]
fn a_completion_is_settled_by_a_later_answer_or_by_time() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_end(&"a", REQUEST, End::Complete, at(100));
    // This answer belongs to a request that was sent before.
    assert!(suspicions.record_answer(&"a", at(100)).is_empty());
    assert_eq!(suspicions.unsettled().collect::<Vec<_>>(), [&"a"]);
    assert_eq!(suspicions.record_answer(&"a", at(101)), vec![REQUEST.into()]);
    suspicions.record_end(&"a", REQUEST, End::Complete, at(200));
    assert!(suspicions.settle(at(200) + SETTLE_TIME - Duration::from_millis(1)).is_empty());
    assert_eq!(suspicions.settle(at(200) + SETTLE_TIME), vec![REQUEST.into()]);
    assert_eq!(suspicions.unsettled().count(), 0);
    assert!(suspicions.record_loss(&"a", Loss::Ended, at(401)).is_empty());
}

/// Guards against a request that crashes its targets right after the complete response.
#[test]
fn a_completion_whose_connection_closes_at_once_counts_as_broken_off() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_end(&"a", REQUEST, End::Complete, at(100));
    assert!(suspicions.record_close(&"a", at(150)), "the target is probed");
    assert!(suspicions.settle(at(1000)).is_empty(), "the request is not cleared");
    let suspects = suspicions.record_loss(&"a", Loss::Unreachable, at(1000));
    assert_eq!(suspects, vec![(REQUEST.into(), Phase::Completed)]);
}

/// Guards against blaming a request that has completed for the crash of another one, which was in
/// flight at the same target.
#[test]
fn a_completion_is_not_suspected_beside_a_request_in_flight() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_end(&"a", Fingerprint(2), End::Complete, at(100));
    suspicions.record_end(&"a", REQUEST, End::Broken, at(120));
    assert_eq!(suspicions.record_loss(&"a", Loss::Ended, at(130)), in_flight());
}

/// Guards against memory that grows with every attempt that is given up.
#[test]
fn old_attempts_are_forgotten() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_end(&"a", REQUEST, End::GivenUp, at(100));
    suspicions.settle(at(6000));
    assert!(suspicions.record_loss(&"a", Loss::Ended, at(200)).is_empty());
}
