//! Limits of grants that the random histories rarely reach.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_fleet::coordinator::CALL_TIMEOUT;
use caraway_fleet::coordinator::Call;
use caraway_fleet::coordinator::Coordinator;
use caraway_fleet::coordinator::MAX_GRANTS_IN_FLIGHT;
use caraway_fleet::coordinator::MAX_RELEASES_IN_FLIGHT;
use caraway_fleet::coordinator::Options;
use caraway_fleet::coordinator::Reply;
use caraway_fleet::coordinator::Request;
use caraway_fleet::coordinator::Tables;
use caraway_fleet::election;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Registry;
use caraway_fleet::membership::Target;
use caraway_fleet::ownership::Move;
use caraway_fleet::ownership::Table;
use caraway_fleet::proof::Witness;

const START: Stamp = Stamp::from_millis(1_000_000);

fn incarnation(id: &str) -> Incarnation {
    Incarnation { id: id.into(), born: 1 }
}

fn registry(ids: &[&str]) -> Registry {
    let mut registry = Registry::default();
    for id in ids {
        let target = Target {
            incarnation: incarnation(id),
            address: ([10, 0, 0, 1], 80).into(),
            domain: "d".into(),
            service: "s".into(),
            slots: 4,
            draining: false,
            warmup: Duration::ZERO,
        };
        registry.put(target, START);
    }
    registry
}

fn tables(owners: &[(u16, u16, &str)]) -> Tables {
    let mut table = Table::default();
    for (first, last, id) in owners {
        table.apply(&Move { first: *first, last: *last, to: incarnation(id) });
    }
    [(Arc::from("s"), table)].into_iter().collect()
}

fn options() -> Options {
    Options::new(Duration::from_secs(10))
}

fn at(ms: u64) -> Stamp {
    START + Duration::from_millis(ms)
}

fn grant_durations(calls: &[Call]) -> Vec<Duration> {
    let duration = |call: &Call| match call.request {
        Request::Grant { duration, .. } => Some(duration),
        Request::Release => None,
    };
    calls.iter().filter_map(duration).collect()
}

/// Guards against a grant that outlives the wait of a successor. The coordinator lost the store, or
/// was replaced without learning of it.
#[test]
fn grants_expire_within_the_horizon_of_the_last_confirmation() {
    let registry = registry(&["a"]);
    let mut coordinator = Coordinator::new(options(), tables(&[(0, u16::MAX, "a")]), START, START);
    // Nothing is granted under tokens of an earlier coordinator.
    assert!(coordinator.due_calls(&registry, START).is_empty());
    let renewed = coordinator.with_renewed_fences();
    coordinator.adopt(renewed);
    let horizon = options().grant_horizon;
    let mut lengths = Vec::new();
    for ms in (0..20_000).step_by(50) {
        let now = at(ms);
        for call in coordinator.due_calls(&registry, now) {
            for duration in grant_durations(std::slice::from_ref(&call)) {
                // The call may be sent late, and the target's clock may run 2% slow.
                let end = now + CALL_TIMEOUT + duration.div_f64(0.98);
                assert!(end <= START + horizon, "{duration:?} at {ms} ms");
                lengths.push(duration);
            }
            coordinator.record_reply(&call, &Reply::Done { handover: None }, Some(1), now);
        }
    }
    assert_eq!(lengths.first(), Some(&options().grant_duration));
    assert!(lengths.iter().any(|duration| *duration > Duration::from_secs(9)), "{lengths:?}");
}

