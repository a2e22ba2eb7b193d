//! A client that pipelines keeps its connection to an instance that stops, and the requests that it sends
//! late in the grace period are broken off.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use crate::Failure;
use crate::Verdict;
use crate::client::COOKIE_BYTES;
use crate::edge::Bounds;
use crate::edge::Edge;
use crate::pipeline;
use crate::pipeline::Attempt;
use crate::pipeline::Options;
use crate::record::Record;
use crate::server::Journal;
use crate::server::Run;
use crate::server::Server;
use crate::setup;
use crate::setup::Route;

const SERVICE: &str = "pieteikumi";
const GRACE_S: u32 = 6;

/// Number of clients, each with a connection.
const CLIENTS: usize = 4;

const DEADLINE: Duration = Duration::from_millis(4000);

/// A request that was sent later than this after the SIGTERM is not excused by the end of the grace period.
const EXCUSED: Duration = Duration::from_secs(3);

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
    let servers = (0..8).map(start).collect::<Result<Vec<_>, _>>()?;
    setup::start_heartbeats(&store, move |sequence| {
        servers.iter().map(|server| (server.key(), server.entry(sequence))).collect()
    });
    let bounds = Bounds { grace_s: GRACE_S, drain_ms: 2500 };
    let mut edge = Edge::start(1, store.address, bounds)?;
    let _other = Edge::start(2, store.address, bounds)?;
    thread::sleep(Duration::from_secs(1));
    let options = |number| Options {
        name: format!("p{number}"),
        path: "/status/w340/".to_owned(),
        depth: 32,
        deadline_ms: 4000,
        cookie_bytes: COOKIE_BYTES,
        pace: None,
        sending: Duration::from_secs(9),
    };
    let start = |number| Ok(pipeline::start(edge.connect()?, options(number)));
    let clients = (0..CLIENTS).map(start).collect::<Result<Vec<_>, Failure>>()?;
    thread::sleep(Duration::from_secs(2));
    let mut stop = None;
    if trouble {
        let at = edge.terminate()?;
        record.note_at(at, "SIGTERM to edge-1");
        let end = edge.wait(Duration::from_secs(u64::from(GRACE_S)))?;
        record.note_at(end, "edge-1 has ended");
        stop = Some(at);
    }
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.push(client.join().map_err(|_| "a client failed")??);
    }
    thread::sleep(Duration::from_millis(500));
    let runs: HashMap<String, Run> =
        journal.runs().into_iter().map(|run| (run.attempt.clone(), run)).collect();
    let (mut sent, mut answered, mut broken) = (0, 0, 0);
    for outcome in &outcomes {
        let end = outcome.error.clone().unwrap_or("after the last answer".to_owned());
        record.note_at(outcome.ended, &format!("a connection ends: {end}"));
        sent += outcome.attempts.len();
        for attempt in &outcome.attempts {
            let run = runs.get(&attempt.id);
            record.note_at(attempt.sent, &describe(attempt, run, record));
            let own = attempt.answer.as_ref().is_some_and(|(answer, _)| answer.signed);
            answered += usize::from(own);
            let cut = attempt.answer.as_ref().map_or(outcome.ended, |(_, at)| *at);
            let late = stop.is_some_and(|stop| attempt.sent > stop + EXCUSED);
            let in_time = cut < attempt.sent + DEADLINE;
            let working =
                run.is_some_and(|run| run.ended.is_none_or(|end| run.dropped && end + GAP > cut));
            broken += usize::from(!own && late && in_time && working);
        }
    }
    let summary = format!(
        "{sent} requests sent on {CLIENTS} connections, {answered} answered by servers; {broken} that were sent \
         later than 3 s after the SIGTERM were broken off while their server was at work"
    );
    // Without the disruption, every request that was run has to be answered by its server.
    let lost = stop.is_none() && runs.len() > answered;
    Ok(Verdict { broken: broken > 0 || lost, summary })
}

/// Time in which a server notices that its connection is gone.
const GAP: Duration = Duration::from_millis(200);

fn describe(attempt: &Attempt, run: Option<&Run>, record: &Record) -> String {
    let answer = match &attempt.answer {
        Some((answer, at)) => {
            let by = if answer.signed { ", by the server" } else { "" };
            format!("answered {} at {:.4}{by}", answer.status, record.seconds(*at))
        }
        None => "not answered".to_owned(),
    };
    let ran = run.map_or("not run".to_owned(), |run| {
        let end = run.ended.map_or("never".to_owned(), |at| format!("{:.4}", record.seconds(at)));
        let how = if run.dropped { ", cut" } else { "" };
        format!("{} runs it from {:.4} to {end}{how}", run.server, record.seconds(run.started))
    });
    format!("{} sent; {answer}; {ran}", attempt.id)
}
