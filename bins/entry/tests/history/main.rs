//! Histories that hold entry instances, the store, targets and callers together.
//!
//! Guards against two owners of a shard and against an order that runs twice, whatever is killed,
//! frozen, cut, lost, delayed or taken over.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod target;
mod world;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

use crate::world::Action;
use crate::world::ENTRIES;
use crate::world::ORDERS;
use crate::world::TARGETS;
use crate::world::World;

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

/// Cases of one run; `CARAWAY_HISTORY_CASES` and `CARAWAY_HISTORY_SEED` make it long and different.
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
        let mut world = World::new();
        for action in &actions {
            world.act(action);
        }
    }
}

/// Guards against a world in which nothing ever happens, which would prove nothing.
#[test]
fn a_quiet_world_runs_every_order_once() {
    let mut world = World::new();
    for _ in 0..3 {
        for order in 0..ORDERS {
            for entry in 0..ENTRIES {
                world.act(&Action::Submit(entry, order));
            }
        }
        world.act(&Action::DeliverAll);
    }
    assert_eq!(world.ran(), usize::try_from(ORDERS).unwrap());
    assert_eq!(world.coordinations, 1);
}

/// Guards against a history in which the reserved term is never used.
#[test]
fn a_killed_coordinator_is_succeeded_while_the_store_is_down() {
    let mut world = World::new();
    let turn = [Action::Wait(20), Action::DeliverAll];
    run(&mut world, 60, &turn);
    for entry in 0..ENTRIES {
        world.act(&Action::Read(entry));
    }
    run(&mut world, 20, &turn);
    world.act(&Action::StoreUp(false));
    let holder = world.holder().unwrap();
    world.act(&Action::Kill(holder));
    run(&mut world, 60, &turn);
    assert_eq!(world.reserved, 1);
    assert!(world.holder().is_some());
}

fn run(world: &mut World, rounds: usize, actions: &[Action]) {
    for _ in 0..rounds {
        for action in actions {
            world.act(action);
        }
    }
}