/// Guards against keys of an unresponsive target that are reassigned before grants of an earlier
/// coordinator have expired, because the target confirmed only one of its two holdings.
#[test]
fn confirming_one_holding_does_not_replace_grants_of_another() {
    let registry = registry(&["a", "b"]);
    let before = tables(&[(0, 99, "a"), (100, 199, "b"), (200, 299, "a")]);
    let mut coordinator = Coordinator::new(options(), before, START, START);
    let renewed = coordinator.with_renewed_fences();
    coordinator.adopt(renewed);
    coordinator.confirm_leadership(at(100));
    for call in coordinator.due_calls(&registry, at(100)) {
        let reply = if call.incarnation == incarnation("a") && call.first == 200 {
            Reply::Unknown
        } else {
            Reply::Done { handover: None }
        };
        coordinator.record_reply(&call, &reply, Some(1), at(110));
    }
    let key_move = Move { first: 200, last: 299, to: incarnation("b") };
    let proposed = coordinator.propose(&[("s".into(), key_move)]);
    coordinator.adopt(proposed);
    let horizon = u64::try_from(options().grant_horizon.as_millis()).unwrap();
    let reassigned =
        |calls: &[Call]| calls.iter().any(|c| c.first == 200 && c.incarnation == incarnation("b"));
    for ms in (150..=horizon).step_by(50) {
        coordinator.confirm_leadership(at(ms));
        let calls = coordinator.due_calls(&registry, at(ms));
        assert!(!reassigned(&calls), "reassigned after {ms} ms");
        for call in calls {
            let unresponsive = call.incarnation == incarnation("a");
            let reply = if unresponsive { Reply::Unsent } else { Reply::Done { handover: None } };
            coordinator.record_reply(&call, &reply, Some(1), at(ms));
        }
    }
    coordinator.confirm_leadership(at(horizon + 50));
    assert!(reassigned(&coordinator.due_calls(&registry, at(horizon + 50))));
}

/// Returns the time in ms at which keys of target "a", which confirms its grants until it falls
/// silent at `silent_from`, are granted to "b". The move is planned at that time.
fn reassigned_after(coordinator: &mut Coordinator, registry: &Registry, silent_from: u64) -> u64 {
    let renewed = coordinator.with_renewed_fences();
    coordinator.adopt(renewed);
    for ms in (0..20_000).step_by(50) {
        coordinator.confirm_leadership(at(ms));
        if ms == silent_from {
            let key_move = Move { first: 0, last: u16::MAX, to: incarnation("b") };
            let proposed = coordinator.propose(&[("s".into(), key_move)]);
            coordinator.adopt(proposed);
        }
        for call in coordinator.due_calls(registry, at(ms)) {
            if call.incarnation == incarnation("b") {
                return ms;
            }
            let reply =
                if ms < silent_from { Reply::Done { handover: None } } else { Reply::Unsent };
            coordinator.record_reply(&call, &reply, Some(1), at(ms));
        }
    }
    panic!("the keys were not reassigned");
}

/// Guards against a wait for the worst case although the previous coordinator announced when its
/// grants end. The wait is that for the latest confirmed grant of the term then.
#[test]
fn keys_of_an_unresponsive_target_move_when_its_known_grants_expire() {
    let registry = registry(&["a", "b"]);
    let mut coordinator = Coordinator::new(options(), tables(&[(0, u16::MAX, "a")]), START, START);
    let announced = [(incarnation("a"), at(2000))].into_iter().collect();
    coordinator.limit_inherited_grants(&announced);
    let reassigned = reassigned_after(&mut coordinator, &registry, 100);
    assert!((3000..3500).contains(&reassigned), "{reassigned} ms");
}

/// Guards against an owner whose grants by an unknown predecessor are forgotten: they may be as
/// long as the grant horizon, and shorter grants of this term do not end them.
#[test]
fn confirmed_grants_do_not_end_grants_of_an_unknown_predecessor() {
    let registry = registry(&["a", "b"]);
    let mut coordinator = Coordinator::new(options(), tables(&[(0, u16::MAX, "a")]), START, START);
    let reassigned = reassigned_after(&mut coordinator, &registry, 4000);
    let horizon = u64::try_from(options().grant_horizon.as_millis()).unwrap();
    assert!((horizon..horizon + 100).contains(&reassigned), "{reassigned} ms");
}

