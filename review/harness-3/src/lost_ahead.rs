//! Clients send requests ahead behind a download whose server breaks off its answer. Judged: LOST.

use std::collections::HashMap;
use std::collections::HashSet;
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

/// Servers of the downloads, and how many of them are faulty: 0.375; the largest share is 0.38.
const SERVERS: usize = 8;
const FAULTY: usize = 3;

/// One in this many answers is broken off: 0.0238; the largest share is 0.024.
const INTERVAL: u64 = 42;

/// Length of the trouble, as long as the longest of this kind.
const TROUBLE_TIME: Duration = Duration::from_millis(4500);

/// Size of a download, and where its answer breaks off.
const DOWNLOAD_BYTES: usize = 90_000;
const BROKEN_AT: usize = 80_000;

/// Requests that are sent ahead behind a download.
const AHEAD: usize = 4;

const CLIENTS: usize = 32;
const PAUSE: Duration = Duration::from_millis(60);

/// Most requests that may be lost in this way.
const MAX_LOST: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let configuration = configuration(
        &[("archivo", false), ("estado", false)],
        &[
            ("manual-dl", "/cufi502/", "download", "archivo", 3000),
            ("site-status", "/lowu853/", "idempotent", "estado", 2000),
        ],
    );
    let mut deployment = Deployment::start(&configuration, 2)?;
    let work = vec![
        ("/cufi502/", Duration::from_millis(20), DOWNLOAD_BYTES),
        ("/lowu853/", Duration::from_millis(10), 500),
    ];
    let (store, runs) = (deployment.store.clone(), Arc::default());
    let world = World { store, record: record.clone(), work, runs, poison: None };
    let zones = ["andina-med", "andina-bog"];
    let start = |service: &'static str| {
        let world = &world;
        (0..SERVERS).map(move |n| {
            Server::start(world, &format!("{service}-{n}"), service, zones[n % zones.len()])
        })
    };
    let downloads: Result<Vec<Server>, String> = start("archivo").collect();
    let downloads = downloads?;
    let _sound: Vec<Server> = start("estado").collect::<Result<_, String>>()?;
    deployment.wait_ready(Duration::from_secs(15))?;
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (answers, record) = (answers.clone(), record.clone());
            let address = deployment.edges[client % deployment.edges.len()].frontend;
            thread::spawn(move || chain(&record, client, address, &answers, started))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble {
        record.line(
            "trouble begins: three of eight servers of downloads break off one in 42 answers",
        );
        for server in downloads.iter().take(FAULTY) {
            server.set_fault(Some((Fault::BreakOff(BROKEN_AT), INTERVAL)));
        }
    }
    thread::sleep(TROUBLE_TIME);
    downloads.iter().for_each(|server| server.set_fault(None));
    record.line("trouble ends");
    for client in clients {
        let _ = client.join();
    }
    // A request is lost if a sound server got it, and its connection closed without an answer to it.
    let passed: HashSet<String> = {
        let runs = lock(&world.runs);
        runs.iter()
            .filter(|run| run.server.starts_with("estado"))
            .map(|r| r.attempt.clone())
            .collect()
    };
    let answers = lock(&answers);
    let mut lost: Vec<&String> = answers
        .iter()
        .filter(|(attempt, status)| **status == 0 && passed.contains(*attempt))
        .map(|(attempt, _)| attempt)
        .collect();
    lost.sort();
    for attempt in &lost {
        record.line(&format!(
            "LOST: {attempt} ran at a sound server, and its connection closed without an answer"
        ));
    }
    let served = answers.values().filter(|status| **status == 200).count();
    record.line(&format!("{} requests, {served} served, {} lost", answers.len(), lost.len()));
    if served < 500 {
        return Err("fewer than 500 requests were served".to_owned());
    }
    Ok(lost.len() <= MAX_LOST)
}

/// Sends a download and further requests before its answer, again and again on a kept connection.
fn chain(
    record: &Record,
    client: usize,
    address: std::net::SocketAddr,
    answers: &Mutex<HashMap<String, u16>>,
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
        let attempts: Vec<String> =
            (0..=AHEAD).map(|place| format!("c{client}-{number}-{place}")).collect();
        let mut bytes = Vec::new();
        for (place, attempt) in attempts.iter().enumerate() {
            let path = if place == 0 { "/cufi502/2f" } else { "/lowu853/2f" };
            let fields = [("Carawayscale-Deadline-Ms", "2000")];
            bytes.extend(Client::encode("GET", path, attempt, &fields, b""));
        }
        if open.send(&bytes).is_err() {
            continue;
        }
        let mut open = Some(open);
        for attempt in attempts {
            let response = open.as_mut().map(Client::receive);
            let status = match &response {
                Some(Ok(response)) => response.status,
                Some(Err(_)) | None => 0,
            };
            record.line(&format!("client: {attempt} is answered {status}"));
            lock(answers).insert(attempt, status);
            let closed = response.is_none_or(|response| {
                response.is_ok_and(|response| response.header("connection") == Some("close"))
            });
            if status == 0 || closed {
                open = None;
            }
        }
        connection = open;
    }
}
