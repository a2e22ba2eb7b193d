//! Tests of the path of a request through one or two instances.

mod support;

use support::Act;
use support::Entry;
use support::Target;
use support::ok;

/// Guards against a request that does not reach its owner with the fields that the target checks.
#[tokio::test]
async fn request_reaches_the_owner_with_its_fields() {
    let target = Target::start(|seen, _| Act::Write(ok(seen, "hello"))).await;
    let entry = Entry::with(&[&target]).await;
    let fields = [("caraway-request-id", "r-1"), ("caraway-token", "99.99"), ("te", "trailers")];
    let answer = entry.get("/lectura/k1?x=1", &fields).await;
    assert_eq!((answer.status, answer.text()), (200, "hello"));
    assert_eq!(answer.outcome(), ("answered", ""));
    assert_eq!(answer.field("caraway-request-id"), "r-1");
    let seen = target.seen.lock().unwrap()[0].clone();
    assert!(seen.head.starts_with("GET /lectura/k1?x=1 HTTP/1.1\r\n"), "{}", seen.head);
    assert_eq!(seen.field("caraway-token"), Some("2.1"));
    assert_eq!(seen.field("caraway-key"), Some("k1"));
    assert_eq!(seen.field("te"), None);
    let left: u128 = seen.field("caraway-deadline-ms").unwrap().parse().unwrap();
    assert!(left < support::PATIENCE.as_millis() && left > 1000, "{left}");
}
