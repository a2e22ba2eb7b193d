//! Delays after which refused callers return, played with a service whose load exceeds its room for
//! two seconds.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use caraway_core::time::Stamp;
use caraway_fleet::refusal::Callers;
use caraway_fleet::refusal::Room;

const DEADLINE_MILLIS: u64 = 4000;
/// Places of an instance, each used for 340 ms by a request: 35 requests per second.
const PLACES: u32 = 12;
const SERVICE_MILLIS: u64 = 340;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    /// All refused callers return after the same delay.
    Fixed(u64),
    /// Callers return when there is room for them.
    Expected,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive { first: u64 },
    Finish,
}

#[derive(Debug, Default)]
struct Counts {
    callers: usize,
    served: usize,
    refusals: usize,
}

/// Plays callers that give up when less than a service time is left.
fn play(rule: Rule) -> Counts {
    let mut random = StdRng::seed_from_u64(5);
    let mut steps = BinaryHeap::new();
    // 28 requests per second, and 50 for two seconds.
    for at in (0..10_000).step_by(36).chain((3000..5000).step_by(45)) {
        steps.push(Reverse((at, Step::Arrive { first: at })));
    }
    let (mut callers, mut busy, mut counts) = (Callers::default(), 0, Counts::default());
    while let Some(Reverse((millis, step))) = steps.pop() {
        let Step::Arrive { first } = step else {
            busy -= 1;
            continue;
        };
        counts.callers += usize::from(first == millis);
        if busy < PLACES {
            busy += 1;
            counts.served += 1;
            steps.push(Reverse((millis + SERVICE_MILLIS, Step::Finish)));
            continue;
        }
        counts.refusals += 1;
        let left = first + DEADLINE_MILLIS - millis;
        let delay = match rule {
            Rule::Fixed(delay) => delay,
            Rule::Expected => {
                let rate = f64::from(PLACES) * 1000.0 / SERVICE_MILLIS as f64;
                let room = Room { first: Duration::from_secs_f64(1.0 / rate), rate };
                let left = Duration::from_millis(left);
                let now = Stamp::from_millis(millis);
                callers.return_delay(room, left, random.random(), now).as_millis() as u64
            }
        };
        if left.saturating_sub(delay.min(left / 3)) > SERVICE_MILLIS {
            steps.push(Reverse((millis + delay.min(left / 3).max(1), Step::Arrive { first })));
        }
    }
    println!("{rule:?}: {counts:?}");
    counts
}

/// Guards against callers that return again and again while there is no room, each of which costs
/// an instance as much as a request that it serves.
#[test]
fn refused_callers_return_when_there_is_room() {
    let expected = play(Rule::Expected);
    for delay in [50, 150] {
        let fixed = play(Rule::Fixed(delay));
        assert!(expected.refusals * 10 < fixed.refusals * 7, "{expected:?} and {fixed:?}");
        assert!(expected.served + 2 >= fixed.served, "{expected:?} and {fixed:?}");
    }
}

fn room(first: u64, rate: f64) -> Room {
    Room { first: Duration::from_millis(first), rate }
}

/// Guards against a delay that the caller does not honor, and against callers that all return at the
/// latest moment that they may.
#[test]
fn delays_are_spread_within_the_time_that_callers_honor() {
    let mut callers = Callers::default();
    let (left, now) = (Duration::from_secs(3), Stamp::from_millis(1000));
    let mut random = StdRng::seed_from_u64(1);
    let delays: Vec<Duration> = (0..200)
        .map(|_| callers.return_delay(room(8000, 0.1), left, random.random(), now))
        .collect();
    assert!(delays.iter().all(|delay| *delay <= left / 3), "{delays:?}");
    assert!(delays.iter().all(|delay| *delay >= left / 6), "{delays:?}");
    assert!(delays.iter().max().unwrap().saturating_sub(*delays.iter().min().unwrap()) > left / 7);
}

/// Guards against a delay that ignores the callers that were sent away before, and against one that
/// counts them after they have returned.
#[test]
fn the_delay_grows_with_the_number_of_expected_callers() {
    let mut callers = Callers::default();
    let left = Duration::from_secs(30);
    let at = Stamp::from_millis;
    let first = callers.return_delay(room(100, 10.0), left, 1.0, at(0));
    assert_eq!(first, Duration::from_millis(200));
    let last = (0..29).map(|_| callers.return_delay(room(100, 10.0), left, 1.0, at(0))).last();
    assert_eq!(last, Some(Duration::from_millis(3100)));
    let later = callers.return_delay(room(100, 10.0), left, 1.0, at(4000));
    assert_eq!(later, Duration::from_millis(200));
    // No room at all.
    let delay = callers.return_delay(room(u64::MAX, 0.0), left, 1.0, at(4000));
    assert_eq!(delay, Duration::from_secs(10));
}
