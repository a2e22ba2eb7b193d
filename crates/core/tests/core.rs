//! Tests of the shared types.

use std::time::Duration;

use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use caraway_core::outcome::Reason;
use caraway_core::shard::of_key;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

/// Guards against a reason that one instance writes and another cannot parse.
#[test]
fn every_reason_round_trips() {
    for reason in Reason::ALL {
        assert_eq!(reason.as_str().parse::<Reason>(), Ok(*reason));
    }
}

/// Guards against a refusal with the status of an unknown outcome.
#[test]
fn reasons_have_error_statuses() {
    assert!(Reason::ALL.iter().all(|reason| reason.status() >= 400));
}

#[yare::parameterized(
    empty = { "" },
    one_part = { "4" },
    negative = { "-1.2" },
    three_parts = { "1.2.3" },
    overflow = { "18446744073709551616.0" },
)]
fn malformed_token_is_an_error(text: &str) {
    assert!(text.parse::<Token>().is_err());
}

/// Guards against a change of the hash, which would move keys between targets during an upgrade.
#[test]
fn hash_is_stable() {
    assert_eq!(of_key(b"escalator-17", 256).0, 226);
    assert_eq!(of_key(b"", 256).0, 38);
}

proptest! {
    #[test]
    fn tokens_round_trip_and_order_by_term(a in any::<(u64, u64)>(), b in any::<(u64, u64)>()) {
        let (x, y) = (Token::new(a.0, a.1), Token::new(b.0, b.1));
        prop_assert_eq!(x.to_string().parse::<Token>(), Ok(x));
        if a.0 < b.0 {
            prop_assert!(x < y);
        }
    }

    #[test]
    fn shards_stay_in_range(key in any::<Vec<u8>>(), shards in any::<u32>()) {
        prop_assert!(of_key(&key, shards).0 < shards.max(1));
    }

    #[test]
    fn stamps_never_wrap(start in any::<u64>(), micros in any::<u64>()) {
        let stamp = Stamp::from_micros(start);
        let duration = Duration::from_micros(micros);
        prop_assert!(stamp + duration >= stamp);
        prop_assert!(stamp - duration <= stamp);
    }
}
