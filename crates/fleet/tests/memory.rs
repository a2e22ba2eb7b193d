//! Accounting of the memory of requests and responses.

// The lint settings allow these in test functions only; the helpers use them as well.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::net::IpAddr;
use std::net::Ipv4Addr;

use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use caraway_core::time::Stamp;
use caraway_fleet::memory::Answer;
use caraway_fleet::memory::Budget;
use caraway_fleet::memory::SMALL_BYTES;

const MIB: u64 = 1 << 20;

fn caller(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(millis)
}

/// Guards against a smallest machine that refuses the largest body although nothing else is in flight.
#[test]
fn the_largest_body_fits_the_smallest_machine() {
    let mut budget = Budget::of_machine(112_000_000);
    let id = budget.begin(caller(1), at(0));
    assert_eq!(budget.grow(id, 64 * MIB, at(0)), Answer::Granted);
    let next = budget.begin(caller(2), at(0));
    assert_eq!(budget.grow(next, 64 * MIB, at(0)), Answer::Short(None));
    budget.end(id);
    assert_eq!(budget.grow(next, 64 * MIB, at(0)), Answer::Granted);
    let never = budget.begin(caller(3), at(0));
    assert_eq!(budget.grow(never, 100 * MIB, at(0)), Answer::TooLarge);
}

/// Guards against large bodies that take the memory of small ones.
#[test]
fn small_holdings_have_a_part_of_their_own() {
    let mut budget = Budget::new(20 * MIB);
    for number in 0..100 {
        let id = budget.begin(caller(number), at(0));
        budget.grow(id, MIB, at(0));
    }
    assert_eq!(budget.used(), 18 * MIB);
    let mut granted = 0;
    for number in 0..100 {
        let id = budget.begin(caller(number), at(0));
        granted += u64::from(budget.grow(id, SMALL_BYTES, at(0)) == Answer::Granted);
    }
    assert_eq!(granted, 2 * MIB / SMALL_BYTES);
}

/// Guards against responses of targets in trouble that take the memory that ordinary requests need: what a request can
/// do without ends at half of the budget, and at half of a caller's part.
#[test]
fn memory_that_requests_can_do_without_leaves_half_of_the_budget() {
    let mut budget = Budget::new(8 * MIB);
    let mut granted = 0;
    for number in 0..200 {
        let id = budget.begin(caller(number), at(0));
        assert_eq!(budget.grow(id, 8 << 10, at(0)), Answer::Granted);
        granted += u64::from(budget.grow_optional(id, 56 << 10, at(0)) == Answer::Granted);
    }
    assert!(
        granted > 0 && budget.used() <= 4 * MIB + 200 * (8 << 10),
        "{granted} granted, {} used",
        budget.used()
    );
    let mut budget = Budget::new(8 * MIB);
    while budget.used() < 4 * MIB {
        let id = budget.begin(caller(1), at(0));
        if budget.grow_optional(id, 64 << 10, at(0)) != Answer::Granted {
            break;
        }
    }
    assert_eq!(budget.used(), 2 * MIB);
    let id = budget.begin(caller(1), at(0));
    assert_eq!(budget.grow(id, 64 << 10, at(0)), Answer::Granted);
}

/// Guards against one address that takes the whole budget, with large or with small bodies.
#[yare::parameterized(
    large = { MIB },
    small = { SMALL_BYTES },
)]
fn one_address_gets_a_share(bytes: u64) {
    let mut budget = Budget::new(20 * MIB);
    for _ in 0..1000 {
        let id = budget.begin(caller(1), at(0));
        budget.grow(id, bytes, at(0));
    }
    assert!(budget.used() <= 10 * MIB, "{}", budget.used());
    let other = budget.begin(caller(2), at(0));
    assert_eq!(budget.grow(other, bytes, at(0)), Answer::Granted);
}

/// Guards against giving up a body that makes progress, that is complete or that is not the longest stalled.
#[test]
fn the_longest_stalled_body_is_given_up_first() {
    let mut budget = Budget::new(20 * MIB);
    let ids = [1, 2, 3, 4].map(|number| {
        let id = budget.begin(caller(number), at(0));
        assert_eq!(budget.grow(id, 4 * MIB, at(0)), Answer::Granted);
        id
    });
    budget.complete(ids[0]);
    budget.record_arrival(ids[1], 8192, at(900));
    budget.record_arrival(ids[2], 8192, at(600));
    // Single bytes are no progress.
    budget.record_arrival(ids[3], 1, at(950));
    let next = budget.begin(caller(9), at(900));
    assert_eq!(budget.grow(next, 4 * MIB, at(999)), Answer::Short(None));
    assert_eq!(budget.grow(next, 4 * MIB, at(1000)), Answer::Short(Some(ids[3])));
    budget.end(ids[3]);
    assert_eq!(budget.grow(next, 4 * MIB, at(1000)), Answer::Granted);
    let last = budget.begin(caller(10), at(900));
    assert_eq!(budget.grow(last, 4 * MIB, at(1700)), Answer::Short(Some(ids[2])));
}

proptest! {
    /// Guards against memory that is counted twice or never returned: any history stays within the budget and
    /// ends at zero.
    #[test]
    fn any_history_stays_within_the_budget(
        steps in proptest::collection::vec((0_u8..4, 0_usize..12, any::<u32>(), 0_u8..3), 1..200),
    ) {
        let mut budget = Budget::new(8 * MIB);
        let mut held: Vec<(_, u64)> = Vec::new();
        for (step, index, bytes, number) in steps {
            let bytes = u64::from(bytes) % (2 * MIB);
            match (step, held.get_mut(index)) {
                (0, _) => held.push((budget.begin(caller(number), at(0)), 0)),
                (1, Some((id, size))) => {
                    let granted = budget.grow(*id, bytes, at(0)) == Answer::Granted;
                    *size += if granted { bytes } else { 0 };
                }
                (2, Some((id, size))) => {
                    budget.shrink(*id, bytes);
                    *size = size.saturating_sub(bytes);
                }
                (_, Some((id, _))) => {
                    budget.end(*id);
                    held.remove(index);
                }
                _ => {}
            }
            prop_assert!(budget.used() <= budget.total());
            prop_assert_eq!(budget.used(), held.iter().map(|(_, size)| size).sum::<u64>());
        }
        for (id, _) in held {
            budget.end(id);
        }
        prop_assert_eq!(budget.used(), 0);
    }
}
