//! The result of a run for people and for programs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::histogram::Histogram;
use crate::journal::Findings;
use crate::outage;
use crate::outage::Window;
use crate::outage::millis;
use crate::profile::Profile;
use crate::sample::Record;
use crate::sample::Sample;
use crate::sample::Verdict;

/// Latency of answered submissions, from the intended start, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// Answered submissions.
    pub answered: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl Latency {
    /// Computes the latency of the answered submissions among some samples.
    pub fn of<'a>(samples: impl Iterator<Item = &'a Sample>) -> Self {
        let mut histogram = Histogram::new();
        for sample in samples.filter(|sample| sample.verdict.answered()) {
            histogram.add(Duration::from_micros(sample.latency_us()));
        }
        Self {
            answered: histogram.len(),
            mean_ms: millis(histogram.mean_us()),
            p50_ms: millis(histogram.quantile_us(5000)),
            p99_ms: millis(histogram.quantile_us(9900)),
            p999_ms: millis(histogram.quantile_us(9990)),
            max_ms: millis(histogram.max_us()),
        }
    }
}

/// Orders: requests with an idempotency key, by what the caller knows after the last submission.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Orders {
    /// Answered by the last submission.
    pub answered: u64,
    /// Known not to have run.
    pub refused: u64,
    /// Outcome not known.
    pub unknown: u64,
    /// Submitted more than once.
    pub submitted_again: u64,
    /// Submitted more than once and answered in the end.
    pub answered_after_resend: u64,
}

/// The result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests, not counting resubmissions.
    pub requests: u64,
    /// Submissions.
    pub submissions: u64,
    /// Duration in seconds.
    pub seconds: f64,
    /// Answered submissions per second.
    pub answered_per_second: f64,
    /// Latency of all kinds together.
    pub overall: Latency,
    /// Latency by kind.
    pub kinds: BTreeMap<String, Latency>,
    /// Submissions by verdict.
    pub outcomes: BTreeMap<String, u64>,
    /// Submissions by verdict and kind.
    pub outcomes_by_kind: BTreeMap<String, BTreeMap<String, u64>>,
    /// Answers that belong to another request or have other content.
    pub wrong: u64,
    /// Answers that look complete and are not.
    pub truncated: u64,
    /// Answers without a valid outcome.
    pub malformed: u64,
    /// Descriptions of the first wrong, truncated and malformed answers.
    pub details: Vec<String>,
    /// Idempotency keys that were executed more than once.
    pub doubled: u64,
    /// Requests with an idempotency key.
    pub orders: Orders,
    /// Connections that could not be opened.
    pub connect_failures: u64,
    /// Unavailable times by window.
    pub windows: Vec<outage::Summary>,
    /// Comparison with the journals, if they were read.
    pub journal: Option<Findings>,
}

impl Report {
    /// Makes the report of a run. A submission that takes longer than `slow_ms` counts as unavailable.
    pub fn new(
        profile: &Profile,
        record: &Record,
        windows: &[Window],
        slow_ms: u64,
        journal: Option<Findings>,
    ) -> Self {
        let samples = &record.samples;
        let count = |verdict: Verdict| total(samples.iter().filter(|one| one.verdict == verdict));
        let seconds = Duration::from_micros(record.duration_us).as_secs_f64();
        let overall = Latency::of(samples.iter());
        let answered = u32::try_from(overall.answered).unwrap_or(u32::MAX);
        let summaries = windows
            .iter()
            .map(|window| outage::summarize(samples, window, slow_ms.saturating_mul(1000)));
        let mut report = Self {
            requests: total(samples.iter().filter(|sample| sample.submission == 0)),
            submissions: total(samples.iter()),
            seconds,
            answered_per_second: if seconds > 0.0 { f64::from(answered) / seconds } else { 0.0 },
            overall,
            wrong: count(Verdict::Wrong),
            truncated: count(Verdict::Truncated),
            malformed: count(Verdict::Malformed),
            doubled: journal.as_ref().map_or(0, |findings| findings.doubled),
            details: record.details.clone(),
            orders: orders(profile, samples),
            connect_failures: record.connect_failures,
            windows: summaries.collect(),
            journal,
            ..Self::default()
        };
        report.add_kinds(profile, samples);
        report
    }

    /// Returns true if no invariant was violated as far as the run can tell.
    pub fn clean(&self) -> bool {
        let journal = self.journal.as_ref().map_or(0, Findings::violations);
        self.wrong + self.truncated + self.malformed + self.doubled + journal == 0
    }

