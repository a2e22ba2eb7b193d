//! Tests of the quarantine with callers that send requests of the same content.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::time::Duration;

use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;

use caraway_call::quarantine::Caller;
use caraway_call::quarantine::Crash;
use caraway_call::quarantine::Fingerprint;
use caraway_call::quarantine::Identity;
use caraway_call::quarantine::Options;
use caraway_call::quarantine::Phase;
use caraway_call::quarantine::Quarantine;
use caraway_call::quarantine::Report;
use caraway_call::quarantine::Verdict;
use caraway_call::suspicion::End;
use caraway_call::suspicion::Loss;
use caraway_call::suspicion::Suspicions;
use caraway_core::time::Stamp;

const MAX_CRASHES: usize = 3;

fn at(seconds: u64) -> Stamp {
    Stamp::from_millis(1_000_000 + seconds * 1000)
}

fn crash(target: u64) -> Crash {
    Crash { target: format!("target-{target}").as_str().into(), incarnation: 7 }
}

/// Returns a request of one content by the caller with this number.
fn by(caller: u8) -> Identity {
    let caller = Caller::Address([192, 0, 2, caller].into());
    Identity { fingerprint: Fingerprint(1), caller }
}

fn quarantine() -> Quarantine {
    Quarantine::new(Options { max_crashes: MAX_CRASHES, ..Options::default() })
}

/// Guards against clearing a caller whose requests crash targets because another caller's request
/// with the same method, path and body completes, and against refusing that other caller.
#[test]
fn a_completion_clears_only_its_own_caller() {
    let mut quarantine = quarantine();
    for number in 0..3 {
        assert!(!quarantine.refuses(by(1), at(number)), "after {number} crashes");
        quarantine.record_crash(by(1), crash(number), at(number));
        quarantine.record_completion(by(2));
    }
    assert!(quarantine.refuses(by(1), at(3)));
    assert_eq!(quarantine.admit(by(1), at(3)), Verdict::Refuse);
    assert!(!quarantine.refuses(by(2), at(3)));
    assert_eq!(quarantine.admit(by(2), at(3)), Verdict::Run);
    quarantine.record_completion(by(2));
    assert!(quarantine.refuses(by(1), at(3)));
}

/// Guards against refusing other callers while a single one is implicated.
#[test]
fn only_the_implicated_caller_is_refused() {
    let mut quarantine = quarantine();
    for number in 0..3 {
        quarantine.record_crash(by(1), crash(number), at(number));
    }
    assert!(quarantine.refuses(by(1), at(3)));
    assert!(!quarantine.refuses(by(2), at(3)));
}

/// Guards against a caller without a stable address that crashes one target after another.
#[test]
fn content_is_refused_once_several_callers_are_implicated() {
    let mut quarantine = quarantine();
    for number in 0..3_u8 {
        assert!(!quarantine.refuses(by(9), at(0)), "after {number} crashes");
        quarantine.record_crash(by(number), crash(number.into()), at(0));
    }
    assert!(quarantine.refuses(by(9), at(0)));
    // One of the requests that were in flight before completes.
    quarantine.record_completion(by(8));
    assert!(quarantine.refuses(by(9), at(0)));
    assert!(!quarantine.refuses(by(9), at(600)), "the retention has passed");
}

/// Guards against refusing a popular request for everybody because several targets end for other
/// reasons while requests of different callers are in flight.
#[test]
fn completions_of_other_callers_clear_the_content() {
    let mut quarantine = quarantine();
    for number in 0..20_u8 {
        quarantine.record_crash(by(number), crash(number.into()), at(0));
        quarantine.record_completion(by(100));
        assert!(!quarantine.refuses(by(101), at(0)), "after {number} crashes");
        assert!(!quarantine.refuses(by(number), at(0)), "after {number} crashes");
    }
}

/// Guards against a report of another instance that implicates a caller again whose request has
/// completed since the crash.
#[test]
fn a_cleared_caller_is_not_implicated_by_later_reports() {
    let mut quarantine = quarantine();
    for number in 0..2 {
        quarantine.record_crash(by(1), crash(number), at(0));
    }
    assert!(quarantine.record_completion(by(1)));
    for number in 0..2 {
        let age = Duration::from_secs(1);
        quarantine.merge(Report { request: by(1), crash: crash(number), age }, at(1));
    }
    quarantine.record_crash(by(1), crash(2), at(1));
    assert!(!quarantine.refuses(by(1), at(1)));
    assert_eq!(quarantine.reports(at(1)).len(), 1);
}

/// Guards against losing the caller on the way from a lost connection to the quarantine of another
/// instance.
#[test]
fn reports_carry_the_caller() {
    let mut suspicions = Suspicions::default();
    suspicions.record_end(&"a", by(1), End::Broken, at(0));
    let mut first = quarantine();
    for (request, _) in suspicions.record_loss(&"a", Loss::Ended, at(1)) {
        first.record_crash(request, crash(0), at(1));
    }
    first.record_crash(by(1), crash(1), at(1));
    first.record_crash(by(1), crash(2), at(1));
    let mut second = quarantine();
    for report in first.reports(at(2)) {
        second.merge(report, at(2));
    }
    assert!(second.refuses(by(1), at(2)));
    assert!(!second.refuses(by(2), at(2)));
}

proptest! {
    /// Guards against a caller with a stable address that crashes more targets than are allowed,
    /// whatever other callers do, and against refusing callers that have crashed nothing while a
    /// single caller has.
    #[test]
    fn a_stable_caller_is_contained(
        // Caller 0 crashes each target; the others complete.
        ops in prop::collection::vec(0..5_u8, 1..200),
    ) {
        let mut quarantine = quarantine();
        let mut crashes = 0_usize;
        for caller in ops {
            let refused = quarantine.refuses(by(caller), at(0));
            if caller == 0 {
                prop_assert!(refused == (crashes >= MAX_CRASHES), "after {crashes} crashes");
                if !refused {
                    quarantine.record_crash(by(0), crash(crashes.try_into().unwrap()), at(0));
                    crashes += 1;
                }
            } else {
                prop_assert!(!refused, "caller {caller} is refused");
                quarantine.record_completion(by(caller));
            }
        }
    }
}

/// Guards against containing nobody who crashes targets right after the response, and against blaming
/// such a request once the one that was in flight at the target is known, in whichever order the
/// reports arrive.
#[test]
fn a_completed_request_is_suspected_only_while_none_in_flight_is_known() {
    let report = |caller: u8, number: u64| Report {
        request: by(caller),
        crash: crash(number),
        age: Duration::ZERO,
    };
    let mut quarantine = quarantine();
    for number in 0..3 {
        quarantine.merge_in_phase(report(1, number), Phase::Completed, at(number));
    }
    assert!(quarantine.refuses(by(1), at(3)));
    assert!(!quarantine.refuses(by(2), at(3)), "the content says nothing");
    quarantine.merge_in_phase(report(2, 2), Phase::InFlight, at(3));
    assert!(!quarantine.refuses(by(1), at(3)));
    quarantine.merge_in_phase(report(1, 2), Phase::Completed, at(3));
    assert!(!quarantine.refuses(by(1), at(3)));
    // A request with other content may have been in flight.
    let other = Identity { fingerprint: Fingerprint(2), ..by(3) };
    quarantine.merge_in_phase(report(1, 4), Phase::Completed, at(4));
    assert!(quarantine.refuses(by(1), at(4)));
    quarantine.record_crash(other, crash(4), at(4));
    assert!(!quarantine.refuses(by(1), at(4)));
}
