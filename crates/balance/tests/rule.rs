//! Tests of the placement rule and the baseline policies.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use caraway_balance::baseline::Bounded;
use caraway_balance::baseline::Greedy;
use caraway_balance::load::Loads;
use caraway_balance::rule::Options;
use caraway_balance::rule::Rule;
use caraway_balance::trace::Random;
use caraway_balance::window::Action;
use caraway_balance::window::Assignment;
use caraway_balance::window::Key;
use caraway_balance::window::Policy;
use caraway_balance::window::Split;
use caraway_balance::window::Target;
use caraway_balance::window::Window;
use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

fn target(number: usize) -> name::Target {
    name::Target::new(&format!("lectura-{number:02}"))
}

/// Creates a window in which shard n has the n-th rate and owner.
fn window(targets: usize, shards: &[(f64, usize)]) -> Window {
    let create = |number| Target { name: target(number), capacity: 4.0, accepting: true };
    let assignment = |(number, (rate, owner)): (u32, &(f64, usize))| Assignment {
        shard: Shard(number),
        owner: target(*owner),
        rate: *rate,
        heavy: Vec::new(),
    };
    Window {
        elapsed: Duration::from_millis(500),
        targets: (0..targets).map(create).collect(),
        shards: (0..).zip(shards).map(assignment).collect(),
        splits: Vec::new(),
    }
}

fn at(index: u32) -> Stamp {
    Stamp::default() + Duration::from_millis(500) * index
}

fn apply(window: &mut Window, action: &Action) {
    match action {
        Action::Move(shard, target) => {
            for assignment in
                window.shards.iter_mut().filter(|assignment| assignment.shard == *shard)
            {
                assignment.owner = target.clone();
            }
        }
        Action::Split(key, owner) => {
            if let Some(split) = window.splits.iter_mut().find(|split| split.key == *key) {
                split.owner = owner.clone();
                return;
            }
            let has_key = |assignment: &&mut Assignment| {
                assignment.heavy.iter().any(|heavy| heavy.key == *key)
            };
            for assignment in window.shards.iter_mut().filter(has_key) {
                let rest =
                    assignment.heavy.iter().filter(|heavy| heavy.key != *key).cloned().collect();
                for heavy in std::mem::replace(&mut assignment.heavy, rest) {
                    if heavy.key == *key {
                        assignment.rate -= heavy.rate;
                        let owner = owner.clone();
                        window.splits.push(Split { key: heavy.key, owner, rate: heavy.rate });
                    }
                }
            }
        }
        Action::Unsplit(key) => window.splits.retain(|split| split.key != *key),
    }
}

/// Runs the rule on constant rates and returns the actions with the index of their window.
fn run_rule(window: &mut Window, options: Options, windows: u32) -> Vec<(u32, Action)> {
    let mut rule = Rule::new(options);
    let mut all = Vec::new();
    for index in 1..=windows {
        for action in rule.decide(window, at(index)) {
            apply(window, &action);
            all.push((index, action));
        }
    }
    all
}

/// Returns options without costs, so that any gain pays off.
fn free_options() -> Options {
    Options { action_cost: 0.0, churn_cost: 0.0, pause_cost: 0.0, ..Options::default() }
}

/// Guards against moves with a negligible gain.
#[test]
fn small_gain_moves_nothing() {
    let mut state = window(2, &[(600.0, 0), (15.0, 0), (400.0, 1)]);
    assert_eq!(run_rule(&mut state, free_options(), 100), []);
    let mut state = window(2, &[(600.0, 0), (17.0, 0), (400.0, 1)]);
    assert_eq!(run_rule(&mut state, free_options(), 100).len(), 1);
}

/// Guards against moves that are triggered by a small difference, are unnecessary or have no
/// effect.
#[yare::parameterized(
    large_difference = { &[(400.0, 0), (400.0, 0), (100.0, 1)], 1 },
    below_threshold = { &[(500.0, 0), (20.0, 0), (500.0, 1)], 0 },
    move_would_swap_the_roles = { &[(1000.0, 0), (100.0, 1)], 0 },
    nothing_to_do = { &[(500.0, 0), (500.0, 1)], 0 },
    no_load = { &[(0.0, 0), (0.0, 0), (0.0, 1)], 0 },
)]
fn moves_on_constant_load(shards: &[(f64, usize)], expected: usize) {
    let mut window = window(2, shards);
    assert_eq!(run_rule(&mut window, Options::default(), 60).len(), expected);
}

