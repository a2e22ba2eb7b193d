//! Tests of requests that may have crashed targets.

use caraway_call::quarantine::Fingerprint;
use caraway_call::suspicion::Suspicions;
use caraway_core::time::Stamp;

const REQUEST: Fingerprint = Fingerprint(1);

/// Guards against a request that is blamed for a broken connection of a target that lives, or for a crash
/// long after.
#[test]
fn only_a_crash_soon_after_is_blamed_on_a_request() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    suspicions.record_disconnect(&"a", REQUEST, at(0));
    suspicions.record_answer(&"a");
    assert!(suspicions.record_crash(&"a", at(10)).is_empty());
    suspicions.record_disconnect(&"a", REQUEST, at(20));
    suspicions.record_disconnect(&"b", REQUEST, at(20));
    assert_eq!(suspicions.record_crash(&"a", at(1000)), vec![REQUEST]);
    assert!(suspicions.record_crash(&"a", at(1000)).is_empty(), "one crash is blamed once");
    assert!(suspicions.record_crash(&"b", at(6000)).is_empty());
}

/// Guards against a look at the target for each of many requests that it broke off at once.
#[test]
fn a_target_is_looked_at_once_a_second() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    let looks = (0..10).filter(|ms| suspicions.record_disconnect(&"a", REQUEST, at(*ms))).count();
    assert_eq!(looks, 1);
    assert!(suspicions.record_disconnect(&"a", REQUEST, at(2000)));
}
