//! Tests of the group machine on histories that random tests rarely reach.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;
use caraway_ownership::event::Effect;
use caraway_ownership::event::Event;
use caraway_ownership::event::Predecessor;
use caraway_ownership::grant;
use caraway_ownership::grant::Reply;
use caraway_ownership::grant::State;
use caraway_ownership::group::Machine;
use caraway_ownership::group::Options;

const TERM: u64 = 16;

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(100_000 + millis)
}

fn target(name: &str) -> name::Target {
    name::Target::new(name)
}

fn machine() -> Machine {
    let options = Options {
        group: name::Group::new("lectura/med/0"),
        term: TERM,
        shards: 0..4,
        pooled: false,
        checked: true,
        targets: vec![target("a"), target("b")],
        predecessor: Predecessor::None,
    };
    Machine::try_new(options, at(0)).unwrap()
}

/// Returns the answer to a query (without `seq`) or to a grant, from a target that has seen no other term.
fn reply(seq: Option<u64>, incarnation: u64, now: Stamp) -> Reply {
    Reply {
        accepted: seq.is_some(),
        seq,
        incarnation,
        clock_ms: now.as_millis(),
        highest: Token::new(TERM, seq.unwrap_or(0)),
        valid_until_ms: now.as_millis(),
        shards: BTreeSet::new(),
        state: State::Live,
    }
}

fn answer(machine: &mut Machine, name: &str, sent: Stamp, reply: Reply, now: Stamp) -> Vec<Effect> {
    machine.step(Event::Reply { target: target(name), sent, reply }, now)
}

/// Returns the sequence number and the shards of each grant to a target that includes a set of shards.
fn grants(effects: &[Effect], name: &str) -> Vec<(u64, BTreeSet<u32>)> {
    let of = |effect: &Effect| match effect {
        Effect::Grant { target, token, shards: Some(shards), .. } if target.as_str() == name => {
            Some((token.seq, shards.clone()))
        }
        _ => None,
    };
    effects.iter().filter_map(of).collect()
}

/// Establishes contact with targets and acknowledges their grants.
fn connect(machine: &mut Machine, names: &[&str], now: Stamp) {
    let mut sent = Vec::new();
    for name in names {
        sent.extend(answer(machine, name, now, reply(None, 1, now), now));
    }
    sent.extend(machine.step(Event::Confirmed(now), now));
    for name in names {
        let (seq, _) = grants(&sent, name).pop().unwrap();
        answer(machine, name, now, reply(Some(seq), 1, now), now);
    }
}

fn shards_of(machine: &Machine, name: &str) -> usize {
    machine.owned_by(&target(name)).len()
}

/// Guards against taking a late answer of an earlier process as proof that the current one is gone. Its shards would
/// be granted to another target while it owns them.
#[test]
fn a_late_answer_of_an_earlier_process_is_ignored() {
    let mut machine = machine();
    connect(&mut machine, &["a", "b"], at(10));
    machine.step(Event::Gone { target: target("a"), sent: at(20) }, at(20));
    machine.step(Event::Confirmed(at(25)), at(30));
    answer(&mut machine, "a", at(40), reply(None, 2, at(45)), at(50));
    let before = machine.targets().first().unwrap().clone();
    assert_eq!(before.contact.unwrap().incarnation, 2);
    answer(&mut machine, "a", at(15), reply(Some(1), 1, at(16)), at(60));
    assert_eq!(machine.targets().first().unwrap().contact, before.contact);
}

/// Guards against a grant to a process that started after a coordinator of a higher term fenced its predecessor.
#[test]
fn a_target_without_a_grant_waits_for_a_check_of_the_term() {
    let mut machine = machine();
    answer(&mut machine, "a", at(10), reply(None, 1, at(10)), at(10));
    let effects = answer(&mut machine, "b", at(10), reply(None, 1, at(10)), at(10));
    assert!(grants(&effects, "a").is_empty() && grants(&effects, "b").is_empty(), "{effects:?}");
    assert!(effects.contains(&Effect::Confirm), "{effects:?}");
    let effects = machine.step(Event::Confirmed(at(20)), at(20));
    assert_eq!(grants(&effects, "a").len(), 1);
}

/// Guards against taking a refused connection from before the latest contact as proof that the process is gone.
#[test]
fn a_late_refused_connection_is_ignored() {
    let mut machine = machine();
    connect(&mut machine, &["a", "b"], at(10));
    machine.step(Event::Gone { target: target("a"), sent: at(5) }, at(20));
    assert!(machine.targets().first().unwrap().contact.is_some());
    assert_eq!(shards_of(&machine, "a"), 2);
}

/// Guards against a partitioned coordinator that has been replaced and places the shards of a target whose grant the
/// new coordinator renews. The expiry of its own grant proves nothing then.
#[yare::parameterized(
    after_expiry = { false },
    after_a_refused_connection = { true },
)]
fn shards_of_a_lost_target_wait_for_a_check_of_the_term(gone: bool) {
    let mut machine = machine();
    connect(&mut machine, &["a", "b"], at(10));
    let ended = at(10) + grant::max_duration();
    let now = if gone { at(20) } else { at(700) };
    // The other target remains in contact.
    answer(&mut machine, "b", at(600), reply(Some(2), 1, at(600)), at(600));
    let event = if gone { Event::Gone { target: target("a"), sent: now } } else { Event::Tick };
    let effects = machine.step(event, now);
    assert!(now > ended || gone);
    assert!(effects.contains(&Effect::Confirm), "{effects:?}");
    assert_eq!(grants(&effects, "b"), []);
    let earlier = now - std::time::Duration::from_millis(1);
    let effects = machine.step(Event::Confirmed(earlier), now);
    assert_eq!(grants(&effects, "b"), []);
    let effects = machine.step(Event::Confirmed(now), now);
    let all: BTreeSet<u32> = (0..4).collect();
    assert_eq!(grants(&effects, "b").pop().unwrap().1, all);
}

/// Guards against granting a moved shard before its owner has acknowledged a grant without it.
#[test]
fn a_moved_shard_is_granted_after_its_revocation() {
    let mut machine = machine();
    connect(&mut machine, &["a", "b"], at(10));
    let shard = *machine.owned_by(&target("a")).first().unwrap();
    let effects = machine.step(Event::Move { shard, to: target("b") }, at(20));
    assert!(effects.contains(&Effect::Pause(shard)), "{effects:?}");
    let effects = machine.step(Event::Drained(shard), at(30));
    let (seq, left) = grants(&effects, "a").pop().unwrap();
    assert!(!left.contains(&shard.0));
    assert_eq!(grants(&effects, "b"), []);
    let effects = answer(&mut machine, "a", at(30), reply(Some(seq), 1, at(31)), at(32));
    assert!(grants(&effects, "b").pop().unwrap().1.contains(&shard.0));
    assert_eq!(machine.owner(Shard(shard.0)), None);
}
