//! From whom an instance learns the contents of the store, under random sequences of events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

use caraway_core::time::Stamp;
use caraway_fleet::following;
use caraway_fleet::following::Fleet;
use caraway_fleet::following::Following;
use caraway_fleet::following::MAX_SILENCE;
use caraway_fleet::following::Mode;
use caraway_fleet::following::News;
use caraway_fleet::rendezvous::Domains;

const SELF: &str = "edge-1";

#[derive(Clone, Debug)]
enum Op {
    /// A response of another instance to a report that was sent so many milliseconds ago.
    Response {
        leading: bool,
        fresh: bool,
        delay: u64,
    },
    /// The response of this instance to its own report: it is the coordinator in its own eyes.
    OwnResponse,
    Failure,
    Elected,
    TermEnded,
    /// The coordinator's record is removed, or names another instance.
    LeaderChanged(bool),
    Question,
    /// The process does not run for so many milliseconds.
    Freeze(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (proptest::bool::ANY, proptest::bool::weighted(0.8), 0..3000_u64)
            .prop_map(|(leading, fresh, delay)| Op::Response { leading, fresh, delay }),
        2 => Just(Op::OwnResponse),
        2 => Just(Op::Failure),
        1 => Just(Op::Elected),
        2 => Just(Op::TermEnded),
        1 => proptest::bool::ANY.prop_map(Op::LeaderChanged),
        1 => Just(Op::Question),
        2 => (50..20_000_u64).prop_map(Op::Freeze),
    ]
}

/// A rule that decides whether an instance watches the store.
trait Rule {
    fn apply(&mut self, op: &Op, deputy: bool, now: Stamp);
    fn watches_store(&self) -> bool;
}

impl Rule for Following {
    fn apply(&mut self, op: &Op, deputy: bool, now: Stamp) {
        let news = |source: &str, leading, fresh, delay| News {
            source: source.into(),
            leading,
            fresh,
            sent: now - Duration::from_millis(delay),
            age: Duration::ZERO,
        };
        match op {
            Op::Response { leading, fresh, delay } => {
                self.record_news(news("edge-2", *leading, *fresh, *delay), deputy, now);
            }
            Op::OwnResponse => {
                self.record_news(news(SELF, true, true, 0), deputy, now);
            }
            Op::Failure => self.record_failure("edge-2", deputy),
            Op::Elected => self.begin_term(),
            Op::TermEnded => self.end_term(),
            Op::LeaderChanged(none) => {
                self.record_leader((!none).then_some("edge-3"), deputy);
            }
            Op::Question => self.record_question(deputy, now),
            Op::Freeze(_) => {}
        }
        self.expire(now);
    }

    fn watches_store(&self) -> bool {
        self.watches_store()
    }
}

/// A flag that only a response or a failed report changes, without a timeout.
#[derive(Default)]
struct Flag {
    delegated: bool,
    leading: bool,
}

impl Rule for Flag {
    fn apply(&mut self, op: &Op, _: bool, _: Stamp) {
        match op {
            Op::Response { leading, fresh, .. } if !self.leading => {
                self.delegated = *leading && *fresh;
            }
            Op::Failure if !self.leading => self.delegated = false,
            Op::Elected => self.leading = true,
            Op::TermEnded => self.leading = false,
            _ => {}
        }
    }

    fn watches_store(&self) -> bool {
        self.leading || !self.delegated
    }
}

