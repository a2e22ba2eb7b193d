//! Responses, the journal, cancellation and crashes.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::process::ExitStatusExt;

use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use crate::common::Target;
use crate::common::number;

fn fnv1a64(bytes: &[u8]) -> u64 {
    let step = |state: u64, byte: &u8| (state ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

fn expected(id: &str, length: usize) -> Vec<u8> {
    let phase = fnv1a64(id.as_bytes()) % 26;
    let mut body = format!("{id}\n").into_bytes();
    let filler = length.saturating_sub(body.len()) as u64;
    body.extend((0..filler).map(|i| b'a' + ((phase + i % 26) % 26) as u8));
    body
}

/// Guards against a response whose length or content a caller cannot verify.
#[yare::parameterized(
    line = { "a", 0 },
    shorter_than_the_line = { "request-1", 4 },
    one_byte_more = { "request-1", 11 },
    chunk_limit = { "request-2", 16 * 1024 + 10 },
    large = { "request-3", 8 * 1024 * 1024 + 1 },
)]
fn the_response_body_is_derived_from_the_request_id(id: &str, length: usize) {
    let target = Target::unchecked(&[]);
    let length_text = length.to_string();
    let headers = [("caraway-request-id", id), ("test-answer-bytes", &length_text)];
    let response = target.request("1.1", "0", &headers);
    assert_eq!(response.status, 200);
    assert!(response.body == expected(id, length), "wrong body of {} bytes", response.body.len());
    assert_eq!(response.header("content-length"), Some(response.body.len().to_string().as_str()));
    assert_eq!(response.header("caraway-request-id"), Some(id));
    assert_eq!(response.header("caraway-target"), Some("t-1"));
    let incarnation = target.status()["incarnation"].to_string();
    assert_eq!(response.header("caraway-incarnation"), Some(incarnation.as_str()));
}

/// Guards against a request body that is not read completely.
#[test]
fn the_response_reports_length_and_checksum_of_the_request_body() {
    let target = Target::unchecked(&[]);
    let body: Vec<u8> = (0..3_000_000_u32).map(|i| (i % 251) as u8).collect();
    let headers = [("caraway-request-id", "r")];
    let response = target.send("POST", "/s/k", &headers, &body).unwrap();
    assert_eq!(response.header("caraway-body-length"), Some("3000000"));
    let checksum = format!("{:016x}", fnv1a64(&body));
    assert_eq!(response.header("caraway-body-checksum"), Some(checksum.as_str()));
}

/// Guards against a journal that omits an execution or hides a repeated one.
#[test]
fn the_journal_counts_executions_per_idempotency_key() {
    let target = Target::start(&[]);
    target.grant((4, 1), 60_000, json!([[0, 9]]));
    for (id, key) in [("r1", "order-1"), ("r2", "order-2"), ("r3", "order-1")] {
        let headers =
            [("caraway-request-id", id), ("idempotency-key", key), ("caraway-key", "k-7")];
        assert_eq!(target.request("4.1", "7", &headers).status, 200);
    }
    assert_eq!(target.request("2.1", "7", &[]).status, 409);
    let summary = json!({ "executions": 3, "completed": 3, "cancelled": 0,
        "repeated": { "order-1": 2 }, "refused": { "stale-token": 1 } });
    assert_eq!(target.summary(), summary);
    let second_page = target.control("GET", "/control/journal?after=2", &Value::Null).1;
    let entry = &second_page[0];
    assert_eq!(second_page.as_array().unwrap().len(), 1);
    let (started_ms, ended_ms) = (&entry["started_ms"], &entry["ended_ms"]);
    assert!(number(started_ms) <= number(ended_ms));
    let expected = json!({ "n": 3, "request_id": "r3", "idempotency_key": "order-1", "key": "k-7",
        "shard": 7, "token": "4.1", "started_ms": started_ms, "ended_ms": ended_ms, "completed": true });
    assert_eq!(*entry, expected);
}

/// Guards against a request that continues to run, or occupies its slot, after its caller has disconnected.
#[test]
fn closing_the_connection_cancels_the_request() {
    let target = Target::unchecked(&["--slots", "1"]);
    let request = "GET /s/k HTTP/1.1\r\nhost: t\r\ncaraway-request-id: gone\r\n\
        test-service-ms: 60000\r\n\r\n";
    let mut running = TcpStream::connect(&target.address).unwrap();
    running.write_all(request.as_bytes()).unwrap();
    target.await_status("running", &json!(1));
    let mut queued = TcpStream::connect(&target.address).unwrap();
    queued.write_all(request.as_bytes()).unwrap();
    target.await_status("queued", &json!(1));
    drop(queued);
    target.await_status("queued", &json!(0));
    drop(running);
    target.await_status("running", &json!(0));
    let journal = target.journal();
    assert_eq!(journal.len(), 1, "the queued request did not run");
    assert_eq!((&journal[0]["completed"], journal[0]["ended_ms"].is_u64()), (&json!(false), true));
    assert_eq!(target.summary()["cancelled"], 1);
    assert_eq!(target.request("1.1", "0", &[]).status, 200);
}

/// Guards against a crash header that is ignored or applies to refused requests, and against a restarted target
/// with the incarnation or the shards of the previous process.
#[test]
fn a_crashing_request_ends_the_process() {
    let mut target = Target::start(&[]);
    let first = number(&target.status()["incarnation"]);
    let crash = [("test-crash", "1")];
    assert_eq!(target.request("2.1", "0", &crash).status, 409, "a refused request does not run");
    target.grant((2, 1), 60_000, json!([[0, 0]]));
    assert!(target.try_request("2.1", "0", &crash).is_err());
    assert_eq!(target.wait().signal(), Some(Signal::ABORT.as_raw()));
    assert!(TcpStream::connect(&target.address).is_err());
    let restarted = Target::start_at(&target.address, &[]).unwrap();
    assert!(number(&restarted.status()["incarnation"]) > first);
    assert_eq!(restarted.status()["shards"], json!([]), "a restarted target owns nothing");
}

/// Guards against a response to a slow reader that blocks the target.
#[test]
fn a_slow_reader_does_not_block_other_callers() {
    let target = Target::unchecked(&[]);
    let request = "GET /s/k HTTP/1.1\r\nhost: t\r\ncaraway-request-id: big\r\n\
        test-answer-bytes: 1000000000\r\n\r\n";
    let mut slow_reader = TcpStream::connect(&target.address).unwrap();
    slow_reader.write_all(request.as_bytes()).unwrap();
    slow_reader.read_exact(&mut [0; 1000]).unwrap();
    for _ in 0..20 {
        assert_eq!(target.request("1.1", "0", &[]).status, 200);
    }
}
