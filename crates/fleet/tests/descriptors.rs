//! Shares of a process's descriptors.

use caraway_fleet::descriptors::Shares;

/// Guards against shares that together exceed the limit, or leave nothing for idle connections and other
/// instances.
#[test]
fn shares_stay_within_the_limit() {
    for limit in 64..20_000 {
        let shares = Shares::of(limit);
        let sum =
            shares.callers + shares.readiness + shares.metrics + shares.instances + shares.requests;
        assert!(sum + 32 < limit, "{limit}: {shares:?}");
    }
}

/// Guards against a listener for instances that cannot hold the connections of the largest fleet.
#[test]
fn the_smallest_machine_holds_the_largest_fleet() {
    let shares = Shares::of(2870);
    assert!(shares.instances >= 2 * 122, "{shares:?}");
    assert!(shares.callers >= 1000 && shares.requests >= 500, "{shares:?}");
}
