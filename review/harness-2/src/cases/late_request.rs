//! With a grace period of 10 s, an instance that stops takes requests on kept connections for 4.5 s, and gives
//! up those that their servers still work on after 9 s.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::Verdict;
use crate::client;
use crate::client::Answer;
use crate::edge::Bounds;
use crate::edge::Edge;
use crate::record::Record;
use crate::server::Journal;
use crate::server::Run;
use crate::server::Server;
use crate::setup;
use crate::setup::Route;

const SERVICE: &str = "ordenes";
const GRACE_S: u32 = 10;
const DEADLINE: Duration = Duration::from_millis(6000);

/// Time from the SIGTERM to the orders, later than the 3 s up to which the end of the grace period excuses.
const ORDER_TIME: Duration = Duration::from_millis(4200);

/// Number of clients, each with a kept connection.
const CLIENTS: usize = 6;

/// An order of a client.
struct Order {
    attempt: String,
    sent: Instant,
    ended: Instant,
    answer: Result<Answer, String>,
}

/// Sends a short request, keeps the connection idle, and sends an order on it at `order_at`.
fn order(edge: &Edge, number: usize, order_at: Instant) -> Result<Order, Failure> {
    let mut output = edge.connect()?;
    let mut input = BufReader::new(output.try_clone()?);
    let first = format!("first-{number}");
    output.write_all(client::post("/order/w20/", &first, 6000).as_bytes())?;
    client::read(&mut input, &first, &mut client::whole)?;
    thread::sleep(order_at.saturating_duration_since(Instant::now()));
    let attempt = format!("order-{number}");
    let sent = Instant::now();
    let answer = output
        .write_all(client::post("/order/w5300/", &attempt, 6000).as_bytes())
        .and_then(|()| client::read(&mut input, &attempt, &mut client::whole))
        .map_err(|error| error.to_string());
    Ok(Order { attempt, sent, ended: Instant::now(), answer })
}

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    let route = Route {
        name: "order-confirm",
        prefix: "/order/",
        kind: "non_idempotent",
        service: SERVICE,
        timeout_ms: 6000,
        objective_ms: 2500,
    };
    let store = setup::store(&setup::configuration(&[route], &[SERVICE], &[]))?;
    let journal = Journal::default();
    let start = |index| Server::start(&format!("i-{index}"), SERVICE, 4, &journal);
    let servers = (0..4).map(start).collect::<Result<Vec<_>, _>>()?;
    setup::start_heartbeats(&store, move |sequence| {
        servers.iter().map(|server| (server.key(), server.entry(sequence))).collect()
    });
    let bounds = Bounds { grace_s: GRACE_S, drain_ms: 3000 };
    let mut edge = Edge::start(1, store.address, bounds)?;
    let _other = Edge::start(2, store.address, bounds)?;
    thread::sleep(Duration::from_secs(1));
    let stop_at = Instant::now() + Duration::from_secs(1);
    let order_at = stop_at + ORDER_TIME;
    let (mut stop, mut end) = (None, None);
    let orders = thread::scope(|scope| {
        let edge_ref = &edge;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                scope.spawn(move || order(edge_ref, number, order_at).map_err(|e| e.to_string()))
            })
            .collect();
        thread::sleep(stop_at.saturating_duration_since(Instant::now()));
        if trouble {
            stop = Some(edge.terminate().map_err(|error| error.to_string())?);
        }
        let results =
            clients.into_iter().map(|client| client.join().map_err(|_| "a client failed")?);
        results.collect::<Result<Vec<Order>, String>>()
    })?;
    if let Some(at) = stop {
        record.note_at(at, "SIGTERM to edge-1");
        end = Some(edge.wait(Duration::from_secs(1))?);
    }
    if let Some(at) = end {
        record.note_at(at, "edge-1 has ended");
    }
    thread::sleep(Duration::from_millis(500));
    let runs: HashMap<String, Run> =
        journal.runs().into_iter().map(|run| (run.attempt.clone(), run)).collect();
    let mut broken = 0;
    for order in &orders {
        let run = runs.get(&order.attempt);
        let answer = match &order.answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => format!("no answer ({error})"),
        };
        let ran = run.map_or("not run".to_owned(), |run| {
            let end = run.ended.map_or(0.0, |at| record.seconds(at));
            let how = if run.dropped { ", cut" } else { "" };
            format!(
                "{} runs it from {:.4} to {end:.4}{how}",
                run.server,
                record.seconds(run.started)
            )
        });
        let ended = record.seconds(order.ended);
        record
            .note_at(order.sent, &format!("{} sent; {answer} at {ended:.4}; {ran}", order.attempt));
        let own = order.answer.as_ref().is_ok_and(|answer| answer.signed);
        let in_time = order.ended < order.sent + DEADLINE;
        if !own && in_time && run.is_some_and(|run| run.dropped) {
            broken += 1;
        }
    }
    let summary = format!(
        "{CLIENTS} orders sent 4.2 s after the SIGTERM on kept connections: {broken} were broken off while \
         their server was at work, before their deadline and the timeout of their route"
    );
    Ok(Verdict { broken: broken > 0, summary })
}
