//! Compares placement policies on two generated loads: a shopping mall at the start of a shift
//! (Andina) and a night of frost (Thurgau).
//!
//! `cargo run --release -p caraway-balance --example policies -- --seed 1 [--json]`
//!
//! Prints a table and then one JSON object per line. With `--json` the table is omitted.

use std::process::ExitCode;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use caraway_balance::baseline::Bounded;
use caraway_balance::baseline::Greedy;
use caraway_balance::baseline::Hash;
use caraway_balance::measure;
use caraway_balance::measure::Results;
use caraway_balance::rule::Options;
use caraway_balance::rule::Rule;
use caraway_balance::trace::Layout;
use caraway_balance::trace::Random;
use caraway_balance::trace::Scenario;
use caraway_balance::trace::Surge;
use caraway_balance::trace::Trace;
use caraway_balance::window::Policy;

/// Number of windows in a trace, which covers ten minutes.
const WINDOWS: u32 = 1200;

type Create = Box<dyn Fn() -> Box<dyn Policy>>;

fn background(keys: u32, exponent: f64, rate: f64) -> Surge {
    let hold = f64::from(WINDOWS);
    let (start, rise, fall) = (0.0, 0.0, 0.0);
    Surge { keys: 0..keys, exponent, rate, start, rise, hold, fall, urgent: false }
}

/// Andina, `lectura`: 16 targets in 4 failure domains. At 120 s a mall of 600 keys opens, and five
/// of its keys become hot within a minute. After five minutes the load decreases.
fn mall(seed: u64) -> Scenario {
    let mut random = Random::new(seed ^ 0x6d61_6c6c);
    let first = 10_000 + random.below(20_000);
    let mut surges = vec![background(40_000, 0.9, 12_000.0)];
    let surge = |keys, exponent, rate, start| Surge {
        keys,
        exponent,
        rate,
        start,
        rise: 60.0,
        hold: 240.0,
        fall: 60.0,
        urgent: false,
    };
    surges.push(surge(first..first + 600, 0.4, 4_000.0, 120.0));
    for _ in 0..5 {
        let key = first + random.below(600);
        let rate = 200.0 + 400.0 * random.unit();
        surges.push(surge(key..key + 1, 0.0, rate, 120.0 + 20.0 * random.unit()));
    }
    let layout = Layout { groups: 4, targets: 4, shards: 256 };
    Scenario { name: "mall", layout, keys: 40_000, windows: WINDOWS, surges }
}

/// Thurgau, `regal`: 12 targets in 4 failure domains. From 60 s on, bursts of urgent warnings of 3
/// s each hit one area of shelves. At 150 s a cellar of 300 keys and its two busiest keys become
/// hot.
fn frost(seed: u64) -> Scenario {
    let mut random = Random::new(seed ^ 0x6672_6f73);
    let mut surges = vec![background(30_000, 0.8, 6_000.0)];
    let mut start = 60.0;
    while start < 540.0 {
        let first = random.below(29_900);
        surges.push(Surge {
            keys: first..first + 60,
            exponent: 0.0,
            rate: 400.0 + 400.0 * random.unit(),
            start,
            rise: 0.5,
            hold: 2.0,
            fall: 0.5,
            urgent: true,
        });
        start += 8.0 + 16.0 * random.unit();
    }
    let cellar = random.below(29_000);
    let surge = |keys, exponent, rate| Surge {
        keys,
        exponent,
        rate,
        start: 150.0,
        rise: 60.0,
        hold: 240.0,
        fall: 60.0,
        urgent: false,
    };
    surges.push(surge(cellar..cellar + 300, 0.5, 2_000.0));
    surges.push(surge(cellar..cellar + 1, 0.0, 300.0));
    surges.push(surge(cellar + 1..cellar + 2, 0.0, 200.0));
    let layout = Layout { groups: 4, targets: 3, shards: 192 };
    Scenario { name: "frost", layout, keys: 30_000, windows: WINDOWS, surges }
}

fn rule(options: Options) -> Create {
    Box::new(move || Box::new(Rule::new(options.clone())))
}

