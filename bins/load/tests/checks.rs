//! Comparison with journals, outages, quantiles, key distributions and process usage.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use yare::parameterized;

use caraway_core::outcome::Reason;
use caraway_load::histogram::Histogram;
use caraway_load::journal::Entry;
use caraway_load::journal::Journal;
use caraway_load::journal::Journals;
use caraway_load::journal::compare;
use caraway_load::outage::Window;
use caraway_load::outage::outages;
use caraway_load::process;
use caraway_load::profile::Distribution;
use caraway_load::profile::Profile;
use caraway_load::profile::Target;
use caraway_load::random::Keys;
use caraway_load::random::Random;
use caraway_load::request::Generator;
use caraway_load::sample::Record;
use caraway_load::sample::Sample;
use caraway_load::sample::Verdict;

const PROFILE: &str = r#"{ "entries": ["127.0.0.1:1"], "run": "t", "seconds": 1,
    "arrival": {"closed": {"connections": 1}}, "seed": 3,
    "kinds": [ {"name": "order", "method": "POST", "path": "/o/{key}", "keys": 100,
                "idempotency_key": true},
               {"name": "read", "method": "GET", "path": "/r/{key}", "keys": 100, "weight": 3} ] }"#;

fn profile() -> Profile {
    serde_json::from_str(PROFILE).unwrap()
}

fn sample(number: u64, verdict: Verdict, incarnation: Option<u32>) -> Sample {
    Sample {
        number,
        submission: 0,
        kind: 0,
        key: 1,
        entry: 0,
        incarnation,
        intended_us: 0,
        ended_us: 10,
        verdict,
    }
}

fn entry(n: u64, number: u64, token: &str, started_ms: u64) -> Entry {
    Entry {
        n,
        request_id: Some(format!("t-{number}")),
        idempotency_key: Some(format!("t-order-{number}")),
        key: Some("k1".to_owned()),
        token: Some(token.to_owned()),
        started_ms,
        ended_ms: Some(started_ms + 5),
        completed: true,
    }
}

fn journals(list: Vec<(&str, bool, Vec<Entry>)>) -> Journals {
    let mut journals = Journals::default();
    for (incarnation, complete, entries) in list {
        let target = Target {
            name: incarnation.split('/').next().unwrap().to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            keyed: true,
            service: "o".to_owned(),
        };
        let entries = entries.into_iter().map(|entry| (entry.n, entry)).collect();
        journals.read.insert(incarnation.to_owned(), Journal { target, entries, complete });
    }
    journals
}

fn record(samples: Vec<Sample>) -> Record {
    let incarnations = vec!["a/1".to_owned(), "b/1".to_owned()];
    Record { samples, incarnations, ..Record::default() }
}

/// Guards against an undetected second execution of an order by another target.
#[test]
fn repeated_executions_of_an_order_are_counted() {
    let journals = journals(vec![
        ("a/1", true, vec![entry(1, 5, "2.1", 100)]),
        ("b/1", true, vec![entry(1, 5, "2.2", 900)]),
    ]);
    let record = record(vec![sample(5, Verdict::Answered(200), Some(1))]);
    let findings = compare(&profile(), &record, &journals);
    assert_eq!((findings.doubled, findings.violations()), (1, 1));
}

/// Guards against an undetected execution of a request that was refused.
#[test]
fn a_refused_request_in_a_journal_is_a_violation() {
    let journals =
        journals(vec![("a/1", true, vec![entry(1, 5, "2.1", 100)]), ("b/1", true, vec![])]);
    let record = record(vec![sample(5, Verdict::Refused(Reason::NoOwner), None)]);
    let findings = compare(&profile(), &record, &journals);
    assert_eq!((findings.refused_but_ran, findings.violations()), (1, 1));
}

/// Guards against a false violation when a journal was lost with its target, and against a missed violation
/// when the complete journal of a target lacks the answered request.
#[parameterized(
    survivor_does_not_know = { 0, 1, 0 },
    journal_lost = { 1, 0, 1 },
)]
fn an_answer_without_execution(incarnation: u32, not_found: u64, unchecked: u64) {
    let journals = journals(vec![("a/1", true, vec![])]);
    let record = record(vec![sample(5, Verdict::Answered(200), Some(incarnation))]);
    let findings = compare(&profile(), &record, &journals);
    assert_eq!((findings.answered_not_found, findings.answered_unchecked), (not_found, unchecked));
    assert_eq!(findings.journals_lost, vec!["b/1".to_owned()]);
}

