//! Simulated histories of coordinators, targets and the store under faults.
//!
//! They guard against two targets that consider the same shard their own, under any combination of
//! lost, delayed, duplicated and reordered messages, freezes, restarts and takeovers.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod simulation;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

use crate::simulation::Action;
use crate::simulation::SHARDS;
use crate::simulation::Simulation;
use crate::simulation::TARGETS;

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (1u64..160).prop_map(Action::Wait),
        1 => (300u64..900).prop_map(Action::Wait),
        8 => (0usize..64).prop_map(Action::Deliver),
        6 => Just(Action::DeliverAll),
        2 => (0usize..64).prop_map(Action::Drop),
        2 => (0usize..64).prop_map(Action::Duplicate),
        2 => (0..TARGETS).prop_map(Action::FreezeTarget),
        2 => (0..TARGETS).prop_map(Action::ThawTarget),
        1 => (0..TARGETS).prop_map(Action::RestartTarget),
        1 => (0usize..8).prop_map(Action::Freeze),
        2 => (0usize..8).prop_map(Action::Thaw),
        1 => (0usize..8).prop_map(Action::Kill),
        2 => (0usize..4, 0..TARGETS).prop_map(|(from, to)| Action::Cut(from, to)),
        2 => (0usize..4, 0..TARGETS).prop_map(|(from, to)| Action::Heal(from, to)),
        1 => Just(Action::TakeOver),
        3 => (0usize..8).prop_map(Action::Confirm),
        2 => (0..SHARDS, 0..TARGETS).prop_map(|(shard, to)| Action::Move(shard, to)),
        1 => (0..TARGETS).prop_map(Action::Leave),
    ]
}

/// Configuration of a run; `CARAWAY_HISTORY_CASES` and `CARAWAY_HISTORY_SEED` override its length and
/// seed.
fn config() -> ProptestConfig {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    ProptestConfig {
        cases: u32::try_from(number("CARAWAY_HISTORY_CASES", 500)).unwrap_or(u32::MAX),
        rng_seed: RngSeed::Fixed(number("CARAWAY_HISTORY_SEED", 7)),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_shard_has_two_owners(actions in vec(action(), 1..120)) {
        let mut simulation = Simulation::new();
        for action in &actions {
            simulation.act(action);
        }
    }

    #[test]
    fn every_shard_has_an_owner_after_the_faults(actions in vec(action(), 1..60)) {
        let mut simulation = Simulation::new();
        let is_included = |action: &&Action| !matches!(action, Action::Leave(_));
        for action in actions.iter().filter(is_included) {
            simulation.act(action);
        }
        prop_assert_eq!(simulation.recover(), usize::try_from(SHARDS).unwrap_or(0));
    }
}

/// Guards against a simulation in which no shard is ever assigned, which would prove nothing.
#[test]
fn a_simulation_without_faults_assigns_every_shard() {
    let mut simulation = Simulation::new();
    assert_eq!(simulation.recover(), usize::try_from(SHARDS).unwrap_or(0));
    assert!(simulation.assigned >= usize::try_from(SHARDS).unwrap_or(0));
}

fn run(simulation: &mut Simulation, rounds: usize, actions: &[Action]) {
    for _ in 0..rounds {
        for action in actions {
            simulation.act(action);
        }
    }
}

/// Guards against a partitioned coordinator that loses its term and is the first to contact a
/// restarted target, which does not know the higher term.
#[test]
fn a_cut_off_coordinator_grants_nothing_to_a_restarted_target() {
    let mut simulation = Simulation::new();
    let round = [Action::Wait(20), Action::DeliverFor(0), Action::DeliverFor(1)];
    run(&mut simulation, 20, &round);
    for target in 0..TARGETS {
        simulation.act(&Action::Cut(0, target));
    }
    simulation.act(&Action::TakeOver);
    run(&mut simulation, 60, &round);
    simulation.act(&Action::Cut(1, 0));
    run(&mut simulation, 60, &round);
    run(&mut simulation, 1, &[Action::RestartTarget(0), Action::Heal(0, 0)]);
    run(&mut simulation, 60, &round);
}

/// Guards against a coordinator that is frozen before its first contact with a target, loses its
/// term, and places shards when it resumes.
#[test]
fn a_thawed_coordinator_grants_nothing_before_its_term_is_checked() {
    let mut simulation = Simulation::new();
    let round = [Action::Wait(20), Action::DeliverFor(0), Action::DeliverFor(1)];
    run(&mut simulation, 1, &[Action::Freeze(0), Action::TakeOver]);
    // The other targets know the higher term and would report it.
    run(&mut simulation, 1, &[Action::Cut(0, 1), Action::Cut(0, 2)]);
    run(&mut simulation, 60, &[Action::Wait(20), Action::DeliverFor(1)]);
    simulation.act(&Action::Cut(1, 0));
    run(&mut simulation, 60, &[Action::Wait(20), Action::DeliverFor(1)]);
    run(&mut simulation, 1, &[Action::RestartTarget(0), Action::Thaw(0)]);
    run(&mut simulation, 60, &round);
}
