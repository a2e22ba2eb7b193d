//! Connections of callers: requests sent ahead, framing of requests and responses.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use caraway_production::caller::Caller;

use crate::cluster::Cluster;
use crate::cluster::wait;

fn get(path: &str, attempt: &str, line: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: shop.example\r\ncarawayscale-attempt-id: {attempt}\r\n\
         {line}\r\n"
    )
}

fn post(path: &str, attempt: &str, line: &str, body: &str) -> String {
    get(path, attempt, line).replacen("GET", "POST", 1) + body
}

/// Sends bytes on a connection, closes the sending side after the response has begun, and returns all that
/// arrives.
fn exchange(cluster: &Cluster, text: &str) -> String {
    let mut stream = TcpStream::connect(cluster.instances[0].caller_address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = vec![0; 1];
    if stream.read_exact(&mut answer).is_err() {
        return String::new();
    }
    thread::sleep(Duration::from_millis(100));
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends `text` through a caller's connection, to read its responses one after the other.
fn send(cluster: &Cluster, text: &str) -> Caller {
    let mut caller = cluster.caller(0);
    caller.send_raw(text.as_bytes()).unwrap();
    caller
}

/// Guards against starting a request that was sent ahead only when the one before it is answered: it was late
/// although targets were free.
#[test]
fn requests_sent_ahead_run_at_the_same_time() {
    let cluster = Cluster::start(2, 0, 1);
    let text: String = (0..4).map(|n| get("/read/wait-600", &format!("a{n}"), "")).collect();
    let started = Instant::now();
    let mut caller = send(&cluster, &text);
    for index in 0..4 {
        let response = caller.receive().unwrap();
        assert_eq!(response.status, 200);
        assert!(response.body.ends_with(&format!(":a{index}")), "{response:?}");
    }
    assert!(started.elapsed() < Duration::from_millis(1500), "{:?}", started.elapsed());
}

/// Guards against a deadline that counts from the time at which the request before was answered.
#[test]
fn the_deadline_of_a_request_sent_ahead_counts_from_its_arrival() {
    let cluster = Cluster::start(2, 0, 1);
    let first = get("/read/wait-1000", "a", "");
    let second = get("/read/wait-900", "b", "carawayscale-deadline-ms: 400\r\n");
    let started = Instant::now();
    let mut caller = send(&cluster, &(first + &second));
    assert_eq!(caller.receive().unwrap().status, 200);
    assert_eq!(caller.receive().unwrap().status, 504);
    assert!(started.elapsed() < Duration::from_millis(1400), "{:?}", started.elapsed());
}

/// Guards against running an order before the requests ahead of it are answered, and requests behind it before
/// the order is answered: a client that loses the connection could not know which of them have run.
#[test]
fn an_order_sent_ahead_runs_alone() {
    let cluster = Cluster::start(2, 0, 1);
    let text = get("/read/wait-300", "a", "")
        + &post("/order/wait-300", "b", "content-length: 5\r\n", "order")
        + &get("/read/x", "c", "");
    let mut caller = send(&cluster, &text);
    for attempt in ["a", "b", "c"] {
        let response = caller.receive().unwrap();
        assert_eq!((response.status, response.body.ends_with(attempt)), (200, true));
    }
    let runs = cluster.journal.runs();
    let at = |attempt: &str| runs.iter().find(|run| run.attempt == attempt).unwrap().at;
    assert!(at("b") - at("a") >= Duration::from_millis(300));
    assert!(at("c") - at("b") >= Duration::from_millis(300));
}

/// Guards against running requests behind a response that closes the connection: the client sends them again.
#[yare::parameterized(
    close_requested = { "/read/wait-100", "connection: close\r\n" },
    invalid = { "/read/wait-100", "content-length: x\r\n" },
)]
fn requests_behind_a_closing_response_are_not_run(path: &str, line: &str) {
    let cluster = Cluster::start(2, 0, 1);
    let order = post("/order/x", "behind", "content-length: 5\r\n", "order");
    let text = get(path, "a", line) + &get("/read/x", "behind", "") + &order;
    let answer = exchange(&cluster, &text);
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(cluster.runs("behind"), 0);
}

