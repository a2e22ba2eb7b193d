//! The comparison with journals, unavailable times, quantiles and key distributions.

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

fn sample(number: u64, verdict: Verdict, source: Option<u32>) -> Sample {
    Sample {
        number,
        submission: 0,
        kind: 0,
        key: 1,
        entry: 0,
        incarnation: source,
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
    for (source, complete, entries) in list {
        let target = Target {
            name: source.split('/').next().unwrap().to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            keyed: true,
            service: "o".to_owned(),
        };
        let entries = entries.into_iter().map(|entry| (entry.n, entry)).collect();
        journals.read.insert(source.to_owned(), Journal { target, entries, complete });
    }
    journals
}

fn record(samples: Vec<Sample>) -> Record {
    let sources = vec!["a/1".to_owned(), "b/1".to_owned()];
    Record { samples, incarnations: sources, ..Record::default() }
}

/// Guards against missing a second execution of an order by another target.
#[test]
fn two_executions_of_an_order_are_doubled() {
    let journals = journals(vec![
        ("a/1", true, vec![entry(1, 5, "2.1", 100)]),
        ("b/1", true, vec![entry(1, 5, "2.2", 900)]),
    ]);
    let record = record(vec![sample(5, Verdict::Answered(200), Some(1))]);
    let findings = compare(&profile(), &record, &journals);
    assert_eq!((findings.doubled, findings.violations()), (1, 1));
}

/// Guards against missing a request that ran although its caller was told that it did not.
#[test]
fn a_refused_request_in_a_journal_is_a_violation() {
    let journals =
        journals(vec![("a/1", true, vec![entry(1, 5, "2.1", 100)]), ("b/1", true, vec![])]);
    let record = record(vec![sample(5, Verdict::Refused(Reason::NoOwner), None)]);
    let findings = compare(&profile(), &record, &journals);
    assert_eq!((findings.refused_but_ran, findings.violations()), (1, 1));
}

/// Guards against blaming the system for a journal that died with its target, and against excusing an
/// answer that a surviving target does not know.
#[parameterized(
    survivor_does_not_know = { 0, 1, 0 },
    journal_lost = { 1, 0, 1 },
)]
fn an_answer_without_execution(source: u32, not_found: u64, unchecked: u64) {
    let journals = journals(vec![("a/1", true, vec![])]);
    let record = record(vec![sample(5, Verdict::Answered(200), Some(source))]);
    let findings = compare(&profile(), &record, &journals);
    assert_eq!((findings.answered_not_found, findings.answered_unchecked), (not_found, unchecked));
    assert_eq!(findings.journals_lost, vec!["b/1".to_owned()]);
}

/// Guards against missing two owners of a key. A shard that moves on and comes back under a higher
/// token is no violation.
#[parameterized(
    moved_on = { "2.1", "2.2", "2.3", 0 },
    old_owner_runs_again = { "2.1", "2.2", "2.1", 1 },
    two_targets_under_one_token = { "2.1", "2.1", "2.1", 1 },
    new_term = { "2.9", "4.1", "4.2", 0 },
)]
fn ownership_never_goes_back(first: &str, second: &str, third: &str, violations: u64) {
    let journals = journals(vec![
        ("a/1", true, vec![entry(1, 1, first, 100), entry(2, 3, third, 300)]),
        ("b/1", true, vec![entry(1, 2, second, 200)]),
    ]);
    assert_eq!(compare(&profile(), &record(vec![]), &journals).ownership, violations);
}

/// Guards against unavailable times that end too early, start too late or leave out a waiting request.
#[parameterized(
    all_good = { &[(0, 5, true), (10, 15, true)], 0, false },
    failed_then_served = { &[(0, 5, true), (10, 20, false), (30, 40, false), (50, 60, true)], 50, false },
    waited = { &[(0, 300, true), (300, 305, true)], 300, false },
    never_again = { &[(0, 5, true), (100, 110, false)], 900, true },
    fault_during_a_request = { &[(-50, 20, false), (30, 40, true)], 40, false },
)]
fn unavailable_time_of_a_key(list: &[(i64, i64, bool)], expected_ms: u64, open: bool) {
    let except = BTreeSet::from([7]);
    let window = Window { label: String::new(), from_us: 1_000_000, to_us: 2_000_000, except };
    let mut samples: Vec<Sample> = list
        .iter()
        .map(|(start, end, good)| Sample {
            intended_us: (1_000_000 + start * 1000) as u64,
            ended_us: (1_000_000 + end * 1000) as u64,
            ..sample(0, if *good { Verdict::Answered(200) } else { Verdict::Lost }, None)
        })
        .collect();
    // A caller of an instance that is left out fails all the time.
    let failing = sample(0, Verdict::Lost, None);
    samples.push(Sample { entry: 7, intended_us: 1_000_000, ended_us: 1_990_000, ..failing });
    let result = outages(&samples, &window, 100_000);
    assert_eq!((result[0].longest_us, result[0].open), (expected_ms * 1000, open));
}

/// Guards against quantiles that are off by more than the stated 1.6%.
#[test]
fn quantiles_are_within_the_stated_error() {
    let mut histogram = Histogram::new();
    (1..=100_000).for_each(|micros| histogram.add(Duration::from_micros(micros)));
    for (ten_thousandths, exact) in [(1, 10), (5000, 50_000), (9900, 99_000), (9990, 99_900)] {
        let found = histogram.quantile_us(ten_thousandths);
        assert!(found >= exact && found <= exact + exact / 60, "{ten_thousandths}: {found}");
    }
    assert_eq!((histogram.max_us(), histogram.len()), (100_000, 100_000));
}

/// Guards against runs of one seed that differ, and against weights and hot sets that are ignored.
#[test]
fn draws_follow_the_profile() {
    let source = Generator::new(&profile());
    let drafts: Vec<_> = (0..10_000).map(|number| source.generate(number)).collect();
    let again: Vec<_> = (0..10_000).map(|number| source.generate(number)).collect();
    assert_eq!(drafts, again);
    let orders = drafts.iter().filter(|draft| draft.kind == 0).count();
    assert!((2300..2700).contains(&orders), "{orders} of 10000 with weight 1 of 4");
    let mut random = Random::new(1, 1);
    let hot = Keys::new(1000, &Distribution::Hot { keys: 10, share: 0.8 });
    let zipf = Keys::new(1000, &Distribution::Zipf { exponent: 1.0 });
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for _ in 0..10_000 {
        *counts.entry("hot").or_default() += usize::from(hot.draw(&mut random) < 10);
        *counts.entry("zipf").or_default() += usize::from(zipf.draw(&mut random) == 0);
    }
    // The hot share is 0.8 + 0.2 / 100; the first of 1000 Zipf ranks has 1 / H(1000) = 0.1336.
    assert!((7800..8250).contains(&counts["hot"]), "{counts:?}");
    assert!((1200..1470).contains(&counts["zipf"]), "{counts:?}");
}

/// Guards against a program name with spaces or parentheses that shifts the fields.
#[test]
fn cpu_time_is_read_behind_the_program_name() {
    let stat = "7 (a b) c) S 1 7 7 0 -1 4194304 100 0 0 0 12 30 0 0 20 0 1 0 5 1000 200";
    assert_eq!(process::cpu_ms(stat), Some(420));
    assert_eq!(process::resident_kib("Name:\tx\nVmRSS:\t  1234 kB\n"), Some(1234));
}
