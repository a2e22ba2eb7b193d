//! Tests of key encodings.
#![allow(clippy::unwrap_used, clippy::indexing_slicing, reason = "a panic fails the test")]

mod support;

use proptest::prelude::*;

use caraway_core::outcome::Reason;
use caraway_core::shard;
use caraway_relay::caller;
use caraway_relay::key;

use crate::support::Action;
use crate::support::Entry;
use crate::support::Target;
use crate::support::ok;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a key that has two owners because it is encoded in two ways.
    #[test]
    fn all_encodings_map_to_one_shard(text in "[ -~äß€\u{1F5DD}\n]{1,12}", choices in any::<[u8; 64]>()) {
        let mut choices = choices.iter().cycle();
        let mut segment = String::new();
        for byte in text.bytes() {
            let plain = byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte);
            match choices.next().unwrap() % 3 {
                0 if plain => segment.push(char::from(byte)),
                1 => segment.push_str(&format!("%{byte:02x}")),
                _ => segment.push_str(&format!("%{byte:02X}")),
            }
        }
        let decoded = key::decode(&segment).unwrap();
        prop_assert_eq!(&*decoded, &*text);
        prop_assert_eq!(shard::of_key(decoded.as_bytes(), 256), shard::of_key(text.as_bytes(), 256));
        let field = key::to_field(&text);
        prop_assert!(field.bytes().all(|byte| byte.is_ascii_graphic()), "{}", field);
        prop_assert_eq!(key::decode(&field).unwrap(), text);
    }
}

/// Guards against an invalid encoding that is decoded to some key.
#[yare::parameterized(
    end = { "a%" },
    one_digit = { "a%4" },
    no_digit = { "%zz" },
    second_digit = { "%4g" },
    twice = { "%%41" },
    not_utf8 = { "%ff" },
    cut_character = { "%c3" },
)]
fn invalid_encoding_is_refused(segment: &str) {
    assert_eq!(key::decode(segment), Err(Reason::BadRequest));
}

/// Guards against an encoded slash that ends the key, and against an encoded percent sign that is
/// decoded twice.
#[yare::parameterized(
    slash = { "a%2Fb", "a/b" },
    percent = { "a%2520b", "a%20b" },
    plus = { "a+b", "a+b" },
)]
fn key_is_decoded_once(segment: &str, expected: &str) {
    assert_eq!(key::decode(segment).unwrap(), expected);
}

/// Guards against encodings of a key that reach different shards of a target or arrive modified,
/// and against an invalid encoding that reaches a target.
#[tokio::test]
async fn encodings_reach_one_shard() {
    let target = Target::start(|received, _| Action::Write(ok(received, "fine"))).await;
    let entry = Entry::with_targets(&[&target]).await;
    let paths = ["/lectura/k%2F1/wear", "/lectura/%6b%2f1/wear", "/lectura/%6B%2F%31/wear"];
    for path in paths {
        assert_eq!(entry.get(path, &[]).await.text(), "fine");
    }
    let expected = shard::of_key(b"k/1", 16).to_string();
    for (received, path) in target.received.lock().unwrap().iter().zip(paths) {
        assert!(received.head.starts_with(&format!("GET {path} ")), "{}", received.head);
        let fields = (received.field("caraway-key"), received.field("caraway-shard"));
        assert_eq!(fields, (Some("k/1"), Some(&*expected)));
    }
    entry.get("/lectura/%C3%A4%20%25", &[]).await;
    assert_eq!(target.received.lock().unwrap()[3].field("caraway-key"), Some("%C3%A4%20%25"));
    let refused = entry.get("/lectura/a%2", &[]).await;
    assert_eq!((refused.status, refused.outcome()), (400, ("refused", "bad-request")));
    assert_eq!(target.count(), 4);
}

/// Guards against a coordinator that decodes a key differently from the instance that hashed it.
#[tokio::test]
async fn instances_agree_on_the_key() {
    let plan = Entry::start("entry-1").await.plan;
    let found = caller::find_route(&plan, &hyper::Method::HEAD, "/lectura/%41%2F/x?y");
    assert_eq!(&*found.unwrap().1, "A/");
}
