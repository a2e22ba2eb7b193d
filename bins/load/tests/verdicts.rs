//! The verdict on answers: what counts as answered, refused, unknown, broken, truncated and wrong.

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

const SIZE: usize = 300;

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
            answer_bytes: Some(SIZE as u64),
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

fn one(script: Arc<fake::Script>) -> Verdict {
    let address = fake::start(script);
    let record =
        run::run_to_completion(profile(vec![address], 1, Arrival::Closed { connections: 1 }))
            .unwrap();
    assert_eq!(record.samples.len(), 1);
    record.samples[0].verdict
}

/// Guards against accepting an answer that is short, belongs to someone else or contradicts itself.
#[test]
fn each_kind_of_answer_gets_its_verdict() {
    use caraway_core::outcome::Reason;
    let cases: Vec<(Verdict, Arc<fake::Script>)> = vec![
        (Verdict::Answered(200), Arc::new(|seen| (fake::good(&seen.id, SIZE), true))),
        (Verdict::Truncated, Arc::new(|seen| (fake::good(&seen.id, SIZE - 1), true))),
        (Verdict::Wrong, Arc::new(|seen| (fake::good(&seen.id, SIZE + 1), true))),
        (Verdict::Wrong, Arc::new(|_| (fake::good("t-99", SIZE), true))),
        (
            Verdict::Wrong,
            Arc::new(|seen| {
                let body = fake::body("t-99", SIZE);
                let headers = "caraway-outcome: answered\r\n";
                (fake::answer(200, &seen.id, headers, body.len(), &body), true)
            }),
        ),
        (
            Verdict::Broken,
            Arc::new(|seen| {
                let body = fake::body(&seen.id, SIZE - 1);
                let headers = "caraway-outcome: answered\r\n";
                (fake::answer(200, &seen.id, headers, SIZE, &body), false)
            }),
        ),
        (
            Verdict::Wrong,
            Arc::new(|seen| {
                let body = fake::body(&seen.id, SIZE);
                let headers = "caraway-outcome: answered\r\n";
                (fake::answer(200, "t-99", headers, body.len(), &body), true)
            }),
        ),
        (Verdict::Lost, Arc::new(|_| (Vec::new(), false))),
        (Verdict::TimedOut, Arc::new(|_| (Vec::new(), true))),
        (
            Verdict::Refused(Reason::NoOwner),
            Arc::new(|seen| {
                let headers = "caraway-outcome: refused\r\ncaraway-reason: no-owner\r\n";
                (fake::answer(503, &seen.id, headers, 2, b"no"), true)
            }),
        ),
        (
            Verdict::Unknown(Reason::ConnectionLost),
            Arc::new(|seen| {
                let headers = "caraway-outcome: unknown\r\ncaraway-reason: connection-lost\r\n";
                (fake::answer(502, &seen.id, headers, 0, b""), true)
            }),
        ),
        (
            Verdict::Malformed,
            Arc::new(|seen| {
                let headers = "caraway-outcome: refused\r\ncaraway-reason: no-owner\r\n";
                (fake::answer(200, &seen.id, headers, 0, b""), true)
            }),
        ),
        (Verdict::Malformed, Arc::new(|seen| (fake::answer(200, &seen.id, "", 0, b""), true))),
    ];
    for (index, (expected, script)) in cases.into_iter().enumerate() {
        assert_eq!(one(script), expected, "case {index}");
    }
}

/// Guards against a checker whose result depends on how the body is split into pieces.
#[parameterized(
    whole = { 100, None, Integrity::Complete },
    short = { 99, None, Integrity::Truncated },
    long = { 101, None, Integrity::Mismatched },
    changed_line = { 100, Some(2), Integrity::Mismatched },
    changed_last = { 100, Some(99), Integrity::Mismatched },
)]
fn pieces_do_not_change_the_finding(size: usize, changed: Option<usize>, expected: Integrity) {
    let mut body = fake::body("t-12", size);
    if let Some(index) = changed {
        body[index] ^= 1;
    }
    for piece in 1..=body.len() {
        let mut checker = Checker::new("t-12", Some(100));
        body.chunks(piece).for_each(|part| checker.add(part));
        assert_eq!(checker.finish(), expected, "pieces of {piece} bytes");
    }
}

/// Guards against a hash other than plain FNV-1a, which the targets use. Values from the reference
/// vectors of the algorithm's authors.
#[test]
fn fnv_has_the_published_values() {
    assert_eq!(fnv1a64(b""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(fnv1a64(b"a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(fnv1a64(b"foobar"), 0x8594_4171_f739_67e8);
}

/// Guards against a resubmission that loses the idempotency key, reuses the request id or goes to the
/// same instance, and against refusing the recorded answer to the first submission.
#[test]
fn an_order_with_unknown_outcome_is_submitted_again_elsewhere() {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let entry = |name: &'static str| {
        let seen = Arc::clone(&seen);
        fake::start(Arc::new(move |one: &fake::Seen| {
            let mut list = seen.lock().unwrap();
            list.push((name, one.id.clone(), one.order.clone()));
            if list.len() == 1 {
                let headers = "caraway-outcome: unknown\r\ncaraway-reason: connection-lost\r\n";
                return (fake::answer(502, &one.id, headers, 0, b""), true);
            }
            (fake::good("t-0", SIZE), true)
        }))
    };
    let entries = vec![entry("first"), entry("second")];
    let mut profile = profile(entries, 1, Arrival::Closed { connections: 1 });
    profile.kinds[0].idempotency_key = true;
    profile.resends = 2;
    let record = run::run_to_completion(profile.clone()).unwrap();
    let order = Some("t-order-0".to_owned());
    let expected =
        vec![("first", "t-0".to_owned(), order.clone()), ("second", "t-0.1".to_owned(), order)];
    assert_eq!(*seen.lock().unwrap(), expected);
    let report = Report::new(&profile, &record, &[], 100, None);
    assert_eq!((report.orders.answered, report.orders.answered_after_resend), (1, 1));
    assert!(report.clean());
}

/// Guards against coordinated omission: a server that stalls delays the requests that arrive during
/// the stall, and their latency must include the wait for a connection.
#[test]
fn a_stall_counts_for_every_request_that_arrived_during_it() {
    let count = AtomicU64::new(0);
    let address = fake::start(Arc::new(move |seen: &fake::Seen| {
        if count.fetch_add(1, Ordering::Relaxed) == 20 {
            std::thread::sleep(Duration::from_millis(400));
        }
        (fake::good(&seen.id, SIZE), true)
    }));
    let arrival = Arrival::Open { rate: 100.0, connections: 1, poisson: false };
    let record = run::run_to_completion(profile(vec![address], 80, arrival)).unwrap();
    let slow = record.samples.iter().filter(|sample| sample.latency_us() > 100_000).count();
    assert_eq!(record.samples.len(), 80);
    assert!(slow >= 25, "only {slow} requests show the stall of 400 ms at 100 requests/s");
}
