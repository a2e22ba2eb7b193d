//! Request bodies: many at once, without an end, and far over the limit.

use std::io::Read;
use std::time::Duration;

use caraway_production::caller::Caller;

use crate::crowd;
use crate::crowd::MEMORY_MB;
use crate::crowd::Watched;

const MAX_BODY_BYTES: usize = 8 << 20;

/// Bytes by which a body stops short of its declared length.
const MISSING: usize = 10;

fn declared(method: &str, path: &str, length: usize) -> String {
    crowd::head(method, path, &format!("content-length: {length}\r\n"))
}

fn chunks(length: usize, size: usize, extension: &str) -> Vec<u8> {
    let chunk = format!("{size:x}{extension}\r\n{}\r\n", "c".repeat(size));
    chunk.repeat(length / size).into_bytes()
}

/// Guards against a process whose memory is exhausted by bodies of legal size that stop just short of their
/// end: 16 of them are 128 MB.
#[yare::parameterized(
    in_one_piece = { "/upload/x", 1 << 20 },
    in_small_pieces = { "/upload/x", 1400 },
    of_an_order = { "/order/x", 1 << 20 },
    without_a_route = { "/unknown/x", 1 << 20 },
)]
fn bodies_that_stop_short_stay_within_memory(path: &str, piece: usize) {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES as u64);
    let body = vec![b'b'; MAX_BODY_BYTES - MISSING];
    let head = declared("POST", path, MAX_BODY_BYTES);
    let _crowd = crowd::send(watched.callers(), 16, &head, &body, piece);
    watched.check();
}

/// Guards against the same with chunked bodies, whose length is not known before they end.
#[yare::parameterized(
    large_chunks = { 60_000, "" },
    small_chunks = { 100, "" },
    extensions = { 1000, ";extension=0123456789abcdef0123456789abcdef0123456789abcdef" },
)]
fn chunked_bodies_without_an_end_stay_within_memory(size: usize, extension: &str) {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES as u64);
    let body = chunks(MAX_BODY_BYTES - (64 << 10), size, extension);
    let head = crowd::head("POST", "/upload/x", "transfer-encoding: chunked\r\n");
    let _crowd = crowd::send(watched.callers(), 16, &head, &body, 1 << 20);
    watched.check();
}

/// Guards against reading bodies that are far over the limit, or holding their connections.
#[yare::parameterized(
    declared = { "content-length: 1000000000\r\n" },
    undeclared = { "transfer-encoding: chunked\r\n" },
)]
fn bodies_over_the_limit_stay_within_memory(line: &str) {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES as u64);
    let body = chunks(4 * MAX_BODY_BYTES, 60_000, "");
    let head = crowd::head("POST", "/upload/x", line);
    let _crowd = crowd::send(watched.callers(), 16, &head, &body, 1 << 20);
    watched.check();
}

/// Guards against bodies at the listeners for readiness checks, messages of instances and metrics. A message
/// may have 4 MB.
#[yare::parameterized(
    readiness = { "/v1/readyz", |watched: &Watched| watched.instance().readiness_address },
    instances = { "/report", |watched: &Watched| watched.instance().instance_address },
    metrics = { "/metrics", |watched: &Watched| watched.instance().metrics_address },
)]
fn bodies_at_other_listeners_stay_within_memory(
    path: &str,
    address: fn(&Watched) -> std::net::SocketAddr,
) {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES as u64);
    let length = (4 << 20) - 100;
    let body = vec![b'b'; length - MISSING];
    let head = declared("POST", path, length);
    let _crowd = crowd::send(address(&watched), 24, &head, &body, 1 << 20);
    watched.check();
}

/// Guards against a single request of legal size that ends the process, or is refused although nothing else
/// is running: the smallest machine has 112 MB and `max_body_bytes` is 64 MiB.
#[test]
fn a_single_request_of_the_largest_size_is_served() {
    let mut watched = Watched::start(112, 64 << 20);
    let body = "b".repeat(64 << 20);
    let mut caller = Caller::open(watched.callers()).unwrap();
    let headers = [("carawayscale-deadline-ms", "30000")];
    caller.send("POST", "/upload/x", "large", &headers, &body).unwrap();
    let response = caller.receive().unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    let runs = watched.cluster.journal.runs();
    let run = runs.iter().find(|run| run.attempt == "large").unwrap();
    assert!(run.body == body.as_bytes(), "the target got another body of {} bytes", run.body.len());
    drop(runs);
    watched.check();
}

/// Guards against large bodies that leave no memory to small requests: while eight of them stay unfinished,
/// small orders are answered on other connections.
#[test]
fn small_orders_are_served_beside_large_bodies() {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES as u64);
    let body = vec![b'b'; MAX_BODY_BYTES - MISSING];
    let head = declared("POST", "/upload/x", MAX_BODY_BYTES);
    let _crowd = crowd::send(watched.callers(), 8, &head, &body, 1 << 20);
    let order = "o".repeat(60_000);
    let address = watched.callers();
    crate::cluster::wait(Duration::from_secs(20), "an order answered", || {
        let headers = [("carawayscale-deadline-ms", "2000")];
        let response = Caller::open(address).and_then(|mut caller| {
            caller.send("POST", "/upload/x", "small", &headers, &order)?;
            caller.receive()
        });
        response.is_ok_and(|response| response.status == 200)
    });
    watched.check();
}

/// Guards against stalled bodies that keep the memory until their deadlines: a complete body of the same size gets
/// its memory, and the stalled ones are answered as not run.
#[test]
fn a_stalled_body_makes_room_for_a_complete_one() {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES as u64);
    let body = vec![b'b'; MAX_BODY_BYTES - MISSING];
    let head = declared("POST", "/upload/x", MAX_BODY_BYTES);
    let mut crowd = crowd::send(watched.callers(), 1, &head, &body, 1 << 20);
    let complete = "c".repeat(MAX_BODY_BYTES);
    let address = watched.callers();
    crate::cluster::wait(Duration::from_secs(20), "the complete body served", || {
        let headers = [("carawayscale-deadline-ms", "10000")];
        let response = Caller::open(address).and_then(|mut caller| {
            caller.send("POST", "/upload/x", "complete", &headers, &complete)?;
            caller.receive()
        });
        response.is_ok_and(|response| response.status == 200)
    });
    let mut answer = [0; 12];
    crowd[0].set_nonblocking(false).unwrap();
    crowd[0].read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 503");
    assert_eq!(watched.cluster.runs("crowd"), 0);
    watched.check();
}
