//! Verdicts on responses, resubmission and latency.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod fake;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use yare::parameterized;

use caraway_load::body::Checker;
use caraway_load::body::Integrity;
use caraway_load::body::fnv1a64;
use caraway_load::profile::Arrival;
use caraway_load::profile::Kind;
use caraway_load::profile::Profile;
use caraway_load::report::Report;
use caraway_load::run;
use caraway_load::sample::Verdict;

const BODY_BYTES: usize = 300;

fn profile(entries: Vec<SocketAddr>, requests: u64, arrival: Arrival) -> Profile {
    Profile {
        entries,
        run: "t".to_owned(),
        seed: 7,
        kinds: vec![Kind {
            name: "read".to_owned(),
            method: "GET".to_owned(),
            path: "/lectura/{key}".to_owned(),
            keys: 10,
            answer_bytes: Some(BODY_BYTES as u64),
            weight: 1,
            ..Kind::default()
        }],
        arrival,
        seconds: 10.0,
        requests,
        timeout_ms: 700,
        resends: 0,
        direct: false,
        targets: Vec::new(),
        threads: 1,
    }
}

fn run_single_request(script: Arc<fake::Script>) -> Verdict {
    let address = fake::start(script);
    let record =
        run::run_to_completion(profile(vec![address], 1, Arrival::Closed { connections: 1 }))
            .unwrap();
    assert_eq!(record.samples.len(), 1);
    record.samples[0].verdict
}

/// Guards against accepting a response that is incomplete, belongs to another request or contradicts itself.
#[test]
fn each_kind_of_response_has_its_verdict() {
    use caraway_core::outcome::Reason;
    let cases: Vec<(Verdict, Arc<fake::Script>)> = vec![
        (Verdict::Answered(200), Arc::new(|head| (fake::valid(&head.id, BODY_BYTES), true))),
        (Verdict::Truncated, Arc::new(|head| (fake::valid(&head.id, BODY_BYTES - 1), true))),
        (Verdict::Wrong, Arc::new(|head| (fake::valid(&head.id, BODY_BYTES + 1), true))),
        (Verdict::Wrong, Arc::new(|_| (fake::valid("t-99", BODY_BYTES), true))),
        (
            Verdict::Wrong,
            Arc::new(|head| {
                let body = fake::body("t-99", BODY_BYTES);
                let headers = "caraway-outcome: answered\r\n";
                (fake::response(200, &head.id, headers, body.len(), &body), true)
            }),
        ),
        (
            Verdict::Broken,
            Arc::new(|head| {
                let body = fake::body(&head.id, BODY_BYTES - 1);
                let headers = "caraway-outcome: answered\r\n";
                (fake::response(200, &head.id, headers, BODY_BYTES, &body), false)
            }),
        ),
        (
            Verdict::Wrong,
            Arc::new(|head| {
                let body = fake::body(&head.id, BODY_BYTES);
                let headers = "caraway-outcome: answered\r\n";
                (fake::response(200, "t-99", headers, body.len(), &body), true)
            }),
        ),
        (Verdict::Lost, Arc::new(|_| (Vec::new(), false))),
        (Verdict::TimedOut, Arc::new(|_| (Vec::new(), true))),
        (
            Verdict::Refused(Reason::NoOwner),
            Arc::new(|head| {
                let headers = "caraway-outcome: refused\r\ncaraway-reason: no-owner\r\n";
                (fake::response(503, &head.id, headers, 2, b"no"), true)
            }),
        ),
        (
            Verdict::Unknown(Reason::ConnectionLost),
            Arc::new(|head| {
                let headers = "caraway-outcome: unknown\r\ncaraway-reason: connection-lost\r\n";
                (fake::response(502, &head.id, headers, 0, b""), true)
            }),
        ),
        (
            Verdict::Malformed,
            Arc::new(|head| {
                let headers = "caraway-outcome: refused\r\ncaraway-reason: no-owner\r\n";
                (fake::response(200, &head.id, headers, 0, b""), true)
            }),
        ),
        (Verdict::Malformed, Arc::new(|head| (fake::response(200, &head.id, "", 0, b""), true))),
    ];
    for (index, (expected, script)) in cases.into_iter().enumerate() {
        assert_eq!(run_single_request(script), expected, "case {index}");
    }
}

