//! Tests of targets and callers that fail.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_relay::report::Event;

use crate::support::Act;
use crate::support::Entry;
use crate::support::KEYED;
use crate::support::POOLED;
use crate::support::Target;
use crate::support::eventually;
use crate::support::fetch;
use crate::support::ok;
use crate::support::raw;
use crate::support::refusal;
use crate::support::request;
use crate::support::target_name;

/// Guards against a truncated answer that looks complete to the caller.
#[yare::parameterized(
    length = { "content-length: 10\r\n\r\nhello" },
    chunked = { "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n" },
    chunk = { "transfer-encoding: chunked\r\n\r\nff\r\nhello" },
)]
#[test_macro(tokio::test)]
async fn truncated_answer_stays_truncated(rest: &str) {
    let rest = rest.to_owned();
    let target = Target::start(move |seen, _| {
        let head = format!("HTTP/1.1 200 OK\r\ncaraway-request-id: {}\r\n{rest}", seen.id());
        Act::WriteClose(head.into())
    })
    .await;
    let entry = Entry::with(&[&target]).await;
    let answer = entry.get("/lectura/k", &[]).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, Err(5));
    let again = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!(again.body, Err(5));
    let resent = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!(resent.outcome(), ("unknown", "earlier-attempt-unknown"));
}

/// Guards against an answer that arrives after its request has timed out and is given to the next
/// caller.
#[tokio::test]
async fn late_answer_reaches_nobody() {
    let target = Target::start(|seen, number| match number {
        0 => Act::Late(Duration::from_millis(200), ok(seen, "late")),
        _ => Act::Write(ok(seen, "own")),
    })
    .await;
    let entry = Entry::with(&[&target]).await;
    let answer = entry.get("/lectura/k", &[("caraway-patience-ms", "100")]).await;
    assert_eq!(answer.outcome(), ("unknown", "deadline-after-dispatch"));
    assert_eq!(answer.status, 504);
    for _ in 0..30 {
        assert_eq!(entry.get("/lectura/k", &[]).await.text(), "own");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against an answer to another request, whatever the reason that it arrives on a connection.
#[tokio::test]
async fn answer_to_another_request_is_not_passed_on() {
    let target = Target::start(|seen, number| {
        let other = ok(seen, "other").as_slice().to_vec();
        let text = String::from_utf8(other).unwrap().replace(seen.id(), "somebody");
        if number == 0 { Act::Write(text.into()) } else { Act::Write(ok(seen, "own")) }
    })
    .await;
    let entry = Entry::with(&[&target]).await;
    let answer = entry.post("/lectura/k", "key-1", "x").await;
    assert_eq!(answer.outcome(), ("unknown", "bad-answer"));
    assert_eq!(entry.get("/lectura/k", &[]).await.text(), "own");
    let connections: Vec<_> = target.seen.lock().unwrap().iter().map(|s| s.connection).collect();
    assert_eq!(connections, [0, 1], "the connection is closed");
}

/// Guards against a non-repeatable request that is sent again because its pooled connection had been
/// closed by the target. The target closes each connection after an answer, at varying moments.
#[tokio::test]
async fn stale_connection_doubles_nothing() {
    let target = Target::start(|seen, _| Act::WriteClose(ok(seen, "done"))).await;
    let entry = Entry::with(&[&target]).await;
    let mut outcomes: HashMap<String, usize> = HashMap::new();
    for number in 0..200u64 {
        let key = format!("key-{number}");
        let answer = entry.post("/ordenes/a", &key, "x").await;
        let runs = target
            .seen
            .lock()
            .unwrap()
            .iter()
            .filter(|s| s.field("idempotency-key") == Some(&key))
            .count();
        let allowed = match answer.outcome().0 {
            "answered" => runs == 1,
            "refused" => runs == 0,
            _ => runs <= 1,
        };
        assert!(allowed, "{key}: {runs} runs, {:?}", answer.outcome());
        *outcomes.entry(answer.outcome().0.to_owned()).or_default() += 1;
        sleep(Duration::from_micros(number * 7 % 400)).await;
    }
    assert!(outcomes.get("answered").is_some_and(|count| *count > 100), "{outcomes:?}");
}

/// Guards against "did not run" about a request that a target may have run.
#[tokio::test]
async fn lost_connection_is_unknown_after_the_first_byte() {
    let target = Target::start(|_, _| Act::Crash).await;
    let mut entry = Entry::with(&[&target]).await;
    let answer = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!((answer.status, answer.outcome()), (502, ("unknown", "connection-lost")));
    assert!(matches!(entry.reports.recv().await, Some(Event::Lost { .. })));
    let resent = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!(resent.outcome(), ("unknown", "earlier-attempt-unknown"));
    assert_eq!(target.count(), 1);
}

/// Guards against "unknown" about a request of which no byte was written, and against a key that
/// stays blocked after it.
#[tokio::test]
async fn refused_connection_did_not_run() {
    let target = Target::start(|seen, _| Act::Write(ok(seen, "done"))).await;
    let mut entry = Entry::with(&[&target]).await;
    let lane = entry.lane(POOLED);
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    lane.set_target(&target_name(0), free, caraway_admission::controller::State::Live);
    let fields = [("idempotency-key", "key-1"), ("caraway-patience-ms", "200")];
    let refused = fetch(entry.caller, request("POST", "/ordenes/a", &fields, "x")).await.unwrap();
    assert_eq!((refused.status, refused.outcome()), (503, ("refused", "connect-failed")));
    let report = entry.reports.recv().await;
    assert!(matches!(report, Some(Event::ConnectFailed { refused: true, .. })), "{report:?}");
    lane.set_target(&target_name(0), target.address, caraway_admission::controller::State::Live);
    assert_eq!(entry.post("/ordenes/a", "key-1", "x").await.text(), "done");
}

/// Guards against a caller that sees refusals of a target while ownership moves.
#[yare::parameterized(
    stale = { 409, "stale-token" },
    not_owner = { 409, "not-owner" },
    expired = { 409, "grant-expired" },
    shed = { 503, "shed" },
    draining = { 503, "draining" },
)]
#[test_macro(tokio::test)]
async fn refusal_of_a_target_is_retried(status: u16, reason: &'static str) {
    let target = Target::start(move |seen, number| match number {
        0..3 => Act::Write(refusal(seen, status, reason)),
        _ => Act::Write(ok(seen, "done")),
    })
    .await;
    let entry = Entry::with(&[&target]).await;
    assert_eq!(entry.post("/lectura/k", "key-1", "x").await.text(), "done");
    assert_eq!(target.count(), 4);
    let connections = target.seen.lock().unwrap().iter().map(|s| s.connection).max();
    assert_eq!(connections, Some(0), "a refusal keeps the connection");
}

