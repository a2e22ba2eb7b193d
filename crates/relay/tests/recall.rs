//! Tests of requests in flight while ownership moves.

mod support;

use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::time::sleep;

use caraway_admission::controller::State;
use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::token::Token;
use caraway_relay::directory::Coordinator;
use caraway_relay::directory::Remote;
use caraway_relay::report::Event;

use crate::support::Act;
use crate::support::Entry;
use crate::support::KEYED;
use crate::support::POOLED;
use crate::support::Target;
use crate::support::eventually;
use crate::support::ok;
use crate::support::target_name;

/// Time after which a test makes its change; a request is in flight then.
const CHANGE: Duration = Duration::from_millis(100);

/// Less than [`support::PATIENCE`], so that an answer shows that nobody waited for the old owner.
const PROMPT: Duration = Duration::from_millis(700);

fn remote(
    group: &str,
    instance: &str,
    peer: std::net::SocketAddr,
    term: u64,
) -> (name::Group, Coordinator) {
    let instance = instance.into();
    (
        group.into(),
        Coordinator::Remote(Remote { instance, peer_address: peer, term, queue_percent: 0 }),
    )
}

fn lose(entry: &Entry, old: &Target) {
    let lane = entry.lane(KEYED);
    lane.set_target(&target_name(0), old.address, State::Lost);
    (0..16).for_each(|shard| lane.assign(Shard(shard), &target_name(1), Token::new(2, 2)));
}

