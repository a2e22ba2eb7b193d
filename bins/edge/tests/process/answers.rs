//! What callers get.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use caraway_production::caller::Caller;

use crate::cluster::Cluster;
use crate::cluster::wait;

const DEADLINE: (&str, &str) = ("carawayscale-deadline-ms", "2000");

/// Guards against a response that is changed, or loses its proof, on the way.
#[test]
fn an_answer_is_passed_on_unchanged() {
    let cluster = Cluster::start(2, 0, 1);
    let response = cluster.get(0, "/read/a?b=c", "a1");
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.header("carawayscale-response-signature"), Some("proof"));
    assert!(response.body.ends_with(":a1"), "{response:?}");
    let run = cluster.journal.runs().pop().unwrap();
    assert_eq!(run.path, "/read/a?b=c");
}

/// Guards against a route that is found by the wrong host or prefix, and against a request without
/// an id.
#[test]
fn requests_without_route_or_id_are_told_so() {
    let cluster = Cluster::start(1, 0, 1);
    assert_eq!(cluster.get(0, "/unknown/x", "a").status, 404);
    let mut stream = cluster.caller(0);
    let response = stream.call("GET", "/read/x", "", &[("connection", "close")]).unwrap();
    assert_eq!(response.status, 200, "an empty id is an id");
}

/// Guards against a forged header that makes a target believe what this system did not say.
#[test]
fn forged_headers_do_not_reach_a_target() {
    let cluster = Cluster::start(1, 0, 1);
    let forged = [
        DEADLINE,
        ("carawayscale-target-instance", "other"),
        ("carawayscale-not-executed", "1"),
        ("x-kept", "yes"),
        ("connection", "x-hop"),
        ("x-hop", "no"),
    ];
    let response = cluster.caller(0).call("GET", "/read/x", "f1", &forged).unwrap();
    assert_eq!(response.status, 200);
    let run = cluster.journal.runs().pop().unwrap();
    let header = |name: &str| run.headers.iter().find(|(known, _)| known == name);
    assert_eq!(header("carawayscale-target-instance").unwrap().1, "p0");
    assert!(header("carawayscale-not-executed").is_none());
    assert!(header("x-hop").is_none());
    assert!(header("x-kept").is_some());
    let left: u64 = header("carawayscale-deadline-ms").unwrap().1.parse().unwrap();
    assert!(left <= 2000 && left > 1500, "{left}");
}

/// Guards against a second response, or bytes beyond one, that reach the next request.
#[yare::parameterized(
    at_once = { "/read/twice" },
    later = { "/read/late-second" },
)]
fn bytes_beyond_an_answer_reach_nobody(path: &str) {
    let cluster = Cluster::start(1, 0, 1);
    for index in 0..20 {
        let attempt = format!("a{index}");
        let response = cluster.get(0, path, &attempt);
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, format!("p0:{attempt}").as_str())
        );
        thread::sleep(Duration::from_millis(if index % 2 == 0 { 0 } else { 35 }));
    }
}

/// Guards against a response without a length that is taken for broken, or passed on without an end.
#[test]
fn an_answer_that_ends_with_its_connection_is_whole() {
    let cluster = Cluster::start(1, 0, 1);
    let mut caller = cluster.caller(0);
    for attempt in ["a", "b"] {
        let response = caller.call("GET", "/read/unframed", attempt, &[DEADLINE]).unwrap();
        assert_eq!((response.status, response.body), (200, format!("p0:{attempt}")));
    }
}

/// Guards against a request that may run once and is sent again, and against an untrue "not run".
#[yare::parameterized(
    before = { "/order/break-before" },
    midway = { "/order/break-midway" },
)]
fn an_order_whose_answer_is_lost_is_not_sent_again(path: &str) {
    let cluster = Cluster::start(2, 0, 1);
    let response = cluster.caller(0).call("POST", path, "o1", &[DEADLINE]).unwrap();
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(cluster.runs("o1"), 1);
}

/// Guards against a repeatable request that is given up after one broken response, and against more
/// targets than the route allows.
#[test]
fn a_read_is_sent_to_two_targets_at_most() {
    let cluster = Cluster::start(3, 0, 1);
    let response = cluster.get(0, "/read/break-midway", "r1");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(cluster.runs("r1"), 2);
}

/// Guards against a refusal without the promise that the request has not run, or without the time
/// to come back.
#[test]
fn an_order_that_targets_turn_away_is_refused_as_not_run() {
    let cluster = Cluster::start(2, 0, 1);
    let response = cluster.caller(0).call("POST", "/order/shed-always", "o2", &[DEADLINE]).unwrap();
    assert_eq!(response.status, 503, "{response:?}");
    let retry: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(retry > 0.0 && retry < 1.0);
    assert_eq!(cluster.runs("o2"), 0);
}

/// Guards against work that goes on for a caller who has left.
#[test]
fn a_caller_who_leaves_ends_the_work() {
    let cluster = Cluster::start(1, 0, 1);
    let mut caller = cluster.caller(0);
    caller.send("GET", "/read/wait-800", "g1", &[DEADLINE], "").unwrap();
    wait(Duration::from_secs(2), "running", || cluster.runs("g1") == 1);
    drop(caller);
    wait(Duration::from_secs(2), "heard of", || {
        cluster.journal.runs().iter().any(|run| !run.heard)
    });
}

