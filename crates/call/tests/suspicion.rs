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
    suspicions.record_answer(&"a");
    assert!(suspicions.record_crash(&"a", at(10)).is_empty());
    suspicions.record_disconnect(&"a", REQUEST, at(20));
    suspicions.record_disconnect(&"b", REQUEST, at(20));
    assert_eq!(suspicions.record_crash(&"a", at(1000)), vec![REQUEST]);
    assert!(suspicions.record_crash(&"a", at(1000)).is_empty(), "a crash is attributed only once");
    assert!(suspicions.record_crash(&"b", at(6000)).is_empty());
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
