//! Tests of the distribution of unowned shards among targets.

#![allow(clippy::indexing_slicing)]

use proptest::collection::vec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use caraway_ownership::table::distribute;

/// Returns the loads after assigning each shard to the least loaded target, the first one on a tie.
fn greedy_loads(count: usize, loads: &[usize]) -> Vec<usize> {
    let mut loads = loads.to_vec();
    for _ in 0..count {
        if let Some(lowest) = loads.iter_mut().min() {
            *lowest += 1;
        }
    }
    loads
}

proptest! {
    /// Guards against an uneven distribution, and against alternating owners, with which every renewal lists each shard
    /// separately.
    #[test]
    fn shards_are_divided_evenly_and_in_runs(count in 0usize..200, loads in vec(0usize..40, 1..17)) {
        let targets: Vec<(usize, usize)> = loads.iter().copied().enumerate().collect();
        let owners = distribute(count, &targets);
        prop_assert_eq!(owners.len(), count);
        let mut after = loads.clone();
        for owner in &owners {
            after[*owner] += 1;
        }
        prop_assert_eq!(after, greedy_loads(count, &loads));
        prop_assert!(owners.is_sorted(), "{:?}", owners);
    }
}

/// Guards against a panic without targets.
#[test]
fn without_targets_no_shard_is_distributed() {
    assert!(distribute(3, &[]).is_empty());
}
