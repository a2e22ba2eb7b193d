//! Tests of the roster: which instance claims a group, when, and which processes may still act for it.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_ownership::claim;
use caraway_ownership::roster::Announcement;
use caraway_ownership::roster::Group;
use caraway_ownership::roster::Holding;
use caraway_ownership::roster::Intent;
use caraway_ownership::roster::Process;
use caraway_ownership::roster::Roster;

const GROUP: &str = "lectura/med/0";

fn process(name: &str) -> Process {
    Process { instance: name::Instance::new(name), incarnation: 1 }
}

fn group() -> name::Group {
    name::Group::new(GROUP)
}

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(100_000 + millis)
}

fn held(holder: &str, term: u64, successor: Option<&str>) -> BTreeMap<name::Group, Holding> {
    let successor = successor.map(name::Instance::new);
    let holding = Holding { term, holder: process(holder), successor, reserved: term + 1 };
    BTreeMap::from([(group(), holding)])
}

fn announcement(term: u64, successor: Option<&str>) -> Announcement {
    let successor = successor.map(name::Instance::new);
    Announcement { group: group(), term, successor, reserved: term + 1 }
}

fn members() -> Vec<Process> {
    ["a", "b", "c"].map(process).to_vec()
}

/// Returns the roster of `me` in a domain with three listed members.
fn roster(me: &str, holdings: BTreeMap<name::Group, Holding>, checked: bool) -> Roster {
    let mut roster = Roster::new(process(me), at(0));
    roster.set_groups(vec![Group { name: group(), checked }]);
    roster.set_store_reachable(true);
    roster.observe(&members(), holdings, at(0));
    roster
}

fn claims(roster: &mut Roster, now: Stamp) -> Vec<Intent> {
    let wanted = |intent: &Intent| matches!(intent, Intent::Claim { .. } | Intent::Succeed { .. });
    roster.decide(now).into_iter().filter(wanted).collect()
}

/// Calls `decide` every 10 ms until there is a claim, and returns its time in milliseconds and the claim.
fn first_claim(roster: &mut Roster, from: u64, to: u64) -> Option<(u64, Intent)> {
    (from..to).step_by(10).find_map(|now| {
        let claim = claims(roster, at(now)).pop()?;
        Some((now, claim))
    })
}

/// Guards against a takeover from a live coordinator.
#[test]
fn a_live_coordinator_keeps_its_group() {
    let mut roster = roster("b", held("a", 16, None), true);
    for now in (0..2000).step_by(100) {
        roster.record_heartbeat(&process("a"), &[announcement(16, None)], false, at(now));
        assert_eq!(claims(&mut roster, at(now + 90)), []);
    }
}

/// Guards against an outage of the keys of a silent coordinator that exceeds the recovery goal of 1 s.
#[test]
fn a_silent_coordinator_is_replaced() {
    let mut roster = roster("b", held("a", 16, None), true);
    roster.record_heartbeat(&process("a"), &[announcement(16, None)], false, at(0));
    let (now, claim) = first_claim(&mut roster, 0, 900).unwrap();
    let limit = (claim::SUSPICION_TIMEOUT + 2 * claim::RANK_DELAY).as_millis();
    assert!(u128::from(now) <= limit + 10, "claimed after {now} ms");
    let Intent::Claim { former, .. } = claim else { panic!("{claim:?}") };
    assert_eq!(former.unwrap().holder, process("a"));
}

/// Guards against a takeover by an instance that the silent holder does not know, and therefore cannot ask.
#[test]
fn silence_of_a_holder_never_contacted_is_not_acted_on() {
    let mut roster = roster("b", held("a", 16, None), true);
    roster.record_heartbeat(&process("c"), &[], false, at(0));
    assert_eq!(first_claim(&mut roster, 0, 5000), None);
    assert_eq!(roster.blocked(at(5000)), [(group(), process("a"))]);
    roster.record_gone(&process("a"), at(5000));
    assert!(first_claim(&mut roster, 5000, 6000).is_some());
}