    fn add_kinds(&mut self, profile: &Profile, samples: &[Sample]) {
        for (index, kind) in profile.kinds.iter().enumerate() {
            let of_kind = || samples.iter().filter(move |sample| usize::from(sample.kind) == index);
            self.kinds.insert(kind.name.clone(), Latency::of(of_kind()));
            let outcomes = self.outcomes_by_kind.entry(kind.name.clone()).or_default();
            for sample in of_kind() {
                let name = sample.verdict.name();
                *self.outcomes.entry(name.clone()).or_default() += 1;
                *outcomes.entry(name).or_default() += 1;
            }
        }
    }
}

fn total<'a>(samples: impl Iterator<Item = &'a Sample>) -> u64 {
    u64::try_from(samples.count()).unwrap_or(u64::MAX)
}

fn orders(profile: &Profile, samples: &[Sample]) -> Orders {
    let keyed = |sample: &&Sample| {
        profile.kinds.get(usize::from(sample.kind)).is_some_and(|kind| kind.idempotency_key)
    };
    let mut last: BTreeMap<u64, Sample> = BTreeMap::new();
    for sample in samples.iter().filter(keyed) {
        let known = last.entry(sample.number).or_insert(*sample);
        if sample.submission >= known.submission {
            *known = *sample;
        }
    }
    let mut orders = Orders::default();
    for sample in last.values() {
        let answered = sample.verdict.answered();
        let again = sample.submission > 0;
        orders.answered += u64::from(answered);
        // A refusal of a later submission says nothing about the earlier ones.
        orders.refused += u64::from(sample.verdict.not_run() && !again);
        orders.unknown += u64::from(!answered && (again || !sample.verdict.not_run()));
        orders.submitted_again += u64::from(again);
        orders.answered_after_resend += u64::from(again && answered);
    }
    orders
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests, {} submissions in {:.1} s, {:.0} answers/s, {} failed connects",
            self.requests,
            self.submissions,
            self.seconds,
            self.answered_per_second,
            self.connect_failures
        )?;
        writeln!(
            f,
            "{:<20} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "kind", "answered", "p50 ms", "p99 ms", "p99.9 ms", "max ms"
        )?;
        let all = [("all".to_owned(), self.overall)];
        let kinds = self.kinds.iter().map(|(name, latency)| (name.clone(), *latency));
        for (name, latency) in all.into_iter().chain(kinds) {
            writeln!(
                f,
                "{name:<20} {:>9} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
                latency.answered, latency.p50_ms, latency.p99_ms, latency.p999_ms, latency.max_ms
            )?;
        }
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome:<40} {count:>9}")?;
        }
        let orders = &self.orders;
        writeln!(
            f,
            "orders: {} answered, {} refused, {} unknown; {} submitted again, {} of them answered",
            orders.answered,
            orders.refused,
            orders.unknown,
            orders.submitted_again,
            orders.answered_after_resend
        )?;
        writeln!(
            f,
            "wrong {}, truncated {}, malformed {}, doubled {}",
            self.wrong, self.truncated, self.malformed, self.doubled
        )?;
        self.details.iter().try_for_each(|detail| writeln!(f, "  {detail}"))?;
        if let Some(findings) = &self.journal {
            write_findings(f, findings)?;
        }
        write_windows(f, &self.windows)
    }
}

fn write_findings(f: &mut fmt::Formatter<'_>, findings: &Findings) -> fmt::Result {
    writeln!(
        f,
        "journals: {} executions in {} journals; refused but ran {}, answered but not found {}, \
         ownership {}, overlapping runs {}",
        findings.executions,
        findings.journals_read,
        findings.refused_but_ran,
        findings.answered_not_found,
        findings.ownership,
        findings.overlapping_runs
    )?;
    if !findings.journals_lost.is_empty() {
        writeln!(
            f,
            "  journals of killed targets are lost: {}; {} answers could not be checked",
            findings.journals_lost.join(", "),
            findings.answered_unchecked
        )?;
    }
    findings.details.iter().try_for_each(|detail| writeln!(f, "  violation: {detail}"))
}

fn write_windows(f: &mut fmt::Formatter<'_>, windows: &[outage::Summary]) -> fmt::Result {
    if windows.is_empty() {
        return Ok(());
    }
    writeln!(
        f,
        "{:<44} {:>6} {:>9} {:>10} {:>10}",
        "unavailable after", "keys", "affected", "median ms", "max ms"
    )?;
    for window in windows {
        writeln!(
            f,
            "{:<44} {:>6} {:>9} {:>10.0} {:>10.0}{}",
            window.label,
            window.keys,
            window.affected,
            window.median_ms,
            window.max_ms,
            if window.not_served_again > 0 {
                format!("  {} not served again", window.not_served_again)
            } else {
                String::new()
            }
        )?;
    }
    Ok(())
}