/// Returns the first moment at which a rule does not watch the store although no other instance
/// that is up to date was heard from for [`MAX_SILENCE`].
fn first_violation(rule: &mut impl Rule, ops: &[Op], deputy: bool) -> Option<String> {
    let mut now = Stamp::default() + Duration::from_secs(100);
    let mut latest_news = Stamp::default();
    for (index, op) in ops.iter().enumerate() {
        now = now + Duration::from_millis(50);
        match op {
            Op::Freeze(time) => now = now + Duration::from_millis(*time),
            Op::Response { fresh: true, delay, .. } => {
                latest_news = latest_news.max(now - Duration::from_millis(*delay));
            }
            _ => {}
        }
        rule.apply(op, deputy, now);
        if !rule.watches_store() && now.since(latest_news) >= MAX_SILENCE {
            return Some(format!(
                "after {index}, {op:?}: no news for {:?}",
                now.since(latest_news)
            ));
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, ..ProptestConfig::default() })]

    /// Guards against an instance that follows nobody: a flag that said that the coordinator
    /// watches the store stayed set after the instance itself had been coordinator.
    #[test]
    fn an_instance_always_follows_the_store_or_an_instance_that_is_up_to_date(
        ops in vec(op(), 1..60),
        deputy in proptest::bool::ANY,
    ) {
        let mut following = Following::new(SELF.into(), Stamp::default());
        let violation = first_violation(&mut following, &ops, deputy);
        prop_assert!(violation.is_none(), "{violation:?}");
    }

    /// Guards against a coordinator that relies on another instance, and against one that counts
    /// as coordinator after its term.
    #[test]
    fn a_coordinator_watches_the_store_until_its_term_ends(ops in vec(op(), 1..60)) {
        let mut following = Following::new(SELF.into(), Stamp::default());
        let mut now = Stamp::default() + Duration::from_secs(100);
        let mut leading = false;
        for op in ops {
            now = now + Duration::from_millis(50);
            following.apply(&op, false, now);
            leading = match op {
                Op::Elected => true,
                Op::TermEnded => false,
                _ => leading,
            };
            prop_assert!(leading == (*following.mode() == Mode::Coordinating));
        }
    }

    /// Guards against a view that seems newer than anything that was heard.
    #[test]
    fn the_view_is_never_newer_than_the_latest_news(ops in vec(op(), 1..60)) {
        let mut following = Following::new(SELF.into(), Stamp::default());
        let mut now = Stamp::default() + Duration::from_secs(100);
        let mut latest_news = Stamp::default();
        for op in ops {
            now = now + Duration::from_millis(50);
            if let Op::Response { fresh: true, delay, .. } = op {
                latest_news = latest_news.max(now - Duration::from_millis(delay));
            }
            following.apply(&op, false, now);
            prop_assert!(following.age(now) >= now.since(latest_news));
        }
    }
}

/// Guards against sequences that are too tame: they have to break a flag without a timeout.
#[test]
fn the_sequences_break_a_flag_without_a_timeout() {
    let mut runner = TestRunner::deterministic();
    let sequence = vec(op(), 1..60);
    let broken = (0..200).filter(|_| {
        let ops = sequence.new_tree(&mut runner).unwrap().current();
        first_violation(&mut Flag::default(), &ops, false).is_some()
    });
    assert!(broken.count() > 100);
}

fn news(source: &str, leading: bool, sent: Stamp) -> News {
    News { source: source.into(), leading, fresh: true, sent, age: Duration::from_millis(100) }
}

/// Guards against deputies that follow each other, so that nobody watches the store.
#[test]
fn a_deputy_follows_only_the_coordinator() {
    let now = Stamp::default() + Duration::from_secs(5);
    let mut following = Following::new(SELF.into(), now);
    assert!(!following.record_news(news("edge-2", false, now), true, now));
    assert!(following.watches_store());
    assert!(following.record_news(news("edge-3", true, now), true, now));
    assert!(!following.watches_store());
    following.record_leader(None, true);
    assert!(following.watches_store());
}

/// Guards against a deputy that returns to the coordinator between two questions of an instance
/// that is cut off from the coordinator.
#[test]
fn a_deputy_that_was_asked_watches_the_store_for_a_while() {
    let mut now = Stamp::default() + Duration::from_secs(5);
    let mut following = Following::new(SELF.into(), now);
    assert!(following.record_news(news("edge-3", true, now), true, now));
    following.record_question(true, now);
    now = now + Duration::from_secs(1);
    assert!(!following.record_news(news("edge-3", true, now), true, now));
    assert!(following.watches_store());
    now = now + Duration::from_secs(3);
    assert!(following.record_news(news("edge-3", true, now), true, now));
    assert!(!following.watches_store());
}