fn policies() -> Vec<(&'static str, Create)> {
    let base = Options::default;
    let variant = |name, options| (name, rule(options));
    vec![
        ("hash", Box::new(|| Box::new(Hash) as Box<dyn Policy>) as Create),
        ("greedy", Box::new(|| Box::new(Greedy::new(8, 1)))),
        ("greedy every 30 s", Box::new(|| Box::new(Greedy::new(8, 60)))),
        ("bounded 1.1", Box::new(|| Box::new(Bounded { factor: 1.1 }))),
        ("bounded 1.25", Box::new(|| Box::new(Bounded { factor: 1.25 }))),
        ("rule", rule(base())),
        variant("rule, no splits", Options { max_splits: 0, ..base() }),
        variant("rule, threshold 0.05", Options { threshold: 0.05, ..base() }),
        variant("rule, threshold 0.2", Options { threshold: 0.2, ..base() }),
        variant("rule, threshold 0.4", Options { threshold: 0.4, ..base() }),
        variant("rule, churn cost 0", Options { churn_cost: 0.0, ..base() }),
        variant("rule, churn cost 20", Options { churn_cost: 20.0, ..base() }),
        variant("rule, windows 1", Options { windows: 1, smoothing: 1.0, ..base() }),
        variant("rule, noise 0", Options { noise: 0.0, ..base() }),
        variant("rule, noise 2", Options { noise: 2.0, ..base() }),
        variant("rule, noise 4", Options { noise: 4.0, ..base() }),
        variant("rule, no cool-down", Options { cool_down: Duration::ZERO, ..base() }),
    ]
}

fn row(name: &str, results: &Results) {
    println!(
        "{name:<22} {:>6.3} {:>6.3} {:>7.3} {:>6.3} {:>6} {:>6} {:>5} {:>9.1} {:>9.2} {:>7.0} {:>8.1} {:>7.2}",
        results.overall.mean,
        results.overall.p99,
        results.within.mean,
        results.within.p99,
        results.moves,
        results.splits,
        results.unsplits,
        results.churn_per_minute,
        results.unavailable_key_seconds,
        results.worst_key_seconds * 1000.0,
        results.delayed_requests,
        results.delayed_urgent_requests,
    );
}

fn value(scenario: &str, seed: u64, policy: &str, results: &Results) -> Value {
    json!({
        "scenario": scenario, "seed": seed, "policy": policy,
        "overall_mean": results.overall.mean, "overall_p99": results.overall.p99,
        "within_mean": results.within.mean, "within_p99": results.within.p99,
        "moves": results.moves, "splits": results.splits, "unsplits": results.unsplits,
        "churn_keys_per_minute": results.churn_per_minute,
        "unavailable_key_seconds": results.unavailable_key_seconds,
        "worst_key_seconds": results.worst_key_seconds,
        "delayed_requests": results.delayed_requests,
        "delayed_urgent_requests": results.delayed_urgent_requests,
    })
}

fn run(scenario: &Scenario, seed: u64, json: bool) {
    let trace = Trace::generate(scenario, seed);
    let mut results = vec![("bound", measure::bound(&trace))];
    for (name, create) in policies() {
        results.push((name, measure::run(&trace, &*create)));
    }
    if !json {
        table(scenario, seed, &results);
    }
    for (name, results) in &results {
        println!("{}", value(scenario.name, seed, name, results));
    }
}

fn table(scenario: &Scenario, seed: u64, results: &[(&str, Results)]) {
    println!("\n{}, seed {seed}", scenario.name);
    println!(
        "{:<22} {:>13} {:>14} {:>6} {:>6} {:>5} {:>9} {:>9} {:>7} {:>8} {:>7}",
        "policy",
        "all servers",
        "inside groups",
        "moves",
        "splits",
        "unspl",
        "keys/min",
        "key-s",
        "worst",
        "delayed",
        "urgent"
    );
    for (name, results) in results {
        row(name, results);
    }
}

fn main() -> ExitCode {
    let mut seed = 1;
    let mut json = false;
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        match (argument.as_str(), arguments.next().map(|text| text.parse())) {
            ("--seed", Some(Ok(number))) => seed = number,
            ("--json", None) => json = true,
            _ => {
                eprintln!("usage: policies [--seed <number>] [--json]");
                return ExitCode::from(2);
            }
        }
    }
    run(&mall(seed), seed, json);
    run(&frost(seed), seed, json);
    ExitCode::SUCCESS
}
