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

use crate::support::Action;
use crate::support::Entry;
use crate::support::KEYED;
use crate::support::POOLED;
use crate::support::Target;
use crate::support::eventually;
use crate::support::ok;
use crate::support::target_name;

/// Delay before a test changes ownership; a request is in flight by then.
const CHANGE_DELAY: Duration = Duration::from_millis(100);

/// Upper bound for a response that did not wait for the old owner; less than [`support::PATIENCE`].
const PROMPT_LIMIT: Duration = Duration::from_millis(700);

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

fn move_ownership(entry: &Entry, old: &Target) {
    let admission = entry.admission(KEYED);
    admission.set_target(&target_name(0), old.address, State::Lost);
    (0..16).for_each(|shard| admission.assign(Shard(shard), &target_name(1), Token::new(2, 2)));
}

/// Guards against a repeatable request that waits until its deadline for a target that lost its
/// grant, and against marking such a request as a suspect.
#[tokio::test]
async fn repeatable_request_follows_its_shard() {
    let frozen = Target::start(|_, _| Action::Hang).await;
    let live = Target::start(|received, _| Action::Write(ok(received, "moved"))).await;
    let mut entry = Entry::with_targets(&[&frozen, &live]).await;
    let started = Instant::now();
    let change = async {
        sleep(CHANGE_DELAY).await;
        move_ownership(&entry, &frozen);
    };
    let (response, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!(response.text(), "moved");
    assert!(started.elapsed() < PROMPT_LIMIT, "{:?}", started.elapsed());
    assert!(entry.router.quarantine().is_empty());
    let reports = std::iter::from_fn(|| entry.reports.try_recv().ok());
    assert!(!reports.into_iter().any(|report| matches!(report, Event::Lost { .. })));
    eventually("the connection is closed", || {
        frozen.cancelled.load(std::sync::atomic::Ordering::SeqCst) == 1
    })
    .await;
}

/// Guards against a non-repeatable request that runs twice, or whose response is discarded, because
/// its target lost its grant.
#[tokio::test]
async fn non_repeatable_request_waits_for_its_answer() {
    let slow =
        Target::start(|received, _| Action::Late(3 * CHANGE_DELAY, ok(received, "slow"))).await;
    let other = Target::start(|received, _| Action::Write(ok(received, "other"))).await;
    let entry = Entry::with_targets(&[&slow, &other]).await;
    let change = async {
        sleep(CHANGE_DELAY).await;
        move_ownership(&entry, &slow);
    };
    let (response, ()) = tokio::join!(entry.post("/lectura/k", "key-1", "x"), change);
    assert_eq!(response.text(), "slow");
    assert_eq!((slow.count(), other.count()), (1, 0));
}

/// Guards against an unsent request that is not rerouted to the new owner when its target is lost
/// while the connection is being opened.
#[tokio::test]
async fn unsent_request_follows_its_shard() {
    // A listener with a full accept queue does not respond to connection attempts.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let live = Target::start(|received, _| Action::Write(ok(received, "moved"))).await;
    let entry = Entry::with_targets(&[&live, &live]).await;
    let admission = entry.admission(KEYED);
    admission.set_target(&target_name(0), listener.local_addr().unwrap(), State::Live);
    let limit = 8;
    let openings = (0..limit).map(|_| {
        let router = entry.router.clone();
        let address = listener.local_addr().unwrap();
        async move {
            let deadline = router.clock.now() + support::PATIENCE;
            router.pool.checkout(address, limit, deadline, true).await.unwrap()
        }
    });
    let mut checkouts = Vec::new();
    for checkout in openings {
        checkouts.push(checkout.await);
    }
    let started = Instant::now();
    let change = async {
        sleep(CHANGE_DELAY).await;
        admission.set_target(&target_name(0), listener.local_addr().unwrap(), State::Lost);
        (0..16).for_each(|shard| admission.assign(Shard(shard), &target_name(1), Token::new(2, 2)));
    };
    let (response, ()) = tokio::join!(entry.post("/lectura/k", "key-1", "x"), change);
    assert_eq!(response.text(), "moved");
    assert!(started.elapsed() < PROMPT_LIMIT, "{:?}", started.elapsed());
}

/// Guards against a request that waits until its deadline for a coordinator that was replaced.
#[tokio::test]
async fn repeatable_request_follows_its_coordinator() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let coordinator = Entry::with_targets(&[&target]).await;
    let frozen = Target::start(|_, _| Action::Hang).await;
    let entry = Entry::start("entry-2").await;
    entry.replace([remote(KEYED, "entry-1", frozen.address, 2)].into());
    let started = Instant::now();
    let change = async {
        sleep(CHANGE_DELAY).await;
        // A change of another group must not end the wait.
        let other = remote(POOLED, "entry-3", coordinator.peer, 2);
        entry.replace([remote(KEYED, "entry-1", frozen.address, 2), other].into());
        sleep(CHANGE_DELAY).await;
        assert_eq!(frozen.cancelled.load(std::sync::atomic::Ordering::SeqCst), 0);
        entry.replace([remote(KEYED, "entry-3", coordinator.peer, 2)].into());
    };
    let (response, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!(response.text(), "done");
    assert!(started.elapsed() < PROMPT_LIMIT, "{:?}", started.elapsed());
}

/// Guards against a non-repeatable request that two coordinators run.
#[tokio::test]
async fn non_repeatable_request_stays_with_the_coordinator_that_accepted_it() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let coordinator = Entry::with_targets(&[&target]).await;
    let frozen = Target::start(|_, _| Action::Hang).await;
    let entry = Entry::start("entry-2").await;
    entry.replace([remote(KEYED, "entry-1", frozen.address, 2)].into());
    let change = async {
        sleep(CHANGE_DELAY).await;
        entry.replace([remote(KEYED, "entry-3", coordinator.peer, 4)].into());
    };
    let (response, ()) = tokio::join!(entry.post("/lectura/k", "key-1", "x"), change);
    assert_eq!(response.outcome(), ("unknown", "deadline-after-dispatch"));
    assert_eq!(target.count(), 0);
}