/// Guards against two owners after an outage of the store and a cut. Grants lasted 10 s during the
/// outage; a successor that had learned of them granted the same keys for 3 s, forgot the longer
/// grants when its own were confirmed, and gave the keys of the cut-off target away.
#[test]
fn confirmed_grants_do_not_end_longer_grants_of_the_previous_coordinator() {
    let registry = registry(&["a", "b"]);
    let start = START - Duration::from_millis(3600);
    let mut previous = Coordinator::new(options(), tables(&[(0, u16::MAX, "a")]), start, start);
    let renewed = previous.with_renewed_fences();
    previous.adopt(renewed);
    let mut held_until = START;
    // The leadership is confirmed for one second; then the store is away.
    for ms in (0..3600).step_by(50) {
        let now = start + Duration::from_millis(ms);
        if ms < 1000 {
            previous.confirm_leadership(now);
        }
        for call in previous.due_calls(&registry, now) {
            for duration in grant_durations(std::slice::from_ref(&call)) {
                held_until = held_until.max(now + duration);
            }
            previous.record_reply(&call, &Reply::Done { handover: None }, Some(1), now);
        }
    }
    assert!(held_until > at(7000), "no long grant was sent");
    let announced: HashMap<Incarnation, Stamp> = previous
        .outstanding_grants(START)
        .into_iter()
        .map(|(incarnation, left)| (incarnation, START + left))
        .collect();
    let mut successor = Coordinator::new(options(), previous.tables(), START, START);
    successor.limit_inherited_grants(&announced);
    let reassigned = reassigned_after(&mut successor, &registry, 1000);
    assert!(at(reassigned) > held_until, "reassigned at {reassigned} ms, {held_until:?}");
    assert!(at(reassigned) <= held_until + Duration::from_millis(600), "{reassigned} ms");
}

/// Guards against an announcement of the previous coordinator that arrives late and lowers the ends
/// of grants of this term.
#[test]
fn a_late_announcement_does_not_limit_grants_of_this_term() {
    let registry = registry(&["a", "b"]);
    let mut coordinator = Coordinator::new(options(), tables(&[(0, u16::MAX, "a")]), START, START);
    let renewed = coordinator.with_renewed_fences();
    coordinator.adopt(renewed);
    for call in coordinator.due_calls(&registry, at(10)) {
        coordinator.record_reply(&call, &Reply::Done { handover: None }, Some(1), at(20));
    }
    coordinator.limit_inherited_grants(&HashMap::new());
    let left = coordinator.outstanding_grants(at(20));
    assert_eq!(left.len(), 1);
    assert!(left[0].1 > Duration::from_secs(3), "{left:?}");
}

/// Guards against targets that do not respond, or a takeover of many holdings, that take all
/// connections and buffers of a small machine, or hold up the renewals of the other targets.
#[test]
fn calls_in_flight_are_limited_and_renewals_go_first() {
    const HOLDINGS: u16 = 600;
    const SILENT: u16 = 300;
    const CALL_MS: u64 = 600;
    let ids: Vec<String> = (0..HOLDINGS).map(|index| format!("t{index:03}")).collect();
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    let registry = registry(&names);
    let owners: Vec<_> = (0..HOLDINGS).map(|index| (index * 10, index * 10 + 9)).collect();
    let owners: Vec<_> =
        owners.iter().zip(&names).map(|((first, last), id)| (*first, *last, *id)).collect();
    let mut coordinator = Coordinator::new(options(), tables(&owners), START, START);
    let renewed = coordinator.with_renewed_fences();
    coordinator.adopt(renewed);
    let silent = |call: &Call| call.first < SILENT * 10;
    let mut pending: Vec<(u64, Call)> = Vec::new();
    let mut granted_at: HashMap<u16, u64> = HashMap::new();
    for ms in (0..20_000).step_by(20) {
        coordinator.confirm_leadership(at(ms));
        let (done, rest) = pending.into_iter().partition(|(end, _)| *end <= ms);
        pending = rest;
        for (_, call) in done {
            let reply = if ms >= 5000 && silent(&call) {
                Reply::Unknown
            } else {
                granted_at.insert(call.first, ms);
                Reply::Done { handover: None }
            };
            coordinator.record_reply(&call, &reply, Some(u64::from(call.first)), at(ms));
        }
        for call in coordinator.due_calls(&registry, at(ms)) {
            let time = if ms >= 5000 && silent(&call) { CALL_MS } else { 20 };
            pending.push((ms + time, call));
        }
        assert!(pending.len() <= MAX_GRANTS_IN_FLIGHT, "{} calls at {ms} ms", pending.len());
        // All holdings are granted within the first half second. A renewal is at most one timeout
        // late: renewals at targets that have just become silent are in flight for that long.
        if ms >= 500 {
            let late = (SILENT..HOLDINGS).find(|index| {
                granted_at.get(&(index * 10)).is_none_or(|granted| ms - granted > 1700)
            });
            assert_eq!(late, None, "at {ms} ms");
        }
    }
}

