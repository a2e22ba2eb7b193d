//! Servers that send second copies of some answers are replaced while their keys are in use. The
//! copy may arrive where the answer to a release is expected.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::KEYED;
use crate::server::Server;
use crate::server::lock;

const EDGES: usize = 2;
const SERVERS: usize = 16;
/// Six of ten servers are in trouble, and repeat one in 34 of their answers.
const FAULTY_OF_TEN: usize = 6;
const EXTRA_EVERY: u64 = 34;
/// Length of the disruption in seconds, and interval between its starts.
const FAULT_S: u64 = 5;
const FAULT_PERIOD_S: u64 = 6;
const CLIENTS_PER_EDGE: usize = 22;
const DURATION: Duration = Duration::from_secs(104);
/// Servers that are replaced at a time, the interval between replacements, and the time that a server
/// stays after its notice.
const REPLACED: usize = 2;
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(1000);
const STAY: Duration = Duration::from_secs(5);
/// Time for which work must go on after the keys were given to another server.
const MIN_OVERLAP: Duration = Duration::from_millis(50);

/// Returns the key of a request, spread over all keys.
fn key(number: u64) -> u16 {
    (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 48) as u16
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let mut deployment = Deployment::start(root, record, SERVERS, 0).map_err(fail)?;
    for _ in 0..EDGES {
        deployment.add_edge(deployment.store.address).map_err(fail)?;
    }
    deployment.wait_served()?;
    let started = Instant::now();
    for index in 0..EDGES * CLIENTS_PER_EDGE {
        let next = move |number| ("GET", "/key/w400".to_owned(), Some(key(number)));
        deployment.add_client(index % EDGES, Duration::from_millis(20), next);
    }
    thread::sleep(Duration::from_secs(3));
    let mut leaving: Vec<(Instant, Server)> = Vec::new();
    let mut next = 0;
    let mut next_replacement = Instant::now();
    while started.elapsed() < DURATION {
        let faulty = trouble && started.elapsed().as_secs() % FAULT_PERIOD_S < FAULT_S;
        for (index, server) in deployment.servers.iter().enumerate() {
            let every = if faulty && index % 10 < FAULTY_OF_TEN { EXTRA_EVERY } else { 0 };
            server.faults().extra_every.store(every, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(100));
        if Instant::now() < next_replacement {
            continue;
        }
        next_replacement = Instant::now() + REPLACEMENT_INTERVAL;
        for _ in 0..REPLACED {
            let id = format!("k{}", SERVERS + next);
            deployment.add_server(&id, KEYED).map_err(fail)?;
            let old = deployment.servers.get(next).cloned().ok_or("no server is left")?;
            deployment.record.line(&format!("{} says that it leaves", old.id()));
            deployment.store.put(&old.entry_key(), &old.entry("draining"));
            leaving.push((Instant::now(), old));
            next += 1;
        }
        leaving.retain(|(since, server)| {
            if since.elapsed() > STAY {
                deployment.store.remove(&server.entry_key());
                server.stop();
            }
            since.elapsed() <= STAY
        });
    }
    deployment.end_clients();
    let (runs, grants) = (lock(&deployment.journal.runs), lock(&deployment.journal.grants));
    let mut broken = 0;
    let mut seen = Vec::new();
    for (server, grant) in grants.iter() {
        let id = (server, grant.first, grant.last, grant.fence);
        if seen.contains(&id) {
            continue;
        }
        seen.push(id);
        let at_work = runs.iter().find(|run| {
            let concerned = run.key.is_some_and(|key| grant.first <= key && key <= grant.last);
            let working = run.from < grant.from
                && run.until.is_some_and(|until| until > grant.from + MIN_OVERLAP);
            // The time for which the other server was to hold the key, without its release.
            let held = || {
                grants.iter().any(|(other, hold)| {
                    let covered = run.key.is_some_and(|key| hold.first <= key && key <= hold.last);
                    *other == run.server
                        && covered
                        && hold.from < grant.from
                        && hold.until > grant.from
                })
            };
            concerned && working && run.server != *server && held()
        });
        if let Some(run) = at_work {
            broken += 1;
            let left = run.until.map_or(Duration::ZERO, |until| until - grant.from);
            deployment.record.announce(&format!(
                "{server} was given {} to {} (token {}) while {} worked on key {:?} for {} ms more",
                grant.first,
                grant.last,
                grant.fence,
                run.server,
                run.key,
                left.as_millis()
            ));
        }
    }
    deployment.record.announce(&format!("{} grants, {} runs", seen.len(), runs.len()));
    Ok(broken == 0)
}
