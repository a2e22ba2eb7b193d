//! A client that pipelines and reads slowly loses answers that servers had completed, because the connection
//! is closed one second after its last answer was written, while the client is still reading.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use crate::Failure;
use crate::Verdict;
use crate::edge::Bounds;
use crate::edge::Edge;
use crate::pipeline;
use crate::pipeline::Options;
use crate::record::Record;
use crate::server::Journal;
use crate::server::Run;
use crate::server::Server;
use crate::setup;
use crate::setup::Route;

const SERVICE: &str = "pieteikumi";
const GRACE_S: u32 = 6;
const DEADLINE: Duration = Duration::from_millis(4000);

/// Number of clients, each with a connection.
const CLIENTS: usize = 4;

/// Bytes per second that the client reads.
const PACE: usize = 480 << 10;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    let route = Route {
        name: "status-check",
        prefix: "/status/",
        kind: "idempotent",
        service: SERVICE,
        timeout_ms: 4000,
        objective_ms: 1000,
    };
    let store = setup::store(&setup::configuration(&[route], &[SERVICE], &[]))?;
    let journal = Journal::default();
    let start = |index| Server::start(&format!("i-{index}"), SERVICE, 6, &journal);
    let servers = (0..4).map(start).collect::<Result<Vec<_>, _>>()?;
    setup::start_heartbeats(&store, move |sequence| {
        servers.iter().map(|server| (server.key(), server.entry(sequence))).collect()
    });
    let bounds = Bounds { grace_s: GRACE_S, drain_ms: 2500 };
    let mut edge = Edge::start(1, store.address, bounds)?;
    let _other = Edge::start(2, store.address, bounds)?;
    thread::sleep(Duration::from_secs(1));
    let options = |number| Options {
        name: format!("s{number}"),
        path: "/status/w340/k480/".to_owned(),
        depth: 3,
        deadline_ms: 4000,
        cookie_bytes: 0,
        pace: Some(PACE),
        sending: Duration::from_secs(12),
    };
    let start = |number| Ok(pipeline::start(edge.connect()?, options(number)));
    let clients = (0..CLIENTS).map(start).collect::<Result<Vec<_>, Failure>>()?;
    thread::sleep(Duration::from_secs(4));
    if trouble {
        let at = edge.terminate()?;
        record.note_at(at, "SIGTERM to edge-1");
        let end = edge.wait(Duration::from_secs(u64::from(GRACE_S)))?;
        record.note_at(end, "edge-1 has ended");
    }
    let (mut sent, mut answered, mut lost) = (0, 0, 0);
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.push(client.join().map_err(|_| "a client failed")??);
    }
    let runs: HashMap<String, Run> =
        journal.runs().into_iter().map(|run| (run.attempt.clone(), run)).collect();
    for outcome in &outcomes {
        let end = outcome.error.clone().unwrap_or("after the last answer".to_owned());
        record.note_at(outcome.ended, &format!("a connection ends: {end}"));
        sent += outcome.attempts.len();
        for attempt in &outcome.attempts {
            let run = runs.get(&attempt.id);
            let ran = run.and_then(|run| run.ended).map_or("not run".to_owned(), |at| {
                format!("its server has completed it at {:.4}", record.seconds(at))
            });
            let line = match &attempt.answer {
                Some((answer, at)) => format!(
                    "answered {} at {:.4}{}",
                    answer.status,
                    record.seconds(*at),
                    if answer.closes { ", the connection closes" } else { "" }
                ),
                None => "no complete answer".to_owned(),
            };
            record.note_at(attempt.sent, &format!("{} sent; {line}; {ran}", attempt.id));
            let own = attempt.answer.as_ref().is_some_and(|(answer, _)| answer.signed);
            answered += u32::from(own);
            let completed = run.is_some_and(|run| run.ended.is_some() && !run.dropped);
            let in_time = outcome.ended < attempt.sent + DEADLINE;
            lost += u32::from(!own && completed && in_time);
        }
    }
    let summary = format!(
        "{sent} requests sent on {CLIENTS} connections, {answered} answered by servers; {lost} that a server had \
         completed got no complete answer before their deadline"
    );
    Ok(Verdict { broken: lost > 0, summary })
}