/// Guards against a term check that succeeds without the answer of an instance that may have claimed a higher term.
#[test]
fn a_term_is_confirmed_by_every_instance_that_may_have_taken_it() {
    let mut roster = roster("a", held("a", 16, None), true);
    assert_eq!(roster.confirmed_since(at(50)), None);
    roster.record_reply(&process("b"), at(10), at(50));
    assert_eq!(roster.confirmed_since(at(50)), None);
    roster.record_reply(&process("c"), at(20), at(60));
    assert_eq!(roster.confirmed_since(at(60)), Some(at(10)));
    roster.record_gone(&process("b"), at(70));
    assert_eq!(roster.confirmed_since(at(70)), Some(at(20)));
    roster.record_gone(&process("c"), at(80));
    assert_eq!(roster.confirmed_since(at(80)), Some(at(80)));
}

/// Guards against two senders to targets that do not check tokens: silence does not prove that the first one ended.
#[test]
fn unchecked_targets_wait_for_proof() {
    let mut roster = roster("b", held("a", 16, None), false);
    assert_eq!(first_claim(&mut roster, 0, 5000), None);
    assert_eq!(roster.blocked(at(5000)), [(group(), process("a"))]);
    roster.record_gone(&process("a"), at(5000));
    assert!(first_claim(&mut roster, 5000, 6000).is_some());
}

/// Guards against the receiver of a handover claiming the group before the message of the sender arrives.
#[test]
fn a_receiver_waits_for_the_message_of_a_handover() {
    let mut roster = roster("b", held("a", 16, None), true);
    roster.record_heartbeat(&process("a"), &[announcement(16, None)], false, at(0));
    roster.observe(&members(), held("b", 32, None), at(0));
    let (now, claim) = first_claim(&mut roster, 0, 2000).unwrap();
    assert!(u128::from(now) >= claim::HANDOVER_TIMEOUT.as_millis());
    let Intent::Claim { former, .. } = claim else { panic!("{claim:?}") };
    let former = former.unwrap();
    assert_eq!((former.holder, former.released), (process("a"), false));
}

/// Guards against a receiver that serves unchecked targets concurrently with the sender, whose message was lost.
#[test]
fn a_receiver_of_unchecked_targets_waits_for_the_sender_to_end() {
    let mut roster = roster("b", held("a", 16, None), false);
    roster.observe(&members(), held("b", 32, None), at(0));
    for now in (0..3000).step_by(100) {
        roster.record_heartbeat(&process("a"), &[], false, at(now));
        assert_eq!(claims(&mut roster, at(now + 50)), []);
    }
    roster.record_gone(&process("a"), at(3000));
    assert!(first_claim(&mut roster, 3000, 4000).is_some());
}

/// Guards against a claimant that treats the receiver of a handover as ended because the sender released the group.
#[test]
fn a_claim_after_a_handover_counts_the_receiver() {
    let mut roster = roster("c", held("a", 16, None), true);
    roster.record_heartbeat(&process("b"), &[], false, at(0));
    roster.observe(&members(), held("b", 32, Some("a")), at(0));
    let (_, claim) = first_claim(&mut roster, 0, 2000).unwrap();
    let Intent::Claim { former, expected, .. } = claim else { panic!("{claim:?}") };
    let former = former.unwrap();
    assert_eq!((former.holder.clone(), former.released, expected), (process("b"), false, 32));
    assert_eq!(roster.ended_since(&former, at(1000)), None);
}

/// Guards against a group without a coordinator during a store outage: the named successor needs no store.
#[test]
fn a_named_successor_acts_without_the_store() {
    let mut roster = roster("b", held("a", 16, Some("b")), true);
    roster.record_heartbeat(&process("a"), &[announcement(16, Some("b"))], false, at(0));
    roster.set_store_reachable(false);
    roster.record_gone(&process("a"), at(100));
    let (_, intent) = first_claim(&mut roster, 100, 200).unwrap();
    assert!(matches!(intent, Intent::Succeed { term: 17, .. }), "{intent:?}");
}

