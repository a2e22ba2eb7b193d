//! Tests of the quarantine.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;

use caraway_call::quarantine::Crash;
use caraway_call::quarantine::Fingerprint;
use caraway_call::quarantine::Options;
use caraway_call::quarantine::Quarantine;
use caraway_call::quarantine::Report;
use caraway_call::quarantine::Verdict;
use caraway_core::time::Stamp;

fn at(seconds: u64) -> Stamp {
    Stamp::from_millis(1_000_000 + seconds * 1000)
}

fn crash(target: u8, incarnation: u64) -> Crash {
    Crash { target: format!("target-{target}").as_str().into(), incarnation }
}

/// The request that crashes every target it runs on.
const CRASHING: u8 = 0;

const TARGETS: u8 = 4;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A request is sent to a target if it may run.
    Send(u8, u8),
    /// A target completes its oldest request. The crashing request crashes it, with all others in flight.
    End(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..6u8, 0..TARGETS).prop_map(|(request, target)| Op::Send(request, target)),
        2 => (0..TARGETS).prop_map(Op::End),
    ]
}

proptest! {
    /// Guards against a request that crashes one target after another, and against concurrent probes of
    /// suspects of one crash, which would attribute a second crash to requests that did not cause it.
    #[test]
    fn crashing_request_is_contained(ops in prop::collection::vec(op(), 1..300)) {
        let mut quarantine = Quarantine::new(Options::default());
        let mut in_flight: HashMap<u8, Vec<(u8, bool)>> = HashMap::new();
        let mut crashes = 0;
        let mut concurrent = 0;
        for op in ops {
            match op {
                Op::Send(request, target) => {
                    let fingerprint = Fingerprint(u64::from(request));
                    let verdict = quarantine.admit(fingerprint, at(0));
                    let probing: Vec<_> = in_flight.values().flatten().filter(|(_, probe)| *probe).collect();
                    match verdict {
                        Verdict::Probe => {
                            let same = probing.iter().any(|(other, _)| *other == request);
                            prop_assert!(!same, "two probes of request {request}");
                            in_flight.entry(target).or_default().push((request, true));
                        }
                        Verdict::Run => in_flight.entry(target).or_default().push((request, false)),
                        Verdict::Wait => prop_assert!(!probing.is_empty(), "waits without a running probe"),
                        Verdict::Refuse => prop_assert!(crashes >= 2, "refused after {crashes}"),
                    }
                    let copies = in_flight.values().flatten().filter(|(r, _)| *r == CRASHING).count();
                    concurrent = concurrent.max(copies);
                }
                Op::End(target) => {
                    let running = in_flight.entry(target).or_default();
                    let Some((request, probe)) = running.first().copied() else { continue };
                    if request == CRASHING {
                        crashes += 1;
                        for (request, probe) in running.drain(..) {
                            let fingerprint = Fingerprint(u64::from(request));
                            quarantine.record_crash(fingerprint, crash(target, crashes), at(0));
                            if probe {
                                quarantine.end_probe(fingerprint);
                            }
                        }
                    } else {
                        running.remove(0);
                        quarantine.record_completion(Fingerprint(u64::from(request)));
                        if probe {
                            quarantine.end_probe(Fingerprint(u64::from(request)));
                        }
                    }
                }
            }
        }
        // Each copy that was sent before the first crash can crash a target.
        let before = u64::try_from(concurrent).unwrap();
        prop_assert!(crashes <= before + 2, "{crashes} crashes with {before} copies at once");
    }
}

/// Guards against refusing requests that shared a target with the crashing one. They run as probes
/// afterwards and are cleared, while the crashing request is refused after its second crash.
#[test]
fn innocent_requests_are_cleared() {
    let mut quarantine = Quarantine::new(Options::default());
    let all: Vec<_> = (0..4).map(Fingerprint).collect();
    for fingerprint in &all {
        quarantine.record_crash(*fingerprint, crash(1, 7), at(0));
    }
    assert_eq!(quarantine.admit(all[0], at(1)), Verdict::Probe);
    for fingerprint in &all {
        assert_eq!(quarantine.admit(*fingerprint, at(1)), Verdict::Wait);
    }
    quarantine.record_crash(all[0], crash(2, 8), at(1));
    quarantine.end_probe(all[0]);
    assert_eq!(quarantine.admit(all[0], at(2)), Verdict::Refuse);
    for fingerprint in &all[1..] {
        assert_eq!(quarantine.admit(*fingerprint, at(2)), Verdict::Probe);
        assert!(quarantine.record_completion(*fingerprint));
        quarantine.end_probe(*fingerprint);
        assert_eq!(quarantine.admit(*fingerprint, at(2)), Verdict::Run);
    }
    assert_eq!(quarantine.admit(all[0], at(600)), Verdict::Refuse);
    assert_eq!(quarantine.admit(all[0], at(601)), Verdict::Run);
}

/// Guards against counting a crash twice when two instances report it, one of them without the
/// incarnation.
#[test]
fn reports_of_one_crash_count_once() {
    let mut quarantine = Quarantine::new(Options::default());
    let fingerprint = Fingerprint(1);
    let request = fingerprint.into();
    for incarnation in [0, 7, 0, 7] {
        let age = Duration::from_secs(1);
        quarantine.merge(Report { request, crash: crash(1, incarnation), age }, at(5));
    }
    assert_eq!(quarantine.admit(fingerprint, at(5)), Verdict::Probe);
    quarantine.end_probe(fingerprint);
    quarantine.merge(Report { request, crash: crash(1, 9), age: Duration::ZERO }, at(5));
    assert_eq!(quarantine.admit(fingerprint, at(5)), Verdict::Refuse);
}

/// Guards against a request that remains a suspect although the target turned out to be alive.
#[test]
fn answer_of_the_target_retracts_the_crash() {
    let mut quarantine = Quarantine::new(Options::default());
    quarantine.record_crash(Fingerprint(1), crash(1, 7), at(0));
    quarantine.retract(&crash(1, 7));
    assert_eq!(quarantine.admit(Fingerprint(1), at(0)), Verdict::Run);
}

/// Guards against unbounded growth with the requests that were in flight during crashes.
#[test]
fn table_is_bounded_and_keeps_the_latest() {
    let mut quarantine = Quarantine::new(Options { max_suspects: 10, ..Options::default() });
    for number in 0..100 {
        quarantine.record_crash(Fingerprint(number), crash(1, 7), at(number));
    }
    assert_eq!(quarantine.len(), 10);
    let held: HashSet<_> =
        quarantine.reports(at(100)).iter().map(|r| r.request.fingerprint.0).collect();
    assert_eq!(held, (90..100).collect());
}
