//! Single calls.

use std::net::TcpListener;
use std::time::Duration;

use serde_json::json;

use crate::fake::Fake;
use crate::fake::Step;
use caraway_store::client::Client;
use caraway_store::client::Options;
use caraway_store::errors::Error;
use caraway_store::record::Domain;

/// Guards against a wrong path, a missing domain header and mixed-up results.
#[test]
fn calls_follow_the_protocol() {
    let list =
        r#"[{"name":"t","kind":"target","failure_domain":"med","address":"a","state":"gone"}]"#;
    let changes = r#"{"revision":7,"changes":[{"key":"k","value":null,"revision":6}]}"#;
    let mut script = vec![Step::Serve; 4];
    script.extend([
        Step::Answer(200, changes),
        Step::Answer(200, list),
        Step::Answer(200, r#"{"lease":3}"#),
        Step::Answer(200, "{}"),
        Step::Answer(404, "{}"),
    ]);
    let fake = Fake::start(&script);
    let client = fake.client();
    assert_eq!(client.get("a/k").unwrap(), None);
    assert_eq!(client.put("a/k", "1", 0, None).unwrap(), 1);
    assert!(matches!(client.put("a/k", "2", 0, None), Err(Error::Conflict { revision: 1 })));
    assert_eq!(client.get("a/k").unwrap().unwrap().value, "1");
    let watched = client.watch("a/", 5, Duration::from_millis(40)).unwrap();
    assert_eq!((watched.revision, &watched.changes[0].value), (7, &None));
    assert_eq!(client.instances().unwrap()[0].failure_domain, "med".into());
    let lease = client.create_lease(Duration::from_secs(1)).unwrap();
    client.renew_lease(lease).unwrap();
    assert!(matches!(client.renew_lease(lease), Err(Error::LeaseExpired)));
    let calls = fake.calls();
    assert!(calls.iter().all(|call| call.ends_with(" med")), "{calls:?}");
    assert_eq!(calls[4], "GET /v1/watch/a/?after=5&wait_ms=40 med");
    assert_eq!(calls[8], "PUT /v1/leases/3 med");
}

/// Guards against a failure that is reported as another kind, on which callers decide whether a
/// write may have taken effect.
#[yare::parameterized(
    closed = { Step::LoseAnswer, "unanswered" },
    slow = { Step::Late(Duration::from_millis(900)), "unanswered" },
    garbage = { Step::Answer(200, "{]"), "unanswered" },
    garbage_conflict = { Step::Answer(409, "no"), "unanswered" },
    server_error = { Step::Answer(500, "{}"), "unanswered" },
    redirect = { Step::Answer(307, "{}"), "unanswered" },
    bad_head = { Step::Answer(0, "{}"), "unanswered" },
    too_large = { Step::Answer(413, "{}"), "rejected" },
)]
fn failures_are_told_apart(step: Step, expected: &str) {
    let fake = Fake::start(&[step]);
    let kind = match fake.client().put("k", "1", 0, None) {
        Err(Error::Unanswered(_)) => "unanswered",
        Err(Error::Rejected { status: 413, .. }) => "rejected",
        other => panic!("{other:?}"),
    };
    assert_eq!(kind, expected);
    assert_eq!(fake.calls().len(), 1);
}

/// Guards against a refused connection that is taken for a write with an unknown result.
#[test]
fn a_refused_connection_is_unreachable() {
    let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let base = format!("http://127.0.0.1:{port}");
    let client = Client::try_new(&base, "med".into(), Options::default()).unwrap();
    assert!(matches!(client.put("k", "1", 0, None), Err(Error::Unreachable(_))));
}

/// Guards against addresses, keys and redirects that would send a call to another path.
#[test]
fn calls_go_to_the_given_path_only() {
    for base in ["127.0.0.1:1", "https://127.0.0.1:1", "http://127.0.0.1", "http://a:1/x"] {
        assert!(Client::try_new(base, "med".into(), Options::default()).is_err(), "{base}");
    }
    let fake = Fake::start(&[Step::Answer(302, "{}")]);
    let client = fake.client();
    assert!(matches!(client.get("k"), Err(Error::Unanswered(_))));
    assert_eq!(fake.calls().len(), 1, "the redirect was followed");
    for key in ["a?b", "a b", "a%2f"] {
        assert!(matches!(client.get(key), Err(Error::Invalid { .. })), "{key}");
    }
}

/// Guards against a change of the stored form, which other versions read.
#[test]
fn the_record_has_the_documented_form() {
    let record = json!({ "format": 1, "write_id": "w",
        "members": [{ "instance": "e-1", "incarnation": 5, "control_address": "c",
            "peer_address": "p", "admin_address": "a" }],
        "groups": [{ "group": "s/med/0", "term": 4, "holder": "e-1", "holder_incarnation": 5,
            "successor": null, "reason": "start" }] });
    let domain = Domain::try_from_json(&record.to_string()).unwrap();
    let text = domain.to_json().unwrap();
    assert_eq!(serde_json::from_str::<serde_json::Value>(&text).unwrap(), record);
    let newer = record.to_string().replace("\"format\":1", "\"format\":2");
    assert!(matches!(Domain::try_from_json(&newer), Err(Error::Record(_))));
}
