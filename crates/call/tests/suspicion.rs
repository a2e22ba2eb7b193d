//! Tests of the attribution of crashes to requests.

use caraway_call::quarantine::Fingerprint;
use caraway_call::suspicion::Suspicions;
use caraway_core::time::Stamp;

const REQUEST: Fingerprint = Fingerprint(1);

/// Guards against attributing a crash to a request whose target answered after the connection was lost, or
/// that was in flight long before the crash.
#[test]
fn only_a_crash_soon_after_is_attributed_to_a_request() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_disconnect(&"a", REQUEST, at(0));
    suspicions.record_answer(&"a", at(5));
    assert!(suspicions.record_crash(&"a", at(10)).is_empty());
    suspicions.record_disconnect(&"a", REQUEST, at(20));
    suspicions.record_disconnect(&"b", REQUEST, at(20));
    assert_eq!(suspicions.record_crash(&"a", at(1000)), vec![REQUEST.into()]);
    assert!(suspicions.record_crash(&"a", at(1000)).is_empty(), "a crash is attributed only once");
    assert!(suspicions.record_crash(&"b", at(6000)).is_empty());
}

/// Guards against clearing a request that crashed a target because the answer to an earlier request
/// of another caller was still on its way.
#[test]
fn an_answer_to_an_earlier_request_clears_nothing() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_disconnect(&"a", REQUEST, at(100));
    suspicions.record_answer(&"a", at(50));
    assert_eq!(suspicions.record_crash(&"a", at(200)), vec![REQUEST.into()]);
}

/// Guards against one probe for each of many requests whose connections are lost at the same time.
#[test]
fn target_is_probed_at_most_once_a_second() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    let probes = (0..10).filter(|ms| suspicions.record_disconnect(&"a", REQUEST, at(*ms))).count();
    assert_eq!(probes, 1);
    assert!(suspicions.record_disconnect(&"a", REQUEST, at(2000)));
}
