//! Speed of a target: usual time, present slowdown and silence.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_fleet::load::Estimate;
use caraway_fleet::load::Outcome;
use caraway_fleet::speed;

const SLOTS: u32 = 6;

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(10_000 + millis)
}

/// Returns the estimate of a target that takes 340 ms.
fn known() -> Estimate {
    let mut estimate = Estimate::default();
    estimate.service_time = 0.34;
    estimate
}

fn answer(estimate: &mut Estimate, start: u64, end: u64) {
    let factor = estimate.begin(SLOTS, at(start));
    estimate.end(Outcome::Answered, Duration::from_millis(end - start), factor, at(end));
}

fn abandon(estimate: &mut Estimate, start: u64, end: u64) {
    let time = Duration::from_millis(end - start);
    estimate.end(Outcome::Abandoned, time, 1.0, at(end));
}

/// Guards against a stated slowdown that lasts longer than the cause of it.
#[test]
fn a_stated_slowdown_decays_when_it_is_stale() {
    let mut estimate = known();
    let ratio = |estimate: &Estimate, millis| estimate.present_time(0.1, at(millis)) / 0.34;
    estimate.record_slowdown(300, at(0));
    assert!((ratio(&estimate, 0) - 3.0).abs() < 1e-9);
    assert!((ratio(&estimate, 400) - 3.0).abs() < 1e-9);
    assert!((ratio(&estimate, 500) - 2.0).abs() < 1e-9);
    assert!(ratio(&estimate, 1400) < 1.01);
    estimate.record_slowdown(100, at(1500));
    assert!((ratio(&estimate, 1500) - 1.0).abs() < 1e-9);
    // Figures that are no speed of a target in use.
    estimate.record_slowdown(0, at(1600));
    assert!((ratio(&estimate, 1600) - 1.0).abs() < 1e-9);
    estimate.record_slowdown(u32::MAX, at(1700));
    assert!(ratio(&estimate, 1700) <= 16.0);
}

/// Guards against a usual time that contains the present slowdown, with which the coordinator moves
/// keys away from a target that is slow for a moment.
#[test]
fn the_usual_time_is_learned_without_the_present_slowdown() {
    let mut estimate = known();
    for start in (0..20).map(|index| index * 1100) {
        estimate.record_slowdown(300, at(start));
        let factor = estimate.begin(SLOTS, at(start));
        estimate.record_slowdown(300, at(start + 1020));
        estimate.end(Outcome::Answered, Duration::from_millis(1020), factor, at(start + 1020));
    }
    assert!((estimate.service_time - 0.34).abs() < 0.01, "{}", estimate.service_time);
    let (count, sum) = estimate.unreported;
    assert!((sum / f64::from(count) - 0.34).abs() < 0.01, "{sum} of {count}");
    estimate.record_slowdown(100, at(30_000));
    assert!(estimate.expected_time(SLOTS, 0.1, at(30_000)) < 0.36);
}

/// Guards against a target that never states a slowdown and is taken for faster or slower than its
/// responses are.
#[test]
fn without_a_statement_times_are_learned_as_they_are() {
    let mut estimate = known();
    for start in (0..40).map(|index| index * 1100) {
        answer(&mut estimate, start, start + 1020);
    }
    assert!((estimate.service_time - 1.02).abs() < 0.01, "{}", estimate.service_time);
}

/// Guards against a slowdown of some seconds that is forgotten between two responses.
#[test]
fn a_slowdown_that_has_lasted_is_expected_to_last() {
    let mut estimate = known();
    let ratio = |estimate: &Estimate, millis| estimate.present_time(0.1, at(millis)) / 0.34;
    estimate.record_slowdown(100, at(0));
    estimate.record_slowdown(300, at(1000));
    estimate.record_slowdown(310, at(2000));
    assert!(ratio(&estimate, 2900) > 3.0);
    assert!(ratio(&estimate, 4000) < 1.01);
}

