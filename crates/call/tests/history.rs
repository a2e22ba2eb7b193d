//! Tests of the completeness of collected ledger entries.

use caraway_call::history::History;
use caraway_call::history::required_replicas;
use caraway_core::name;

/// Guards against a resent request that runs again because its record was at an instance that did not answer, or that
/// has restarted since. `-1` stands for no answer, `0` for no copy.
#[yare::parameterized(
    first_coordinator = { &[], true },
    all_have_a_copy = { &[16, 16, 16], true },
    one_is_silent = { &[16, 16, -1], true },
    one_has_started_since = { &[16, 16, 0], true },
    two_have_started_since = { &[16, 0, 0], false },
    one_silent_and_one_started_since = { &[16, -1, 0], false },
    two_are_silent = { &[16, -1, -1], false },
    both_holders_lost = { &[0, 0], false },
    two_with_copies = { &[16, 16], true },
    one_of_two_is_silent = { &[16, -1], false },
    one_of_four_is_silent = { &[16, 16, 16, -1], true },
    two_of_four_are_silent = { &[16, 16, -1, -1], false },
    only_one_with_a_copy = { &[16], true },
    only_one_without = { &[0], false },
    copy_of_an_earlier_term = { &[32, 32, 16], true },
    copies_of_an_earlier_term = { &[32, 16, 16], false },
)]
fn completeness_follows_from_the_copies(answers: &[i64], complete: bool) {
    let name = |index: usize| name::Instance::new(&format!("e{index}"));
    let mut history = History::new((0..answers.len()).map(name));
    for (index, answer) in answers.iter().enumerate() {
        if let Ok(term) = u64::try_from(*answer) {
            history.record_answer(&name(index), term);
        }
    }
    assert_eq!(history.is_complete(), complete);
}

/// Guards against a request that is sent without a replica at an instance that is unreachable but may take over.
#[test]
fn unreachable_instances_count() {
    assert_eq!([0, 1, 2, 3, 4].map(required_replicas), [0, 1, 1, 2, 2]);
}
