//! Tests of the load traces and the measurement.

use caraway_balance::baseline::Hash;
use caraway_balance::measure;
use caraway_balance::trace::Count;
use caraway_balance::trace::Layout;
use caraway_balance::trace::Scenario;
use caraway_balance::trace::Surge;
use caraway_balance::trace::Trace;
use caraway_balance::window::Action;
use caraway_balance::window::Policy;
use caraway_balance::window::Window;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

fn scenario() -> Scenario {
    let surge = |keys, exponent, rate, start, urgent| Surge {
        keys,
        exponent,
        rate,
        start,
        rise: 2.0,
        hold: 4.0,
        fall: 2.0,
        urgent,
    };
    Scenario {
        name: "test",
        layout: Layout { groups: 2, targets: 2, shards: 16 },
        keys: 500,
        windows: 40,
        surges: vec![surge(0..500, 0.9, 800.0, 0.0, false), surge(7..8, 0.0, 100.0, 4.0, true)],
    }
}

/// Guards against results that cannot be reproduced, and against a seed without effect.
#[test]
fn trace_depends_only_on_the_seed() {
    let trace = |seed| Trace::generate(&scenario(), seed).windows;
    assert_eq!(trace(1), trace(1));
    assert_ne!(trace(1), trace(2));
}

/// Guards against a surge with a wrong rate, time or urgency.
#[test]
fn surge_rises_holds_and_falls() {
    let trace = Trace::generate(&scenario(), 3);
    let urgent =
        |window: usize| -> u32 { trace.windows[window].iter().map(|count| count.urgent).sum() };
    assert_eq!([urgent(7), urgent(14), urgent(18), urgent(24)], [0, 50, 50, 0]);
    assert!(urgent(10) > 0 && urgent(10) < 50);
    let all: u32 = trace.windows[6].iter().map(|count| count.requests).sum();
    assert_eq!(all, 400);
}

/// Moves shard 0 once, splits key 0 once and unsplits it.
struct Script(u32);

impl Policy for Script {
    fn decide(&mut self, window: &Window, _now: Stamp) -> Vec<Action> {
        self.0 += 1;
        let Some(assignment) = window.shards.iter().find(|assignment| assignment.shard == Shard(0))
        else {
            return Vec::new();
        };
        let other = window.targets.iter().find(|target| target.name != assignment.owner);
        let Some(other) = other.map(|target| target.name.clone()) else { return Vec::new() };
        match self.0 {
            1 => vec![Action::Move(Shard(0), other)],
            2 => vec![Action::Split("key-0".into(), other)],
            3 => vec![Action::Unsplit("key-0".into())],
            _ => Vec::new(),
        }
    }
}

/// Guards against wrong results. Three keys are in shard 0 and one key is in shard 1 of the same
/// group.
#[test]
fn results_of_a_small_trace_are_exact() {
    let count = |key, requests| Count { key, requests, urgent: 0 };
    let window = vec![count(0, 50), count(1, 50), count(2, 50), count(3, 50)];
    let trace = Trace {
        layout: Layout { groups: 1, targets: 2, shards: 2 },
        shards: vec![Shard(0), Shard(0), Shard(0), Shard(1)],
        windows: vec![window; 120],
    };
    let hash = measure::run(&trace, &|| Box::new(Hash));
    assert_eq!((hash.overall.mean, hash.within.p99, hash.churn_per_minute), (1.5, 1.5, 0.0));
    let moved = measure::run(&trace, &|| Box::new(Script(0)));
    assert_eq!((moved.moves, moved.splits, moved.unsplits), (1, 1, 1));
    assert_eq!(moved.churn_per_minute, 5.0);
    assert!((moved.unavailable_key_seconds - 0.05).abs() < 1e-9);
    assert!((moved.worst_key_seconds - 0.03).abs() < 1e-9);
    // Of 50 requests in 500 ms, one arrives in each pause of 10 ms. There are five pauses.
    assert!((moved.delayed_requests - 5.0).abs() < 1e-9);
    let bound = measure::bound(&trace);
    assert_eq!(bound.overall.mean, 1.0);
}
