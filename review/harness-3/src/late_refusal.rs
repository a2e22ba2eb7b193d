//! A faulty server sends a refusal without an id after a complete answer; it arrives where the answer to the next order
//! is expected. Judged: TWICE and REFUSED.

use std::collections::HashMap;
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

/// Servers, and how many of them are faulty: less than the largest share, 0.6.
const SERVERS: usize = 4;
const FAULTY: usize = 2;

/// One in this many answers is followed by additional bytes: 0.029 of them; the largest share is 0.03.
const INTERVAL: u64 = 34;

/// Length of the trouble, as long as the longest of this kind in the site file.
const TROUBLE_TIME: Duration = Duration::from_secs(5);

/// Clients, and the pause between two orders of one.
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(60);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let configuration = configuration(
        &[("ordenes", false)],
        &[("order-confirm", "/puka111/", "non_idempotent", "ordenes", 1500)],
    );
    let mut deployment = Deployment::start(&configuration, 2)?;
    let runs = Arc::default();
    let work = vec![("/puka111/", Duration::from_millis(20), 1500)];
    let world =
        World { store: deployment.store.clone(), record: record.clone(), work, runs, poison: None };
    let zones = ["andina-med", "andina-bog"];
    let servers: Result<Vec<Server>, String> = (0..SERVERS)
        .map(|n| Server::start(&world, &format!("i-{n}"), "ordenes", zones[n % zones.len()]))
        .collect();
    let servers = servers?;
    deployment.wait_ready(Duration::from_secs(15))?;
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (answers, record) = (answers.clone(), record.clone());
            let address = deployment.edges[client % deployment.edges.len()].frontend;
            thread::spawn(move || order(&record, client, address, &answers, started))
        })
        .collect();
    // Retries are earned in the first seconds.
    thread::sleep(Duration::from_secs(6));
    if trouble {
        record.line("trouble begins: two of four servers send additional bytes");
        for server in servers.iter().take(FAULTY) {
            server.set_fault(Some((Fault::ExtraRefusal, INTERVAL)));
        }
    }
    thread::sleep(TROUBLE_TIME);
    servers.iter().for_each(|server| server.set_fault(None));
    record.line("trouble ends");
    for client in clients {
        let _ = client.join();
    }
    judge(record, &world, &answers)
}

/// Sends orders one after the other on kept connections. No order is sent again.
fn order(
    record: &Record,
    client: usize,
    address: std::net::SocketAddr,
    answers: &Mutex<HashMap<String, u16>>,
    started: Instant,
) {
    let mut connection = None;
    for number in 0.. {
        if started.elapsed() > Duration::from_secs(13) {
            return;
        }
        thread::sleep(PAUSE);
        let mut open = match connection.take() {
            Some(open) => open,
            None => match Client::open(address) {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        let attempt = format!("c{client}-{number}");
        let fields = [("Carawayscale-Deadline-Ms", "1500")];
        let response = open.call("POST", "/puka111/2f", &attempt, &fields, b"one cleaning order");
        let status = response.as_ref().map_or(0, |response| response.status);
        record.line(&format!("client: {attempt} is answered {status}"));
        lock(answers).insert(attempt, status);
        if response.is_ok_and(|response| response.header("connection") != Some("close")) {
            connection = Some(open);
        }
    }
}

fn judge(record: &Record, world: &World, answers: &Mutex<HashMap<String, u16>>) -> Verdict {
    let mut counts: HashMap<String, Vec<String>> = HashMap::new();
    for run in lock(&world.runs).iter() {
        counts.entry(run.attempt.clone()).or_default().push(run.server.clone());
    }
    let answers = lock(answers);
    let (mut twice, mut refused) = (0, 0);
    for (attempt, servers) in &counts {
        let status = answers.get(attempt).copied().unwrap_or(0);
        if servers.len() > 1 {
            twice += 1;
            record.line(&format!("TWICE: {attempt} ran at {servers:?}, answered {status}"));
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            refused += 1;
            record
                .line(&format!("REFUSED: {attempt} was answered {status} and ran at {servers:?}"));
        }
    }
    let served = answers.values().filter(|status| **status == 200).count();
    record.line(&format!(
        "{} orders, {served} served, {twice} ran more than once, {refused} refused though they ran",
        answers.len()
    ));
    if served < 100 {
        return Err("fewer than 100 orders were served".to_owned());
    }
    Ok(twice == 0 && refused == 0)
}