/// Guards against moves because of a peak that lasts for one or two windows.
#[test]
fn short_peak_moves_nothing() {
    let even = window(2, &[(250.0, 0), (250.0, 0), (250.0, 1), (250.0, 1)]);
    let peak = window(2, &[(900.0, 0), (900.0, 0), (250.0, 1), (250.0, 1)]);
    let mut rule = Rule::new(Options { smoothing: 1.0, ..free_options() });
    for index in 1..200 {
        let window = if index % 10 < 2 { &peak } else { &even };
        assert_eq!(rule.decide(window, at(index)), []);
    }
}

/// Guards against moves because of the random variation of a service with few requests.
#[test]
fn random_variation_of_few_requests_moves_nothing() {
    let mut random = Random::new(5);
    let mut rule = Rule::new(Options::default());
    let mut actions = 0;
    for index in 1..2400 {
        // 32 shards have 2 requests per second each, of which a window counts 1 on average.
        let mut counts = [(0.0, 0); 32];
        for (number, count) in counts.iter_mut().enumerate() {
            count.1 = number % 4;
        }
        for _ in 0..32 {
            counts[usize::try_from(random.below(32)).unwrap_or(0)].0 += 2.0;
        }
        actions += rule.decide(&window(4, &counts), at(index)).len();
    }
    // The test covers twenty minutes. Without the noise margin the rule acts several times a
    // minute.
    assert!(actions <= 4, "{actions} actions");
}

/// Guards against correcting a large imbalance late or a small one hastily.
#[test]
fn large_imbalance_is_corrected_before_a_small_one() {
    let first = |light: f64| {
        let shards = [(light, 0), (light, 0), (1000.0, 0), (1000.0, 1)];
        let options = Options { noise: 0.0, ..Options::default() };
        run_rule(&mut window(2, &shards), options, 200).first().map(|action| action.0)
    };
    let (large, small) = (first(300.0).expect("moves"), first(70.0).expect("moves"));
    assert!(large < small, "{large} {small}");
}

/// Guards against a unit that moves back and forth, and against more changes than allowed.
#[test]
fn cool_down_and_limit_hold() {
    let mut rule = Rule::new(Options { smoothing: 1.0, ..free_options() });
    let mut last: std::collections::HashMap<Shard, Stamp> = std::collections::HashMap::new();
    let mut state = window(3, &[(0.0, 0); 24]);
    for index in 1..600_u32 {
        let hot_target = target(usize::try_from(index / 10 % 3).unwrap_or(0));
        for assignment in &mut state.shards {
            // Every 5 s the load shifts to the shards of another target.
            let hot = assignment.owner == hot_target;
            assignment.rate = if hot { 400.0 } else { 20.0 };
        }
        let actions = rule.decide(&state, at(index));
        assert!(actions.len() <= 2);
        for action in actions {
            apply(&mut state, &action);
            let Action::Move(shard, _) = action else { continue };
            let previous = last.insert(shard, at(index));
            let rest = previous.map(|previous| at(index).since(previous));
            assert!(rest.is_none_or(|rest| rest >= Duration::from_secs(30)));
        }
    }
    assert!(!last.is_empty());
}

/// Guards against moving a whole shard because of one key, and against a split that is never
/// undone.
#[test]
fn dominated_shard_is_split_and_later_unsplit() {
    let mut state = window(2, &[(100.0, 0), (700.0, 0), (100.0, 1)]);
    let hot: Arc<str> = Arc::from("cellar-1");
    state.shards[1].heavy = vec![Key { key: hot.clone(), rate: 650.0 }];
    let mut rule = Rule::new(Options::default());
    let mut actions = Vec::new();
    for index in 1..300 {
        if index == 100 {
            state.splits[0].rate = 0.0;
            state.shards[0].rate = 100.0;
        }
        for action in rule.decide(&state, at(index)) {
            apply(&mut state, &action);
            actions.push((index, action));
        }
    }
    assert_eq!(actions[0].1, Action::Split(hot.clone(), target(1)));
    let (index, last) = actions.last().expect("actions");
    assert_eq!(*last, Action::Unsplit(hot));
    assert!(*index >= 160, "unsplit before the cool-down: {index}");
}

