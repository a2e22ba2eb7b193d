//! A request of one caller crashes each server that begins to execute it, and comes again. Other
//! callers send requests with the same path, which are in order.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use caraway_production::caller::Caller;

use crate::deployment::Deployment;
use crate::deployment::POOL;
use crate::server::CRASHING_CALLER;
use crate::server::lock;

const EDGES: usize = 3;
const SERVERS: usize = 8;
const CLIENTS_PER_EDGE: usize = 3;
const PATH: &str = "/read/w30";
const CALM_TIME: Duration = Duration::from_secs(4);
const DURATION: Duration = Duration::from_secs(60);
/// Time after which the request comes again, at the next machine.
const REPEAT_DELAY: Duration = Duration::from_millis(1500);
/// Time after which a crashed server is back.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// `contact_ms`: retries count from this time after the third crash. More than three are too many.
const CONTACT: Duration = Duration::from_millis(3000);
const CRASHES: usize = 3;
const MAX_RETRIES: usize = 3;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let mut deployment = Deployment::start(root, folder, 1, SERVERS).map_err(fail)?;
    for _ in 0..EDGES {
        deployment.add_edge(deployment.store.address).map_err(fail)?;
    }
    deployment.wait_served()?;
    for index in 0..EDGES * CLIENTS_PER_EDGE {
        let next = |_| ("GET", PATH.to_owned(), None);
        deployment.add_client(index % EDGES, Duration::from_millis(30), next);
    }
    thread::sleep(CALM_TIME);
    let frontends: Vec<_> = deployment.edges.iter().map(|edge| lock(edge).frontend).collect();
    let caller = if trouble { CRASHING_CALLER } else { "Bearer caller-12" };
    let headers = [("carawayscale-deadline-ms", "1500"), ("authorization", caller)];
    let started = Instant::now();
    let mut down: Vec<Instant> = Vec::new();
    let mut counted = 0;
    let mut next_request = started;
    let mut number = 0;
    while started.elapsed() < DURATION {
        if Instant::now() >= next_request {
            let attempt = format!("x{number:04}");
            let edge = frontends.get(number % EDGES).copied().ok_or("no entry instance")?;
            deployment.record.line(&format!("{caller} sends {attempt}: GET {PATH}"));
            let response = Caller::open(edge)
                .and_then(|mut connection| connection.call("GET", PATH, &attempt, &headers));
            let status = response.map_or(0, |response| response.status);
            deployment.record.line(&format!("{caller} gets {status} for {attempt}"));
            number += 1;
            next_request = Instant::now() + REPEAT_DELAY;
        }
        // A server that has crashed comes back with a new id at a new address.
        let ended: Vec<_> = deployment.servers.iter().filter(|s| s.has_ended()).cloned().collect();
        for server in ended {
            deployment.servers.retain(|other| other.id() != server.id());
            deployment.store.remove(&server.entry_key());
            down.push(Instant::now());
        }
        let due = down.iter().filter(|since| since.elapsed() >= RESTART_TIME).count();
        down.retain(|since| since.elapsed() < RESTART_TIME);
        for _ in 0..due {
            counted += 1;
            deployment.add_server(&format!("p{}", SERVERS + counted), POOL).map_err(fail)?;
        }
        thread::sleep(Duration::from_millis(20));
    }
    deployment.end_clients();
    let runs = lock(&deployment.journal.runs);
    let mut arrivals: Vec<_> = runs.iter().filter(|run| run.attempt.starts_with('x')).collect();
    arrivals.sort_by_key(|run| run.from);
    let text = format!("{number} requests of {caller} reached servers {} times", arrivals.len());
    deployment.record.announce(&text);
    deployment.count_answers();
    if !trouble {
        return Ok(true);
    }
    let Some(third) = arrivals.get(CRASHES - 1) else { return Ok(true) };
    let late = arrivals.iter().filter(|run| run.from > third.from + CONTACT).count();
    let text = format!("{late} times later than {CONTACT:?} after the third crash");
    deployment.record.announce(&text);
    Ok(late <= MAX_RETRIES)
}
