//! Benchmarks: direct against routed requests, idle connections and large bodies.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::client;
use crate::errors::Result;
use crate::process;
use crate::process::Usage;
use crate::profile::Profile;
use crate::report::Report;
use crate::run;

/// Sampling interval of the memory usage in the large-body benchmark.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);

/// One side of the comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Side {
    /// Report of the load.
    pub report: Report,
    /// CPU time of the observed processes per answered request, in microseconds.
    pub cpu_us_per_request: u128,
    /// Resident memory of the observed processes at the end of the run, in KiB.
    pub resident_kib: u64,
}

/// Comparison of direct requests with requests through entry instances.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Requests sent directly to the targets.
    pub direct: Side,
    /// Requests sent through the entry instances.
    pub routed: Side,
    /// Throughput of the routed side divided by that of the direct side.
    pub throughput_ratio: f64,
    /// Difference of the median latencies, routed minus direct, in milliseconds.
    pub added_p50_ms: f64,
    /// Difference of the p99 latencies, routed minus direct, in milliseconds.
    pub added_p99_ms: f64,
}

/// Runs the load of a profile first directly against the targets, then through the entry instances.
pub fn compare(profile: &Profile, direct: &[SocketAddr], pids: &[u32]) -> Result<Comparison> {
    let mut direct_profile = profile.clone();
    direct_profile.entries = direct.to_vec();
    direct_profile.direct = true;
    direct_profile.run = format!("{}d", profile.run);
    let direct = measure_side(direct_profile, pids)?;
    let routed = measure_side(profile.clone(), pids)?;
    let direct_rate = direct.report.answered_per_second;
    Ok(Comparison {
        throughput_ratio: if direct_rate > 0.0 {
            routed.report.answered_per_second / direct_rate
        } else {
            0.0
        },
        added_p50_ms: routed.report.overall.p50_ms - direct.report.overall.p50_ms,
        added_p99_ms: routed.report.overall.p99_ms - direct.report.overall.p99_ms,
        direct,
        routed,
    })
}

fn measure_side(profile: Profile, pids: &[u32]) -> Result<Side> {
    let before = process::total(pids);
    let record = run::run_to_completion(profile.clone())?;
    let after = process::total(pids);
    let report = Report::new(&profile, &record, &[], 0, None);
    let answered = report.overall.answered;
    Ok(Side {
        report,
        cpu_us_per_request: process::cpu_per_request(before, after, answered).as_micros(),
        resident_kib: after.resident_kib,
    })
}

/// Memory usage with idle connections.
#[derive(Clone, Debug, Serialize)]
pub struct Idle {
    /// Number of opened connections.
    pub opened: usize,
    /// Number of failed connection attempts by error.
    pub failures: BTreeMap<String, usize>,
    /// Usage before the connections were opened.
    pub before: Usage,
    /// Usage after the connections were held open.
    pub after: Usage,
    /// Additional memory per connection in bytes.
    pub bytes_per_connection: u64,
    /// Time for which the connections were held open, in seconds.
    pub held_seconds: f64,
}

/// Opens idle connections, holds them open and measures the usage of processes.
pub fn idle(addresses: &[SocketAddr], count: usize, hold: Duration, pids: &[u32]) -> Result<Idle> {
    crate::control::block_on(async {
        let before = process::total(pids);
        let mut senders = Vec::new();
        let mut failures: BTreeMap<String, usize> = BTreeMap::new();
        // Failed attempts are retried, up to a total of twice the requested number of connections.
        for address in addresses.iter().cycle().take(2 * count) {
            if senders.len() == count {
                break;
            }
            match client::connect(*address).await {
                Ok(sender) => senders.push(sender),
                Err(error) => *failures.entry(error.to_string()).or_default() += 1,
            }
        }
        tokio::time::sleep(hold).await;
        let after = process::total(pids);
        let growth_bytes = after.resident_kib.saturating_sub(before.resident_kib) * 1024;
        let opened = u64::try_from(senders.len()).unwrap_or(0);
        Ok(Idle {
            opened: senders.len(),
            failures,
            before,
            after,
            bytes_per_connection: growth_bytes.checked_div(opened).unwrap_or(0),
            held_seconds: hold.as_secs_f64(),
        })
    })
}

/// Result of the large-body benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct Large {
    /// Report of the load.
    pub report: Report,
    /// Resident memory before the run, in KiB.
    pub before_kib: u64,
    /// Highest sampled resident memory during the run, in KiB.
    pub peak_kib: u64,
}

/// Runs a profile with large bodies and samples the memory usage of processes.
pub fn large(profile: &Profile, pids: &[u32]) -> Result<Large> {
    let before = process::total(pids);
    let load = run::Run::start(profile.clone())?;
    let mut peak_kib = before.resident_kib;
    while !load.finished() {
        peak_kib = peak_kib.max(process::total(pids).resident_kib);
        std::thread::sleep(MEMORY_INTERVAL);
    }
    let record = load.finish()?;
    let report = Report::new(profile, &record, &[], 0, None);
    Ok(Large { report, before_kib: before.resident_kib, peak_kib })
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>10} {:>9} {:>9} {:>9} {:>12} {:>10}",
            "", "answers/s", "p50 ms", "p99 ms", "p99.9 ms", "CPU us/req", "RSS MiB"
        )?;
        for (name, side) in [("direct", &self.direct), ("routed", &self.routed)] {
            let latency = side.report.overall;
            writeln!(
                f,
                "{name:<10} {:>10.0} {:>9.2} {:>9.2} {:>9.2} {:>12} {:>10}",
                side.report.answered_per_second,
                latency.p50_ms,
                latency.p99_ms,
                latency.p999_ms,
                side.cpu_us_per_request,
                side.resident_kib / 1024
            )?;
        }
        writeln!(
            f,
            "throughput ratio {:.3}, added p50 {:.2} ms, added p99 {:.2} ms",
            self.throughput_ratio, self.added_p50_ms, self.added_p99_ms
        )
    }
}
