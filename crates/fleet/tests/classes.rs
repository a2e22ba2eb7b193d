//! Urgent and other requests at an instance without room for all of them.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use caraway_core::time::Stamp;
use caraway_fleet::classes::Classes;

/// Places of the instance, each used for 340 ms by a request: 35 requests per second.
const PLACES: u32 = 12;
const SERVICE_MILLIS: u64 = 340;
const LENGTH_MILLIS: u64 = 20_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Finish { urgent: bool },
    Arrive { urgent: bool },
}

/// Returns the shares of other and of urgent requests that are served, given their rates per second.
fn play(limited: bool, rates: [u64; 2]) -> [f64; 2] {
    let mut random = StdRng::seed_from_u64(5);
    let mut steps = BinaryHeap::new();
    for urgent in [false, true] {
        for _ in 0..rates[usize::from(urgent)] * LENGTH_MILLIS / 1000 {
            let at: u64 = random.random_range(1..LENGTH_MILLIS);
            steps.push(Reverse((at, Step::Arrive { urgent })));
        }
    }
    let (mut classes, mut busy) = (Classes::default(), 0);
    let (mut served, mut arrived) = ([0_u32; 2], [0_u32; 2]);
    while let Some(Reverse((millis, step))) = steps.pop() {
        let now = Stamp::from_millis(millis);
        match step {
            Step::Finish { urgent } => {
                busy -= 1;
                classes.end(urgent);
            }
            Step::Arrive { urgent } => {
                arrived[usize::from(urgent)] += 1;
                classes.record_request(urgent, now);
                if limited && !classes.may_send(urgent, now) {
                    continue;
                }
                if busy >= PLACES {
                    classes.record_shortage(urgent, now);
                    continue;
                }
                busy += 1;
                classes.begin(urgent);
                served[usize::from(urgent)] += 1;
                let time = (SERVICE_MILLIS as f64 * (0.5 + random.random::<f64>())) as u64;
                steps.push(Reverse((millis + time, Step::Finish { urgent })));
            }
        }
    }
    let share = |index: usize| f64::from(served[index]) / f64::from(arrived[index].max(1));
    let shares = [share(0), share(1)];
    println!("limited {limited}, others {}/s, urgent {}/s: {shares:.2?}", rates[0], rates[1]);
    shares
}

/// Guards against urgent requests that are refused for a flood of others.
#[yare::parameterized(
    few_urgent = { [60, 5] },
    some_urgent = { [60, 10] },
    flood = { [300, 10] },
)]
fn urgent_requests_are_served_before_others(rates: [u64; 2]) {
    let unlimited = play(false, rates);
    let limited = play(true, rates);
    assert!(limited[1] > 0.78 && limited[1] > unlimited[1] + 0.3, "{limited:?}, {unlimited:?}");
    // Room that urgent requests do not want is used by the others.
    let total = |shares: [f64; 2]| shares[0] * rates[0] as f64 + shares[1] * rates[1] as f64;
    assert!(total(limited) > 0.85 * total(unlimited), "{limited:?}, {unlimited:?}");
}

/// Guards against a flood of urgent requests after which no other is served.
#[test]
fn a_flood_of_urgent_requests_leaves_room_for_others() {
    let [others, urgent] = play(true, [10, 300]);
    assert!(others * 10.0 > 2.5, "{others}");
    assert!(urgent * 300.0 > 25.0, "{urgent}");
}

/// Guards against limits where there is room, or only one class.
#[yare::parameterized(
    room_for_all = { [10, 4] },
    others_only = { [60, 0] },
    urgent_only = { [0, 60] },
)]
fn classes_change_nothing_without_need(rates: [u64; 2]) {
    let (limited, unlimited) = (play(true, rates), play(false, rates));
    assert!((limited[0] - unlimited[0]).abs() < 0.011 && (limited[1] - unlimited[1]).abs() < 0.011);
}
