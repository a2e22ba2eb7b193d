//! Tests of the data path.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use caraway_core::time::Clock;
use caraway_relay::gate;
use caraway_relay::pool::Failure;
use caraway_relay::pool::Pool;
use caraway_relay::server::Options;
use caraway_relay::server::serve;

use crate::support::Action;
use crate::support::Entry;
use crate::support::Target;
use crate::support::eventually;
use crate::support::fetch;
use crate::support::ok;
use crate::support::request;
use crate::support::send_raw;

/// Guards against a request that reaches its owner without the fields that the target checks.
#[tokio::test]
async fn request_reaches_the_owner_with_its_fields() {
    let target = Target::start(|received, _| Action::Write(ok(received, "hello"))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let fields = [("caraway-request-id", "r-1"), ("caraway-token", "99.99"), ("te", "trailers")];
    let response = entry.get("/lectura/k1?x=1", &fields).await;
    assert_eq!((response.status, response.text()), (200, "hello"));
    assert_eq!(response.outcome(), ("answered", ""));
    assert_eq!(response.field("caraway-request-id"), "r-1");
    let received = target.received.lock().unwrap()[0].clone();
    assert!(received.head.starts_with("GET /lectura/k1?x=1 HTTP/1.1\r\n"), "{}", received.head);
    assert_eq!(received.field("caraway-token"), Some("2.1"));
    assert_eq!(received.field("caraway-key"), Some("k1"));
    assert_eq!(received.field("te"), None);
    let left: u128 = received.field("caraway-deadline-ms").unwrap().parse().unwrap();
    assert!(left < support::PATIENCE.as_millis() && left > 1000, "{left}");
}

#[yare::parameterized(
    no_route = { "GET", "/nothing/k", &[], 404, "no-route" },
    no_key = { "GET", "/lectura/", &[], 404, "no-route" },
    key_required = { "POST", "/ordenes/a", &[], 400, "idempotency-key-required" },
    upgrade = { "GET", "/lectura/k", &[("connection", "upgrade"), ("upgrade", "h2c")], 400, "bad-request" },
    bad_patience = { "GET", "/lectura/k", &[("caraway-patience-ms", "soon")], 400, "bad-request" },
    bad_id = { "GET", "/lectura/k", &[("caraway-request-id", "a b")], 400, "bad-request" },
    two_keys = { "POST", "/ordenes/a", &[("idempotency-key", "1"), ("idempotency-key", "2")], 400, "bad-request" },
    too_long = { "PUT", "/lectura/k", &[("content-length", "134217729")], 413, "body-too-large" },
)]
#[test_macro(tokio::test)]
async fn bad_request_is_refused(
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    status: u16,
    reason: &str,
) {
    let target = Target::start(|received, _| Action::Write(ok(received, ""))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let response = fetch(entry.caller, request(method, path, fields, "")).await.unwrap();
    assert_eq!((response.status, response.outcome()), (status, ("refused", reason)));
    assert_eq!(target.count(), 0);
}

/// Guards against request smuggling. The HTTP library treats a chunked body with a content-length
/// as chunked, drops the length and closes the connection after the request (RFC 9112, section
/// 6.3).
#[yare::parameterized(
    length_first = { "content-length: 3\r\ntransfer-encoding: chunked", 1 },
    chunked_first = { "transfer-encoding: chunked\r\ncontent-length: 3", 1 },
    two_lengths = { "content-length: 3\r\ncontent-length: 4", 0 },
    not_chunked = { "transfer-encoding: gzip", 0 },
)]
#[test_macro(tokio::test)]
async fn contradictory_framing_does_not_smuggle_requests(framing: &str, requests: usize) {
    let target = Target::start(|received, _| Action::Write(ok(received, ""))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let smuggled = "GET /lectura/k2 HTTP/1.1\r\nhost: e\r\n\r\n";
    let text =
        format!("PUT /lectura/k HTTP/1.1\r\nhost: e\r\n{framing}\r\n\r\n0\r\n\r\n{smuggled}");
    let response = send_raw(entry.caller, &text).await;
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    assert_eq!(target.count(), requests, "{response}");
    let received = target.received.lock().unwrap().first().cloned();
    assert!(received.is_none_or(|received| received.field("content-length").is_none()));
}

/// Guards against a response without a body for which the caller or the relay waits.
#[yare::parameterized(
    head = { "HEAD", "200 OK\r\ncontent-length: 5" },
    no_content = { "GET", "204 No Content" },
    not_modified = { "GET", "304 Not Modified\r\ncontent-length: 5" },
)]
#[test_macro(tokio::test)]
async fn responses_without_body(method: &str, head: &str) {
    let head = head.to_owned();
    let status: u16 = head[..3].parse().unwrap();
    let target = Target::start(move |received, _| {
        let id = received.id();
        Action::Write(format!("HTTP/1.1 {head}\r\ncaraway-request-id: {id}\r\n\r\n").into())
    })
    .await;
    let entry = Entry::with_targets(&[&target]).await;
    for _ in 0..2 {
        let response = fetch(entry.caller, request(method, "/lectura/k", &[], "")).await.unwrap();
        assert_eq!((response.status, response.text()), (status, ""));
        assert_eq!(response.outcome(), ("answered", ""));
    }
    let connections: Vec<_> =
        target.received.lock().unwrap().iter().map(|received| received.connection).collect();
    assert_eq!(connections, [0, 0], "the connection is reused");
}

