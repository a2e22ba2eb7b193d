//! Crowds of connections: slow, silent and half-way.

use std::net::SocketAddr;

use crate::crowd;
use crate::crowd::MAX_DESCRIPTORS;
use crate::crowd::MEMORY_MB;
use crate::crowd::Watched;

/// Number of clients, more than the descriptors of the machine.
const CROWD: usize = MAX_DESCRIPTORS * 2;

const MAX_BODY_BYTES: u64 = 1 << 20;

type Listener = fn(&Watched) -> SocketAddr;

const CALLERS: Listener = |watched| watched.instance().caller_address;
const READINESS: Listener = |watched| watched.instance().readiness_address;
const INSTANCES: Listener = |watched| watched.instance().instance_address;
const METRICS: Listener = |watched| watched.instance().metrics_address;

/// Guards against running out of descriptors through connections on which nothing is sent, or a part of a head.
#[yare::parameterized(
    silent_callers = { CALLERS, "" },
    silent_readiness = { READINESS, "" },
    silent_instances = { INSTANCES, "" },
    silent_metrics = { METRICS, "" },
    half_heads_callers = { CALLERS, "GET /read/x HTTP/1.1\r\nhost: shop" },
    half_heads_readiness = { READINESS, "GET /v1/readyz HTTP/1.1\r\nhost: shop" },
    half_heads_instances = { INSTANCES, "POST /v1/report HTTP/1.1\r\nhost: shop" },
)]
fn half_way_connections_stay_within_descriptors(listener: Listener, text: &str) {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES);
    let _crowd = crowd::send(listener(&watched), CROWD, text, &[], 1 << 10);
    watched.check();
}

/// Guards against clients that stay connected after a complete request, with or without its body, and against
/// those that send one byte at a time.
#[yare::parameterized(
    idle = { "GET", "" },
    body_half_way = { "POST", "content-length: 1000\r\n" },
)]
fn byte_by_byte_connections_stay_within_descriptors(method: &str, line: &str) {
    let mut watched = Watched::start(MEMORY_MB, MAX_BODY_BYTES);
    let head = crowd::head(method, "/upload/x", line);
    let body: &[u8] = if line.is_empty() { b"" } else { b"0123456789" };
    let _crowd = crowd::send(CALLERS(&watched), CROWD, &head, body, 1);
    watched.check();
}
