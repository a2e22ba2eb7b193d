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
    suspicions.broken(&"a", REQUEST, at(0));
    suspicions.alive(&"a");
    assert!(suspicions.crashed(&"a", at(10)).is_empty());
    suspicions.broken(&"a", REQUEST, at(20));
    suspicions.broken(&"b", REQUEST, at(20));
    assert_eq!(suspicions.crashed(&"a", at(1000)), vec![REQUEST]);
    assert!(suspicions.crashed(&"a", at(1000)).is_empty(), "one crash is blamed once");
    assert!(suspicions.crashed(&"b", at(6000)).is_empty());
}

/// Guards against a look at the target for each of many requests that it broke off at once.
#[test]
fn a_target_is_looked_at_once_a_second() {
    let at = Stamp::from_millis;
    let mut suspicions = Suspicions::default();
    let looks = (0..10).filter(|ms| suspicions.broken(&"a", REQUEST, at(*ms))).count();
    assert_eq!(looks, 1);
    assert!(suspicions.broken(&"a", REQUEST, at(2000)));
}
