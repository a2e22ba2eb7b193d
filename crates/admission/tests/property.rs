//! Property tests of the scheduler: random events, checked against a model.

use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use model::Model;
use model::event;

#[cfg(test)]
mod model;

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against requests to the wrong target, exceeded slots, two targets for one shard, lost
    /// wakeups and leaked permits in a keyed group.
    #[test]
    fn keyed_group_keeps_its_invariants(events in proptest::collection::vec(event(), 1..160)) {
        let mut model = Model::new(false);
        for event in events {
            model.apply(event);
        }
        model.end();
    }

    /// Guards against exceeded slots, selection of the avoided target without need, uneven selection
    /// and lost wakeups in a pooled group.
    #[test]
    fn pooled_group_keeps_its_invariants(events in proptest::collection::vec(event(), 1..160)) {
        let mut model = Model::new(true);
        for event in events {
            model.apply(event);
        }
        model.end();
    }
}
