//! Tests of the replication of intents and withdrawals to other instances.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

use caraway_call::ledger;
use caraway_core::time::Clock;
use caraway_relay::observe::Observer;
use caraway_relay::replication::Job;
use caraway_relay::router::Channels;
use caraway_relay::router::Options;
use caraway_relay::router::Router;
use caraway_relay::server;

use crate::support::Action;
use crate::support::Entry;
use crate::support::POOLED;
use crate::support::Response;
use crate::support::Target;
use crate::support::fetch;
use crate::support::ok;
use crate::support::refusal;
use crate::support::request;

/// Starts a coordinator whose replication jobs are completed by the test.
async fn coordinator(target: &Target) -> (Entry, mpsc::Receiver<Job>) {
    let plan = Entry::start("entry-2").await.plan;
    let (report_sender, reports) = mpsc::channel(100);
    let (replication, queue) = mpsc::channel(100);
    let channels = Channels { reports: report_sender, replication };
    let options =
        Options { instance: "entry-1".into(), domain: "med".into(), ..Options::default() };
    let router = Router::new(options, Clock, channels, Observer::new());
    let (stop, stopped) = watch::channel(false);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = listener.local_addr().unwrap();
    let serving = server::serve(listener, router.clone(), server::Options::default(), stopped);
    let servers = vec![tokio::spawn(serving)];
    let (_, jobs) = mpsc::unbounded_channel();
    let entry = Entry { router, caller, peer: caller, plan, stop, reports, jobs, servers };
    entry.replace([entry.local(POOLED, &[target])].into());
    (entry, queue)
}

async fn submit(entry: &Entry) -> Response {
    let fields = [("idempotency-key", "key-1"), ("caraway-patience-ms", "400")];
    fetch(entry.caller, request("POST", "/ordenes/a", &fields, "x")).await.unwrap()
}

/// Guards against a refusal because one holder of the intent is frozen, although it is soon
/// replaced.
#[tokio::test]
async fn intent_replication_is_retried() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let (entry, mut queue) = coordinator(&target).await;
    let complete_jobs = async {
        for stored in [false, false, false, true] {
            let job = queue.recv().await.unwrap();
            assert_eq!(job.entry.state, ledger::State::Open);
            assert_eq!(target.count(), 0, "sent before the intent is replicated");
            job.done.send(stored).unwrap();
        }
    };
    let (response, ()) = tokio::join!(submit(&entry), complete_jobs);
    assert_eq!(response.text(), "done");
}

/// Guards against an instance that replicates an intent after its term has ended.
#[tokio::test]
async fn intent_is_not_replicated_after_the_term() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let (entry, mut queue) = coordinator(&target).await;
    let complete_jobs = async {
        let job = queue.recv().await.unwrap();
        entry.replace([].into());
        job.done.send(false).unwrap();
        let job = queue.recv().await.unwrap();
        assert_eq!(job.entry.state, ledger::State::NotRun);
        job.done.send(true).unwrap();
    };
    let (response, ()) = tokio::join!(submit(&entry), complete_jobs);
    assert_eq!(response.outcome(), ("refused", "no-coordinator"));
}

/// Guards against a refusal that arrives before the withdrawal is replicated: a new coordinator
/// would answer the next submission with an unknown outcome.
#[tokio::test]
async fn refusal_waits_for_the_withdrawal() {
    let target =
        Target::start(|received, _| Action::Write(refusal(received, 503, "draining"))).await;
    let (entry, mut queue) = coordinator(&target).await;
    let replicated_at = Arc::new(Mutex::new(None));
    let complete_jobs = async {
        queue.recv().await.unwrap().done.send(true).unwrap();
        let job = queue.recv().await.unwrap();
        assert_eq!(job.entry.state, ledger::State::NotRun);
        tokio::time::sleep(Duration::from_millis(100)).await;
        *replicated_at.lock().unwrap() = Some(Instant::now());
        job.done.send(true).unwrap();
    };
    let submission = async {
        let response = submit(&entry).await;
        assert!(replicated_at.lock().unwrap().is_some(), "the refusal came first");
        response
    };
    let (response, ()) = tokio::join!(submission, complete_jobs);
    assert_eq!(response.outcome().0, "refused");
}

/// Guards against a refusal that waits indefinitely for a holder that does not respond.
#[tokio::test]
async fn wait_for_the_withdrawal_is_bounded() {
    let target =
        Target::start(|received, _| Action::Write(refusal(received, 503, "draining"))).await;
    let (entry, mut queue) = coordinator(&target).await;
    let complete_jobs = async {
        queue.recv().await.unwrap().done.send(true).unwrap();
        (queue.recv().await.unwrap(), Instant::now())
    };
    let (response, (_job, requested_at)) = tokio::join!(submit(&entry), complete_jobs);
    assert_eq!(response.outcome().0, "refused");
    assert!(requested_at.elapsed() < Duration::from_millis(500), "{:?}", requested_at.elapsed());
}
