//! Property tests of the table: random events against a model.

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

    /// Guards against work for the wrong target, exceeded slots, two targets for one shard, lost
    /// wakeups and leaked permits in a keyed lane.
    #[test]
    fn keyed_lane_keeps_its_invariants(events in proptest::collection::vec(event(), 1..160)) {
        let mut model = Model::new(false);
        for event in events {
            model.apply(event);
        }
        model.end();
    }

    /// Guards against exceeded slots, a needlessly avoided choice, uneven selection and lost wakeups
    /// in a pooled lane.
    #[test]
    fn pooled_lane_keeps_its_invariants(events in proptest::collection::vec(event(), 1..160)) {
        let mut model = Model::new(true);
        for event in events {
            model.apply(event);
        }
        model.end();
    }
}
