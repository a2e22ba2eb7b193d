//! A run: faults by a schedule, callers meanwhile, and everything served again at the end.

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
use crate::cluster;
use crate::cluster::Cluster;
use crate::load;
use crate::load::Load;
use crate::plan;
use crate::plan::Fault;
use crate::plan::Size;

/// Time in which the instances are ready and every key has an owner at the start.
const START: Duration = Duration::from_secs(20);

/// Time from the end of the last fault in which everything is served again: a coordinator that was lost
/// at the end may have granted keys for 13 s to a target that does not respond.
const RECOVERY: Duration = Duration::from_secs(25);

/// Time in which an instance that answers has the latest configuration and shows it in its metrics, which
/// are brought up to date once a second.
const SHOWN: Duration = Duration::from_secs(4);

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Time between two looks at the processes.
const TEND: Duration = Duration::from_millis(300);

/// Keys that are asked for at the end: one in each of so many parts.
const PARTS: u16 = 32;

/// A run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the schedule and of the callers.
    pub seed: u64,
    /// Processes.
    pub size: Size,
    /// Callers.
    pub callers: usize,
    /// Time with faults.
    pub duration: Duration,
}

/// What a run gave.
#[derive(Debug)]
pub struct Outcome {
    /// What was seen.
    pub record: Record,
    /// Promises that were not kept.
    pub findings: Vec<Finding>,
    /// Logs of the instances, by name; empty if every promise was kept.
    pub logs: Vec<(String, String)>,
}

/// Runs processes of `program` with faults.
///
/// # Errors
///
/// Fails if a process or a stand-in cannot be started.
pub fn run(program: &Path, options: &Options) -> io::Result<Outcome> {
    let mut cluster = Cluster::start(program, &options.size)?;
    let callers: Vec<SocketAddr> =
        cluster.instances().map(|instance| instance.caller_address).collect();
    if !served(&cluster, &callers, "start", START).is_empty() {
        return Err(io::Error::other("not everything is served at the start"));
    }
    let load = Load::start(options.seed, options.callers, &callers);
    play(&mut cluster, options)?;
    cluster.clear_faults()?;
    let end = Instant::now() + RECOVERY;
    while Instant::now() < end && !settled(&cluster, callers.len()) {
        cluster.supervise()?;
        thread::sleep(TICK);
    }
    cluster.supervise()?;
    let left = end.saturating_duration_since(Instant::now());
    let mut unserved = served(&cluster, &callers, "end", left);
    unserved.extend(outdated(&cluster));
    let calls = load.finish();
    cluster.collect();
    let mut record = cluster.record.clone();
    (record.calls, record.unserved) = (calls, unserved);
    // The requests of the start and the end are no calls of the load.
    record.runs.retain(|run| run.attempt.starts_with('s') && !run.attempt.starts_with("start"));
    let findings = check::findings(&record);
    let logs = if findings.is_empty() {
        Vec::new()
    } else {
        cluster.instances().map(|one| (one.name.clone(), one.log())).collect()
    };
    Ok(Outcome { record, findings, logs })
}

/// Plays the faults.
fn play(cluster: &mut Cluster, options: &Options) -> io::Result<()> {
    let mut steps =
        plan::schedule(options.seed, &options.size, options.duration).into_iter().peekable();
    let mut ends: Vec<(Duration, Fault)> = Vec::new();
    let (began, mut tended) = (Instant::now(), Instant::now());
    while began.elapsed() < options.duration {
        let now = began.elapsed();
        while let Some(step) = steps.next_if(|step| step.at <= now) {
            cluster.inject(step.fault)?;
            ends.push((now + step.duration, step.fault));
        }
        let (due, later): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, _)| *at <= now);
        ends = later;
        for (_, fault) in due {
            cluster.clear(fault)?;
        }
        if tended.elapsed() > TEND {
            tended = Instant::now();
            cluster.supervise()?;
        }
        thread::sleep(TICK);
    }
    for (_, fault) in ends {
        cluster.clear(fault)?;
    }
    Ok(())
}

/// Returns which instances do not show the latest configuration after a while.
fn outdated(cluster: &Cluster) -> Vec<String> {
    let end = Instant::now() + SHOWN;
    loop {
        let old = cluster
            .instances()
            .filter(|one| cluster::reported_version(one) != Some(cluster.latest_version()));
        let names: Vec<String> =
            old.map(|one| format!("the latest configuration at {}", one.name)).collect();
        if names.is_empty() || Instant::now() > end {
            return names;
        }
        thread::sleep(TICK);
    }
}

fn settled(cluster: &Cluster, instances: usize) -> bool {
    (0..instances).all(|index| cluster.ready(index))
}

/// Asks every instance for all kinds of requests until each is answered; returns what is not.
fn served(cluster: &Cluster, callers: &[SocketAddr], phase: &str, limit: Duration) -> Vec<String> {
    let end = Instant::now() + limit;
    let mut open: Vec<(usize, Kind, u16)> = Vec::new();
    for index in 0..callers.len() {
        open.extend([(index, Kind::Read, 0), (index, Kind::Order, 0)]);
        open.extend((0..PARTS).map(|part| (index, Kind::Key, part * (u16::MAX / PARTS))));
    }
    let mut count = 0;
    loop {
        open.retain(|(index, kind, key)| {
            count += 1;
            let attempt = format!("{phase}-{count}");
            let response = callers.get(*index).map(|address| {
                let mut caller = Caller::open(*address)?;
                load::call(&mut caller, *kind, &attempt, "end", *key)
            });
            !response.is_some_and(|response| response.is_ok_and(|response| response.status == 200))
        });
        if open.is_empty() {
            return Vec::new();
        }
        if Instant::now() > end {
            let names: Vec<&str> = cluster.instances().map(|one| one.name.as_str()).collect();
            let text = |(index, kind, key): &(usize, Kind, u16)| {
                format!("{kind:?} {key} at {}", names.get(*index).unwrap_or(&""))
            };
            return open.iter().map(text).collect();
        }
        thread::sleep(TICK);
    }
}