/// Guards against a checker whose result depends on the chunk boundaries of the body.
#[parameterized(
    whole = { 100, None, Integrity::Complete },
    short = { 99, None, Integrity::Truncated },
    long = { 101, None, Integrity::Mismatched },
    changed_line = { 100, Some(2), Integrity::Mismatched },
    changed_last = { 100, Some(99), Integrity::Mismatched },
)]
fn chunking_does_not_change_the_integrity(
    size: usize,
    changed: Option<usize>,
    expected: Integrity,
) {
    let mut body = fake::body("t-12", size);
    if let Some(index) = changed {
        body[index] ^= 1;
    }
    for chunk_bytes in 1..=body.len() {
        let mut checker = Checker::new("t-12", Some(100));
        body.chunks(chunk_bytes).for_each(|part| checker.add(part));
        assert_eq!(checker.finish(), expected, "chunks of {chunk_bytes} bytes");
    }
}

/// Guards against a hash that differs from FNV-1a, which the targets use. The values are the published test
/// vectors.
#[test]
fn fnv_has_the_published_values() {
    assert_eq!(fnv1a64(b""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(fnv1a64(b"a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(fnv1a64(b"foobar"), 0x8594_4171_f739_67e8);
}

/// Guards against a resubmission that loses the idempotency key, reuses the request id or goes to the same
/// instance, and against rejecting the recorded response to the first submission.
#[test]
fn an_order_with_unknown_outcome_is_resubmitted_to_another_instance() {
    let received = Arc::new(Mutex::new(Vec::new()));
    let entry = |name: &'static str| {
        let received = Arc::clone(&received);
        fake::start(Arc::new(move |head: &fake::Head| {
            let mut requests = received.lock().unwrap();
            requests.push((name, head.id.clone(), head.idempotency_key.clone()));
            if requests.len() == 1 {
                let headers = "caraway-outcome: unknown\r\ncaraway-reason: connection-lost\r\n";
                return (fake::response(502, &head.id, headers, 0, b""), true);
            }
            (fake::valid("t-0", BODY_BYTES), true)
        }))
    };
    let entries = vec![entry("first"), entry("second")];
    let mut profile = profile(entries, 1, Arrival::Closed { connections: 1 });
    profile.kinds[0].idempotency_key = true;
    profile.resends = 2;
    let record = run::run_to_completion(profile.clone()).unwrap();
    let idempotency_key = Some("t-order-0".to_owned());
    let expected = vec![
        ("first", "t-0".to_owned(), idempotency_key.clone()),
        ("second", "t-0.1".to_owned(), idempotency_key),
    ];
    assert_eq!(*received.lock().unwrap(), expected);
    let report = Report::new(&profile, &record, &[], 100, None);
    assert_eq!((report.orders.answered, report.orders.answered_after_resend), (1, 1));
    assert!(report.clean());
}

/// Guards against coordinated omission: requests that arrive while a server stalls wait for a connection, and
/// their latency must include this wait.
#[test]
fn a_stall_adds_latency_to_every_request_that_arrives_during_it() {
    let count = AtomicU64::new(0);
    let address = fake::start(Arc::new(move |head: &fake::Head| {
        if count.fetch_add(1, Ordering::Relaxed) == 20 {
            std::thread::sleep(Duration::from_millis(400));
        }
        (fake::valid(&head.id, BODY_BYTES), true)
    }));
    let arrival = Arrival::Open { rate: 100.0, connections: 1, poisson: false };
    let record = run::run_to_completion(profile(vec![address], 80, arrival)).unwrap();
    let delayed = record.samples.iter().filter(|sample| sample.latency_us() > 100_000).count();
    assert_eq!(record.samples.len(), 80);
    assert!(delayed >= 25, "only {delayed} requests show the stall of 400 ms at 100 requests/s");
}
