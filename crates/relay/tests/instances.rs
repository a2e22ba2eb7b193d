//! Tests of requests that are forwarded between two instances.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::sleep;

use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_relay::directory::Coordinator;
use caraway_relay::directory::Local;
use caraway_relay::directory::Remote;
use caraway_relay::report::Event;

use crate::support::Action;
use crate::support::Entry;
use crate::support::KEYED;
use crate::support::POOLED;
use crate::support::Target;
use crate::support::eventually;
use crate::support::fetch;
use crate::support::ok;
use crate::support::refusal;
use crate::support::request;

fn remote(
    group: &str,
    peer_address: std::net::SocketAddr,
    term: u64,
) -> (name::Group, Coordinator) {
    let instance = "entry-1".into();
    (group.into(), Coordinator::Remote(Remote { instance, peer_address, term, queue_percent: 0 }))
}

/// Starts a coordinator of both groups and an instance that forwards requests to it.
async fn pair(target: &Target) -> (Entry, Entry) {
    let coordinator = Entry::with_targets(&[target]).await;
    let entry = Entry::start("entry-2").await;
    let assignments = [KEYED, POOLED].map(|group| remote(group, coordinator.peer, 2));
    entry.replace(assignments.into());
    (coordinator, entry)
}

/// Guards against an outcome, request ID or deadline that is lost when a request is forwarded.
#[tokio::test]
async fn request_passes_through_its_coordinator() {
    let target = Target::start(|received, _| Action::Write(ok(received, "hello"))).await;
    let (coordinator, entry) = pair(&target).await;
    let response = entry.get("/lectura/k1", &[("caraway-request-id", "r-1")]).await;
    assert_eq!((response.status, response.text()), (200, "hello"));
    assert_eq!(
        (response.outcome(), response.field("caraway-request-id")),
        (("answered", ""), "r-1")
    );
    let received = target.received.lock().unwrap()[0].clone();
    assert_eq!(received.field("caraway-key"), Some("k1"));
    for name in ["caraway-group", "caraway-term", "caraway-hops", "caraway-class", "caraway-config"]
    {
        assert_eq!(received.field(name), None, "{name} is not for targets");
    }
    let left: u128 = received.field("caraway-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= support::PATIENCE.as_millis() - 10, "{left} after two hops");
    assert!(coordinator.router.explain.find("r-1").is_some());
    let first = entry.post("/ordenes/a", "key-1", "x").await;
    let again = coordinator.post("/ordenes/a", "key-1", "x").await;
    assert_eq!((first.text(), again.text()), ("hello", "hello"));
    assert_eq!(target.count(), 2, "the order ran once");
}

/// Guards against a refused or unknown outcome of the coordinator that changes when it is relayed.
#[tokio::test]
async fn outcomes_of_the_coordinator_are_relayed() {
    let target = Target::start(|received, _| match received.head.contains("crash") {
        true => Action::Crash,
        false => Action::Write(refusal(received, 409, "not-owner")),
    })
    .await;
    let (_coordinator, entry) = pair(&target).await;
    let lost = entry.post("/lectura/crash", "key-1", "x").await;
    assert_eq!((lost.status, lost.outcome()), (502, ("unknown", "connection-lost")));
    let refused = entry.post("/lectura/k", "key-2", "x").await;
    assert_eq!((refused.status, refused.outcome()), (503, ("refused", "target-refused")));
}

/// Guards against errors while a group changes its coordinator. The former coordinator refuses the
/// request as misdirected, and the request follows the directory.
#[tokio::test]
async fn misdirected_request_follows_the_directory() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let (coordinator, mut entry) = pair(&target).await;
    let former = Entry::start("entry-3").await;
    former.replace([].into());
    entry.replace([remote(KEYED, former.peer, 2)].into());
    let change = async {
        sleep(Duration::from_millis(150)).await;
        entry.replace([remote(KEYED, coordinator.peer, 2)].into());
    };
    let (response, ()) = tokio::join!(entry.post("/lectura/k", "key-1", "x"), change);
    assert_eq!(response.text(), "done");
    assert_eq!(target.count(), 1);
    assert!(matches!(entry.reports.recv().await, Some(Event::Misdirected { .. })));
}

/// Guards against a coordinator that serves a group under an older term than the sender knows.
#[tokio::test]
async fn older_term_is_refused() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let (coordinator, entry) = pair(&target).await;
    entry.replace([remote(KEYED, coordinator.peer, 4)].into());
    let response = entry.get("/lectura/k", &[("caraway-patience-ms", "200")]).await;
    assert_eq!((response.status, response.outcome()), (421, ("refused", "misdirected")));
    assert_eq!(target.count(), 0);
}

/// Guards against errors during the short time in which no coordinator is known, and against a wait
/// beyond the patience of the caller.
#[tokio::test]
async fn request_waits_for_a_coordinator() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let (coordinator, entry) = pair(&target).await;
    entry.replace([].into());
    let start = std::time::Instant::now();
    let refused = entry.get("/lectura/k", &[("caraway-patience-ms", "200")]).await;
    assert_eq!((refused.status, refused.outcome()), (503, ("refused", "no-coordinator")));
    assert!(start.elapsed() < Duration::from_millis(400));
    let change = async {
        sleep(Duration::from_millis(200)).await;
        entry.replace([remote(KEYED, coordinator.peer, 2)].into());
    };
    let (response, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!(response.text(), "done");
}