/// Guards against a request that is kept waiting beyond its deadline.
#[test]
fn a_request_is_answered_at_its_deadline() {
    let cluster = Cluster::start(1, 0, 1);
    let headers = [("carawayscale-deadline-ms", "300")];
    let began = std::time::Instant::now();
    let response = cluster.caller(0).call("GET", "/read/wait-1500", "d1", &headers).unwrap();
    assert_eq!(response.status, 504);
    assert!(began.elapsed() < Duration::from_millis(700), "{:?}", began.elapsed());
}

/// Guards against a target that cannot be reached and costs the request its response.
#[test]
fn a_target_that_crashed_costs_no_answer() {
    let cluster = Cluster::start(2, 0, 1);
    cluster.targets[0].crash();
    for index in 0..20 {
        let response =
            cluster.caller(0).call("POST", "/order/x", &format!("c{index}"), &[DEADLINE]);
        assert_eq!(response.unwrap().status, 200);
    }
}

/// Guards against failures that count as answers: orders went on to a target that failed them all.
#[test]
fn a_target_that_fails_orders_gets_few() {
    let cluster = Cluster::start(4, 0, 2);
    let mut failed = 0;
    for index in 0..200 {
        let path = "/order/fail-at-p1";
        let response = cluster
            .caller(index % 2)
            .call("POST", path, &format!("f{index}"), &[DEADLINE])
            .unwrap();
        failed += usize::from(response.status == 500);
        thread::sleep(Duration::from_millis(10));
    }
    assert!(failed < 25, "{failed} of 200 failed; a quarter of the targets fails");
}

/// Guards against a body that is larger than the operator allows.
#[test]
fn a_body_over_the_limit_is_refused() {
    let cluster = Cluster::start(1, 0, 1);
    let mut caller = cluster.caller(0);
    let body = "x".repeat(100_001);
    caller.send("POST", "/order/x", "b1", &[DEADLINE], &body).unwrap();
    assert_eq!(caller.receive().unwrap().status, 413);
    assert_eq!(cluster.runs("b1"), 0);
}

/// Guards against an idle connection that is closed while callers still use it, and one that is
/// never closed.
#[test]
fn idle_connections_live_as_long_as_the_operator_says() {
    let cluster = Cluster::start(1, 0, 1);
    let mut caller: Caller = cluster.caller(0);
    assert_eq!(caller.call("GET", "/read/x", "i1", &[DEADLINE]).unwrap().status, 200);
    thread::sleep(Duration::from_millis(2400));
    assert_eq!(caller.call("GET", "/read/x", "i2", &[DEADLINE]).unwrap().status, 200);
    thread::sleep(Duration::from_millis(5200));
    assert!(caller.call("GET", "/read/x", "i3", &[DEADLINE]).is_err());
}

/// Guards against an instance that tries a target which refuses connections again and again, without
/// a pause, until the request's time is over: it had no processor time left for anything else, and
/// learned so late that a target was leaving that it sent requests there past the notice.
#[yare::parameterized(
    owner_of_a_key = { 0, 1 },
    only_target = { 1, 0 },
)]
fn a_target_that_refuses_connections_is_not_tried_without_pause(pool: usize, keyed: usize) {
    let cluster = Cluster::start(pool, keyed, 1);
    let ask = |attempt: &str| match keyed {
        0 => cluster.get(0, "/read/x", attempt),
        _ => cluster.get_key(0, 7, attempt),
    };
    wait(Duration::from_secs(10), "served", || ask("warm").status == 200);
    cluster.targets[0].crash();
    for index in 0..10 {
        let began = Instant::now();
        let response = ask(&format!("refused-{index}"));
        // The first one may have been sent on a connection that was open.
        assert!(response.status == 503 || (index == 0 && response.status == 502), "{response:?}");
        assert!(began.elapsed() < Duration::from_millis(1200), "{:?}", began.elapsed());
    }
    thread::sleep(Duration::from_millis(2200));
    assert_eq!(cluster.get(0, "/unknown/x", "after").status, 404);
    let log = cluster.instances[0].log();
    let tries = log.matches("\"target-unreached\"").count();
    assert!(tries <= 40, "{tries} tries");
    assert!(!log.contains("event 217 occurred"), "tries were too many to be logged");
}

/// Guards against a request that crashes one target after the other, sent to other instances each time.
/// Other requests, also those that were on the crashed targets, are served on.
#[test]
fn a_request_that_crashes_targets_ends_three_at_most() {
    let cluster = Cluster::start(6, 0, 2);
    let mut refused = 0;
    for attempt in 0..8 {
        let response = cluster.get(attempt % 2, "/read/crash", &format!("crash-{attempt}"));
        assert!([502, 503].contains(&response.status), "{response:?}");
        refused += usize::from(response.body.contains("crashed target after target"));
        thread::sleep(Duration::from_millis(900));
    }
    assert!(refused >= 3, "{refused}");
    let runs = cluster.journal.runs();
    let crashed: std::collections::HashSet<&str> = runs
        .iter()
        .filter(|run| run.path == "/read/crash")
        .map(|run| run.target.as_str())
        .collect();
    assert!(crashed.len() <= 4, "{crashed:?}");
    for index in 0..2 {
        assert_eq!(cluster.get(index, "/read/x", "after").status, 200);
    }
}
