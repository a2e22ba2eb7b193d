//! How vacant shards are divided among targets.

#![allow(clippy::indexing_slicing)]

use proptest::collection::vec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use caraway_ownership::table::share_out;

/// Returns the loads after each shard went to the target with the lowest load, the first one among equals.
fn one_by_one(count: usize, loads: &[usize]) -> Vec<usize> {
    let mut loads = loads.to_vec();
    for _ in 0..count {
        if let Some(lowest) = loads.iter_mut().min() {
            *lowest += 1;
        }
    }
    loads
}

proptest! {
    /// Guards against targets with more shards than others, and against owners that take turns, which makes every
    /// renewal list each shard by itself.
    #[test]
    fn shards_are_divided_evenly_and_in_runs(count in 0usize..200, loads in vec(0usize..40, 1..17)) {
        let targets: Vec<(usize, usize)> = loads.iter().copied().enumerate().collect();
        let owners = share_out(count, &targets);
        prop_assert_eq!(owners.len(), count);
        let mut after = loads.clone();
        for owner in &owners {
            after[*owner] += 1;
        }
        prop_assert_eq!(after, one_by_one(count, &loads));
        prop_assert!(owners.is_sorted(), "{:?}", owners);
    }
}

/// Guards against a division by targets that do not exist.
#[test]
fn without_targets_nothing_is_given() {
    assert!(share_out(3, &[]).is_empty());
}