/// Guards against losing queued requests when a group moves: they must follow the group.
#[tokio::test]
async fn queued_request_follows_the_group() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let (coordinator, entry) = pair(&target).await;
    let idle = Entry::start("entry-3").await;
    let (name, assigned) = idle.local(KEYED, &[&target]);
    let Coordinator::Local(local) = assigned.clone() else { panic!("the coordinator is local") };
    (0..16).for_each(|shard| local.admission.pause(caraway_core::shard::Shard(shard)));
    idle.replace([(name, assigned)].into());
    let change = async {
        sleep(Duration::from_millis(100)).await;
        local.admission.close(Reason::NoCoordinator);
        idle.replace([remote(KEYED, coordinator.peer, 2)].into());
    };
    let (response, ()) = tokio::join!(idle.post("/lectura/k", "key-1", "x"), change);
    assert_eq!(response.text(), "done");
    drop(entry);
}

/// Guards against a refused outcome for a request that a lost coordinator may have dispatched, and
/// against a second run of it.
#[tokio::test]
async fn lost_coordinator_leaves_the_outcome_unknown() {
    let peer = Target::start(|_, _| Action::Crash).await;
    let entry = Entry::start("entry-2").await;
    let unused_address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    entry.replace([remote(KEYED, peer.address, 2)].into());
    let order = entry.post("/lectura/k", "key-1", "x").await;
    assert_eq!((order.status, order.outcome()), (502, ("unknown", "connection-lost")));
    assert_eq!(peer.count(), 1);
    // A repeatable request is retried, and its outcome stays unknown if the retry does not run.
    let change = async {
        eventually("second request", || peer.count() >= 2).await;
        entry.replace([remote(KEYED, unused_address, 4)].into());
    };
    let (reading, ()) =
        tokio::join!(entry.get("/lectura/k", &[("caraway-patience-ms", "300")]), change);
    assert_eq!(reading.outcome().0, "unknown");
}

/// Guards against a refused outcome that applies to the second attempt only, when the first one may
/// have run.
#[tokio::test]
async fn refusal_after_a_lost_attempt_is_unknown() {
    let peer = Target::start(|received, number| match number {
        0 => Action::Crash,
        _ => {
            let id = received.id();
            let outcome = "caraway-outcome: refused\r\ncaraway-reason: no-target";
            let head = format!("HTTP/1.1 503 No\r\ncaraway-request-id: {id}\r\n{outcome}");
            Action::Write(format!("{head}\r\ncontent-length: 0\r\n\r\n").into())
        }
    })
    .await;
    let entry = Entry::start("entry-2").await;
    entry.replace([remote(KEYED, peer.address, 2)].into());
    let response = entry.get("/lectura/k", &[]).await;
    assert_eq!((response.status, response.outcome()), (502, ("unknown", "connection-lost")));
    assert_eq!(peer.count(), 2);
}

/// Guards against a repeatable request that waits for a frozen coordinator after another one has
/// taken over.
#[tokio::test]
async fn takeover_reroutes_requests_of_a_frozen_coordinator() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let frozen = Target::start(|_, _| Action::Hang).await;
    let (coordinator, entry) = pair(&target).await;
    let (group, assigned) = coordinator.local(KEYED, &[&target]);
    let Coordinator::Local(local) = assigned else { panic!("the coordinator is local") };
    coordinator.replace([(group, Coordinator::Local(Local { term: 4, ..local }))].into());
    entry.replace([remote(KEYED, frozen.address, 2)].into());
    let change = async {
        eventually("arrival", || frozen.count() == 1).await;
        entry.replace([remote(KEYED, frozen.address, 2)].into());
        sleep(Duration::from_millis(100)).await;
        entry.replace([remote(KEYED, coordinator.peer, 4)].into());
    };
    let start = std::time::Instant::now();
    let (response, ()) = tokio::join!(entry.get("/lectura/k", &[]), change);
    assert_eq!(response.text(), "done");
    assert!(start.elapsed() < Duration::from_millis(600), "{:?}", start.elapsed());
    assert_eq!(frozen.count(), 1, "an unchanged coordinator does not move the request");
}

/// Guards against a crashed coordinator that is detected only by missing heartbeats.
#[tokio::test]
async fn refused_connection_to_a_coordinator_is_reported() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let (coordinator, mut entry) = pair(&target).await;
    let unused_address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    entry.replace([remote(KEYED, unused_address, 2)].into());
    let change = async {
        let report = entry.reports.recv().await;
        assert!(matches!(report, Some(Event::PeerUnreachable { refused: true, .. })), "{report:?}");
        let assignments = [remote(KEYED, coordinator.peer, 2)].into();
        let snapshot = caraway_relay::directory::Snapshot::new(entry.plan.clone(), assignments);
        entry.router.directory.replace(snapshot.into());
    };
    let sent = fetch(entry.caller, request("POST", "/lectura/k", &[("idempotency-key", "k")], "x"));
    let (response, ()) = tokio::join!(sent, change);
    assert_eq!(response.unwrap().text(), "done");
}

