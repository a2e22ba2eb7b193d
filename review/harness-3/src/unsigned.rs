//! A faulty server gets a byte wrong in a few answers, in the name of the field with its signature. Judged: MIXED.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::record::Record;
use crate::server::Fault;
use crate::server::Server;
use crate::server::World;
use crate::server::lock;

/// Servers, and how many of them are faulty: 0.25; the largest share is 0.35.
const SERVERS: usize = 4;
const FAULTY: usize = 1;

/// One in this many answers is spoiled: 0.02, the largest share of this kind.
const INTERVAL: u64 = 50;

/// Length of the trouble, as long as the longest of this kind in the site file.
const TROUBLE_TIME: Duration = Duration::from_millis(5500);

const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(20);

/// A success that a client got.
struct Success {
    attempt: String,
    signed: bool,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let configuration = configuration(
        &[("estado", false)],
        &[("site-status", "/lowu853/", "idempotent", "estado", 500)],
    );
    let mut deployment = Deployment::start(&configuration, 2)?;
    let work = vec![("/lowu853/", Duration::from_millis(10), 500)];
    let (store, runs) = (deployment.store.clone(), Arc::default());
    let world = World { store, record: record.clone(), work, runs, poison: None };
    let zones = ["andina-med", "andina-bog"];
    let servers: Result<Vec<Server>, String> = (0..SERVERS)
        .map(|n| Server::start(&world, &format!("i-{n}"), "estado", zones[n % zones.len()]))
        .collect();
    let servers = servers?;
    deployment.wait_ready(Duration::from_secs(15))?;
    let successes: Arc<Mutex<Vec<Success>>> = Arc::default();
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (successes, record) = (successes.clone(), record.clone());
            let address = deployment.edges[client % deployment.edges.len()].frontend;
            thread::spawn(move || read(&record, client, address, &successes, started))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble {
        record.line("trouble begins: one of four servers spoils one in 50 answers");
        servers.iter().take(FAULTY).for_each(|s| s.set_fault(Some((Fault::WrongByte, INTERVAL))));
    }
    thread::sleep(TROUBLE_TIME);
    servers.iter().for_each(|server| server.set_fault(None));
    record.line("trouble ends");
    for client in clients {
        let _ = client.join();
    }
    let successes = lock(&successes);
    let unsigned: Vec<&Success> = successes.iter().filter(|success| !success.signed).collect();
    for success in &unsigned {
        record.line(&format!("MIXED: {} got a success without a signature", success.attempt));
    }
    record.line(&format!("{} successes, {} without a signature", successes.len(), unsigned.len()));
    if successes.len() < 100 {
        return Err("fewer than 100 requests were served".to_owned());
    }
    Ok(unsigned.is_empty())
}

/// Sends reads one after the other on kept connections.
fn read(
    record: &Record,
    client: usize,
    address: std::net::SocketAddr,
    successes: &Mutex<Vec<Success>>,
    started: Instant,
) {
    let mut connection = None;
    for number in 0.. {
        if started.elapsed() > Duration::from_secs(10) {
            return;
        }
        thread::sleep(PAUSE);
        let opened = connection.take().map_or_else(|| Client::open(address), Ok);
        let Ok(mut open) = opened else { continue };
        let attempt = format!("c{client}-{number}");
        let fields = [("Carawayscale-Deadline-Ms", "500")];
        let Ok(response) = open.call("GET", "/lowu853/2f", &attempt, &fields, b"") else {
            continue;
        };
        let signed = response.header("carawayscale-response-signature").is_some();
        record.line(&format!(
            "client: {attempt} is answered {}, {}",
            response.status,
            if signed { "signed" } else { "without a signature" }
        ));
        if (200..300).contains(&response.status) {
            lock(successes).push(Success { attempt, signed });
        }
        if response.header("connection") != Some("close") {
            connection = Some(open);
        }
    }
}