/// Guards against a refusal that is reported as an answer or as unknown when patience ends.
#[tokio::test]
async fn lasting_refusal_is_refused() {
    let target = Target::start(|seen, _| Act::Write(refusal(seen, 409, "not-owner"))).await;
    let entry = Entry::with(&[&target]).await;
    let fields = [("idempotency-key", "key-1"), ("caraway-patience-ms", "300")];
    let answer = fetch(entry.caller, request("POST", "/lectura/k", &fields, "x")).await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (503, ("refused", "target-refused")));
    assert!(target.count() < 20, "{} attempts within 300 ms", target.count());
}

/// Guards against a request that crashes all targets of a group, at first or when it is sent again.
#[tokio::test]
async fn poison_is_contained_after_two_targets() {
    let mut targets = Vec::new();
    for _ in 0..4 {
        let script = |seen: &crate::support::Seen, _| match seen.head.contains("poison") {
            true => Act::Crash,
            false => Act::Write(ok(seen, "fine")),
        };
        targets.push(Target::start(script).await);
    }
    let entry = Entry::with(&targets.iter().collect::<Vec<_>>()).await;
    let first = entry.get("/ordenes/poison", &[]).await;
    assert_eq!(first.outcome(), ("unknown", "connection-lost"));
    for _ in 0..5 {
        let (poison, fine) =
            tokio::join!(entry.get("/ordenes/poison", &[]), entry.get("/ordenes/other", &[]));
        assert_eq!((poison.status, poison.outcome()), (503, ("refused", "quarantined")));
        assert_eq!(fine.text(), "fine");
    }
    let crashed =
        targets.iter().filter(|t| t.seen.lock().unwrap().iter().any(|s| s.head.contains("poison")));
    assert_eq!(crashed.count(), 2);
}

/// Guards against copies of a request that crash more targets at the same time.
#[tokio::test]
async fn copies_of_a_suspect_run_one_at_a_time() {
    let wait = Duration::from_millis(100);
    let target = Target::start(move |seen, _| Act::Late(wait, ok(seen, "fine"))).await;
    let entry = Entry::with(&[&target, &target, &target]).await;
    let body = Some(&b""[..]);
    let fingerprint = caraway_call::quarantine::Fingerprint::new("GET", "/ordenes/s", body);
    let crash = caraway_call::quarantine::Crash { target: target_name(9), incarnation: 1 };
    let age = Duration::ZERO;
    entry.router.merge_crash(caraway_call::quarantine::Report { fingerprint, crash, age });
    let probes = async {
        sleep(Duration::from_millis(50)).await;
        target.count()
    };
    let get = || entry.get("/ordenes/s", &[]);
    let (a, b, c, running) = tokio::join!(get(), get(), get(), probes);
    assert_eq!(running, 1, "one copy runs before the first has ended");
    assert_eq!([a.text(), b.text(), c.text()], ["fine"; 3], "the suspect is cleared");
}