/// Guards against a stop that cuts off requests sent ahead, or closes the connection before they are answered.
#[test]
fn a_stop_answers_all_requests_sent_ahead() {
    let mut cluster = Cluster::start(2, 0, 1);
    let text: String = (0..5).map(|n| get("/read/wait-900", &format!("a{n}"), "")).collect();
    let mut caller = send(&cluster, &text);
    wait(Duration::from_secs(2), "running", || cluster.journal.runs().len() == 5);
    cluster.instances[0].signal("TERM");
    for index in 0..5 {
        let response = caller.receive().unwrap();
        let close = (index == 4).then_some("close");
        assert_eq!((response.status, response.header("connection")), (200, close), "{index}");
    }
    let status = cluster.instances[0].wait(Duration::from_secs(6)).unwrap();
    assert_eq!(status.code(), Some(0));
}

/// Guards against requests that run behind a response that breaks off: their connection closes without an answer to
/// them. Responses of downloads may break off, and those of routes with streamed responses.
#[yare::parameterized(
    of_a_download = { "/download/large-90/break-midway" },
    of_another_route = { "/read/large-90/break-midway" },
)]
fn requests_behind_a_response_that_breaks_off_are_not_run(path: &str) {
    let cluster = Cluster::start(2, 0, 1);
    assert_eq!(cluster.get(0, "/read/large-90", "streamed").status, 200);
    let behind: String = (0..4).map(|n| get("/read/x", &format!("behind-{n}"), "")).collect();
    let mut caller = send(&cluster, &(get(path, "a", "") + &behind));
    assert!(caller.receive().is_err());
    thread::sleep(Duration::from_millis(300));
    assert_eq!(cluster.runs("a"), 1);
    assert!((0..4).all(|n| cluster.runs(&format!("behind-{n}")) == 0));
}

/// Guards against requests that do not run behind a download that is answered.
#[test]
fn requests_behind_a_download_run_once_it_is_answered() {
    let cluster = Cluster::start(2, 0, 1);
    let behind: String = (0..4).map(|n| get("/read/x", &format!("behind-{n}"), "")).collect();
    let mut caller = send(&cluster, &(get("/download/large-90", "a", "") + &behind));
    for _ in 0..5 {
        assert_eq!(caller.receive().unwrap().status, 200);
    }
}

/// Guards against a reset that discards a complete response which the client has not read yet, because the one behind
/// it broke off.
#[test]
fn a_response_before_one_that_breaks_off_is_delivered() {
    let cluster = Cluster::start(2, 0, 1);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // Most of the response waits at the instance.
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&cluster.instances[0].caller_address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let text = get("/read/large-60", "a", "") + &get("/download/large-90/break-midway", "b", "");
    stream.write_all(text.as_bytes()).unwrap();
    thread::sleep(Duration::from_secs(1));
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    let (head, rest) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let (first, second) = rest.split_once("HTTP/1.1 ").unwrap();
    assert_eq!(first.len(), 60_000 + "p0:a".len());
    let (_, broken) = second.split_once("\r\n\r\n").unwrap();
    assert!(broken.len() < 90_000 + "p0:b".len(), "it looks complete");
}

/// Guards against closing the connection because a streamed response could not begin before its deadline: it waited for
/// the one ahead of it, and those behind it got no answer.
#[test]
fn a_streamed_response_that_waits_beyond_its_deadline_is_answered_504() {
    let cluster = Cluster::start(3, 0, 1);
    let text = get("/read/wait-1200", "a", "")
        + &get("/download/large-900", "b", "carawayscale-deadline-ms: 300\r\n")
        + &get("/read/x", "c", "");
    let mut caller = send(&cluster, &text);
    let statuses: Vec<u16> = (0..3).map(|_| caller.receive().unwrap().status).collect();
    assert_eq!(statuses, [200, 504, 200]);
}

/// Guards against targets that keep working on requests sent ahead by a caller that has disconnected, also when
/// it sent more than is read ahead.
#[yare::parameterized(
    few = { 4 },
    more_than_are_read = { 100 },
)]
fn a_disconnected_caller_cancels_all_requests_sent_ahead(count: usize) {
    let cluster = Cluster::start(2, 0, 1);
    let text: String = (0..count).map(|n| get("/read/wait-700", &format!("a{n}"), "")).collect();
    let caller = send(&cluster, &text);
    wait(Duration::from_secs(2), "running", || cluster.journal.runs().len() >= 4);
    let running = cluster.journal.runs().len();
    assert!(running <= 16, "{running} requests are running");
    drop(caller);
    wait(Duration::from_secs(3), "cancelled", || {
        cluster.journal.runs().iter().all(|run| !run.heard)
    });
}