#[yare::parameterized(
    not_proved_gone = { Some(0), None },
    named_too_long_ago = { Some(0), Some(401) },
    named_by_nobody = { None, Some(100) },
)]
fn a_reserved_term_needs_a_recent_nomination_and_proof_of_the_end(
    named: Option<u64>,
    gone: Option<u64>,
) {
    let mut roster = roster("b", held("a", 16, Some("b")), true);
    roster.set_store_reachable(false);
    if let Some(named) = named {
        roster.record_heartbeat(&process("a"), &[announcement(16, Some("b"))], false, at(named));
    }
    if let Some(gone) = gone {
        roster.record_gone(&process("a"), at(gone));
    }
    assert_eq!(first_claim(&mut roster, 500, 3000), None);
}

/// Guards against two instances that coordinate a group at the same time. An instance that claimed it in the store
/// needs an answer of the named successor before it considers the previous coordinator ended.
#[test]
fn a_previous_coordinator_ends_only_with_its_successor() {
    let mut roster = roster("c", held("a", 16, Some("b")), true);
    roster.record_gone(&process("a"), at(100));
    let (now, claim) = first_claim(&mut roster, 100, 2000).unwrap();
    let Intent::Claim { former, .. } = claim else { panic!("{claim:?}") };
    let former = former.unwrap();
    assert_eq!(roster.ended_since(&former, at(now)), None);
    roster.record_reply(&process("b"), at(now - 1), at(now + 1));
    assert_eq!(roster.ended_since(&former, at(now)), None);
    roster.record_reply(&process("b"), at(now + 2), at(now + 3));
    assert_eq!(roster.ended_since(&former, at(now)), Some(at(now + 2)));
}

/// Guards against a resumed process that claims groups of instances whose heartbeats it missed while suspended.
#[test]
fn a_resumed_process_restarts_suspicion_timeouts() {
    let mut roster = roster("b", held("a", 16, None), true);
    roster.record_heartbeat(&process("a"), &[announcement(16, None)], false, at(0));
    roster.resume(at(10_000));
    assert_eq!(claims(&mut roster, at(10_010)), []);
}

/// Guards against two successors that act on nominations of the same holder: it pauses between two nominations.
#[test]
fn a_holder_pauses_before_it_names_another_successor() {
    let mut roster = roster("a", held("a", 16, Some("b")), true);
    roster.set_coordinated(BTreeMap::from([(group(), 16)]));
    let mut renamed_at = None;
    for now in (0..3000u64).step_by(50) {
        roster.record_heartbeat(&process("c"), &[], false, at(now));
        if now < 1000 {
            roster.record_heartbeat(&process("b"), &[], false, at(now));
        }
        let intents = roster.decide(at(now));
        let rename = intents.iter().any(|intent| matches!(intent, Intent::NameSuccessor { .. }));
        if rename {
            renamed_at = Some(now);
            break;
        }
        // The last heartbeat of b arrived at 950 ms.
        let silent = now > 950 + 350;
        assert_eq!(roster.named_successor(&group()).is_none(), silent, "at {now} ms");
    }
    assert!(renamed_at.unwrap() >= 950 + 350 + 1000, "renamed at {renamed_at:?} ms");
}

/// Guards against a pause before the first nomination.
#[test]
fn a_first_successor_is_named_immediately() {
    let mut roster = roster("a", held("a", 16, None), true);
    roster.set_coordinated(BTreeMap::from([(group(), 16)]));
    roster.record_heartbeat(&process("c"), &[], false, at(0));
    let intents = roster.decide(at(10));
    assert!(
        intents.iter().any(|intent| matches!(intent, Intent::NameSuccessor { .. })),
        "{intents:?}"
    );
}

/// Guards against a reserved term that reaches the next term of the store.
#[test]
fn terms_of_the_store_are_above_all_reserved_ones() {
    for term in 0..64 {
        let next = claim::next_term(term);
        let reserved = (0..64).filter_map(|index| claim::reserved_term(term, index)).max();
        assert!(next > reserved.unwrap() && next > term);
        assert_eq!(next % claim::TERM_STEP, 0);
    }
    assert_eq!(Duration::from_millis(400), claim::NOMINATION_VALIDITY);
}
