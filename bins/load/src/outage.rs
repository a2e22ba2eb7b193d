//! Unavailable times of keys, derived from samples.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use crate::histogram::Histogram;
use crate::sample::Sample;

/// A span of a run that is evaluated on its own, usually from one fault to the next.
#[derive(Clone, Debug, Serialize)]
pub struct Window {
    /// What happened at its start.
    pub label: String,
    /// Start in microseconds since the start of the run.
    pub from_us: u64,
    /// End in microseconds since the start of the run.
    pub to_us: u64,
    /// Indices of entry addresses that are left out: callers of a killed or frozen instance wait or
    /// fail whatever the other instances do.
    pub except: BTreeSet<u16>,
}

/// Unavailable time of one key in one window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage {
    /// Index of the request kind.
    pub kind: u16,
    /// Key number.
    pub key: u32,
    /// Longest unavailable time in microseconds.
    pub longest_us: u64,
    /// Time from the start of the window to the first answer to a request that started in it.
    pub first_answer_us: Option<u64>,
    /// True if the key was not served again before the window's end.
    pub open: bool,
}

/// Unavailable times of all keys in one window.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// What happened at the start of the window.
    pub label: String,
    /// Keys with requests in the window.
    pub keys: usize,
    /// Keys that were unavailable.
    pub affected: usize,
    /// Keys that were not served again before the end of the window.
    pub not_served_again: usize,
    /// Median of the unavailable times of the affected keys in milliseconds.
    pub median_ms: f64,
    /// Longest unavailable time in milliseconds.
    pub max_ms: f64,
    /// Longest time in milliseconds from the start of the window to the first answer to a request of an
    /// affected key that started in the window.
    pub served_again_ms: f64,
}

/// Returns the unavailable time of each key that has requests in a window.
///
/// A submission is bad if it was not answered or took longer than `slow_us`. An unavailable time
/// starts at the intended start of a bad submission and ends at the first answer that arrives at or
/// after the end of that submission, or at the end of the bad submission itself if it was answered.
/// Between the requests of a rarely used key nothing is known, so the time includes these gaps.
pub fn outages(samples: &[Sample], window: &Window, slow_us: u64) -> Vec<Outage> {
    let mut keys: BTreeMap<(u16, u32), Vec<&Sample>> = BTreeMap::new();
    let inside = |sample: &&Sample| {
        sample.ended_us >= window.from_us
            && sample.intended_us < window.to_us
            && !window.except.contains(&sample.entry)
    };
    for sample in samples.iter().filter(inside) {
        keys.entry((sample.kind, sample.key)).or_default().push(sample);
    }
    keys.into_iter().map(|((kind, key), list)| outage(kind, key, &list, window, slow_us)).collect()
}

fn outage(kind: u16, key: u32, list: &[&Sample], window: &Window, slow_us: u64) -> Outage {
    let mut longest_us = 0;
    let mut open = false;
    let mut since: Option<u64> = None;
    let mut by_end = list.to_vec();
    by_end.sort_by_key(|sample| sample.ended_us);
    for sample in by_end {
        let start = sample.intended_us.max(window.from_us);
        let answered = sample.verdict.answered();
        let bad = !answered || sample.latency_us() > slow_us;
        if bad {
            since = Some(since.map_or(start, |earlier| earlier.min(start)));
        }
        if let (true, Some(from)) = (answered, since) {
            longest_us = longest_us.max(sample.ended_us.saturating_sub(from));
            since = None;
        }
    }
    if let Some(from) = since {
        open = true;
        longest_us = longest_us.max(window.to_us.saturating_sub(from));
    }
    let later = list.iter().filter(|sample| sample.intended_us >= window.from_us);
    let first_answer =
        later.filter(|sample| sample.verdict.answered()).map(|sample| sample.ended_us);
    let first_answer_us = first_answer.min().map(|end| end.saturating_sub(window.from_us));
    Outage { kind, key, longest_us, first_answer_us, open }
}

/// Summarizes the unavailable times of one window.
pub fn summarize(samples: &[Sample], window: &Window, slow_us: u64) -> Summary {
    let list = outages(samples, window, slow_us);
    let mut histogram = Histogram::new();
    let affected: Vec<&Outage> = list.iter().filter(|outage| outage.longest_us > 0).collect();
    for outage in &affected {
        histogram.add(std::time::Duration::from_micros(outage.longest_us));
    }
    let first = affected.iter().filter_map(|outage| outage.first_answer_us);
    Summary {
        label: window.label.clone(),
        keys: list.len(),
        affected: affected.len(),
        not_served_again: list.iter().filter(|outage| outage.open).count(),
        median_ms: millis(histogram.quantile_us(5000)),
        max_ms: millis(histogram.max_us()),
        served_again_ms: millis(first.max().unwrap_or(0)),
    }
}

/// Converts microseconds to milliseconds for a report.
pub fn millis(micros: u64) -> f64 {
    let micros = u32::try_from(micros).unwrap_or(u32::MAX);
    f64::from(micros) / 1000.0
}
