//! Reports of load runs, as text and JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::histogram::Histogram;
use crate::journal::Findings;
use crate::outage;
use crate::outage::Window;
use crate::outage::to_millis;
use crate::profile::Profile;
use crate::sample::Record;
use crate::sample::Sample;
use crate::sample::Verdict;

/// Latency of answered submissions in milliseconds, measured from the intended start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// Number of answered submissions.
    pub answered: u64,
    /// Mean latency.
    pub mean_ms: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Maximum latency.
    pub max_ms: f64,
}

impl Latency {
    /// Computes the latency of the answered submissions in `samples`.
    pub fn of<'a>(samples: impl Iterator<Item = &'a Sample>) -> Self {
        let mut histogram = Histogram::new();
        for sample in samples.filter(|sample| sample.verdict.answered()) {
            histogram.add(Duration::from_micros(sample.latency_us()));
        }
        Self {
            answered: histogram.len(),
            mean_ms: to_millis(histogram.mean_us()),
            p50_ms: to_millis(histogram.quantile_us(5000)),
            p99_ms: to_millis(histogram.quantile_us(9900)),
            p999_ms: to_millis(histogram.quantile_us(9990)),
            max_ms: to_millis(histogram.max_us()),
        }
    }
}

/// Number of orders, the requests with an idempotency key, by their outcome after the last submission.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Orders {
    /// Orders whose last submission was answered.
    pub answered: u64,
    /// Orders that did not run.
    pub refused: u64,
    /// Orders with an unknown outcome.
    pub unknown: u64,
    /// Orders submitted more than once.
    pub submitted_again: u64,
    /// Orders submitted more than once whose last submission was answered.
    pub answered_after_resend: u64,
}

/// Report of a load run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Number of requests, not counting resubmissions.
    pub requests: u64,
    /// Number of submissions, including resubmissions.
    pub submissions: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Answered submissions per second.
    pub answered_per_second: f64,
    /// Latency of all request kinds.
    pub overall: Latency,
    /// Latency by request kind.
    pub kinds: BTreeMap<String, Latency>,
    /// Number of submissions by verdict.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of submissions by request kind and verdict.
    pub outcomes_by_kind: BTreeMap<String, BTreeMap<String, u64>>,
    /// Responses that belong to another request or have unexpected content.
    pub wrong: u64,
    /// Responses whose framing is complete, but whose body is not.
    pub truncated: u64,
    /// Responses without a valid outcome.
    pub malformed: u64,
    /// Descriptions of the first wrong, truncated and malformed responses.
    pub details: Vec<String>,
    /// Number of idempotency keys that were executed more than once.
    pub doubled: u64,
    /// Outcomes of the requests with an idempotency key.
    pub orders: Orders,
    /// Number of failed connection attempts.
    pub connect_failures: u64,
    /// Unavailability of keys by window.
    pub windows: Vec<outage::Summary>,
    /// Result of the comparison with the journals, if they were read.
    pub journal: Option<Findings>,
}

impl Report {
    /// Creates the report of a run. A key counts as unavailable while its submissions take longer than
    /// `slow_ms`.
    pub fn new(
        profile: &Profile,
        record: &Record,
        windows: &[Window],
        slow_ms: u64,
        journal: Option<Findings>,
    ) -> Self {
        let samples = &record.samples;
        let count =
            |verdict: Verdict| count_samples(samples.iter().filter(|one| one.verdict == verdict));
        let seconds = Duration::from_micros(record.duration_us).as_secs_f64();
        let overall = Latency::of(samples.iter());
        let answered = u32::try_from(overall.answered).unwrap_or(u32::MAX);
        let summaries = windows
            .iter()
            .map(|window| outage::summarize(samples, window, slow_ms.saturating_mul(1000)));
        let mut report = Self {
            requests: count_samples(samples.iter().filter(|sample| sample.submission == 0)),
            submissions: count_samples(samples.iter()),
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

    /// Returns true if the run detected no violation of an invariant.
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

fn count_samples<'a>(samples: impl Iterator<Item = &'a Sample>) -> u64 {
    u64::try_from(samples.count()).unwrap_or(u64::MAX)
}

fn orders(profile: &Profile, samples: &[Sample]) -> Orders {
    let has_idempotency_key = |sample: &&Sample| {
        profile.kinds.get(usize::from(sample.kind)).is_some_and(|kind| kind.idempotency_key)
    };
    let mut last: BTreeMap<u64, Sample> = BTreeMap::new();
    for sample in samples.iter().filter(has_idempotency_key) {
        let latest = last.entry(sample.number).or_insert(*sample);
        if sample.submission >= latest.submission {
            *latest = *sample;
        }
    }
    let mut orders = Orders::default();
    for sample in last.values() {
        let answered = sample.verdict.answered();
        let resubmitted = sample.submission > 0;
        orders.answered += u64::from(answered);
        // A refused resubmission does not prove that the earlier submissions did not run.
        orders.refused += u64::from(sample.verdict.not_run() && !resubmitted);
        orders.unknown += u64::from(!answered && (resubmitted || !sample.verdict.not_run()));
        orders.submitted_again += u64::from(resubmitted);
        orders.answered_after_resend += u64::from(resubmitted && answered);
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
