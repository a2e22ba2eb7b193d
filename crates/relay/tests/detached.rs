//! Tests of non-repeatable requests whose callers disconnect.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_call::ledger;
use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::token::Token;
use caraway_relay::directory::Coordinator;
use caraway_relay::directory::Remote;

use crate::support::Action;
use crate::support::Entry;
use crate::support::KEYED;
use crate::support::POOLED;
use crate::support::Target;
use crate::support::eventually;
use crate::support::ok;
use crate::support::target_name;

const WORK_TIME: Duration = Duration::from_millis(250);

async fn slow_target() -> Target {
    Target::start(|received, _| Action::Late(WORK_TIME, ok(received, "done"))).await
}

/// Submits a request on a new connection.
async fn submit(entry: &Entry, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    let head = "host: e\r\nidempotency-key: key-1\r\ncontent-length: 1";
    let text = format!("POST {path} HTTP/1.1\r\n{head}\r\n\r\nx");
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Guards against a request that is cancelled when its caller disconnects and stays unknown. The
/// next submission must get the response, and the request must run once.
#[tokio::test]
async fn request_continues_without_its_caller() {
    let target = slow_target().await;
    let entry = Entry::with_targets(&[&target]).await;
    let stream = submit(&entry, "/ordenes/a").await;
    eventually("arrival", || target.count() == 1).await;
    drop(stream);
    sleep(WORK_TIME / 5).await;
    let again = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!((again.outcome(), again.text()), (("answered", ""), "done"));
    assert_eq!(target.count(), 1);
    let admission = entry.admission(POOLED);
    eventually("release", || admission.target_in_flight(&target_name(0)) == 0).await;
}

/// Guards against the same failure when the instance that forwarded the request disconnects.
#[tokio::test]
async fn request_continues_without_its_forwarder() {
    let target = slow_target().await;
    let coordinator = Entry::with_targets(&[&target]).await;
    let entry = Entry::start("entry-2").await;
    let assigned = Remote {
        instance: "entry-1".into(),
        peer_address: coordinator.peer,
        term: 2,
        queue_percent: 0,
    };
    entry.replace([(name::Group::new(POOLED), Coordinator::Remote(assigned))].into());
    let stream = submit(&entry, "/ordenes/a").await;
    eventually("arrival", || target.count() == 1).await;
    drop(stream);
    sleep(WORK_TIME / 5).await;
    let again = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!((again.outcome(), again.text()), (("answered", ""), "done"));
    assert_eq!(target.count(), 1);
}

/// Guards against a request that is dispatched although its caller disconnected while it was
/// queued.
#[tokio::test]
async fn queued_request_is_cancelled_with_its_caller() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let mut entry = Entry::with_targets(&[&target]).await;
    let admission = entry.admission(KEYED);
    (0..16).for_each(|shard| admission.pause(Shard(shard)));
    let stream = submit(&entry, "/lectura/k").await;
    assert_eq!(entry.jobs.recv().await.unwrap().state, ledger::State::Open);
    eventually("the queue", || admission.queue_percent() > 0).await;
    drop(stream);
    let empty = eventually("the empty queue", || admission.queue_percent() == 0);
    timeout(support::PATIENCE / 2, empty).await.unwrap();
    assert_eq!(entry.jobs.recv().await.unwrap().state, ledger::State::NotRun);
    (0..16).for_each(|shard| admission.assign(Shard(shard), &target_name(0), Token::new(2, 2)));
    sleep(WORK_TIME / 5).await;
    assert_eq!(target.count(), 0);
    assert_eq!(entry.post("/lectura/k", "key-1", "x").await.text(), "done");
}

/// Guards against an unbounded number of waiting resubmissions.
#[tokio::test]
async fn number_of_waiting_submissions_is_bounded() {
    let target = slow_target().await;
    let entry = Entry::with_targets(&[&target]).await;
    let _taken = entry.router.duplicate_permits.acquire_many(128).await.unwrap();
    let _stream = submit(&entry, "/ordenes/a").await;
    eventually("arrival", || target.count() == 1).await;
    let again = timeout(WORK_TIME / 2, entry.post("/ordenes/a", "key-1", "x")).await.unwrap();
    assert_eq!(again.outcome(), ("refused", "in-progress"));
}

/// Guards against a planned stop that ends while a detached request is still running.
#[tokio::test]
async fn stop_waits_for_detached_requests() {
    let target = slow_target().await;
    let mut entry = Entry::with_targets(&[&target]).await;
    let stream = submit(&entry, "/ordenes/a").await;
    eventually("arrival", || target.count() == 1).await;
    drop(stream);
    entry.stop.send(true).unwrap();
    for server in entry.servers.drain(1..) {
        timeout(Duration::from_secs(5), server).await.unwrap().unwrap();
    }
    assert_eq!(target.cancelled.load(Ordering::SeqCst), 0);
    let states = std::iter::from_fn(|| entry.jobs.try_recv().ok()).map(|entry| entry.state);
    assert!(states.into_iter().any(|state| matches!(state, ledger::State::Answered(_))));
}