/// Guards against an unknown outcome of a repeatable request whose coordinator lost the group while
/// the target was working: the sender must offer it to the next coordinator.
#[tokio::test]
async fn forwarded_request_survives_the_loss_of_its_group() {
    let slow = Target::start(|_, _| Action::Hang).await;
    let live = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let former = Entry::with_targets(&[&slow]).await;
    let next = Entry::with_targets(&[&live]).await;
    let entry = Entry::start("entry-2").await;
    entry.replace([remote(KEYED, "entry-1", former.peer, 2)].into());
    let change = async {
        sleep(CHANGE_DELAY).await;
        former.admission(KEYED).close(caraway_core::outcome::Reason::Misdirected);
        sleep(CHANGE_DELAY).await;
        entry.replace([remote(KEYED, "entry-3", next.peer, 2)].into());
    };
    let (response, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!(response.text(), "done");
}

/// Guards against an unknown outcome that has the status of a refusal, after an abandoned attempt.
#[tokio::test]
async fn refusal_after_a_possible_run_is_unknown() {
    let frozen = Target::start(|_, _| Action::Hang).await;
    let full = Target::start(|received, _| {
        let fields = "caraway-outcome: refused\r\ncaraway-reason: no-owner";
        let id = received.id();
        let head = format!("HTTP/1.1 503 No\r\n{fields}\r\ncaraway-request-id: {id}");
        Action::Write(format!("{head}\r\ncontent-length: 0\r\n\r\n").into())
    })
    .await;
    let entry = Entry::start("entry-2").await;
    entry.replace([remote(KEYED, "entry-1", frozen.address, 2)].into());
    let change = async {
        sleep(CHANGE_DELAY).await;
        entry.replace([remote(KEYED, "entry-3", full.address, 4)].into());
    };
    let (response, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!((response.status, response.outcome()), (502, ("unknown", "connection-lost")));
}
