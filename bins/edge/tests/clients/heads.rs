//! Request heads: many fields, long lines, trailers and pipelined requests.

use std::net::SocketAddr;

use crate::crowd;
use crate::crowd::MEMORY_MB;
use crate::crowd::Watched;

/// Number of clients, within the descriptors of the machine.
const CROWD: usize = 180;

const MAX_BODY_BYTES: u64 = 1 << 20;

fn many_fields(bytes: usize) -> String {
    "a:b\r\n".repeat(bytes / 5)
}

/// Guards against heads of legal size whose parsed form is much larger: 16 KB are 3,200 fields.
#[yare::parameterized(
    short_fields = { &many_fields(15_900) },
    distinct_fields = { &(0..1900).map(|n| format!("{n:x}:b\r\n")).collect::<String>() },
    one_long_field = { &format!("cookie: {}\r\n", "c".repeat(15_900)) },
)]
fn heads_of_legal_size_stay_within_memory(lines: &str) {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES);
    let head = crowd::head("GET", "/read/wait-2000", lines);
    let _crowd = crowd::send(watched.callers(), CROWD, &head, &[], 1 << 20);
    watched.check();
}

/// Guards against heads without an end, at each listener.
#[yare::parameterized(
    callers = { |watched: &Watched| watched.instance().caller_address },
    readiness = { |watched: &Watched| watched.instance().readiness_address },
    instances = { |watched: &Watched| watched.instance().instance_address },
    metrics = { |watched: &Watched| watched.instance().metrics_address },
)]
fn heads_without_an_end_stay_within_memory(address: fn(&Watched) -> SocketAddr) {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES);
    let line = format!("GET /read/{} HTTP/1.1\r\n", "p".repeat(300));
    let fields = format!("x: {}\r\n", "f".repeat(4000)).repeat(100);
    let _crowd = crowd::send(address(&watched), CROWD, &line, fields.as_bytes(), 16 << 10);
    watched.check();
}

/// Guards against request lines without an end.
#[test]
fn request_lines_without_an_end_stay_within_memory() {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES);
    let line = format!("GET /read/{}", "p".repeat(400_000));
    let _crowd = crowd::send(watched.callers(), CROWD, &line, &[], 16 << 10);
    watched.check();
}

/// Guards against trailers without an end after a chunked body.
#[test]
fn trailers_without_an_end_stay_within_memory() {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES);
    let head = crowd::head("POST", "/upload/x", "transfer-encoding: chunked\r\n");
    let body = format!("0\r\n{}", "t: u\r\n".repeat(80_000));
    let _crowd = crowd::send(watched.callers(), CROWD, &head, body.as_bytes(), 16 << 10);
    watched.check();
}

/// Guards against pipelined requests that pile up while their client reads no response. The crowd is small
/// enough for the stand-in, which takes longer for each request the more of them it has recorded.
#[yare::parameterized(
    reads = { "GET", "/read/x", "" },
    without_a_route = { "GET", "/unknown/x", "" },
    orders = { "POST", "/order/x", "content-length: 5\r\n" },
)]
fn pipelined_requests_without_a_reader_stay_within_memory(method: &str, path: &str, line: &str) {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES);
    let body = if line.is_empty() { "" } else { "order" };
    let request = crowd::head(method, path, line) + body;
    let requests = request.repeat(1000);
    let _crowd = crowd::send(watched.callers(), 16, "", requests.as_bytes(), 1 << 16);
    watched.check();
}
