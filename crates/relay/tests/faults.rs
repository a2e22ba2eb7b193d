//! Tests of failing targets and callers.

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
use crate::support::send_raw;
use crate::support::target_name;

/// Guards against a truncated response that appears complete to the caller.
#[yare::parameterized(
    length = { "content-length: 10\r\n\r\nhello" },
    chunked = { "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n" },
    chunk = { "transfer-encoding: chunked\r\n\r\nff\r\nhello" },
)]
#[test_macro(tokio::test)]
async fn truncated_response_stays_truncated(rest: &str) {
    let rest = rest.to_owned();
    let target = Target::start(move |received, _| {
        let head = format!("HTTP/1.1 200 OK\r\ncaraway-request-id: {}\r\n{rest}", received.id());
        Action::WriteClose(head.into())
    })
    .await;
    let entry = Entry::with_targets(&[&target]).await;
    let response = entry.get("/lectura/k", &[]).await;
    assert_eq!(response.status, 200);
    assert_eq!(response.body, Err(5));
    let again = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!(again.body, Err(5));
    let resubmitted = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!(resubmitted.outcome(), ("unknown", "earlier-attempt-unknown"));
}

/// Guards against a response that arrives after its request timed out and is delivered to the next
/// caller.
#[tokio::test]
async fn late_response_is_discarded() {
    let target = Target::start(|received, number| match number {
        0 => Action::Late(Duration::from_millis(200), ok(received, "late")),
        _ => Action::Write(ok(received, "own")),
    })
    .await;
    let entry = Entry::with_targets(&[&target]).await;
    let response = entry.get("/lectura/k", &[("caraway-patience-ms", "100")]).await;
    assert_eq!(response.outcome(), ("unknown", "deadline-after-dispatch"));
    assert_eq!(response.status, 504);
    for _ in 0..30 {
        assert_eq!(entry.get("/lectura/k", &[]).await.text(), "own");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against relaying a response to another request, whatever caused it to arrive on the
/// connection.
#[tokio::test]
async fn response_to_another_request_is_not_relayed() {
    let target = Target::start(|received, number| {
        let other = ok(received, "other").as_slice().to_vec();
        let text = String::from_utf8(other).unwrap().replace(received.id(), "somebody");
        if number == 0 { Action::Write(text.into()) } else { Action::Write(ok(received, "own")) }
    })
    .await;
    let entry = Entry::with_targets(&[&target]).await;
    let response = entry.post("/lectura/k", "key-1", "x").await;
    assert_eq!(response.outcome(), ("unknown", "bad-answer"));
    assert_eq!(entry.get("/lectura/k", &[]).await.text(), "own");
    let connections: Vec<_> =
        target.received.lock().unwrap().iter().map(|received| received.connection).collect();
    assert_eq!(connections, [0, 1], "the connection is closed");
}

/// Guards against a non-repeatable request that is sent twice because the target had closed its
/// pooled connection. The target closes each connection after a response, at varying times.
#[tokio::test]
async fn stale_connection_does_not_duplicate_requests() {
    let target = Target::start(|received, _| Action::WriteClose(ok(received, "done"))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let mut outcomes: HashMap<String, usize> = HashMap::new();
    for number in 0..200u64 {
        let key = format!("key-{number}");
        let response = entry.post("/ordenes/a", &key, "x").await;
        let runs = target
            .received
            .lock()
            .unwrap()
            .iter()
            .filter(|received| received.field("idempotency-key") == Some(&key))
            .count();
        let allowed = match response.outcome().0 {
            "answered" => runs == 1,
            "refused" => runs == 0,
            _ => runs <= 1,
        };
        assert!(allowed, "{key}: {runs} runs, {:?}", response.outcome());
        *outcomes.entry(response.outcome().0.to_owned()).or_default() += 1;
        sleep(Duration::from_micros(number * 7 % 400)).await;
    }
    assert!(outcomes.get("answered").is_some_and(|count| *count > 100), "{outcomes:?}");
}

/// Guards against a refused outcome for a request that a target may have run.
#[tokio::test]
async fn lost_connection_is_unknown_after_the_first_byte() {
    let target = Target::start(|_, _| Action::Crash).await;
    let mut entry = Entry::with_targets(&[&target]).await;
    let response = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!((response.status, response.outcome()), (502, ("unknown", "connection-lost")));
    assert!(matches!(entry.reports.recv().await, Some(Event::Lost { .. })));
    let resubmitted = entry.post("/ordenes/a", "key-1", "x").await;
    assert_eq!(resubmitted.outcome(), ("unknown", "earlier-attempt-unknown"));
    assert_eq!(target.count(), 1);
}

/// Guards against an unknown outcome for a request of which no byte was written, and against an
/// idempotency key that stays blocked afterwards.
#[tokio::test]
async fn refused_connection_did_not_run() {
    let target = Target::start(|received, _| Action::Write(ok(received, "done"))).await;
    let mut entry = Entry::with_targets(&[&target]).await;
    let admission = entry.admission(POOLED);
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    admission.set_target(&target_name(0), free, caraway_admission::controller::State::Live);
    let fields = [("idempotency-key", "key-1"), ("caraway-patience-ms", "200")];
    let refused = fetch(entry.caller, request("POST", "/ordenes/a", &fields, "x")).await.unwrap();
    assert_eq!((refused.status, refused.outcome()), (503, ("refused", "connect-failed")));
    let report = entry.reports.recv().await;
    assert!(matches!(report, Some(Event::ConnectFailed { refused: true, .. })), "{report:?}");
    admission.set_target(
        &target_name(0),
        target.address,
        caraway_admission::controller::State::Live,
    );
    assert_eq!(entry.post("/ordenes/a", "key-1", "x").await.text(), "done");
}

/// Guards against target refusals that become visible to callers while ownership moves.
#[yare::parameterized(
    stale = { 409, "stale-token" },
    not_owner = { 409, "not-owner" },
    expired = { 409, "grant-expired" },
    shed = { 503, "shed" },
    draining = { 503, "draining" },
)]
#[test_macro(tokio::test)]
async fn refusal_of_a_target_is_retried(status: u16, reason: &'static str) {
    let target = Target::start(move |received, number| match number {
        0..3 => Action::Write(refusal(received, status, reason)),
        _ => Action::Write(ok(received, "done")),
    })
    .await;
    let entry = Entry::with_targets(&[&target]).await;
    assert_eq!(entry.post("/lectura/k", "key-1", "x").await.text(), "done");
    assert_eq!(target.count(), 4);
    let connections =
        target.received.lock().unwrap().iter().map(|received| received.connection).max();
    assert_eq!(connections, Some(0), "a refusal keeps the connection");
}

/// Guards against a refusal that is reported as answered or unknown when the deadline passes.
#[tokio::test]
async fn persistent_refusal_is_refused() {
    let target =
        Target::start(|received, _| Action::Write(refusal(received, 409, "not-owner"))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let fields = [("idempotency-key", "key-1"), ("caraway-patience-ms", "300")];
    let response = fetch(entry.caller, request("POST", "/lectura/k", &fields, "x")).await.unwrap();
    assert_eq!((response.status, response.outcome()), (503, ("refused", "target-refused")));
    assert!(target.count() < 20, "{} attempts within 300 ms", target.count());
}

/// Guards against a request that crashes all targets of a group, by retries or by resubmissions.
#[tokio::test]
async fn crashing_request_is_quarantined_after_two_targets() {
    let mut targets = Vec::new();
    for _ in 0..4 {
        let script = |received: &crate::support::Received, _| match received.head.contains("poison")
        {
            true => Action::Crash,
            false => Action::Write(ok(received, "fine")),
        };
        targets.push(Target::start(script).await);
    }
    let entry = Entry::with_targets(&targets.iter().collect::<Vec<_>>()).await;
    let first = entry.get("/ordenes/poison", &[]).await;
    assert_eq!(first.outcome(), ("unknown", "connection-lost"));
    for _ in 0..5 {
        let (poison, fine) =
            tokio::join!(entry.get("/ordenes/poison", &[]), entry.get("/ordenes/other", &[]));
        assert_eq!((poison.status, poison.outcome()), (503, ("refused", "quarantined")));
        assert_eq!(fine.text(), "fine");
    }
    let crashed = targets.iter().filter(|target| {
        target.received.lock().unwrap().iter().any(|received| received.head.contains("poison"))
    });
    assert_eq!(crashed.count(), 2);
}

/// Guards against concurrent copies of a request that crash further targets.
#[tokio::test]
async fn copies_of_a_suspect_run_one_at_a_time() {
    let wait = Duration::from_millis(100);
    let target = Target::start(move |received, _| Action::Late(wait, ok(received, "fine"))).await;
    let entry = Entry::with_targets(&[&target, &target, &target]).await;
    let body = Some(&b""[..]);
    let request = caraway_call::quarantine::Fingerprint::new("GET", "/ordenes/s", body).into();
    let crash = caraway_call::quarantine::Crash { target: target_name(9), incarnation: 1 };
    let age = Duration::ZERO;
    entry.router.merge_crash(caraway_call::quarantine::Report { request, crash, age });
    let probes = async {
        sleep(Duration::from_millis(50)).await;
        target.count()
    };
    let get = || entry.get("/ordenes/s", &[]);
    let (a, b, c, running) = tokio::join!(get(), get(), get(), probes);
    assert_eq!(running, 1, "one copy runs before the first has ended");
    assert_eq!([a.text(), b.text(), c.text()], ["fine"; 3], "the suspect is cleared");
}

/// Guards against a second run of a non-repeatable request, and against a replayed response that
/// differs from the first.
#[tokio::test]
async fn resubmission_replays_the_response() {
    let target = Target::start(|received, _| Action::Write(ok(received, "number 17"))).await;
    let mut entry = Entry::with_targets(&[&target]).await;
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

/// Guards against a tenant that gets the recorded response of another tenant.
#[tokio::test]
async fn idempotency_keys_are_scoped_to_tenants() {
    let target =
        Target::start(|received, number| Action::Write(ok(received, &number.to_string()))).await;
    let entry = Entry::with_targets(&[&target]).await;
    for (tenant, expected) in [("acme", "0"), ("other", "1"), ("acme", "0")] {
        let fields = [("idempotency-key", "key-1"), ("caraway-tenant", tenant)];
        let response =
            fetch(entry.caller, request("POST", "/ordenes/a", &fields, "x")).await.unwrap();
        assert_eq!(response.text(), expected, "{tenant}");
    }
}

/// Guards against a resubmission that runs concurrently with the first submission.
#[tokio::test]
async fn concurrent_resubmission_gets_the_outcome() {
    let wait = Duration::from_millis(200);
    let target = Target::start(move |received, _| Action::Late(wait, ok(received, "done"))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let resubmission = async {
        eventually("arrival", || target.count() == 1).await;
        let fields = [("idempotency-key", "key-1"), ("caraway-patience-ms", "50")];
        let brief = fetch(entry.caller, request("POST", "/ordenes/a", &fields, "x")).await.unwrap();
        (brief, entry.post("/ordenes/a", "key-1", "x").await)
    };
    let (first, (brief, second)) =
        tokio::join!(entry.post("/ordenes/a", "key-1", "x"), resubmission);
    assert_eq!((first.text(), second.text()), ("done", "done"));
    assert_eq!((brief.status, brief.outcome()), (409, ("refused", "in-progress")));
    assert_eq!(target.count(), 1);
}

/// Guards against a target that keeps working for a disconnected caller, and against a leaked slot.
#[tokio::test]
async fn disconnected_caller_cancels_the_request() {
    let target = Target::start(|_, _| Action::Hang).await;
    let entry = Entry::with_targets(&[&target]).await;
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    stream.write_all(b"GET /lectura/k HTTP/1.1\r\nhost: e\r\n\r\n").await.unwrap();
    eventually("arrival", || target.count() == 1).await;
    let admission = entry.admission(KEYED);
    assert_eq!(admission.target_in_flight(&target_name(0)), 1);
    drop(stream);
    let cancelled = || target.cancelled.load(std::sync::atomic::Ordering::SeqCst) == 1;
    eventually("cancellation", cancelled).await;
    eventually("release", || admission.target_in_flight(&target_name(0)) == 0).await;
}

/// Guards against a slot and buffer memory that are held by a caller that does not read its
/// response.
#[tokio::test]
async fn caller_that_does_not_read_is_closed() {
    let target =
        Target::start(|received, _| Action::Write(ok(received, &"x".repeat(30_000_000)))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    stream.write_all(b"GET /lectura/k HTTP/1.1\r\nhost: e\r\n\r\n").await.unwrap();
    let admission = entry.admission(KEYED);
    eventually("arrival", || target.count() == 1).await;
    // The stall timeout of the listener is 500 ms, well below the patience of the class.
    sleep(Duration::from_millis(300)).await;
    assert_eq!(admission.target_in_flight(&target_name(0)), 1);
    let start = std::time::Instant::now();
    eventually("release", || admission.target_in_flight(&target_name(0)) == 0).await;
    assert!(start.elapsed() < Duration::from_millis(900), "{:?}", start.elapsed());
}

/// Guards against a caller that holds a slot for an unlimited time by reading slowly.
#[tokio::test]
async fn caller_that_reads_slowly_is_cut_off() {
    let target =
        Target::start(|received, _| Action::Write(ok(received, &"x".repeat(30_000_000)))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    let head = "GET /lectura/k HTTP/1.1\r\nhost: e\r\ncaraway-patience-ms: 600\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let read = async {
        let mut piece = vec![0; 65536];
        while stream.read(&mut piece).await.is_ok_and(|read| read > 0) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let admission = entry.admission(KEYED);
    let release = async {
        eventually("arrival", || target.count() == 1).await;
        sleep(Duration::from_millis(300)).await;
        assert_eq!(admission.target_in_flight(&target_name(0)), 1);
        let released = || admission.target_in_flight(&target_name(0)) == 0;
        timeout(Duration::from_millis(900), eventually("release", released)).await.unwrap();
    };
    tokio::select! {
        () = release => {}
        () = read => panic!("the whole body was read"),
    }
}

/// Guards against a caller that holds a connection or buffer memory by sending nothing or very
/// slowly.
#[tokio::test]
async fn stalled_request_body_is_bounded_by_patience() {
    let target = Target::start(|received, _| Action::Write(ok(received, ""))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    let head = "PUT /lectura/k HTTP/1.1\r\nhost: e\r\ncaraway-patience-ms: 200\r\ncontent-length: 9\r\n\r\nabc";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    timeout(Duration::from_secs(2), stream.read_to_end(&mut response)).await.unwrap().unwrap();
    let response = String::from_utf8(response).unwrap();
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    assert!(response.contains("caraway-reason: body-incomplete"), "{response}");
    assert_eq!(target.count(), 0);
    let all = entry.router.options.max_buffered_bytes;
    assert_eq!(
        entry.router.buffer_permits.available_permits(),
        all,
        "the buffer memory is released"
    );
}

/// Guards against reuse of a connection whose request body was not sent completely: the rest of the
/// body would be read as the next request.
#[tokio::test]
async fn early_response_closes_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = Target { address, received: Default::default(), cancelled: Default::default() };
    let entry = Entry::with_targets(&[&target]).await;
    let serve = async {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = Vec::new();
            while !bytes.ends_with(b"\r\n\r\n") {
                bytes.push(stream.read_u8().await.unwrap());
            }
            let head = String::from_utf8(bytes).unwrap();
            let received = crate::support::Received { connection: 0, head, body: 0 };
            stream.write_all(&ok(&received, "early")).await.unwrap();
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
    let (response, ()) = tokio::join!(requests, serve);
    assert_eq!(response.text(), "early");
}

/// Guards against a chunked body that exceeds the limit of the document, which is detected only
/// while it is streamed.
#[tokio::test]
async fn oversized_chunked_body_is_cut_off() {
    let target = Target::start(|received, _| Action::Write(ok(received, ""))).await;
    let mut entry = Entry::with_targets(&[&target]).await;
    let mut plan = caraway_document::plan::Plan::clone(&entry.plan);
    plan.limits.max_body_bytes = 1000;
    entry.plan = plan.into();
    let assigned = entry.local(KEYED, &[&target]);
    entry.replace([assigned].into());
    let head = "PUT /lectura/k HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = format!("400\r\n{}\r\n0\r\n\r\n", "x".repeat(1024));
    let response = send_raw(entry.caller, &format!("{head}{chunks}")).await;
    // The request head may or may not have been written before the body failed.
    let refused = response.contains("caraway-reason: body-too-large");
    assert!(refused || response.contains("caraway-outcome: unknown"), "{response}");

    assert_eq!(target.count(), 0, "the target never receives a complete request");
}