/// Guards against a second run of a non-repeatable request, and against a replay that differs.
#[tokio::test]
async fn resend_replays_the_answer() {
    let target = Target::start(|seen, _| Act::Write(ok(seen, "number 17"))).await;
    let mut entry = Entry::with(&[&target]).await;
    let first = entry.post("/ordenes/a", "key-1", "x").await;
    let again = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!((again.status, again.text()), (first.status, first.text()));
    assert_eq!(again.field("content-type"), "text/plain");
    assert_eq!(again.outcome(), ("answered", ""));
    let other = entry.post("/ordenes/b", "key-1", "x").await;
    assert_eq!((other.status, other.outcome()), (422, ("refused", "idempotency-key-reused")));
    assert_eq!(target.count(), 1);
    let (intent, outcome) = (entry.jobs.recv().await.unwrap(), entry.jobs.recv().await.unwrap());
    assert_eq!(intent.state, caraway_call::ledger::State::Open);
    assert!(matches!(outcome.state, caraway_call::ledger::State::Answered(_)));
}

/// Guards against a tenant that gets the recorded answer of another one.
#[tokio::test]
async fn keys_of_tenants_are_apart() {
    let target = Target::start(|seen, number| Act::Write(ok(seen, &number.to_string()))).await;
    let entry = Entry::with(&[&target]).await;
    for (tenant, expected) in [("acme", "0"), ("other", "1"), ("acme", "0")] {
        let fields = [("idempotency-key", "key-1"), ("caraway-tenant", tenant)];
        let answer =
            fetch(entry.caller, request("POST", "/ordenes/a", &fields, "x")).await.unwrap();
        assert_eq!(answer.text(), expected, "{tenant}");
    }
}

/// Guards against a resend that runs beside the first submission.
#[tokio::test]
async fn resend_during_the_run_gets_the_outcome() {
    let wait = Duration::from_millis(200);
    let target = Target::start(move |seen, _| Act::Late(wait, ok(seen, "done"))).await;
    let entry = Entry::with(&[&target]).await;
    let resend = async {
        eventually("arrival", || target.count() == 1).await;
        let fields = [("idempotency-key", "key-1"), ("caraway-patience-ms", "50")];
        let brief = fetch(entry.caller, request("POST", "/ordenes/a", &fields, "x")).await.unwrap();
        (brief, entry.post("/ordenes/a", "key-1", "x").await)
    };
    let (first, (brief, second)) = tokio::join!(entry.post("/ordenes/a", "key-1", "x"), resend);
    assert_eq!((first.text(), second.text()), ("done", "done"));
    assert_eq!((brief.status, brief.outcome()), (409, ("refused", "in-progress")));
    assert_eq!(target.count(), 1);
}

/// Guards against a target that works for a caller that has gone, and against a slot that leaks.
#[tokio::test]
async fn caller_that_goes_away_cancels() {
    let target = Target::start(|_, _| Act::Hang).await;
    let entry = Entry::with(&[&target]).await;
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    stream.write_all(b"GET /lectura/k HTTP/1.1\r\nhost: e\r\n\r\n").await.unwrap();
    eventually("arrival", || target.count() == 1).await;
    let lane = entry.lane(KEYED);
    assert_eq!(lane.target_in_flight(&target_name(0)), 1);
    drop(stream);
    let cancelled = || target.cancelled.load(std::sync::atomic::Ordering::SeqCst) == 1;
    eventually("cancellation", cancelled).await;
    eventually("release", || lane.target_in_flight(&target_name(0)) == 0).await;
}

/// Guards against a slot and memory that are held by a caller that does not read its answer.
#[tokio::test]
async fn caller_that_does_not_read_is_closed() {
    let target = Target::start(|seen, _| Act::Write(ok(seen, &"x".repeat(30_000_000)))).await;
    let entry = Entry::with(&[&target]).await;
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    stream.write_all(b"GET /lectura/k HTTP/1.1\r\nhost: e\r\n\r\n").await.unwrap();
    let lane = entry.lane(KEYED);
    eventually("arrival", || target.count() == 1).await;
    // The listener gives up after 500 ms, well before the patience of the class ends.
    sleep(Duration::from_millis(300)).await;
    assert_eq!(lane.target_in_flight(&target_name(0)), 1);
    let start = std::time::Instant::now();
    eventually("release", || lane.target_in_flight(&target_name(0)) == 0).await;
    assert!(start.elapsed() < Duration::from_millis(900), "{:?}", start.elapsed());
}