/// Guards against an age of the view that leaves out how old the news was at its source.
#[test]
fn the_age_of_the_view_includes_the_age_at_the_source() {
    let mut now = Stamp::default() + Duration::from_secs(5);
    let mut following = Following::new(SELF.into(), Stamp::default());
    following.record_news(news("edge-3", true, now), false, now);
    now = now + Duration::from_secs(1);
    assert_eq!(following.age(now), Duration::from_millis(1100));
    following.record_store_response(now);
    assert_eq!(following.age(now), Duration::ZERO);
}

fn instances(count: usize) -> Domains {
    let row = |index: usize| (format!("edge-{index}").into(), format!("d{}", index % 4).into());
    (0..count).map(row).collect()
}

/// Guards against many deputies: each of them calls the store.
#[test]
fn each_domain_has_two_deputies_besides_the_coordinator() {
    let (all, capacities) = (instances(122), BTreeMap::new());
    let fleet = Fleet { instances: &all, capacities: &capacities, leader: None };
    for domain in ["d0", "d1", "d2", "d3"] {
        let before = fleet.deputies(domain);
        assert_eq!(before.len(), 2);
        assert!(before.iter().all(|name| &*all[*name] == domain));
        let leader = before[0];
        let after = Fleet { leader: Some(leader), ..fleet }.deputies(domain);
        assert_eq!(after.len(), 2);
        assert!(!after.contains(&leader) && after.contains(&before[1]));
    }
}

/// Guards against deputies on the smallest machines: they are the first to see that the coordinator
/// is gone, and would become coordinator before larger ones know of it.
#[test]
fn deputies_have_at_least_half_of_the_largest_processor_share() {
    let all = instances(122);
    let share = |index: usize| if index < 100 { 0.1 } else { 0.4 };
    let capacities = (0..122).map(|index| (format!("edge-{index}").into(), share(index))).collect();
    let fleet = Fleet { instances: &all, capacities: &capacities, leader: None };
    for domain in ["d0", "d1", "d2", "d3"] {
        let deputies = fleet.deputies(domain);
        assert_eq!(deputies.len(), 2);
        assert!(deputies.iter().all(|name| capacities[*name] > 0.3));
    }
}

/// Guards against an instance that asks itself, the coordinator that has failed, or never some of
/// the others, and against instances that all ask the same deputy.
#[test]
fn deputies_of_the_own_domain_are_asked_first_and_all_others_in_the_end() {
    let (all, capacities) = (instances(40), BTreeMap::new());
    let leader = "edge-7";
    let fleet = Fleet { instances: &all, capacities: &capacities, leader: Some(leader) };
    let mut first: BTreeSet<&Arc<str>> = BTreeSet::new();
    for (name, domain) in &all {
        let asked: Vec<&Arc<str>> =
            (0..39).filter_map(|attempt| fleet.source(name, attempt)).collect();
        let distinct: BTreeSet<&Arc<str>> = asked.iter().copied().collect();
        let others = all.keys().filter(|other| *other != name && ***other != *leader);
        assert_eq!(distinct, others.collect());
        let own = fleet.deputies(domain).into_iter().filter(|deputy| *deputy != name).count();
        assert!(asked[..own].iter().all(|deputy| all[*deputy] == *domain));
        first.insert(asked[0]);
    }
    // Two deputies in each of four domains.
    assert_eq!(first.len(), 8);
}

/// Guards against a drain time that runs from when a late response was read: a target got a request
/// 2,875 ms after its notice because the instance that saw it first had not heard from the store for
/// a while.
#[test]
fn changes_in_a_response_may_be_as_old_as_the_view() {
    let at = |ms| Stamp::default() + Duration::from_millis(ms);
    // The watch had no need to wait, so the change may have come right after the last news.
    assert_eq!(following::changed_since(at(1000), at(2400), at(2405)), at(1000));
    // A watch that waited responds to a change at once.
    assert_eq!(following::changed_since(at(1000), at(1005), at(1900)), at(1800));
    // A view that is newer than the response bounds the time as well.
    assert_eq!(following::changed_since(at(1850), at(1005), at(1900)), at(1850));
    // A response shows the changes until shortly before it, even if it is read late.
    assert_eq!(following::viewed_at(at(1005), at(1900)), at(1800));
    assert_eq!(following::viewed_at(at(1005), at(1010)), at(1005));
}
