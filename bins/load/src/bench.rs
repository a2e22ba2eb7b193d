//! Compares direct requests to targets with requests through entry instances.

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

/// Interval at which memory is read during the large-body test.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);

/// One side of the comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Side {
    /// What the callers saw.
    pub report: Report,
    /// CPU time of the watched processes for each answered request, in microseconds.
    pub cpu_us_per_request: u128,
    /// Resident memory of the watched processes at the end, in KiB.
    pub resident_kib: u64,
}

/// Direct requests and requests through entry instances.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Direct to the targets.
    pub direct: Side,
    /// Through the entry instances.
    pub routed: Side,
    /// Throughput of the routed side divided by that of the direct side.
    pub throughput_ratio: f64,
    /// Routed minus direct median latency in milliseconds.
    pub added_p50_ms: f64,
    /// Routed minus direct p99 latency in milliseconds.
    pub added_p99_ms: f64,
}

/// Runs the load of a profile directly and through entry instances, one after the other.
pub fn compare(profile: &Profile, direct: &[SocketAddr], pids: &[u32]) -> Result<Comparison> {
    let mut straight = profile.clone();
    straight.entries = direct.to_vec();
    straight.direct = true;
    straight.run = format!("{}d", profile.run);
    let direct = side(straight, pids)?;
    let routed = side(profile.clone(), pids)?;
    let base = direct.report.answered_per_second;
    Ok(Comparison {
        throughput_ratio: if base > 0.0 { routed.report.answered_per_second / base } else { 0.0 },
        added_p50_ms: routed.report.overall.p50_ms - direct.report.overall.p50_ms,
        added_p99_ms: routed.report.overall.p99_ms - direct.report.overall.p99_ms,
        direct,
        routed,
    })
}

fn side(profile: Profile, pids: &[u32]) -> Result<Side> {
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

/// Memory with idle callers.
#[derive(Clone, Debug, Serialize)]
pub struct Idle {
    /// Connections that were opened.
    pub opened: usize,
    /// Connections that could not be opened, by error.
    pub failures: BTreeMap<String, usize>,
    /// Memory before.
    pub before: Usage,
    /// Memory and CPU time after the connections were held open.
    pub after: Usage,
    /// Additional memory per connection in bytes.
    pub bytes_per_connection: u64,
    /// Time for which the connections were held open, in seconds.
    pub held_seconds: f64,
}

/// Opens idle connections, holds them and measures the processes.
pub fn idle(addresses: &[SocketAddr], count: usize, hold: Duration, pids: &[u32]) -> Result<Idle> {
    crate::control::block_on(async {
        let before = process::total(pids);
        let mut open = Vec::new();
        let mut failures: BTreeMap<String, usize> = BTreeMap::new();
        // A connection that is not accepted in time is tried again, up to twice the number of attempts.
        for address in addresses.iter().cycle().take(2 * count) {
            if open.len() == count {
                break;
            }
            match client::connect(*address).await {
                Ok(sender) => open.push(sender),
                Err(error) => *failures.entry(error.to_string()).or_default() += 1,
            }
        }
        tokio::time::sleep(hold).await;
        let after = process::total(pids);
        let grown = after.resident_kib.saturating_sub(before.resident_kib) * 1024;
        let opened = u64::try_from(open.len()).unwrap_or(0);
        Ok(Idle {
            opened: open.len(),
            failures,
            before,
            after,
            bytes_per_connection: grown.checked_div(opened).unwrap_or(0),
            held_seconds: hold.as_secs_f64(),
        })
    })
}

/// Result of the large-body test.
#[derive(Clone, Debug, Serialize)]
pub struct Large {
    /// Result of the requests.
    pub report: Report,
    /// Memory before, in KiB.
    pub before_kib: u64,
    /// Largest memory seen during the run, in KiB.
    pub peak_kib: u64,
}

/// Runs a profile with large bodies and watches the memory of processes.
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
