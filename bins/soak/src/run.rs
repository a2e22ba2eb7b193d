//! A run: injects scheduled faults under load, then checks that every request is served again.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use caraway_production::caller::Caller;

use crate::check;
use crate::check::Finding;
use crate::check::Kind;
use crate::check::Record;
use crate::cluster::Cluster;
use crate::configuration;
use crate::crowd;
use crate::load;
use crate::load::Load;
use crate::plan;
use crate::plan::Fault;
use crate::plan::Size;

/// Time limit for the instances to become ready and for every key to get an owner at the start.
const STARTUP_LIMIT: Duration = Duration::from_secs(20);

/// Time limit for the recovery after the last fault: a coordinator that was lost at the end may
/// have granted keys to an unresponsive target for 13 s.
const RECOVERY_LIMIT: Duration = Duration::from_secs(25);

/// Time limit for a running instance to apply the latest configuration and report it in its metrics, which
/// are updated once a second.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(4);

/// Interval of checks for faults that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of checks of the processes.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(300);

/// Number of evenly spaced keys that are requested at the start and the end.
const KEY_SAMPLES: u16 = 32;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the fault schedule and of the callers.
    pub seed: u64,
    /// Numbers of processes and targets.
    pub size: Size,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Duration of fault injection.
    pub duration: Duration,
    /// Whether the run has additional faults and misbehaving clients.
    pub extended: bool,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Observations of the run.
    pub record: Record,
    /// Violations of invariants.
    pub findings: Vec<Finding>,
    /// Names and logs of the instances; empty if there are no findings.
    pub logs: Vec<(String, String)>,
}

/// Runs instances of `program` under load and faults, and checks the invariants.
///
/// # Errors
///
/// Fails if a process or a stand-in cannot be started, or if not every request is served before the first
/// fault.
pub fn run(program: &Path, options: &Options) -> io::Result<Outcome> {
    let mut cluster = Cluster::start(program, &options.size, options.extended)?;
    let addresses: Vec<SocketAddr> =
        cluster.instances().map(|instance| instance.caller_address).collect();
    if !wait_served(&cluster, &addresses, "start", STARTUP_LIMIT).is_empty() {
        return Err(io::Error::other("not all requests are served before the first fault"));
    }
    let misbehaving = if options.extended { crowd::CLIENTS } else { 0 };
    let load = Load::start(options.seed, options.callers, misbehaving, &addresses);
    inject_faults(&mut cluster, options)?;
    cluster.clear_faults()?;
    let end = Instant::now() + RECOVERY_LIMIT;
    while Instant::now() < end && !all_ready(&cluster, addresses.len()) {
        cluster.supervise()?;
        thread::sleep(POLL_INTERVAL);
    }
    cluster.supervise()?;
    let left = end.saturating_duration_since(Instant::now());
    let mut unserved = wait_served(&cluster, &addresses, "end", left);
    unserved.extend(wait_configured(&cluster));
    let calls = load.finish();
    cluster.collect();
    let mut record = cluster.record.clone();
    (record.calls, record.unserved) = (calls, unserved);
    // Only the load's attempts begin with "s" but not "start"; the checks at the start and the end
    // are left out.
    record.runs.retain(|run| run.attempt.starts_with('s') && !run.attempt.starts_with("start"));
    let findings = check::findings(&record);
    let logs = if findings.is_empty() {
        Vec::new()
    } else {
        cluster.instances().map(|instance| (instance.name.clone(), instance.log())).collect()
    };
    Ok(Outcome { record, findings, logs })
}

/// Injects and clears the scheduled faults.
fn inject_faults(cluster: &mut Cluster, options: &Options) -> io::Result<()> {
    let schedule = if options.extended { plan::extended_schedule } else { plan::schedule };
    let mut steps = schedule(options.seed, &options.size, options.duration).into_iter().peekable();
    let mut ends: Vec<(Duration, Fault)> = Vec::new();
    let (started, mut last_supervision) = (Instant::now(), Instant::now());
    while started.elapsed() < options.duration {
        let now = started.elapsed();
        while let Some(step) = steps.next_if(|step| step.at <= now) {
            cluster.inject(step.fault)?;
            ends.push((now + step.duration, step.fault));
        }
        let (due, later): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, _)| *at <= now);
        ends = later;
        for (_, fault) in due {
            cluster.clear(fault)?;
        }
        if last_supervision.elapsed() > SUPERVISION_INTERVAL {
            last_supervision = Instant::now();
            cluster.supervise()?;
        }
        thread::sleep(POLL_INTERVAL);
    }
    for (_, fault) in ends {
        cluster.clear(fault)?;
    }
    Ok(())
}

/// Waits up to [`CONFIGURATION_LIMIT`] until all instances report the latest configuration; returns a
/// description of each that does not.
fn wait_configured(cluster: &Cluster) -> Vec<String> {
    let end = Instant::now() + CONFIGURATION_LIMIT;
    loop {
        let old = cluster.instances().filter(|instance| {
            configuration::reported_version(instance) != Some(cluster.latest_version())
        });
        let descriptions: Vec<String> =
            old.map(|instance| format!("the latest configuration at {}", instance.name)).collect();
        if descriptions.is_empty() || Instant::now() > end {
            return descriptions;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn all_ready(cluster: &Cluster, instances: usize) -> bool {
    (0..instances).all(|index| cluster.ready(index))
}

/// Sends requests of every kind to every instance and retries those that fail until `limit` has passed;
/// returns a description of each that was not served.
fn wait_served(
    cluster: &Cluster,
    addresses: &[SocketAddr],
    phase: &str,
    limit: Duration,
) -> Vec<String> {
    let end = Instant::now() + limit;
    let mut pending: Vec<(usize, Kind, u16)> = Vec::new();
    for index in 0..addresses.len() {
        pending.extend([(index, Kind::Read, 0), (index, Kind::Order, 0)]);
        pending.extend(
            (0..KEY_SAMPLES).map(|sample| (index, Kind::Key, sample * (u16::MAX / KEY_SAMPLES))),
        );
    }
    let mut count = 0;
    loop {
        pending.retain(|(index, kind, key)| {
            count += 1;
            let attempt = format!("{phase}-{count}");
            let response = addresses.get(*index).map(|address| {
                let mut caller = Caller::open(*address)?;
                load::call(&mut caller, *kind, &attempt, "end", *key)
            });
            !response.is_some_and(|response| response.is_ok_and(|response| response.status == 200))
        });
        if pending.is_empty() {
            return Vec::new();
        }
        if Instant::now() > end {
            let names: Vec<&str> =
                cluster.instances().map(|instance| instance.name.as_str()).collect();
            let description = |(index, kind, key): &(usize, Kind, u16)| {
                format!("{kind:?} {key} at {}", names.get(*index).unwrap_or(&""))
            };
            return pending.iter().map(description).collect();
        }
        thread::sleep(POLL_INTERVAL);
    }
}
