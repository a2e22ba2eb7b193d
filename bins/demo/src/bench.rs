//! The benchmark: direct requests to targets compared with requests through entry instances.

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

/// Size of the large body.
const LARGE_BYTES: u64 = 64 * 1024 * 1024;
/// Callers of the large-body test.
const LARGE_CALLERS: usize = 4;
/// Idle callers of each entry instance that the memory is measured with.
const IDLE_CALLERS: usize = 1000;
/// Time for which idle callers are held open.
const IDLE_HOLD: Duration = Duration::from_secs(5);
/// Callers of the closed loop.
const CALLERS: usize = 32;

/// Options of the benchmark.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Duration of each side of a comparison in seconds.
    pub seconds: f64,
    /// Service time of the targets in milliseconds.
    pub service_ms: u64,
}

/// Results of the benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    /// Closed loop: as many requests as the system takes from a fixed number of callers.
    pub closed: Comparison,
    /// Open loop at half of the throughput of the routed closed loop.
    pub half: Comparison,
    /// Rate of the open loop in requests per second.
    pub half_rate: f64,
    /// Request bodies of the largest size that is buffered.
    pub buffered: Report,
    /// Request bodies that are one byte longer and are streamed.
    pub streamed: Report,
    /// Memory of one entry instance with idle callers.
    pub idle: Idle,
    /// Answers of 64 MB.
    pub download: Large,
    /// Request bodies of 64 MB.
    pub upload: Large,
    /// Calls to the platform's store during the benchmark, by kind.
    pub store_calls: serde_json::Value,
    /// True if the programs were built without optimization.
    pub unoptimized: bool,
}

/// Runs the benchmark on an environment of its own.
pub fn run(options: &Options) -> Result<Results> {
    let size = fixture::Size { targets: 3, ..fixture::Size::default() };
    let mut builder = Builder::new(fixture::document(&size)?);
    builder.entries_per_domain = 2;
    builder.service_ms = options.service_ms;
    // As many targets as the measured service has.
    builder.spares = size.domains * size.targets;
    builder.log_level = "warn".to_owned();
    let environment = builder.start()?;
    let pids = environment.process_ids(Kind::Entry);
    let direct = environment.spare_addresses();

    let arrival = Arrival::Closed { connections: CALLERS };
    let closed = bench::compare(&profile(&environment, options, 0, arrival), &direct, &pids)?;
    let half_rate = (closed.routed.report.answered_per_second / 2.0).max(1.0);
    let arrival = Arrival::Open { rate: half_rate, connections: 256, poisson: true };
    let half = bench::compare(&profile(&environment, options, 0, arrival), &direct, &pids)?;

    let limit = environment.document().limits.buffered_body_bytes;
    let buffered = bodies(&environment, options, limit)?;
    let streamed = bodies(&environment, options, limit + 1)?;

    let (address, pid) = one_entry(&environment)?;
    let idle = bench::idle(&[address], IDLE_CALLERS, IDLE_HOLD, &[pid])?;
    let download = bench::large(&large(&environment, options, address, "GET /caja/"), &pids)?;
    let upload = bench::large(&large(&environment, options, address, "POST /orden/"), &pids)?;
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

/// Makes the profile of one route of the environment.
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

/// Runs a closed loop with request bodies of one size.
fn bodies(environment: &Environment, options: &Options, bytes: u64) -> Result<Report> {
    let arrival = Arrival::Closed { connections: CALLERS };
    let mut profile = profile(environment, options, 0, arrival);
    profile.kinds.iter_mut().for_each(|kind| kind.body_bytes = bytes);
    let record = run::run_to_completion(profile.clone())?;
    Ok(Report::new(&profile, &record, &[], 0, None))
}

/// Makes the profile of large bodies: downloads for a GET route, uploads for the others.
fn large(environment: &Environment, options: &Options, address: SocketAddr, name: &str) -> Profile {
    let arrival = Arrival::Closed { connections: LARGE_CALLERS };
    let mut profile = profile(environment, options, 0, arrival.clone());
    profile.kinds = traffic::profile(environment, &traffic::Options::default()).kinds;
    profile.kinds.retain(|kind| kind.name == name);
    for kind in &mut profile.kinds {
        let get = kind.method == "GET";
        kind.answer_bytes = Some(if get { LARGE_BYTES } else { 200 });
        kind.body_bytes = if get { 0 } else { LARGE_BYTES };
        kind.patience_ms = None;
    }
    profile.entries = vec![address];
    profile.requests = 4 * u64::try_from(LARGE_CALLERS).unwrap_or(0);
    profile.seconds = 60.0;
    profile.timeout_ms = 60_000;
    profile
}

fn one_entry(environment: &Environment) -> Result<(SocketAddr, u32)> {
    let entries = environment.responsive(Kind::Entry);
    let found = entries
        .first()
        .and_then(|(name, node)| Some((node.address, environment.node(name).ok()?.process_id()?)));
    found.ok_or_else(|| crate::errors::Error::Unknown("entry instance".to_owned()))
}

impl fmt::Display for Results {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.unoptimized {
            writeln!(f, "The programs were built without optimization.")?;
        }
        writeln!(f, "Closed loop, {CALLERS} callers:\n{}", self.closed)?;
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
                "64 MB {name}, {LARGE_CALLERS} callers: {} of {} answered, {:?}, all instances {} KiB before, {} KiB at most",
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
