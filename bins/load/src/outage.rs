//! Unavailability of keys, derived from samples.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use crate::histogram::Histogram;
use crate::sample::Sample;

/// An interval of a run that is evaluated separately, usually from one fault to the next.
#[derive(Clone, Debug, Serialize)]
pub struct Window {
    /// Event at the start of the window.
    pub label: String,
    /// Start in microseconds since the start of the run.
    pub from_us: u64,
    /// End in microseconds since the start of the run.
    pub to_us: u64,
    /// Indices of excluded entry addresses. Callers of a killed or frozen instance wait or fail regardless of
    /// the other instances.
    pub except: BTreeSet<u16>,
}

/// Unavailability of one key in one window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage {
    /// Index of the request kind.
    pub kind: u16,
    /// Key number.
    pub key: u32,
    /// Longest outage in microseconds.
    pub longest_us: u64,
    /// Time in microseconds from the start of the window to the first response to a request that started in
    /// it.
    pub first_answer_us: Option<u64>,
    /// True if the key was not served again before the end of the window.
    pub unresolved: bool,
}

/// Unavailability of all keys in one window.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Event at the start of the window.
    pub label: String,
    /// Keys with requests in the window.
    pub keys: usize,
    /// Keys with an outage.
    pub affected: usize,
    /// Keys that were not served again before the end of the window.
    pub not_served_again: usize,
    /// Median of the longest outages of the affected keys in milliseconds.
    pub median_ms: f64,
    /// Longest outage in milliseconds.
    pub max_ms: f64,
    /// Longest time in milliseconds, over the affected keys, from the start of the window to the first
    /// response to a request that started in the window.
    pub served_again_ms: f64,
}

/// Returns the unavailability of each key with requests in a window.
///
/// A submission counts as failed if it was not answered or took longer than `slow_us`. An outage starts at
/// the intended start of a failed submission and ends with the first response that arrives at or after the
/// end of that submission, or with the end of the failed submission itself if it was answered. The state
/// between two requests of a rarely used key is not known, so an outage includes these gaps.
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
    let mut unresolved = false;
    let mut outage_start: Option<u64> = None;
    let mut by_end = list.to_vec();
    by_end.sort_by_key(|sample| sample.ended_us);
    for sample in by_end {
        let start = sample.intended_us.max(window.from_us);
        let answered = sample.verdict.answered();
        let failed = !answered || sample.latency_us() > slow_us;
        if failed {
            outage_start = Some(outage_start.map_or(start, |earlier| earlier.min(start)));
        }
        if let (true, Some(from)) = (answered, outage_start) {
            longest_us = longest_us.max(sample.ended_us.saturating_sub(from));
            outage_start = None;
        }
    }
    if let Some(from) = outage_start {
        unresolved = true;
        longest_us = longest_us.max(window.to_us.saturating_sub(from));
    }
    let started_inside = list.iter().filter(|sample| sample.intended_us >= window.from_us);
    let first_answer =
        started_inside.filter(|sample| sample.verdict.answered()).map(|sample| sample.ended_us);
    let first_answer_us = first_answer.min().map(|end| end.saturating_sub(window.from_us));
    Outage { kind, key, longest_us, first_answer_us, unresolved }
}

/// Summarizes the unavailability of all keys in one window.
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
        not_served_again: list.iter().filter(|outage| outage.unresolved).count(),
        median_ms: to_millis(histogram.quantile_us(5000)),
        max_ms: to_millis(histogram.max_us()),
        served_again_ms: to_millis(first.max().unwrap_or(0)),
    }
}

/// Converts microseconds to milliseconds, capped at `u32::MAX` microseconds.
pub fn to_millis(micros: u64) -> f64 {
    let micros = u32::try_from(micros).unwrap_or(u32::MAX);
    f64::from(micros) / 1000.0
}