#[yare::parameterized(
    fast = { 0.1, 1.0, 47.0 },
    usual = { 0.34, 1.0, 13.1 },
    usually_slow = { 1.02, 1.0, 6.0 },
    slow_at_present = { 0.34, 3.0, 3.7 },
    very_slow_at_present = { 0.34, 12.0, 1.0 },
)]
fn a_slow_target_gets_fewer_concurrent_requests(usual: f64, slowdown: f64, expected: f64) {
    let limit = speed::concurrency_limit(SLOTS, usual, slowdown, 0.8);
    assert!((limit - expected).abs() < 0.1, "{limit}");
}

/// Guards against requests that are sent to a target that answers nothing until their deadlines.
#[test]
fn one_unanswered_request_finds_a_silent_target() {
    let mut estimate = known();
    answer(&mut estimate, 0, 340);
    estimate.begin(SLOTS, at(400));
    assert!(estimate.is_usable(at(1400)), "a slowdown may triple the time");
    assert!(!estimate.is_usable(at(2000)));
    // It stays so when the request is given up, and its duration says nothing about the speed.
    abandon(&mut estimate, 400, 4400);
    assert!(!estimate.is_usable(at(9000)));
    assert!((estimate.service_time - 0.34).abs() < 0.01, "{}", estimate.service_time);
    // Without any repeatable request that could probe it, it would never be used again.
    assert!(estimate.is_usable(at(15_000)));
}

/// Guards against many requests that are lost to probes, and against a target that is never used
/// again.
#[test]
fn a_silent_target_is_probed_by_single_requests() {
    let mut estimate = known();
    estimate.begin(SLOTS, at(0));
    assert!(!estimate.may_probe(at(1600)), "the silence has just begun");
    assert!(estimate.may_probe(at(2100)));
    estimate.begin(SLOTS, at(2100));
    assert!(!estimate.may_probe(at(9000)), "a probe is in flight");
    abandon(&mut estimate, 2100, 6100);
    assert!(estimate.may_probe(at(6200)));
    estimate.begin(SLOTS, at(6200));
    abandon(&mut estimate, 6200, 6300);
    assert!(!estimate.may_probe(at(8100)), "the time between probes grows");
    assert!(estimate.may_probe(at(8200)));
    answer(&mut estimate, 8200, 8600);
    assert!(estimate.is_usable(at(8600)));
    // The first request is still unanswered, and no evidence any more.
    assert!(estimate.is_usable(at(20_000)));
}

/// Guards against a target that counts as silent because it lost a single request that it could not
/// queue.
#[test]
fn a_target_that_answers_later_requests_is_not_silent() {
    let mut estimate = known();
    estimate.begin(SLOTS, at(0));
    for start in [100, 600, 1100, 1600] {
        answer(&mut estimate, start, start + 340);
        assert!(estimate.is_usable(at(start + 340)));
    }
    assert!(estimate.is_usable(at(3000)));
}

/// Guards against a target without measurements that counts as silent during its first request, and
/// against one that is not found to be silent although the times of others are known.
#[test]
fn the_times_of_other_targets_stand_in_for_the_first_measurement() {
    let mut estimate = Estimate::default();
    estimate.begin(SLOTS, at(0));
    assert!(estimate.is_usable(at(9000)));
    let mut estimate = Estimate::default();
    estimate.assumed_time = 0.34;
    estimate.begin(SLOTS, at(0));
    assert!(estimate.is_usable(at(1500)));
    assert!(!estimate.is_usable(at(1600)));
    assert_eq!(estimate.live_in_flight(at(1600)), 0);
}

/// Guards against a pause of a fast target after which it is not used, although it answers.
#[test]
fn a_pause_of_a_fast_target_is_no_silence() {
    let mut estimate = Estimate::default();
    estimate.service_time = 0.01;
    estimate.begin(SLOTS, at(0));
    assert!(estimate.is_usable(at(900)));
    assert!(!estimate.is_usable(at(1000)));
}

/// Guards against a target that counts as silent while a caller reads a response slowly.
#[test]
fn a_target_whose_response_has_begun_is_not_silent() {
    let mut estimate = known();
    let factor = estimate.begin(SLOTS, at(0));
    estimate.record_response(at(0));
    assert!(estimate.is_usable(at(5000)));
    assert_eq!(estimate.live_in_flight(at(5000)), 1);
    estimate.end(Outcome::Abandoned, Duration::from_millis(5000), factor, at(5000));
    assert!(estimate.is_usable(at(5000)));
}
