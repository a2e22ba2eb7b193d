//! Model-based tests with random fault histories over entry instances, the store, targets and
//! callers.
//!
//! Guards against two owners of a shard and against an order that runs twice, under any sequence of
//! crashes, pauses, partitions, takeovers, and lost or delayed messages.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod simulation;
mod target;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

use crate::simulation::Action;
use crate::simulation::ENTRIES;
use crate::simulation::ORDERS;
use crate::simulation::Simulation;
use crate::simulation::TARGETS;

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => (1u64..120).prop_map(Action::Wait),
        1 => (300u64..900).prop_map(Action::Wait),
        8 => (0usize..64).prop_map(Action::Deliver),
        8 => Just(Action::DeliverAll),
        1 => (0usize..64).prop_map(Action::Drop),
        1 => (0..TARGETS).prop_map(Action::FreezeTarget),
        2 => (0..TARGETS).prop_map(Action::ThawTarget),
        1 => (0..TARGETS).prop_map(Action::RestartTarget),
        1 => (0..ENTRIES).prop_map(Action::Freeze),
        2 => (0..ENTRIES).prop_map(Action::Thaw),
        1 => (0..ENTRIES).prop_map(Action::Kill),
        2 => (0..ENTRIES).prop_map(Action::Start),
        2 => any::<bool>().prop_map(Action::StoreUp),
        1 => Just(Action::LoseAnswer),
        4 => (0..ENTRIES).prop_map(Action::Read),
        8 => (0..ENTRIES, 0..ORDERS).prop_map(|(at, order)| Action::Submit(at, order)),
        1 => (0..ENTRIES, 0..ENTRIES).prop_map(|(one, other)| Action::Cut(one, other)),
        2 => (0..ENTRIES, 0..ENTRIES).prop_map(|(one, other)| Action::Heal(one, other)),
    ]
}

/// Returns the configuration of a run. `CARAWAY_HISTORY_CASES` and `CARAWAY_HISTORY_SEED` override
/// the number of cases and the seed.
fn config() -> ProptestConfig {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    ProptestConfig {
        cases: u32::try_from(number("CARAWAY_HISTORY_CASES", 300)).unwrap_or(u32::MAX),
        rng_seed: RngSeed::Fixed(number("CARAWAY_HISTORY_SEED", 11)),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_shard_has_two_owners_and_no_order_runs_twice(actions in vec(action(), 1..150)) {
        let mut simulation = Simulation::new();
        for action in &actions {
            simulation.apply(action);
        }
    }
}

/// Guards against a simulation in which no order ever runs, so that the invariants hold trivially.
#[test]
fn every_order_runs_once_without_faults() {
    let mut simulation = Simulation::new();
    for _ in 0..3 {
        for order in 0..ORDERS {
            for entry in 0..ENTRIES {
                simulation.apply(&Action::Submit(entry, order));
            }
        }
        simulation.apply(&Action::DeliverAll);
    }
    assert_eq!(simulation.orders_run(), usize::try_from(ORDERS).unwrap());
    assert_eq!(simulation.coordinations_started, 1);
}

/// Guards against a simulation that never uses the reserved term.
#[test]
fn a_killed_coordinator_is_succeeded_while_the_store_is_down() {
    let mut simulation = Simulation::new();
    let tick = [Action::Wait(20), Action::DeliverAll];
    run(&mut simulation, 60, &tick);
    for entry in 0..ENTRIES {
        simulation.apply(&Action::Read(entry));
    }
    run(&mut simulation, 20, &tick);
    simulation.apply(&Action::StoreUp(false));
    let holder = simulation.holder().unwrap();
    simulation.apply(&Action::Kill(holder));
    run(&mut simulation, 60, &tick);
    assert_eq!(simulation.reserved_terms_used, 1);
    assert!(simulation.holder().is_some());
}

fn run(simulation: &mut Simulation, rounds: usize, actions: &[Action]) {
    for _ in 0..rounds {
        for action in actions {
            simulation.apply(action);
        }
    }
}