/// Guards against requests whose end another parser sees elsewhere, so that a part of one is taken for the next.
#[yare::parameterized(
    two_lengths = { "content-length: 5\r\ncontent-length: 6\r\n" },
    equal_lengths = { "content-length: 5\r\ncontent-length: 5\r\n" },
    list_of_lengths = { "content-length: 5, 5\r\n" },
    signed_length = { "content-length: +5\r\n" },
    hexadecimal_length = { "content-length: 0x5\r\n" },
    empty_length = { "content-length:\r\n" },
    huge_length = { "content-length: 99999999999999999999999\r\n" },
    length_and_chunked = { "content-length: 5\r\ntransfer-encoding: chunked\r\n" },
    chunked_twice = { "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n" },
    chunked_list = { "transfer-encoding: chunked, chunked\r\n" },
    unknown_coding = { "transfer-encoding: gzip, chunked\r\n" },
    quoted_coding = { "transfer-encoding: \"chunked\"\r\n" },
    space_before_colon = { "content-length : 5\r\n" },
    folded = { "x: y\r\n content-length: 5\r\n" },
    folded_by_tab = { "x: y\r\n\tz\r\n" },
    bare_line_feed = { "x: y\ncontent-length: 5\r\n" },
    bare_carriage_return = { "x: y\rcontent-length: 5\r\n" },
    empty_name = { ": y\r\n" },
    without_colon = { "content-length\r\n" },
    control_character = { "x: y\u{1}z\r\n" },
    null = { "x: y\0z\r\n" },
    two_hosts = { "host: other.example\r\n" },
)]
fn an_ambiguous_request_is_refused(lines: &str) {
    let cluster = Cluster::start(1, 0, 1);
    let inner = get("/read/x", "inner", "");
    let text = post("/order/x", "outer", lines, &format!("order{inner}"));
    let answer = exchange(&cluster, &text);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    thread::sleep(Duration::from_millis(100));
    assert!(cluster.journal.runs().is_empty());
}

/// Guards against the same in chunked bodies.
#[yare::parameterized(
    no_size = { "\r\nabcde\r\n0\r\n\r\n" },
    signed_size = { "+5\r\nabcde\r\n0\r\n\r\n" },
    prefixed_size = { "0x5\r\nabcde\r\n0\r\n\r\n" },
    space_before_size = { " 5\r\nabcde\r\n0\r\n\r\n" },
    text_after_size = { "5 x\r\nabcde\r\n0\r\n\r\n" },
    huge_size = { "fffffffffffffffff\r\nabcde\r\n0\r\n\r\n" },
    overflowing_size = { "10000000000000005\r\nabcde\r\n0\r\n\r\n" },
    bare_line_feed = { "5\nabcde\r\n0\r\n\r\n" },
    bare_line_feed_in_extension = { "5;a\nb\r\nabcde\r\n0\r\n\r\n" },
    bare_carriage_return = { "5;a\rb\r\nabcde\r\n0\r\n\r\n" },
    long_data = { "5\r\nabcdefg\r\n0\r\n\r\n" },
    missing_line_break = { "5\r\nabcde0\r\n\r\n" },
    bare_line_feed_after_data = { "5\r\nabcde\n0\r\n\r\n" },
    bad_trailer = { "5\r\nabcde\r\n0\r\ntrailer\r\n\r\n" },
    folded_trailer = { "5\r\nabcde\r\n0\r\na: b\r\n c: d\r\n\r\n" },
)]
fn an_invalid_chunked_body_is_refused(body: &str) {
    let cluster = Cluster::start(1, 0, 1);
    let inner = get("/read/x", "inner", "");
    let line = "transfer-encoding: chunked\r\n";
    let answer = exchange(&cluster, &post("/order/x", "outer", line, &format!("{body}{inner}")));
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    thread::sleep(Duration::from_millis(100));
    assert!(cluster.journal.runs().is_empty());
}

/// Guards against a chunked body that is changed, whether it arrives at once or byte by byte.
#[yare::parameterized(
    at_once = { false },
    byte_by_byte = { true },
)]
fn a_chunked_body_is_forwarded_complete(slowly: bool) {
    let cluster = Cluster::start(1, 0, 1);
    let body = "5;name=\"value\"\r\nabcde\r\n00a \t;x\r\n0123456789\r\n0\r\ntrailer: x\r\n\r\n";
    let text = post("/order/x", "o", "transfer-encoding: Chunked\r\n", body);
    let next = get("/read/x", "r", "");
    let mut caller = cluster.caller(0);
    let message = format!("\r\n{text}{next}");
    let pieces = message.as_bytes().chunks(if slowly { 1 } else { message.len() });
    for piece in pieces {
        caller.send_raw(piece).unwrap();
        if slowly {
            thread::sleep(Duration::from_millis(1));
        }
    }
    assert_eq!(caller.receive().unwrap().status, 200);
    assert_eq!(caller.receive().unwrap().status, 200);
    let runs = cluster.journal.runs();
    assert_eq!(runs[0].body, b"abcde0123456789");
    assert_eq!(runs[1].attempt, "r");
}