/// Guards against a slot that is held for as long as a caller likes to read.
#[tokio::test]
async fn caller_that_reads_slowly_is_cut_off() {
    let target = Target::start(|seen, _| Act::Write(ok(seen, &"x".repeat(30_000_000)))).await;
    let entry = Entry::with(&[&target]).await;
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    let head = "GET /lectura/k HTTP/1.1\r\nhost: e\r\ncaraway-patience-ms: 600\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let read = async {
        let mut piece = vec![0; 65536];
        while stream.read(&mut piece).await.is_ok_and(|read| read > 0) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let lane = entry.lane(KEYED);
    let release = async {
        eventually("arrival", || target.count() == 1).await;
        sleep(Duration::from_millis(300)).await;
        assert_eq!(lane.target_in_flight(&target_name(0)), 1);
        let released = || lane.target_in_flight(&target_name(0)) == 0;
        timeout(Duration::from_millis(900), eventually("release", released)).await.unwrap();
    };
    tokio::select! {
        () = release => {}
        () = read => panic!("the whole body was read"),
    }
}

/// Guards against a caller that holds a connection or memory by sending nothing or very slowly.
#[tokio::test]
async fn silent_body_ends_with_patience() {
    let target = Target::start(|seen, _| Act::Write(ok(seen, ""))).await;
    let entry = Entry::with(&[&target]).await;
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    let head = "PUT /lectura/k HTTP/1.1\r\nhost: e\r\ncaraway-patience-ms: 200\r\ncontent-length: 9\r\n\r\nabc";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    timeout(Duration::from_secs(2), stream.read_to_end(&mut answer)).await.unwrap().unwrap();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(answer.contains("caraway-reason: body-incomplete"), "{answer}");
    assert_eq!(target.count(), 0);
    let all = entry.router.options.max_buffered_bytes;
    assert_eq!(entry.router.memory.available_permits(), all, "the memory is free again");
}

/// Guards against a connection that is used again although its request body was not sent completely:
/// the rest of the body would be read as the next request.
#[tokio::test]
async fn early_answer_ends_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = Target { address, seen: Default::default(), cancelled: Default::default() };
    let entry = Entry::with(&[&target]).await;
    let serve = async {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = Vec::new();
            while !bytes.ends_with(b"\r\n\r\n") {
                bytes.push(stream.read_u8().await.unwrap());
            }
            let head = String::from_utf8(bytes).unwrap();
            let seen = crate::support::Seen { connection: 0, head, body: 0 };
            stream.write_all(&ok(&seen, "early")).await.unwrap();
            tokio::spawn(async move { stream.read_to_end(&mut Vec::new()).await });
        }
    };
    let requests = async {
        let mut stream = TcpStream::connect(entry.caller).await.unwrap();
        let head = "PUT /lectura/k HTTP/1.1\r\nhost: e\r\ncontent-length: 100000\r\n\r\nabc";
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut bytes = [0; 15];
        stream.read_exact(&mut bytes).await.unwrap();
        assert_eq!(&bytes, b"HTTP/1.1 200 OK");
        eventually("close", || entry.router.pool.open_connections(address) == 0).await;
        entry.get("/lectura/k", &[]).await
    };
    let (answer, ()) = tokio::join!(requests, serve);
    assert_eq!(answer.text(), "early");
}

/// Guards against a body that is longer than the document allows and is told only by streaming it.
#[tokio::test]
async fn lying_chunked_body_is_cut_off() {
    let target = Target::start(|seen, _| Act::Write(ok(seen, ""))).await;
    let mut entry = Entry::with(&[&target]).await;
    let mut plan = caraway_document::plan::Plan::clone(&entry.plan);
    plan.limits.max_body_bytes = 1000;
    entry.plan = plan.into();
    let row = entry.local(KEYED, &[&target]);
    entry.replace([row].into());
    let head = "PUT /lectura/k HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = format!("400\r\n{}\r\n0\r\n\r\n", "x".repeat(1024));
    let answer = raw(entry.caller, &format!("{head}{chunks}")).await;
    // The head of the request may or may not have been written before the body failed.
    let refused = answer.contains("caraway-reason: body-too-large");
    assert!(refused || answer.contains("caraway-outcome: unknown"), "{answer}");

    assert_eq!(target.count(), 0, "the target never gets a complete request");
}
