//! Benchmark that compares direct requests to targets with requests through entry instances.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::builder::Builder;
use crate::environment::Environment;
use crate::environment::Kind;
use crate::errors::Result;
use crate::fixture;
use crate::traffic;
use caraway_load::bench;
use caraway_load::bench::Comparison;
use caraway_load::bench::Idle;
use caraway_load::bench::Large;
use caraway_load::profile::Arrival;
use caraway_load::profile::Distribution;
use caraway_load::profile::Profile;
use caraway_load::report::Report;
use caraway_load::run;

/// Size of the large bodies.
const LARGE_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Concurrent callers of the large-body measurements.
const LARGE_BODY_CALLERS: usize = 4;
/// Idle caller connections of the memory measurement.
const IDLE_CALLERS: usize = 1000;
/// Time for which the idle connections are kept open.
const IDLE_DURATION: Duration = Duration::from_secs(5);
/// Concurrent callers of the closed-loop measurements.
const CLOSED_LOOP_CALLERS: usize = 32;

/// Options of the benchmark.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Duration of each measurement of a comparison in seconds.
    pub seconds: f64,
    /// Service time of the targets in milliseconds.
    pub service_ms: u64,
}

/// Results of the benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    /// Closed loop: throughput with a fixed number of callers that send one request after another.
    pub closed: Comparison,
    /// Open loop at half of the closed-loop throughput through entry instances.
    pub half: Comparison,
    /// Rate of the open loop in requests per second.
    pub half_rate: f64,
    /// Request bodies of the maximum buffered size.
    pub buffered: Report,
    /// Request bodies that are one byte larger and therefore streamed.
    pub streamed: Report,
    /// Memory usage of one entry instance with idle connections.
    pub idle: Idle,
    /// Response bodies of 64 MiB.
    pub download: Large,
    /// Request bodies of 64 MiB.
    pub upload: Large,
    /// Calls to the platform's store during the benchmark, by kind of call.
    pub store_calls: serde_json::Value,
    /// True if the programs were built without optimization.
    pub unoptimized: bool,
}

/// Runs the benchmark on a dedicated environment.
pub fn run(options: &Options) -> Result<Results> {
    let size = fixture::Size { targets: 3, ..fixture::Size::default() };
    let mut builder = Builder::new(fixture::document(&size)?);
    builder.entries_per_domain = 2;
    builder.service_ms = options.service_ms;
    // Direct requests go to as many targets as the measured service has.
    builder.spares = size.domains * size.targets;
    builder.log_level = "warn".to_owned();
    let environment = builder.start()?;
    let pids = environment.process_ids(Kind::Entry);
    let direct = environment.spare_addresses();

    let arrival = Arrival::Closed { connections: CLOSED_LOOP_CALLERS };
    let closed = bench::compare(&profile(&environment, options, 0, arrival), &direct, &pids)?;
    let half_rate = (closed.routed.report.answered_per_second / 2.0).max(1.0);
    let arrival = Arrival::Open { rate: half_rate, connections: 256, poisson: true };
    let half = bench::compare(&profile(&environment, options, 0, arrival), &direct, &pids)?;

    let limit = environment.document().limits.buffered_body_bytes;
    let buffered = run_with_body_size(&environment, options, limit)?;
    let streamed = run_with_body_size(&environment, options, limit + 1)?;

    let (address, pid) = first_entry(&environment)?;
    let idle = bench::idle(&[address], IDLE_CALLERS, IDLE_DURATION, &[pid])?;
    let download =
        bench::large(&large_body_profile(&environment, options, address, "GET /caja/"), &pids)?;
    let upload =
        bench::large(&large_body_profile(&environment, options, address, "POST /orden/"), &pids)?;
    let store_calls = environment.platform().call_counts()?;
    let unoptimized = cfg!(debug_assertions);
    Ok(Results {
        closed,
        half,
        half_rate,
        buffered,
        streamed,
        idle,
        download,
        upload,
        store_calls,
        unoptimized,
    })
}