/// Guards against a caller that waits indefinitely for 100 Continue.
#[tokio::test]
async fn expect_continue_is_answered() {
    let target = Target::start(|received, _| Action::Write(ok(received, "stored"))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let mut stream = TcpStream::connect(entry.caller).await.unwrap();
    let head =
        "PUT /lectura/k HTTP/1.1\r\nhost: e\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = [0; 25];
    timeout(Duration::from_secs(1), stream.read_exact(&mut bytes)).await.unwrap().unwrap();
    assert_eq!(&bytes, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").await.unwrap();
    let mut response = [0; 15];
    timeout(Duration::from_secs(1), stream.read_exact(&mut response)).await.unwrap().unwrap();
    assert_eq!(&response, b"HTTP/1.1 200 OK");
    let received = target.received.lock().unwrap()[0].clone();
    assert_eq!((received.body, received.field("expect")), (3, None));
}

/// Guards against requests without a trace and against lost trace steps.
#[tokio::test]
async fn request_can_be_explained() {
    let target = Target::start(|received, _| Action::Write(ok(received, ""))).await;
    let entry = Entry::with_targets(&[&target]).await;
    entry.get("/lectura/k", &[("caraway-request-id", "r-9")]).await;
    let steps = entry.router.explain.find("r-9").unwrap().steps();
    let text: Vec<_> = steps.iter().map(|step| &*step.text).collect();
    assert_eq!(text[0], "arrived: GET /lectura/k");
    assert_eq!(text[1], "sent to target-0 with token 2.1");
    assert!(steps.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

/// Guards against a planned stop that interrupts a request in flight.
#[tokio::test]
async fn stop_finishes_requests_in_flight() {
    let wait = Duration::from_millis(300);
    let target = Target::start(move |received, _| Action::Late(wait, ok(received, "whole"))).await;
    let mut entry = Entry::with_targets(&[&target]).await;
    let stop = async {
        eventually("arrival", || target.count() == 1).await;
        entry.stop.send(true).unwrap();
    };
    let (response, ()) = tokio::join!(entry.get("/lectura/k", &[]), stop);
    assert_eq!(response.text(), "whole");
    for server in entry.servers.split_off(1) {
        timeout(Duration::from_secs(2), server).await.expect("the listeners end").unwrap();
    }
    assert!(TcpStream::connect(entry.caller).await.is_err());
}

/// Guards against exceeding the connection limit of a service's target.
#[tokio::test]
async fn connections_to_a_target_are_limited() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let clock = Clock;
    let pool = Pool::new(Default::default(), clock);
    let checkout =
        |limit| pool.checkout(address, limit, clock.now() + Duration::from_millis(50), false);
    let first = checkout(2).await.unwrap();
    let second = checkout(2).await.unwrap();
    assert_eq!(checkout(2).await.unwrap_err(), Failure::Full);
    assert_eq!(pool.open_connections(address), 2);
    drop(first);
    drop(checkout(2).await.unwrap());
    pool.release(second);
    assert!(checkout(1).await.unwrap().used);
    assert_eq!(pool.open_connections(address), 0);
}

/// Guards against a byte that is written after the time limit, and against a gate that reports
/// "nothing written" after a write.
#[tokio::test]
async fn gate_blocks_writes_at_the_socket() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (mut peer, _) = listener.accept().await.unwrap();
    let mut stream = gate::Stream::new(stream);
    let gate = stream.gate();
    assert!(stream.write_all(b"x").await.is_err(), "the gate of a new connection is closed");
    gate.open(Clock.now());
    assert!(stream.write_all(b"x").await.is_err(), "the time has passed");
    assert!(!gate.close());
    gate.open(Clock.now() + Duration::from_millis(500));
    assert!(!gate.close());
    assert!(stream.write_all(b"x").await.is_err(), "closed before the first byte");
    gate.open(Clock.now() + Duration::from_millis(100));
    stream.write_all(b"a").await.unwrap();
    tokio::time::sleep(Duration::from_millis(150)).await;
    stream.write_all(b"b").await.unwrap();
    assert!(gate.close());
    drop(stream);
    let mut read = Vec::new();
    peer.read_to_end(&mut read).await.unwrap();
    assert_eq!(read, b"ab");
}

/// Starts another listener for callers.
async fn listen(entry: &Entry, options: Options) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, entry.router.clone(), options, entry.stop.subscribe()));
    address
}

