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

/// The request that crashes every target.
const POISON: u8 = 0;

const TARGETS: u8 = 4;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A request is sent to a target if it may run.
    Send(u8, u8),
    /// A target ends its oldest request: the poison crashes it, with all that runs there.
    End(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..6u8, 0..TARGETS).prop_map(|(request, target)| Op::Send(request, target)),
        2 => (0..TARGETS).prop_map(Op::End),
    ]
}

proptest! {
    /// Guards against a request that crashes one target after another, and against suspects that
    /// overlap, which would attribute a second crash to requests that did not cause it.
    #[test]
    fn poison_is_contained(ops in prop::collection::vec(op(), 1..300)) {
        let mut quarantine = Quarantine::new(Options::default());
        let mut flights: HashMap<u8, Vec<(u8, bool)>> = HashMap::new();
        let mut crashes = 0;
        let mut concurrent = 0;
        for op in ops {
            match op {
                Op::Send(request, target) => {
                    let fingerprint = Fingerprint(u64::from(request));
                    let verdict = quarantine.admit(fingerprint, at(0));
                    let probing: Vec<_> = flights.values().flatten().filter(|(_, probe)| *probe).collect();
                    match verdict {
                        Verdict::Probe => {
                            let same = probing.iter().any(|(other, _)| *other == request);
                            prop_assert!(!same, "two probes of request {request}");
                            flights.entry(target).or_default().push((request, true));
                        }
                        Verdict::Run => flights.entry(target).or_default().push((request, false)),
                        Verdict::Wait => prop_assert!(!probing.is_empty(), "waits for nothing"),
                        Verdict::Refuse => prop_assert!(crashes >= 2, "refused after {crashes}"),
                    }
                    let poisons = flights.values().flatten().filter(|(r, _)| *r == POISON).count();
                    concurrent = concurrent.max(poisons);
                }
                Op::End(target) => {
                    let flight = flights.entry(target).or_default();
                    let Some((request, probe)) = flight.first().copied() else { continue };
                    if request == POISON {
                        crashes += 1;
                        for (request, probe) in flight.drain(..) {
                            let fingerprint = Fingerprint(u64::from(request));
                            quarantine.record_crash(fingerprint, crash(target, crashes), at(0));
                            if probe {
                                quarantine.end_probe(fingerprint);
                            }
                        }
                    } else {
                        flight.remove(0);
                        quarantine.record_completion(Fingerprint(u64::from(request)));
                        if probe {
                            quarantine.end_probe(Fingerprint(u64::from(request)));
                        }
                    }
                }
            }
        }
        // Copies that were sent before the first crash can each crash a target.
        let before = u64::try_from(concurrent).unwrap();
        prop_assert!(crashes <= before + 2, "{crashes} crashes with {before} copies at once");
    }
}

/// Guards against innocent requests that are refused because they shared a target with the poison:
/// they run alone afterwards and are cleared, while the poison is refused after its second crash.
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

/// Guards against one crash that counts twice because two instances report it, one of them without
/// the incarnation.
#[test]
fn reports_of_one_crash_count_once() {
    let mut quarantine = Quarantine::new(Options::default());
    let fingerprint = Fingerprint(1);
    for incarnation in [0, 7, 0, 7] {
        let age = Duration::from_secs(1);
        quarantine.merge(Report { fingerprint, crash: crash(1, incarnation), age }, at(5));
    }
    assert_eq!(quarantine.admit(fingerprint, at(5)), Verdict::Probe);
    quarantine.end_probe(fingerprint);
    quarantine.merge(Report { fingerprint, crash: crash(1, 9), age: Duration::ZERO }, at(5));
    assert_eq!(quarantine.admit(fingerprint, at(5)), Verdict::Refuse);
}

/// Guards against a request that stays a suspect although the target turned out to be alive.
#[test]
fn living_target_absolves() {
    let mut quarantine = Quarantine::new(Options::default());
    quarantine.record_crash(Fingerprint(1), crash(1, 7), at(0));
    quarantine.retract(&crash(1, 7));
    assert_eq!(quarantine.admit(Fingerprint(1), at(0)), Verdict::Run);
}

/// Guards against a table that grows with every request that was in flight during crashes.
#[test]
fn table_is_bounded_and_keeps_the_latest() {
    let mut quarantine = Quarantine::new(Options { max_suspects: 10, ..Options::default() });
    for number in 0..100 {
        quarantine.record_crash(Fingerprint(number), crash(1, 7), at(number));
    }
    assert_eq!(quarantine.len(), 10);
    let held: HashSet<_> = quarantine.reports(at(100)).iter().map(|r| r.fingerprint.0).collect();
    assert_eq!(held, (90..100).collect());
}
