//! Planned stops: what is accepted, and by when each request ends.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use caraway_core::time::Stamp;
use caraway_fleet::stop::Schedule;
use caraway_fleet::stop::Stop;

const RESPONSE_TIME: Duration = Duration::from_millis(120);

fn schedule(grace: Duration) -> Schedule {
    Schedule::new(Stamp::from_millis(1_000_000), grace, RESPONSE_TIME)
}

fn at(milliseconds: u64) -> Stamp {
    Stamp::from_millis(1_000_000 + milliseconds)
}

/// Guards against accepting an order with a deadline of 6 s when 4.2 s of a grace period of 10 s have passed.
#[test]
fn a_request_that_outlasts_the_stop_is_not_admitted() {
    let schedule = schedule(Duration::from_secs(10));
    assert!(!schedule.admits(Duration::from_secs(6), at(4200)));
    assert!(schedule.admits(Duration::from_secs(6), at(2800)));
    assert!(schedule.admits(Duration::from_secs(2), at(4200)));
}

/// Guards against stages that are out of order, with any grace period.
#[test]
fn the_stages_follow_each_other() {
    for grace in [0, 100, 250, 300, 1000, 2500, 6000, 10_000, 60_000] {
        let schedule = schedule(Duration::from_millis(grace));
        let accepting = Stop::begin(schedule);
        let accept_end = accepting.end();
        let draining = accepting.close();
        let answer_end = draining.end();
        let failing = draining.fail();
        assert!(answer_end <= failing.end(), "{grace}");
        assert!(failing.end() <= at(grace), "{grace}");
        assert!(accept_end <= at(grace), "{grace}");
        assert!(schedule.run_end() <= answer_end, "{grace}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against a request that begins during a stop and is still waiting for its target when requests are failed.
    #[test]
    fn an_admitted_request_ends_before_requests_are_failed(
        grace in 0..30_000_u64,
        now in 0..30_000_u64,
        left in 0..40_000_u64,
    ) {
        let schedule = schedule(Duration::from_millis(grace));
        let left = Duration::from_millis(left);
        let limit = schedule.limit(left, at(now));
        prop_assert!(limit <= left);
        // Attempts of requests that began before the stop end at their targets as well.
        prop_assert!(limit.is_zero() || at(now) + limit + RESPONSE_TIME <= schedule.answer_end());
        if schedule.admits(left, at(now)) {
            prop_assert!(at(now) + left + RESPONSE_TIME <= schedule.answer_end());
            prop_assert_eq!(limit, left);
        }
    }
}