/// Guards against a repeatable request that waits out its patience on a target that lost its grant,
/// and against a request that counts as a suspect because of that.
#[tokio::test]
async fn repeatable_request_follows_its_shard() {
    let frozen = Target::start(|_, _| Act::Hang).await;
    let live = Target::start(|seen, _| Act::Write(ok(seen, "moved"))).await;
    let mut entry = Entry::with(&[&frozen, &live]).await;
    let started = Instant::now();
    let change = async {
        sleep(CHANGE).await;
        lose(&entry, &frozen);
    };
    let (answer, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!(answer.text(), "moved");
    assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
    assert!(entry.router.quarantine().is_empty());
    let reports = std::iter::from_fn(|| entry.reports.try_recv().ok());
    assert!(!reports.into_iter().any(|report| matches!(report, Event::Lost { .. })));
    eventually("the connection is closed", || {
        frozen.cancelled.load(std::sync::atomic::Ordering::SeqCst) == 1
    })
    .await;
}

/// Guards against a non-repeatable request that runs twice, or whose answer is thrown away, because
/// its target lost its grant.
#[tokio::test]
async fn non_repeatable_request_waits_for_its_answer() {
    let slow = Target::start(|seen, _| Act::Late(3 * CHANGE, ok(seen, "slow"))).await;
    let other = Target::start(|seen, _| Act::Write(ok(seen, "other"))).await;
    let entry = Entry::with(&[&slow, &other]).await;
    let change = async {
        sleep(CHANGE).await;
        lose(&entry, &slow);
    };
    let (answer, ()) = tokio::join!(entry.post("/lectura/k", "key-1", "x"), change);
    assert_eq!(answer.text(), "slow");
    assert_eq!((slow.count(), other.count()), (1, 0));
}

/// Guards against a request that is not sent because its target was lost, and is not offered to the
/// new owner either: its connection to the target could not be opened.
#[tokio::test]
async fn unsent_request_follows_its_shard() {
    // A listener whose queue is full does not answer connection attempts.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let live = Target::start(|seen, _| Act::Write(ok(seen, "moved"))).await;
    let entry = Entry::with(&[&live, &live]).await;
    let lane = entry.lane(KEYED);
    lane.set_target(&target_name(0), listener.local_addr().unwrap(), State::Live);
    let limit = 8;
    let held = (0..limit).map(|_| {
        let router = entry.router.clone();
        let address = listener.local_addr().unwrap();
        async move {
            let deadline = router.clock.now() + support::PATIENCE;
            router.pool.checkout(address, limit, deadline, true).await.unwrap()
        }
    });
    let mut leases = Vec::new();
    for lease in held {
        leases.push(lease.await);
    }
    let started = Instant::now();
    let change = async {
        sleep(CHANGE).await;
        lane.set_target(&target_name(0), listener.local_addr().unwrap(), State::Lost);
        (0..16).for_each(|shard| lane.assign(Shard(shard), &target_name(1), Token::new(2, 2)));
    };
    let (answer, ()) = tokio::join!(entry.post("/lectura/k", "key-1", "x"), change);
    assert_eq!(answer.text(), "moved");
    assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
}

/// Guards against a request that waits out its patience on a coordinator that was replaced.
#[tokio::test]
async fn repeatable_request_follows_its_coordinator() {
    let target = Target::start(|seen, _| Act::Write(ok(seen, "done"))).await;
    let coordinator = Entry::with(&[&target]).await;
    let frozen = Target::start(|_, _| Act::Hang).await;
    let entry = Entry::start("entry-2").await;
    entry.replace([remote(KEYED, "entry-1", frozen.address, 2)].into());
    let started = Instant::now();
    let change = async {
        sleep(CHANGE).await;
        // A change that concerns another group ends no wait.
        let other = remote(POOLED, "entry-3", coordinator.peer, 2);
        entry.replace([remote(KEYED, "entry-1", frozen.address, 2), other].into());
        sleep(CHANGE).await;
        assert_eq!(frozen.cancelled.load(std::sync::atomic::Ordering::SeqCst), 0);
        entry.replace([remote(KEYED, "entry-3", coordinator.peer, 2)].into());
    };
    let (answer, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!(answer.text(), "done");
    assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
}

/// Guards against a non-repeatable request that two coordinators run.
#[tokio::test]
async fn non_repeatable_request_stays_with_the_coordinator_that_took_it() {
    let target = Target::start(|seen, _| Act::Write(ok(seen, "done"))).await;
    let coordinator = Entry::with(&[&target]).await;
    let frozen = Target::start(|_, _| Act::Hang).await;
    let entry = Entry::start("entry-2").await;
    entry.replace([remote(KEYED, "entry-1", frozen.address, 2)].into());
    let change = async {
        sleep(CHANGE).await;
        entry.replace([remote(KEYED, "entry-3", coordinator.peer, 4)].into());
    };
    let (answer, ()) = tokio::join!(entry.post("/lectura/k", "key-1", "x"), change);
    assert_eq!(answer.outcome(), ("unknown", "deadline-after-dispatch"));
    assert_eq!(target.count(), 0);
}

/// Guards against a repeatable request that ends "unknown" because the coordinator lost its group
/// while the target worked: the sender offers it to the next coordinator.
#[tokio::test]
async fn forwarded_request_survives_the_end_of_a_coordination() {
    let slow = Target::start(|_, _| Act::Hang).await;
    let live = Target::start(|seen, _| Act::Write(ok(seen, "done"))).await;
    let former = Entry::with(&[&slow]).await;
    let next = Entry::with(&[&live]).await;
    let entry = Entry::start("entry-2").await;
    entry.replace([remote(KEYED, "entry-1", former.peer, 2)].into());
    let change = async {
        sleep(CHANGE).await;
        former.lane(KEYED).close(caraway_core::outcome::Reason::Misdirected);
        sleep(CHANGE).await;
        entry.replace([remote(KEYED, "entry-3", next.peer, 2)].into());
    };
    let (answer, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!(answer.text(), "done");
}

/// Guards against an answer that says "unknown" with the status of a refusal, after an attempt that
/// was given up.
#[tokio::test]
async fn refusal_after_a_possible_run_is_unknown() {
    let frozen = Target::start(|_, _| Act::Hang).await;
    let full = Target::start(|seen, _| {
        let fields = "caraway-outcome: refused\r\ncaraway-reason: no-owner";
        let id = seen.id();
        let head = format!("HTTP/1.1 503 No\r\n{fields}\r\ncaraway-request-id: {id}");
        Act::Write(format!("{head}\r\ncontent-length: 0\r\n\r\n").into())
    })
    .await;
    let entry = Entry::start("entry-2").await;
    entry.replace([remote(KEYED, "entry-1", frozen.address, 2)].into());
    let change = async {
        sleep(CHANGE).await;
        entry.replace([remote(KEYED, "entry-3", full.address, 4)].into());
    };
    let (answer, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!((answer.status, answer.outcome()), (502, ("unknown", "connection-lost")));
}