/// Guards against two undetected owners of a key. A shard that moves to another target and back under a
/// higher token is no violation.
#[parameterized(
    shard_moves_back = { "2.1", "2.2", "2.3", 0 },
    old_owner_runs_again = { "2.1", "2.2", "2.1", 1 },
    two_targets_under_one_token = { "2.1", "2.1", "2.1", 1 },
    new_term = { "2.9", "4.1", "4.2", 0 },
)]
fn tokens_of_a_key_never_decrease_across_targets(
    first: &str,
    second: &str,
    third: &str,
    violations: u64,
) {
    let journals = journals(vec![
        ("a/1", true, vec![entry(1, 1, first, 100), entry(2, 3, third, 300)]),
        ("b/1", true, vec![entry(1, 2, second, 200)]),
    ]);
    assert_eq!(compare(&profile(), &record(vec![]), &journals).ownership, violations);
}

/// Guards against outages that end too early, start too late or omit a waiting request.
#[parameterized(
    all_answered = { &[(0, 5, true), (10, 15, true)], 0, false },
    failed_then_served = { &[(0, 5, true), (10, 20, false), (30, 40, false), (50, 60, true)], 50, false },
    slow_answer = { &[(0, 300, true), (300, 305, true)], 300, false },
    not_served_again = { &[(0, 5, true), (100, 110, false)], 900, true },
    fault_during_a_request = { &[(-50, 20, false), (30, 40, true)], 40, false },
)]
fn outage_of_a_key(submissions: &[(i64, i64, bool)], expected_ms: u64, unresolved: bool) {
    let except = BTreeSet::from([7]);
    let window = Window { label: String::new(), from_us: 1_000_000, to_us: 2_000_000, except };
    let mut samples: Vec<Sample> = submissions
        .iter()
        .map(|(start, end, answered)| Sample {
            intended_us: (1_000_000 + start * 1000) as u64,
            ended_us: (1_000_000 + end * 1000) as u64,
            ..sample(0, if *answered { Verdict::Answered(200) } else { Verdict::Lost }, None)
        })
        .collect();
    // All submissions to an excluded instance fail.
    let failing = sample(0, Verdict::Lost, None);
    samples.push(Sample { entry: 7, intended_us: 1_000_000, ended_us: 1_990_000, ..failing });
    let result = outages(&samples, &window, 100_000);
    assert_eq!((result[0].longest_us, result[0].unresolved), (expected_ms * 1000, unresolved));
}

/// Guards against a relative error of quantiles above the documented 1.6%.
#[test]
fn quantiles_are_within_the_stated_error() {
    let mut histogram = Histogram::new();
    (1..=100_000).for_each(|micros| histogram.add(Duration::from_micros(micros)));
    for (basis_points, exact) in [(1, 10), (5000, 50_000), (9900, 99_000), (9990, 99_900)] {
        let found = histogram.quantile_us(basis_points);
        assert!(found >= exact && found <= exact + exact / 60, "{basis_points}: {found}");
    }
    assert_eq!((histogram.max_us(), histogram.len()), (100_000, 100_000));
}

/// Guards against runs that differ although their seed is the same, and against ignored weights and key
/// distributions.
#[test]
fn generated_requests_follow_the_profile() {
    let generator = Generator::new(&profile());
    let specs: Vec<_> = (0..10_000).map(|number| generator.generate(number)).collect();
    let repeated: Vec<_> = (0..10_000).map(|number| generator.generate(number)).collect();
    assert_eq!(specs, repeated);
    let orders = specs.iter().filter(|spec| spec.kind == 0).count();
    assert!((2300..2700).contains(&orders), "{orders} of 10000 with weight 1 of 4");
    let mut random = Random::new(1, 1);
    let hot = Keys::new(1000, &Distribution::Hot { keys: 10, share: 0.8 });
    let zipf = Keys::new(1000, &Distribution::Zipf { exponent: 1.0 });
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for _ in 0..10_000 {
        *counts.entry("hot").or_default() += usize::from(hot.sample(&mut random) < 10);
        *counts.entry("zipf").or_default() += usize::from(zipf.sample(&mut random) == 0);
    }
    // Expected shares: hot keys 0.8 + 0.2 / 100, the first of 1000 Zipf ranks 1 / H(1000) = 0.1336.
    assert!((7800..8250).contains(&counts["hot"]), "{counts:?}");
    assert!((1200..1470).contains(&counts["zipf"]), "{counts:?}");
}

/// Guards against program names with spaces or parentheses, which shift the fields.
#[test]
fn cpu_time_is_parsed_after_the_program_name() {
    let stat = "7 (a b) c) S 1 7 7 0 -1 4194304 100 0 0 0 12 30 0 0 20 0 1 0 5 1000 200";
    assert_eq!(process::cpu_ms(stat), Some(420));
    assert_eq!(process::resident_kib("Name:\tx\nVmRSS:\t  1234 kB\n"), Some(1234));
}