/// Guards against a target that keeps working for a disconnected caller of another instance.
#[tokio::test]
async fn cancellation_passes_through_the_coordinator() {
    let target = Target::start(|_, _| Action::Hang).await;
    let (_coordinator, entry) = pair(&target).await;
    let (caller, fields) = (entry.caller, [("caraway-request-id", "r")]);
    let sent = tokio::spawn(fetch(caller, request("GET", "/lectura/k", &fields, "")));
    eventually("arrival", || target.count() == 1).await;
    sent.abort();
    let cancelled = || target.cancelled.load(std::sync::atomic::Ordering::SeqCst) == 1;
    eventually("cancellation", cancelled).await;
}

/// Guards against a caller that sets internal fields to reach a group or to forge a token.
#[tokio::test]
async fn internal_fields_of_callers_are_removed() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let (coordinator, entry) = pair(&target).await;
    let forged = [
        ("caraway-group", POOLED),
        ("caraway-term", "8"),
        ("caraway-class", "order"),
        ("caraway-hops", "2"),
        ("caraway-config", "9"),
        ("caraway-refused", "shed"),
        ("caraway-outcome", "answered"),
    ];
    let overwritten = [
        ("caraway-shard", "99"),
        ("caraway-token", "9.9"),
        ("caraway-deadline-ms", "99999"),
        ("caraway-key", "other"),
    ];
    let fields: Vec<_> = forged.iter().chain(&overwritten).copied().collect();
    for instance in [&coordinator, &entry] {
        assert_eq!(instance.get("/lectura/k", &fields).await.text(), "done");
        let received = target.received.lock().unwrap().pop().unwrap();
        for (name, _) in forged {
            assert_eq!(received.field(name), None, "{name}");
        }
        for (name, value) in overwritten {
            assert!(received.field(name).is_some_and(|field| field != value), "{name}");
        }
    }
}

/// Starts a coordinator that answers every request with its name.
async fn answering_coordinator(name: &'static str) -> Target {
    Target::start(move |received, _| {
        let text = String::from_utf8(ok(received, name)).unwrap();
        Action::Write(text.replacen("\r\n", "\r\ncaraway-outcome: answered\r\n", 1).into())
    })
    .await
}

/// Guards against repeatable requests that leave their failure domain without need, or that wait
/// for a full queue or a lost coordinator although another domain could serve them. Also guards
/// against non-repeatable requests that do not stay with their group.
#[yare::parameterized(
    own = { Some(90), Some(0), "med", "any" },
    full = { Some(100), Some(0), "bog", "any" },
    both_full = { Some(100), Some(100), "med", "any" },
    unknown = { None, Some(50), "bog", "any" },
    foreign_unknown = { Some(100), None, "med", "any" },
    lost = { Some(0), Some(0), "bog", "nobody" },
)]
#[test_macro(tokio::test)]
async fn repeatable_request_goes_to_the_best_group(
    own: Option<u32>,
    other: Option<u32>,
    best: &str,
    at: &str,
) {
    let (med, bog) = (answering_coordinator("med").await, answering_coordinator("bog").await);
    let unused_address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let mut entry = Entry::start("entry-2").await;
    let mut plan = caraway_document::plan::Plan::clone(&entry.plan);
    let mut group = caraway_document::plan::Group::clone(&plan.groups[1]);
    (group.name, group.domain, group.shards) = ("ordenes/bog/0".into(), "bog".into(), 8..16);
    let mut own_group = caraway_document::plan::Group::clone(&plan.groups[1]);
    own_group.shards = 0..8;
    plan.groups = vec![group.into(), own_group.into()];
    entry.plan = plan.into();
    let address = if at == "nobody" { unused_address } else { med.address };
    let assigned = |group, address, percent: Option<u32>| {
        let (name, assigned) = remote(group, address, 2);
        let Coordinator::Remote(found) = assigned else { panic!("the coordinator is remote") };
        let known = |queue_percent| Coordinator::Remote(Remote { queue_percent, ..found });
        (name, percent.map_or(Coordinator::Unknown, known))
    };
    let assignments =
        [assigned(POOLED, address, own), assigned("ordenes/bog/0", bog.address, other)];
    entry.replace(assignments.into());
    for number in 0..8 {
        let path = format!("/ordenes/{number}");
        assert_eq!(entry.get(&path, &[]).await.text(), best);
        let key = format!("key-{number}");
        let shard = caraway_core::shard::of_key(key.as_bytes(), 16).0;
        let holder = if shard < 8 { "med" } else { "bog" };
        if own.is_some() && other.is_some() && at == "any" {
            assert_eq!(entry.post(&path, &key, "x").await.text(), holder);
        }
    }
}
