//! Targets that ask for pauses under load.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use caraway_core::time::Stamp;
use caraway_fleet::load::Estimate;
use caraway_fleet::load::Outcome;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::pause;
use caraway_fleet::pause::Pauses;

fn incarnation(index: usize) -> Incarnation {
    Incarnation { id: format!("t{index:02}").into(), born: 1 }
}

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(millis)
}

/// Several instances with waiting callers share targets, one of which asks each instance that it
/// refuses for a pause. It must get no more requests of an instance until its pause is over, also
/// when an earlier, shorter pause ends or is asked for again, and the other targets must serve.
#[test]
fn a_target_that_asks_for_pauses_is_left_alone_by_each_instance() {
    const INSTANCES: usize = 12;
    const TARGETS: usize = 4;
    let mut random = StdRng::seed_from_u64(5);
    let mut pauses = vec![Pauses::default(); INSTANCES];
    let asked = [Duration::from_millis(1500), Duration::from_millis(400)];
    let mut ends = [Stamp::default(); INSTANCES];
    let (mut refused, mut served) = (0, 0);
    for millis in (0..20_000).step_by(2) {
        let now = at(millis);
        let instance = random.random_range(0..INSTANCES);
        let free: Vec<usize> = (0..TARGETS)
            .filter(|index| pauses[instance].end(&incarnation(*index), now).is_none())
            .collect();
        let Some(index) = free.get(random.random_range(0..free.len().max(1))) else { continue };
        if *index > 0 {
            served += 1;
            continue;
        }
        assert!(now >= ends[instance], "instance {instance} sent within the pause");
        refused += 1;
        // A request in flight is refused with a shorter pause, which must not end the longer one.
        for pause in asked {
            pauses[instance].record(&incarnation(0), pause, now);
        }
        ends[instance] = now + asked[0];
    }
    // Each instance sends one request a pause.
    assert!(refused <= INSTANCES * 14, "{refused} refused");
    assert!(served > 9_500, "{served} of 10000 served");
}

/// All targets of a service ask for a pause. Callers must learn when the first one is over, and must
/// not all return at once.
#[test]
fn callers_return_after_the_first_pause_and_not_all_at_once() {
    let mut pauses = Pauses::default();
    for (index, millis) in [900, 300, 2000].into_iter().enumerate() {
        pauses.record(&incarnation(index), Duration::from_millis(millis), at(0));
    }
    let ends = (0..3).filter_map(|index| pauses.end(&incarnation(index), at(100)));
    let first = ends.min().unwrap();
    let delay = |jitter| pause::return_delay(first, at(100), jitter);
    assert_eq!(delay(0.0), Duration::from_millis(200));
    assert!(delay(1.0) > delay(0.5) && delay(1.0) < Duration::from_millis(300));
    assert_eq!(pauses.end(&incarnation(1), at(300)), None);
}

/// Guards against requests within a pause of some minutes: all but two repeatable ones, which may be
/// sent as probes.
#[test]
fn a_pause_of_minutes_is_kept_except_for_two_probes() {
    let mut pauses = Pauses::default();
    let asked = Duration::from_secs(1500);
    assert_eq!(pauses.record(&incarnation(0), asked, at(0)), asked);
    let mut probes = Vec::new();
    for seconds in 0..1500 {
        let now = at(seconds * 1000);
        assert!(pauses.next(&incarnation(0), false, now).is_some(), "an order at {seconds} s");
        if pauses.next(&incarnation(0), true, now).is_none() {
            assert!(pauses.begin_probe(&incarnation(0), now));
            probes.push(seconds);
            // Only one request at a time is a probe.
            assert!(pauses.next(&incarnation(0), true, now).is_some());
        }
    }
    assert_eq!(probes, vec![60, 600]);
    assert_eq!(pauses.next(&incarnation(0), false, at(1_500_000)), None);
    assert!(!pauses.begin_probe(&incarnation(0), at(1_500_000)));
}

/// Guards against a pause that goes on although the target has answered a probe, or has asked for
/// less when it refused one.
#[test]
fn a_probe_corrects_the_end_of_a_pause() {
    let mut pauses = Pauses::default();
    for index in 0..2 {
        pauses.record(&incarnation(index), Duration::MAX, at(0));
        assert_eq!(pauses.next(&incarnation(index), true, at(60_000)), None);
        assert!(pauses.begin_probe(&incarnation(index), at(60_000)));
    }
    pauses.record_probe_answer(&incarnation(0));
    assert_eq!(pauses.next(&incarnation(0), false, at(60_100)), None);
    pauses.record_probe_refusal(&incarnation(1), Duration::from_secs(2), at(60_100));
    assert!(pauses.next(&incarnation(1), true, at(62_000)).is_some());
    assert_eq!(pauses.next(&incarnation(1), false, at(62_100)), None);
}

/// A target asks for an absurd pause. It must not be lost for good, and its other incarnations and
/// its failure ratio are not affected.
#[test]
fn an_absurd_pause_is_limited() {
    let mut pauses = Pauses::default();
    let asked = Duration::MAX;
    assert_eq!(pauses.record(&incarnation(0), asked, at(0)), pause::MAX_PAUSE);
    let limit = u64::try_from(pause::MAX_PAUSE.as_millis()).unwrap();
    assert!(limit <= 3_600_000);
    assert!(pauses.end(&incarnation(0), at(limit - 1000)).is_some());
    assert_eq!(pauses.end(&incarnation(0), at(limit)), None);
    assert_eq!(pauses.next(&incarnation(0), false, at(limit)), None);
    let reborn = Incarnation { born: 2, ..incarnation(0) };
    assert_eq!(pauses.end(&reborn, at(1)), None);
    let mut estimate = Estimate::default();
    for _ in 0..20 {
        let slowdown = estimate.begin(4, at(0));
        estimate.end(Outcome::Deferred, Duration::from_millis(1), slowdown, at(1));
    }
    assert!((estimate.failure_penalty() - 1.0).abs() < 1e-9);
    assert!(estimate.is_unmeasured());
}
