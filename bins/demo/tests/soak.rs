//! A randomized run with a fixed seed. For longer runs, use `caraway-demo soak --seed N --seconds S`.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use caraway_demo::fixture::Size;
use caraway_demo::schedule;
use caraway_demo::schedule::Candidates;
use caraway_demo::session;
use caraway_demo::traffic;
use caraway_load::profile::Arrival;

/// Guards against violated invariants under combinations of faults that no other test covers.
#[test]
fn random_faults_violate_no_invariant() {
    let mut environment = common::environment(3, &Size::default(), 2);
    let duration = Duration::from_secs(13);
    let steps = schedule::random(&Candidates::new(&environment), 11, duration);
    let options = traffic::Options {
        seconds: duration.as_secs_f64(),
        arrival: Arrival::Open { rate: 250.0, connections: 200, poisson: true },
        ..traffic::Options::default()
    };
    let profile = traffic::profile(&environment, &options);
    let never = AtomicBool::new(false);
    let outcome = session::run(&mut environment, &profile, &steps, &never).unwrap();
    println!("{outcome}");
    assert!(outcome.clean(), "an invariant was violated");
    assert!(outcome.report.overall.answered > 500, "too few requests were answered");
}

/// Guards against schedules that differ between runs with the same seed, whose failures could not be
/// reproduced.
#[test]
fn a_seed_always_yields_the_same_schedule() {
    let names = |prefix: &str| (0..5).map(|n| format!("{prefix}{n}")).collect();
    let candidates = Candidates { entries: names("e"), targets: names("t"), domains: names("d") };
    let duration = Duration::from_secs(60);
    assert_eq!(
        schedule::random(&candidates, 3, duration),
        schedule::random(&candidates, 3, duration)
    );
    assert_ne!(
        schedule::random(&candidates, 3, duration),
        schedule::random(&candidates, 4, duration)
    );
}