/// Returns a profile with only the request kind at index `kind`, with uniformly distributed keys and
/// without resends.
fn profile(environment: &Environment, options: &Options, kind: usize, arrival: Arrival) -> Profile {
    let traffic = traffic::Options {
        run: "bench".to_owned(),
        seconds: options.seconds,
        arrival,
        keys: 2000,
        ..traffic::Options::default()
    };
    let mut profile = traffic::profile(environment, &traffic);
    profile.kinds = profile.kinds.into_iter().skip(kind).take(1).collect();
    profile.kinds.iter_mut().for_each(|kind| kind.distribution = Distribution::Uniform);
    profile.targets.clear();
    profile.resends = 0;
    profile
}

/// Runs a closed loop with request bodies of the given size.
fn run_with_body_size(environment: &Environment, options: &Options, bytes: u64) -> Result<Report> {
    let arrival = Arrival::Closed { connections: CLOSED_LOOP_CALLERS };
    let mut profile = profile(environment, options, 0, arrival);
    profile.kinds.iter_mut().for_each(|kind| kind.body_bytes = bytes);
    let record = run::run_to_completion(profile.clone())?;
    Ok(Report::new(&profile, &record, &[], 0, None))
}

/// Returns a profile with large bodies: downloads for a GET route, uploads for other methods.
fn large_body_profile(
    environment: &Environment,
    options: &Options,
    address: SocketAddr,
    name: &str,
) -> Profile {
    let arrival = Arrival::Closed { connections: LARGE_BODY_CALLERS };
    let mut profile = profile(environment, options, 0, arrival.clone());
    profile.kinds = traffic::profile(environment, &traffic::Options::default()).kinds;
    profile.kinds.retain(|kind| kind.name == name);
    for kind in &mut profile.kinds {
        let get = kind.method == "GET";
        kind.answer_bytes = Some(if get { LARGE_BODY_BYTES } else { 200 });
        kind.body_bytes = if get { 0 } else { LARGE_BODY_BYTES };
        kind.patience_ms = None;
    }
    profile.entries = vec![address];
    profile.requests = 4 * u64::try_from(LARGE_BODY_CALLERS).unwrap_or(0);
    profile.seconds = 60.0;
    profile.timeout_ms = 60_000;
    profile
}

fn first_entry(environment: &Environment) -> Result<(SocketAddr, u32)> {
    let entries = environment.responsive(Kind::Entry);
    let found = entries
        .first()
        .and_then(|(name, node)| Some((node.address, environment.node(name).ok()?.process_id()?)));
    found.ok_or_else(|| crate::errors::Error::NotFound("entry instance".to_owned()))
}

impl fmt::Display for Results {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.unoptimized {
            writeln!(f, "The programs were built without optimization.")?;
        }
        writeln!(f, "Closed loop, {CLOSED_LOOP_CALLERS} callers:\n{}", self.closed)?;
        writeln!(f, "Open loop, {:.0} requests/s:\n{}", self.half_rate, self.half)?;
        for (name, report) in [("buffered", &self.buffered), ("streamed", &self.streamed)] {
            writeln!(
                f,
                "64 KiB request bodies, {name}: {:.0} answers/s, p50 {:.2} ms, p99 {:.2} ms, {:?}",
                report.answered_per_second,
                report.overall.p50_ms,
                report.overall.p99_ms,
                report.outcomes
            )?;
        }
        let idle = &self.idle;
        writeln!(
            f,
            "{} idle callers of one instance, not opened: {:?}: {} KiB before, {} KiB after, {} bytes each, {} ms CPU in {:.0} s",
            idle.opened,
            idle.failures,
            idle.before.resident_kib,
            idle.after.resident_kib,
            idle.bytes_per_connection,
            idle.after.cpu_ms.saturating_sub(idle.before.cpu_ms),
            idle.held_seconds
        )?;
        for (name, large) in [("answers", &self.download), ("request bodies", &self.upload)] {
            writeln!(
                f,
                "64 MB {name}, {LARGE_BODY_CALLERS} callers: {} of {} answered, {:?}, all instances {} KiB before, {} KiB at most",
                large.report.overall.answered,
                large.report.requests,
                large.report.outcomes,
                large.before_kib,
                large.peak_kib
            )?;
        }
        writeln!(f, "Calls to the store: {}", self.store_calls)
    }
}