/// Guards against releases at targets that do not respond, which last until their timeout and hold
/// up those at targets that respond.
#[test]
fn releases_in_flight_are_limited_and_silent_targets_do_not_hold_up_others() {
    const SILENT: u16 = 200;
    const HOLDINGS: u16 = 240;
    let ids: Vec<String> = (0..HOLDINGS).map(|index| format!("t{index:03}")).collect();
    let mut names: Vec<&str> = ids.iter().map(String::as_str).collect();
    names.push("z");
    let registry = registry(&names);
    let owner = |index: u16| (index * 10, index * 10 + 9, names[usize::from(index)]);
    let owners: Vec<_> = (0..HOLDINGS).map(owner).collect();
    let mut coordinator = Coordinator::new(options(), tables(&owners), START, START);
    let renewed = coordinator.with_renewed_fences();
    coordinator.adopt(renewed);
    // The silent targets become known as such by their grants.
    for ms in (0..2000).step_by(50) {
        coordinator.confirm_leadership(at(ms));
        for call in coordinator.due_calls(&registry, at(ms)) {
            let silent = call.first < SILENT * 10;
            let reply = if silent { Reply::Unknown } else { Reply::Done { handover: None } };
            coordinator.record_reply(&call, &reply, Some(1), at(ms));
        }
    }
    let moved = |index: u16| Move { first: index * 10, last: index * 10 + 9, to: incarnation("z") };
    let moves: Vec<_> = (0..HOLDINGS).map(|index| (Arc::from("s"), moved(index))).collect();
    let proposed = coordinator.propose(&moves);
    coordinator.adopt(proposed);
    let mut released = HashSet::new();
    let mut in_flight = 0;
    for ms in (2000..3000).step_by(50) {
        coordinator.confirm_leadership(at(ms));
        for call in coordinator.due_calls(&registry, at(ms)) {
            if call.request != Request::Release || call.first >= SILENT * 10 {
                released.insert(call.first);
                coordinator.record_reply(&call, &Reply::Done { handover: None }, None, at(ms));
            } else {
                in_flight += 1;
            }
        }
        assert!(in_flight <= MAX_RELEASES_IN_FLIGHT, "{in_flight} at {ms} ms");
    }
    let missing = (SILENT..HOLDINGS).find(|index| !released.contains(&(index * 10)));
    assert_eq!(missing, None, "a target that responds has not released its keys");
    assert!(in_flight > 0);
}

/// Guards against a coordinator whose processor share is too small for the fleet.
#[test]
fn instances_with_larger_processor_shares_campaign_first() {
    for revision in 0..200 {
        let small = election::delay("a", revision, 0.07, 0.5);
        let large = election::delay("b", revision, 0.5, 0.5);
        assert!(small > large || large - small < Duration::from_millis(120), "{revision}");
    }
}

/// Guards against a small instance that wins an election although all large ones run: it cannot serve the
/// reports of a large fleet, and the others learn changes late. Every rank of a large instance, with a
/// call to the store, comes before every rank of a small one.
#[test]
fn a_small_instance_never_campaigns_before_a_large_one() {
    let call = Duration::from_millis(50);
    let delays = |capacity: f64| {
        let names = (0..200).map(|index| format!("edge-{index}"));
        names.map(|name| election::delay(&name, 7, capacity, 0.5)).collect::<Vec<_>>()
    };
    let last_large = delays(0.5).into_iter().max().unwrap();
    let first_small = delays(0.075).into_iter().min().unwrap();
    assert!(last_large + call <= first_small, "{last_large:?} {first_small:?}");
}

