//! Servers in trouble answer with bodies that do not end. The memory of entry instances is limited
//! as on a machine: a process above the limit is killed and starts again.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::limit::Limit;
use crate::limit::MAX_LOST;

const EDGES: usize = 3;
const SERVERS: usize = 8;
/// Half of the servers are in trouble.
const FAULTY: usize = 4;
/// Bytes a second on each connection. Sixteen connections stay below a link of 700 Mbit/s.
const RATE: u64 = 5_000_000;
const CALM_TIME: Duration = Duration::from_secs(8);
const TROUBLE_TIME: Duration = Duration::from_secs(50);

pub fn run(root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let mut deployment = Deployment::start(root, record, SERVERS, 0).map_err(fail)?;
    for _ in 0..EDGES {
        deployment.add_edge(deployment.store.address).map_err(fail)?;
    }
    deployment.wait_served()?;
    for index in 0..EDGES * 10 {
        let spread = |number: u64| (number.wrapping_mul(40_503) % 65_536) as u16;
        let next = move |number| ("GET", "/key/w300".to_owned(), Some(spread(number)));
        deployment.add_client(index % EDGES, Duration::from_millis(40), next);
    }
    let limit = Limit::start(&deployment);
    let faulty: Vec<String> =
        deployment.servers.iter().take(FAULTY).map(|server| server.id().to_owned()).collect();
    thread::sleep(CALM_TIME);
    if trouble {
        deployment.record.announce(&format!("{FAULTY} servers begin to answer without an end"));
        for server in deployment.servers.iter().take(FAULTY) {
            server.faults().endless_rate.store(RATE, Ordering::SeqCst);
        }
    }
    thread::sleep(TROUBLE_TIME);
    limit.end()?;
    deployment.end_clients();
    deployment.count_answers();
    let sound = |id: &str| faulty.iter().all(|other| other != id);
    Ok(deployment.count_lost(sound) <= MAX_LOST)
}