/// Guards against a caller that waits in vain for the interim response, or gets one for a request that is refused.
#[test]
fn an_expected_interim_response_is_sent_before_the_body() {
    let cluster = Cluster::start(1, 0, 1);
    let mut stream = TcpStream::connect(cluster.instances[0].caller_address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let line = "content-length: 5\r\nexpect: 100-continue\r\n";
    let ahead = get("/read/wait-200", "a", "");
    stream.write_all((ahead + &post("/order/x", "o", line, "")).as_bytes()).unwrap();
    let mut answer = String::new();
    let mut space = [0; 4096];
    while !answer.contains("100 Continue") {
        let size = stream.read(&mut space).unwrap();
        assert!(size > 0, "{answer}");
        answer.push_str(std::str::from_utf8(&space[..size]).unwrap());
    }
    // The response to the request ahead comes first.
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    stream.write_all(b"order").unwrap();
    let size = stream.read(&mut space).unwrap();
    assert!(space[..size].starts_with(b"HTTP/1.1 200"));
    let refused = exchange(&cluster, &post("/unknown/x", "u", line, ""));
    assert!(refused.starts_with("HTTP/1.1 404") && !refused.contains("100 Continue"), "{refused}");
    let long = line.replace(" 5", " 100001");
    let refused = exchange(&cluster, &post("/order/x", "u", &long, ""));
    assert!(refused.starts_with("HTTP/1.1 413") && !refused.contains("100 Continue"), "{refused}");
}

/// Guards against chunks for a client that cannot decode them, and a connection that stays open for it.
#[test]
fn a_client_of_http_1_0_gets_a_response_that_ends_with_the_connection() {
    let cluster = Cluster::start(1, 0, 1);
    for path in ["/read/unframed", "/read/x"] {
        let text = get(path, "a", "connection: keep-alive\r\n").replace("HTTP/1.1", "HTTP/1.0");
        let answer = exchange(&cluster, &text);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(
            answer.contains("connection: close") && answer.ends_with("\r\n\r\np0:a"),
            "{answer}"
        );
        assert!(!answer.contains("transfer-encoding"), "{answer}");
    }
}

/// Guards against waiting for the body of a response to a HEAD request, or forwarding one.
#[test]
fn a_head_request_gets_a_length_and_no_body() {
    let cluster = Cluster::start(1, 0, 1);
    let started = Instant::now();
    let text = get("/read/x", "a", "").replacen("GET", "HEAD", 1);
    let answer = exchange(&cluster, &text);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("content-length: 4\r\n") && answer.ends_with("\r\n\r\n"), "{answer}");
    assert!(started.elapsed() < Duration::from_millis(1500), "{:?}", started.elapsed());
    assert_eq!(cluster.get(0, "/read/x", "b").body, "p0:b");
}

/// Guards against waiting for a body beyond the deadline of its request, or running a request without it.
#[test]
fn a_late_body_is_answered_408() {
    let cluster = Cluster::start(1, 0, 1);
    let line = "content-length: 5\r\ncarawayscale-deadline-ms: 400\r\n";
    let started = Instant::now();
    let answer = exchange(&cluster, &post("/order/x", "o", line, "ord"));
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(started.elapsed() < Duration::from_millis(1000), "{:?}", started.elapsed());
    assert_eq!(cluster.runs("o"), 0);
}

/// Guards against losing a connection because of a refused request with a small body.
#[test]
fn a_refused_request_with_a_small_body_keeps_its_connection() {
    let cluster = Cluster::start(1, 0, 1);
    let refused = post("/unknown/x", "u", "content-length: 5\r\n", "order");
    let mut caller = send(&cluster, &(refused + &get("/read/x", "a", "")));
    assert_eq!(caller.receive().unwrap().status, 404);
    assert_eq!(caller.receive().unwrap().body, "p0:a");
}

/// Guards against a client that keeps the process busy with empty lines, which are not part of any request.
#[test]
fn empty_lines_before_a_request_are_limited() {
    let cluster = Cluster::start(1, 0, 1);
    let answer = exchange(&cluster, &format!("\r\n\r\n{}", get("/read/x", "a", "")));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let answer = exchange(&cluster, &"\r\n".repeat(1000));
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}