/// Guards against a new incarnation at the same address that receives a token of the old one. A
/// target that restarted behind a network partition accepted its predecessor's grants.
#[test]
fn a_token_is_sent_on_one_connection_only() {
    let registry = registry(&["a"]);
    let mut coordinator = Coordinator::new(options(), tables(&[(0, u16::MAX, "a")]), START, START);
    let renewed = coordinator.with_renewed_fences();
    coordinator.adopt(renewed);
    let first = coordinator.due_calls(&registry, at(0)).pop().unwrap();
    assert_eq!(first.connection, None);
    coordinator.record_reply(&first, &Reply::Done { handover: None }, Some(7), at(10));
    let renewal = coordinator.due_calls(&registry, at(1100)).pop().unwrap();
    assert_eq!((renewal.connection, renewal.fence), (Some(7), first.fence));
    coordinator.record_reply(&renewal, &Reply::ConnectionGone, None, at(1110));
    coordinator.confirm_leadership(at(3000));
    assert!(coordinator.due_calls(&registry, at(3000)).is_empty(), "the old token was sent again");
    let moves = coordinator.fence_reissues();
    let proposed = coordinator.propose(&moves);
    let mut cut_off = coordinator.clone();
    cut_off.adopt(proposed);
    let late = cut_off.due_calls(&registry, at(4000));
    assert!(
        late.is_empty(),
        "a new token was sent although another instance may coordinate by now"
    );
    let moves = coordinator.fence_reissues();
    assert_eq!(moves.len(), 1);
    let proposed = coordinator.propose(&moves);
    coordinator.adopt(proposed);
    assert!(
        coordinator.served_holdings()[0].1.iter().all(|(_, served)| *served),
        "the keys are not served meanwhile"
    );
    let again = coordinator.due_calls(&registry, at(3050)).pop().unwrap();
    assert!(
        again.fence > first.fence
            && again.connection.is_none()
            && again.incarnation == first.incarnation
    );
}

/// Guards against waiting for grants of earlier coordinators to targets that have ended. A quarter
/// of the targets was replaced while the coordinator was lost, and their keys were not served for
/// 13 seconds. Guards as well against ending the wait without proof: the entry of a target at the
/// address is none, since another writer may have left it, but the answer of that target is, if it
/// belongs to another service.
#[yare::parameterized(
    an_entry_of_another_service = { "t", 2, None, 13_000 },
    an_entry_of_the_same_service = { "s", 2, None, 13_000 },
    an_older_entry = { "t", 0, None, 13_000 },
    another_service_answers = { "t", 2, Some("new"), 0 },
    another_service_with_an_older_entry_answers = { "t", 0, Some("new"), 0 },
    the_same_service_answers = { "s", 2, Some("new"), 13_000 },
    the_target_itself_answers = { "t", 2, Some("a"), 13_000 },
    an_unlisted_target_answers = { "t", 2, Some("x"), 13_000 },
)]
fn only_an_answer_at_the_address_of_a_target_proves_that_it_has_ended(
    service: &str,
    born: u64,
    stated: Option<&str>,
    least: u64,
) {
    let mut registry = registry(&["b"]);
    let target = |id: &str, born, service: &str| Target {
        incarnation: Incarnation { id: id.into(), born },
        address: ([10, 0, 0, 9], 80).into(),
        domain: "d".into(),
        service: service.into(),
        slots: 4,
        draining: false,
        warmup: Duration::ZERO,
    };
    registry.put(target("a", 1, "s"), START);
    let mut coordinator = Coordinator::new(options(), tables(&[(0, u16::MAX, "a")]), START, START);
    let renewed = coordinator.with_renewed_fences();
    coordinator.adopt(renewed);
    registry.remove("a", at(100));
    registry.put(target("new", born, service), at(100));
    let key_move = Move { first: 0, last: u16::MAX, to: incarnation("b") };
    let proposed = coordinator.propose(&[("s".into(), key_move)]);
    coordinator.adopt(proposed);
    let mut granted = None;
    for ms in (0..15_000).step_by(100) {
        coordinator.confirm_leadership(at(ms));
        for call in coordinator.due_calls(&registry, at(ms)) {
            let grant = matches!(call.request, Request::Grant { .. });
            if grant && call.incarnation == incarnation("b") {
                granted.get_or_insert(ms);
            }
            let listed = Witness::at_own_address(&registry, &call.incarnation);
            let reply = match (grant, listed) {
                (true, _) => Reply::Done { handover: None },
                (false, Some(listed)) if listed.is_confirmed_by(stated) => Reply::Replaced,
                (false, _) => Reply::Unsent,
            };
            coordinator.record_reply(&call, &reply, Some(1), at(ms));
        }
    }
    let granted = granted.unwrap();
    assert!((least..=least + 400).contains(&granted), "after {granted} ms");
}