/// Guards against assigning units to a target that is leaving.
#[test]
fn target_that_accepts_no_units_gets_none() {
    let mut state = window(3, &[(500.0, 0), (500.0, 0), (500.0, 1)]);
    state.targets[2].accepting = false;
    let actions = run_rule(&mut state, Options::default(), 100);
    assert!(state.shards.iter().all(|assignment| assignment.owner != target(2)), "{actions:?}");
}

fn loads() -> impl Strategy<Value = Vec<(f64, usize)>> {
    proptest::collection::vec((0.0..500.0_f64, 0..4_usize), 1..40)
}

/// Returns whether an action gives a unit another owner.
fn changes_owner(window: &Window, action: &Action) -> bool {
    let owned = |assignment: &Assignment, key: &Arc<str>| {
        assignment.heavy.iter().any(|heavy| heavy.key == *key)
    };
    match action {
        Action::Move(shard, target) => window
            .shards
            .iter()
            .any(|assignment| assignment.shard == *shard && assignment.owner != *target),
        Action::Split(key, target) => {
            let shard = window.shards.iter().find(|assignment| owned(assignment, key));
            let split = window.splits.iter().find(|split| split.key == *key);
            let owner =
                split.map(|split| &split.owner).or(shard.map(|assignment| &assignment.owner));
            owner != Some(target)
        }
        Action::Unsplit(_) => true,
    }
}

fn greedy() -> Greedy {
    Greedy::new(8, 1)
}

fn bounded() -> Bounded {
    Bounded { factor: 1.25 }
}

fn highest(window: &Window) -> f64 {
    Loads::new(window, |_, rate| rate).most_loaded().map_or(0.0, |load| load.level())
}

fn config() -> Config {
    let rng_seed = RngSeed::Fixed(9);
    Config { cases: 300, rng_seed, failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a rule that raises the maximum or does not converge on constant load, and
    /// against one that moves a shard and splits its key based on the same outdated counts.
    #[test]
    fn constant_load_settles_without_raising_the_maximum(shards in loads(), hot_share in 0.2..0.9_f64) {
        let mut state = window(4, &shards);
        for assignment in &mut state.shards {
            let key = Arc::from(format!("key-{}", assignment.shard));
            assignment.heavy = vec![Key { key, rate: hot_share * assignment.rate }];
        }
        let mut rule = Rule::new(Options::default());
        let mut before = highest(&state);
        let mut last = 0;
        for index in 1..600 {
            for action in rule.decide(&state, at(index)) {
                prop_assert!(changes_owner(&state, &action), "{action:?} changes no owner");
                apply(&mut state, &action);
                last = index;
            }
            let after = highest(&state);
            prop_assert!(after <= before + 1e-6);
            before = after;
        }
        prop_assert!(last < 400);
    }

    /// Guards against a greedy baseline that raises the maximum, which would flatter the rule.
    #[test]
    fn greedy_lowers_the_maximum(shards in loads()) {
        let mut state = window(4, &shards);
        let before = highest(&state);
        let actions = greedy().decide(&state, at(1));
        for action in &actions {
            apply(&mut state, action);
        }
        prop_assert!(highest(&state) <= before + 1e-6);
    }

    /// Guards against a bounded-load baseline that exceeds its bound although every shard fits.
    #[test]
    fn bounded_keeps_its_bound(count in 40..80_usize) {
        let shards: Vec<(f64, usize)> = (0..count).map(|number| (10.0, number % 2)).collect();
        let mut state = window(4, &shards);
        for action in bounded().decide(&state, at(1)) {
            apply(&mut state, &action);
        }
        let mean = Loads::new(&state, |_, rate| rate).mean();
        prop_assert!(highest(&state) <= 1.25 * mean + 1e-6);
        prop_assert!(bounded().decide(&state, at(2)).is_empty());
    }
}
