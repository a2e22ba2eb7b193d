//! Shares of the services of a route.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::HashMap;

use caraway_fleet::configuration::Split;
use caraway_fleet::configuration::Splitter;

fn splits(weights: &[(&str, u64)]) -> Vec<Split> {
    let split =
        |(service, weight): &(&str, u64)| Split { service: (*service).into(), weight: *weight };
    weights.iter().map(split).collect()
}

/// Sends requests and returns how many each service got.
fn send(splitter: &mut Splitter, splits: &[Split], count: usize) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for _ in 0..count {
        let service = splits[splitter.next(splits)].service.to_string();
        *counts.entry(service).or_default() += 1;
    }
    counts
}

/// Guards against credits in the old weights, which are worth many requests in the new ones.
#[test]
fn smaller_weights_keep_the_shares() {
    let (large, small) = (splits(&[("a", 900_000), ("b", 100_000)]), splits(&[("a", 9), ("b", 1)]));
    for sent in 0..20 {
        let mut splitter = Splitter::default();
        send(&mut splitter, &large, sent);
        let counts = send(&mut splitter, &small, 20);
        assert!((1..=3).contains(&counts["b"]), "{counts:?} after {sent} requests");
    }
}

/// Guards against a credit that passes to another service which takes the place in the list, and
/// against runs of requests to one service when the shares are exchanged.
#[test]
fn a_service_keeps_its_credit_when_the_order_changes() {
    let (one, other) = (splits(&[("a", 90), ("b", 10)]), splits(&[("b", 10), ("a", 90)]));
    let mut splitter = Splitter::default();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for round in 0..200 {
        let splits = if round % 2 == 0 { &one } else { &other };
        for (service, count) in send(&mut splitter, splits, 3) {
            *counts.entry(service).or_default() += count;
        }
    }
    assert!((58..=62).contains(&counts["b"]), "{counts:?}");
}

/// Guards against a service with a small share that gets nothing while the configuration changes
/// often: a new beginning always prefers the largest share.
#[test]
fn frequent_changes_do_not_starve_a_small_share() {
    let mut splitter = Splitter::default();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for round in 0..300_u64 {
        // The weights differ a little each time, and a third service comes and goes.
        let mut weights = vec![("a", 900 + round % 7), ("b", 100)];
        if round % 2 == 0 {
            weights.push(("c", 0));
        }
        for (service, count) in send(&mut splitter, &splits(&weights), 2) {
            *counts.entry(service).or_default() += count;
        }
    }
    assert!((55..=65).contains(&counts["b"]), "{counts:?}");
    assert!(!counts.contains_key("c"));
}

/// Guards against a service that makes up for the requests it did not get while its weight was
/// zero, or before it was listed.
#[test]
fn a_service_that_gets_a_share_does_not_catch_up() {
    let mut splitter = Splitter::default();
    send(&mut splitter, &splits(&[("a", 1), ("b", 0)]), 1000);
    let counts = send(&mut splitter, &splits(&[("a", 90), ("b", 10)]), 100);
    assert!((9..=11).contains(&counts["b"]), "{counts:?}");
    let counts = send(&mut splitter, &splits(&[("a", 80), ("b", 10), ("c", 10)]), 100);
    assert!((9..=11).contains(&counts["c"]), "{counts:?}");
}

/// Guards against sums of weights that overflow.
#[test]
fn the_largest_weights_are_equal_shares() {
    let mut splitter = Splitter::default();
    let counts = send(&mut splitter, &splits(&[("a", u64::MAX), ("b", u64::MAX)]), 10);
    assert_eq!((counts["a"], counts["b"]), (5, 5));
    let counts = send(&mut splitter, &splits(&[("a", 1), ("b", 1)]), 10);
    assert!((4..=6).contains(&counts["a"]), "{counts:?}");
}
