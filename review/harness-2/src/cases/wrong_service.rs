//! An entry from another writer, with fields missing, makes servers of one service run orders of another.

use std::io::BufReader;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::Failure;
use crate::Verdict;
use crate::client;
use crate::client::Answer;
use crate::edge::Bounds;
use crate::edge::Edge;
use crate::record::Record;
use crate::server::Journal;
use crate::server::Server;
use crate::setup;
use crate::setup::Route;

const ORDERS: &str = "ordenes";
const BOARDS: &str = "estado";

/// Number of clients that send orders one after the other.
const CLIENTS: usize = 12;

/// An order and its answer.
struct Order {
    attempt: String,
    sent: Instant,
    answer: Result<(Answer, Instant), String>,
}

fn send_orders(edge: &Edge, number: usize, stopping: &AtomicBool) -> Vec<Order> {
    let mut orders = Vec::new();
    while !stopping.load(Ordering::SeqCst) {
        let attempt = format!("order-{number}-{}", orders.len());
        let sent = Instant::now();
        let answer = edge.connect().and_then(|mut output| {
            let mut input = BufReader::new(output.try_clone()?);
            output.write_all(client::post("/order/w210/", &attempt, 1500).as_bytes())?;
            let answer = client::read(&mut input, &attempt, &mut client::whole)?;
            Ok((answer, Instant::now()))
        });
        orders.push(Order { attempt, sent, answer: answer.map_err(|error| error.to_string()) });
        thread::sleep(Duration::from_millis(50));
    }
    orders
}

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    let route = |name, prefix, kind, service, timeout_ms, objective_ms| Route {
        name,
        prefix,
        kind,
        service,
        timeout_ms,
        objective_ms,
    };
    let routes = [
        route("order-confirm", "/order/", "non_idempotent", ORDERS, 1500, 600),
        route("site-status", "/status/", "idempotent", BOARDS, 500, 200),
    ];
    let store = setup::store(&setup::configuration(&routes, &[ORDERS, BOARDS], &[]))?;
    let journal = Journal::default();
    let start = |service: &'static str, index: usize| {
        Server::start(&format!("i-{service}-{index}"), service, 4, &journal)
    };
    let mut servers = (0..3).map(|index| start(ORDERS, index)).collect::<Result<Vec<_>, _>>()?;
    servers.extend((0..3).map(|index| start(BOARDS, index)).collect::<Result<Vec<_>, _>>()?);
    let other = servers.last().ok_or("no servers")?.clone();
    setup::start_heartbeats(&store, move |sequence| {
        servers.iter().map(|server| (server.key(), server.entry(sequence))).collect()
    });
    let bounds = Bounds { grace_s: 6, drain_ms: 2000 };
    let edges = [1, 2].map(|number| Edge::start(number, store.address, bounds));
    let edges = edges.into_iter().collect::<Result<Vec<_>, _>>()?;
    thread::sleep(Duration::from_secs(1));
    let stopping = Arc::new(AtomicBool::new(false));
    let orders = thread::scope(|scope| {
        let mut clients = Vec::new();
        for (number, edge) in edges.iter().cycle().take(CLIENTS).enumerate() {
            let stopping = stopping.clone();
            clients.push(scope.spawn(move || send_orders(edge, number, &stopping)));
        }
        thread::sleep(Duration::from_secs(3));
        if trouble {
            // The next heartbeat of the server replaces it.
            let entry = json!({
                "address": other.address.to_string(),
                "info": { "service": ORDERS, "zone": "zone-1", "capacity": 4 },
                "status": { "state": "ready" },
            });
            record.note(&format!("another writer writes {}: {entry}", other.key()));
            store.put(&other.key(), &entry);
        }
        thread::sleep(Duration::from_secs(4));
        stopping.store(true, Ordering::SeqCst);
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect::<Vec<_>>()
    });
    let runs = journal.runs();
    for run in &runs {
        let line = format!("{} of {} runs {} {}", run.server, run.service, run.attempt, run.path);
        record.note_at(run.started, &line);
    }
    let mut confirmed = 0;
    for order in &orders {
        let line = match &order.answer {
            Ok((answer, at)) => {
                confirmed += u32::from(answer.status == 200 && answer.server.contains(BOARDS));
                format!(
                    "answered {} by {} at {:.4}",
                    answer.status,
                    answer.server,
                    record.seconds(*at)
                )
            }
            Err(error) => format!("no answer ({error})"),
        };
        record.note_at(order.sent, &format!("{} sent; {line}", order.attempt));
    }
    let wrong = runs.iter().filter(|run| run.service == BOARDS && run.path.starts_with("/order/"));
    let (wrong, sent) = (wrong.count(), orders.len());
    let summary = format!(
        "{sent} orders sent, all for the service {ORDERS}; {wrong} were run by a server of {BOARDS}, and {confirmed} \
         of their clients got its answer as a success"
    );
    Ok(Verdict { broken: wrong > 0, summary })
}