/// Guards against callers that occupy connections by sending nothing or slow headers, or by
/// exceeding the connection limit.
#[tokio::test]
async fn idle_and_slow_callers_are_closed() {
    let target = Target::start(|received, _| Action::Write(ok(received, ""))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let idle_timeout = Duration::from_millis(200);
    let address =
        listen(&entry, Options { idle_timeout, max_connections: 2, ..Options::default() }).await;
    let mut silent = TcpStream::connect(address).await.unwrap();
    let mut slow = TcpStream::connect(address).await.unwrap();
    let mut third = TcpStream::connect(address).await.unwrap();
    slow.write_all(b"GET /lectura/k HTTP/1.1\r\nhost: ").await.unwrap();
    third.write_all(b"GET /lectura/k HTTP/1.1\r\nhost: e\r\n\r\n").await.unwrap();
    let mut byte = [0; 1];
    let early = timeout(Duration::from_millis(100), third.read(&mut byte)).await;
    assert!(early.is_err(), "the third connection waits for a free connection");
    let mut rest = Vec::new();
    let limit = Duration::from_secs(2);
    timeout(limit, silent.read_to_end(&mut rest)).await.unwrap().unwrap();
    timeout(limit, slow.read_to_end(&mut rest)).await.unwrap().unwrap();
    timeout(limit, third.read_to_end(&mut rest)).await.unwrap().unwrap();
    assert!(String::from_utf8(rest).unwrap().contains("TTP/1.1 200 OK"));
}

/// Guards against reading a header section of unlimited length into memory.
#[tokio::test]
async fn long_header_section_is_refused() {
    let target = Target::start(|received, _| Action::Write(ok(received, ""))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let address = listen(&entry, Options { max_header_bytes: 10_000, ..Options::default() }).await;
    let fill = "x".repeat(20_000);
    let response =
        send_raw(address, &format!("GET /lectura/k HTTP/1.1\r\nfill: {fill}\r\n\r\n")).await;
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431 "), "{response}");
    assert_eq!(target.count(), 0);
}

/// Guards against metric labels whose number callers can increase without bound, and against
/// requests that are not counted.
#[tokio::test]
async fn requests_are_counted_with_bounded_labels() {
    let target = Target::start(|received, _| Action::Write(ok(received, ""))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let mut registry = Registry::default();
    entry.router.observer.register(&mut registry);
    for tenant in ["acme", "mallory-1", "mallory-2"] {
        entry.get("/lectura/k", &[("caraway-tenant", tenant)]).await;
    }
    entry.get("/nothing/k", &[("caraway-tenant", "mallory-3")]).await;
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    let line = |tenant, class, outcome, reason, count| {
        let labels = format!("tenant=\"{tenant}\",class=\"{class}\",outcome=\"{outcome}\"");
        format!("caraway_requests_total{{{labels},reason=\"{reason}\"}} {count}\n")
    };
    assert!(text.contains(&line("acme", "reading", "answered", "", 1)), "{text}");
    assert!(text.contains(&line("other", "reading", "answered", "", 2)), "{text}");
    assert!(text.contains(&line("other", "", "refused", "no-route", 1)), "{text}");
    assert!(!text.contains("mallory"), "{text}");
}
