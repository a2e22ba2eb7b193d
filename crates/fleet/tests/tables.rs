//! Ownership tables, views, the registry and the operator configuration.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use caraway_core::time::Stamp;
use caraway_fleet::configuration::Configuration;
use caraway_fleet::configuration::Route;
use caraway_fleet::configuration::Split;
use caraway_fleet::configuration::Splitter;
use caraway_fleet::coordinator::Coordinator;
use caraway_fleet::coordinator::Options;
use caraway_fleet::era::Revision;
use caraway_fleet::membership::Change;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::REREGISTRATION_GRACE;
use caraway_fleet::membership::Registry;
use caraway_fleet::membership::Target;
use caraway_fleet::ownership::Holding;
use caraway_fleet::ownership::Move;
use caraway_fleet::ownership::Table;
use caraway_fleet::view::Owners;
use caraway_fleet::view::Version;
use caraway_fleet::view::View;

fn incarnation(id: &str, born: u64) -> Incarnation {
    Incarnation { id: id.into(), born }
}

fn assign(table: &mut Table, first: u16, last: u16, to: &str) {
    table.apply(&Move { first, last, to: incarnation(to, 1) });
}

/// Guards against a move that loses keys or assigns them to two owners, and against a token that
/// does not increase.
#[test]
fn a_move_splits_holdings_and_keeps_their_earlier_owners() {
    let mut table = Table::default();
    assign(&mut table, 0, 65_535, "a");
    assign(&mut table, 100, 199, "b");
    assert_eq!(table.holdings.len(), 3);
    assert!(table.unowned_ranges().is_empty());
    let moved = table.find(150).unwrap();
    assert_eq!(
        (moved.owner.clone(), moved.earlier.clone()),
        (incarnation("b", 1), vec![incarnation("a", 1)])
    );
    assert!(moved.release_fence() > table.find(99).unwrap().fence);
    assert_eq!(table.find(99).unwrap().fence, table.find(200).unwrap().fence);
    assign(&mut table, 150, 250, "c");
    let both = table.find(180).unwrap();
    assert_eq!(both.earlier, vec![incarnation("b", 1), incarnation("a", 1)]);
    // A move back to a former owner needs no release of its own keys.
    assign(&mut table, 150, 160, "a");
    assert_eq!(table.find(155).unwrap().earlier, vec![incarnation("c", 1), incarnation("b", 1)]);
}

/// Guards against an earlier owner that is removed for keys outside the release call.
#[test]
fn an_earlier_owner_is_removed_only_for_the_keys_of_the_call() {
    let mut table = Table::default();
    assign(&mut table, 0, 999, "a");
    assign(&mut table, 0, 999, "b");
    let fence = table.find(0).unwrap().fence;
    assign(&mut table, 400, 499, "c");
    table.remove_earlier(0, 399, fence, &incarnation("a", 1));
    assert!(table.find(10).unwrap().earlier.is_empty());
    assert_eq!(table.find(600).unwrap().earlier, vec![incarnation("a", 1)]);
}

/// Guards against merging holdings of which one still has an earlier owner.
#[test]
fn adjacent_holdings_merge_once_they_have_no_earlier_owners() {
    let mut table = Table::default();
    assign(&mut table, 0, 99, "a");
    assign(&mut table, 100, 199, "a");
    assign(&mut table, 200, 299, "b");
    assign(&mut table, 200, 299, "a");
    table.merge_adjacent();
    assert_eq!(table.holdings.len(), 2);
    let highest = table.fence;
    table.remove_earlier(200, 299, table.find(250).unwrap().fence, &incarnation("b", 1));
    table.merge_adjacent();
    assert_eq!(table.holdings.len(), 1);
    assert!(table.find(0).unwrap().fence > highest);
}

/// Guards against serving a stored holding before its earlier owner has ended.
#[test]
fn a_view_from_tables_serves_only_holdings_without_earlier_owners() {
    let mut table = Table::default();
    assign(&mut table, 0, 99, "a");
    assign(&mut table, 50, 99, "b");
    let tables = [(Arc::from("s"), table)].into_iter().collect();
    let view = View::from_tables(&tables, Revision::new(0, 7));
    let owners = &view.services["s"];
    assert_eq!(owners.find(10), Some((&incarnation("a", 1), true)));
    assert_eq!(owners.find(60), Some((&incarnation("b", 1), false)));
    assert_eq!(owners.find(100), None);
    assert_eq!(Owners::default().find(0), None);
}

fn view(change: u64, moves: &[(u16, u16, u8)]) -> View {
    let mut table = Table::default();
    for (a, b, owner) in moves {
        assign(&mut table, *a.min(b), *a.max(b), &format!("t{owner}"));
    }
    let holdings: Vec<_> = table.holdings.iter().map(|h| (h.clone(), h.fence % 4 == 0)).collect();
    let services = [(Arc::from("s"), Owners::new(&holdings))].into_iter().collect();
    View {
        version: Version { term: Revision::new(0, 1), change },
        coordinator: "c".into(),
        services,
        ..View::default()
    }
}

proptest! {
    /// Guards against an owner of a key that differs from the coordinator's after an instance
    /// applied a change.
    #[test]
    fn a_view_with_a_change_equals_the_next_view(
        moves in vec((any::<u16>(), any::<u16>(), 0_u8..5), 1..30),
        more in vec((any::<u16>(), any::<u16>(), 0_u8..5), 0..10),
    ) {
        let before = view(1, &moves);
        let after = view(2, &[moves, more].concat());
        let change = serde_json::to_string(&after.changes_since(&before)).unwrap();
        let change = serde_json::from_str(&change).unwrap();
        let updated = before.with_change(&change).unwrap();
        let (updated, after) = (&updated.services["s"], &after.services["s"]);
        for key in (0..=u16::MAX).step_by(97).chain(after.spans.iter().map(|span| span.last)) {
            prop_assert_eq!(updated.find(key), after.find(key));
        }
        let sorted = updated.spans.windows(2).all(|pair| pair[0].last < pair[1].first);
        prop_assert!(sorted);
    }
}

/// Guards against a change whose cost is quadratic in the holdings. Changes of 650 holdings took
/// the whole processor share of small instances for a second. With the 50,000 holdings of this
/// test, quadratic cost takes minutes.
#[test]
fn a_change_of_all_owners_is_cheap() {
    let holdings = |owner: &dyn Fn(u16) -> u16| {
        let mut table = Table::default();
        let holding = |key: u16| Holding {
            first: key,
            last: key,
            owner: incarnation(&format!("t{}", owner(key)), 1),
            fence: 2 * u64::from(key) + 2,
            earlier: vec![],
        };
        table.holdings = (0..50_000).map(holding).collect();
        table
    };
    let before = holdings(&|key| key % 5000);
    let after = holdings(&|key| (key + 1) % 5000);
    let view = |table: &Table, change| {
        let served: Vec<_> = table.holdings.iter().map(|h| (h.clone(), true)).collect();
        let services = [(Arc::from("s"), Owners::new(&served))].into_iter().collect();
        View {
            version: Version { term: Revision::new(0, 1), change },
            coordinator: "c".into(),
            services,
            ..View::default()
        }
    };
    let start = Instant::now();
    let (old, new) = (view(&before, 1), view(&after, 2));
    assert_eq!(old.with_change(&new.changes_since(&old)).unwrap().services, new.services);
    let (options, at) = (Options::new(Duration::from_secs(10)), Stamp::from_millis(1));
    let tables = |table: Table| [(Arc::from("s"), table)].into_iter().collect();
    let mut coordinator = Coordinator::new(options, tables(before), at, at);
    coordinator.adopt(tables(after));
    let took = start.elapsed();
    assert!(took < Duration::from_secs(10), "{took:?}");
}

fn target(id: &str, born: u64, draining: bool) -> Target {
    Target {
        incarnation: incarnation(id, born),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "a".into(),
        service: "s".into(),
        slots: 4,
        draining,
        warmup: Duration::ZERO,
    }
}

/// Guards against a new incarnation that is mistaken for the old one, and against a missed drain.
#[test]
fn joins_drains_and_removals_are_reported_once() {
    let mut registry = Registry::default();
    let now = Stamp::from_millis(5);
    assert!(matches!(registry.put(target("a", 1, false), now), Some(Change::Joined(_))));
    assert_eq!(registry.put(target("a", 1, false), now), None);
    assert!(matches!(registry.put(target("a", 1, true), now), Some(Change::Draining(_))));
    assert_eq!(registry.put(target("a", 1, true), now), None);
    assert!(matches!(registry.put(target("a", 2, false), now), Some(Change::Joined(_))));
    assert_eq!(registry.get("a").unwrap().draining_since, None);
    assert!(matches!(registry.remove("a", now), Some(Change::Gone(_))));
    assert_eq!(registry.remove("a", now), None);
}

/// Guards against a drain time that starts again at every instance that learns of the drain late. A
/// target got a request 2,966 ms after the start of its drain, with 2,500 ms allowed.
#[test]
fn the_drain_time_counts_from_the_first_instance_that_saw_the_drain() {
    let mut registry = Registry::default();
    let at = Stamp::from_millis;
    registry.put(target("a", 1, true), at(3000));
    registry.update_draining_since("a", at(1200));
    assert_eq!(registry.get("a").unwrap().draining_since, Some(at(1200)));
    registry.update_draining_since("a", at(2000));
    assert_eq!(registry.get("a").unwrap().draining_since, Some(at(1200)));
    registry.put(target("b", 1, false), at(3000));
    registry.update_draining_since("b", at(1200));
    assert_eq!(registry.get("b").unwrap().draining_since, None);
}

/// A step of a target's life, as an instance learns of it.
#[derive(Clone, Copy)]
enum Step {
    /// The entry says that the target is ready.
    Ready,
    /// The entry says that the target is draining.
    Draining,
    /// A response says that the target is leaving.
    Announced,
    /// The entry is removed.
    Removed,
    /// The entry is that of a new incarnation.
    Reborn,
}

/// Guards against a departure that is forgotten, or counted from a later source: the earlier of entry
/// and response counts, an entry revokes only what an entry said, and a new incarnation starts afresh.
#[yare::parameterized(
    entry_first = { &[Step::Draining, Step::Announced], Some(1) },
    response_first = { &[Step::Announced, Step::Draining], Some(1) },
    entry_is_ready_again = { &[Step::Draining, Step::Ready], None },
    entry_never_says_so = { &[Step::Announced, Step::Ready], Some(1) },
    ready_again_after_both = { &[Step::Draining, Step::Announced, Step::Ready], Some(2) },
    entry_returns = { &[Step::Announced, Step::Removed, Step::Ready], Some(1) },
    entry_returns_as_draining = { &[Step::Announced, Step::Removed, Step::Draining], Some(1) },
    announced_again = { &[Step::Announced, Step::Announced], Some(1) },
    reborn = { &[Step::Announced, Step::Reborn], None },
    reborn_after_removal = { &[Step::Draining, Step::Announced, Step::Removed, Step::Reborn], None },
    announced_while_removed = { &[Step::Removed, Step::Announced, Step::Ready], Some(2) },
)]
fn the_earliest_source_of_a_departure_counts(steps: &[Step], since: Option<u64>) {
    let at = |step: u64| Stamp::from_millis(1000 * step);
    let mut registry = Registry::default();
    registry.put(target("a", 1, false), at(0));
    let mut reported = 0;
    for (step, now) in steps.iter().zip((1..).map(at)) {
        let change = match step {
            Step::Ready => registry.put(target("a", 1, false), now),
            Step::Draining => registry.put(target("a", 1, true), now),
            Step::Announced => registry.record_departure(&incarnation("a", 1), now, now),
            Step::Removed => registry.remove("a", now),
            Step::Reborn => registry.put(target("a", 2, false), now),
        };
        reported += usize::from(matches!(change, Some(Change::Draining(_))));
    }
    assert_eq!(registry.get("a").unwrap().draining_since, since.map(at));
    assert!(reported <= 1, "reported {reported} times");
}

/// Guards against a target that is taken for another one that has left and had its address.
#[test]
fn a_departure_concerns_neither_other_targets_nor_other_incarnations() {
    let mut registry = Registry::default();
    let now = Stamp::from_millis(1000);
    registry.put(target("a", 1, false), now);
    assert!(registry.record_departure(&incarnation("a", 1), now, now).is_some());
    registry.remove("a", now);
    registry.put(target("b", 2, false), now);
    assert_eq!(registry.get("b").unwrap().draining_since, None);
    registry.put(target("a", 3, false), now);
    assert_eq!(registry.record_departure(&incarnation("a", 1), now, now), None);
    assert_eq!(registry.get("a").unwrap().draining_since, None);
    // Only recent departures are passed on.
    assert_eq!(registry.recent_departures(now).count(), 1);
    assert_eq!(registry.recent_departures(now + Duration::from_secs(60)).count(), 0);
}

/// Guards against dropping targets whose entries expired during an outage of the store, and against
/// using a target forever that does not return.
#[test]
fn entries_missing_after_an_outage_are_kept_for_a_grace_period() {
    let mut registry = Registry::default();
    let at = Stamp::from_millis;
    registry.put(target("a", 1, false), at(0));
    registry.put(target("b", 1, false), at(0));
    registry.put(target("c", 1, true), at(0));
    let gone = registry.reconcile(&|id| id == "b", true, at(1000));
    assert_eq!(gone, vec![Change::Gone(Arc::new(target("c", 1, true)))]);
    assert!(registry.expire(at(1000) + REREGISTRATION_GRACE - Duration::from_millis(1)).is_empty());
    registry.put(target("b", 1, false), at(1100));
    assert_eq!(registry.expire(at(1000) + REREGISTRATION_GRACE).len(), 1);
    assert!(registry.get("a").is_none() && registry.get("b").is_some());
    assert_eq!(registry.reconcile(&|_| false, false, at(9000)).len(), 1);
}

fn route(name: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        prefix: prefix.into(),
        repeatable: true,
        large: false,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        rank: 1,
        splits: vec![],
        max_attempts: 2,
    })
}

/// Guards against a shorter prefix that hides a longer one, and against a host name that is in
/// another case or has a port.
#[test]
fn the_longest_prefix_of_the_host_is_chosen() {
    let routes = vec![route("long", "/a/b/"), route("short", "/a/")];
    let hosts = HashMap::from([("h.example".into(), routes)]);
    let configuration = Configuration { hosts, ..Configuration::default() };
    let name = |host, path| configuration.route(host, path).map(|route| route.name.to_string());
    assert_eq!(name("h.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("H.Example:80", "/a/x?q=/a/b/").as_deref(), Some("short"));
    assert_eq!(name("h.example", "/a"), None);
    assert_eq!(name("other", "/a/b/"), None);
}

/// Guards against shares that hold only on average.
#[test]
fn a_splitter_keeps_the_shares_over_short_runs() {
    let split = |service: &str, weight| Split { service: service.into(), weight };
    let splits = [split("a", 90), split("b", 10), split("none", 0)];
    let mut splitter = Splitter::default();
    for _ in 0..20 {
        let mut counts = [0; 3];
        for _ in 0..10 {
            counts[splitter.next(&splits)] += 1;
        }
        assert_eq!(counts, [9, 1, 0]);
    }
    // The configuration has one split left.
    assert_eq!(splitter.next(&splits[..1]), 0);
}

/// Guards against an instance that has just started and counts the drain time of a target from its own
/// first read: a soak run (seed 17) had a request 2,002 ms after a notice, 2,000 ms allowed.
#[test]
fn a_target_found_draining_at_the_start_is_not_used_until_its_age_is_known() {
    let at = |ms| Stamp::default() + Duration::from_millis(ms);
    let mut registry = Registry::default();
    registry.put(target("a", 1, true), at(1000));
    registry.record_unknown_drain_age("a");
    assert!(registry.get("a").unwrap().drain_age_unknown);
    registry.update_draining_since("a", at(500));
    let member = registry.get("a").unwrap();
    assert!(!member.drain_age_unknown);
    assert_eq!(member.draining_since, Some(at(500)));
    // A target that is ready has no such age.
    registry.put(target("b", 1, false), at(1000));
    registry.record_unknown_drain_age("b");
    assert!(!registry.get("b").unwrap().drain_age_unknown);
}

/// Guards against a release that goes to another target than the incarnation that holds the keys, and against one that no
/// target gets after a restart.
#[test]
fn an_incarnation_keeps_its_address_when_its_id_is_listed_elsewhere() {
    let now = Stamp::from_millis(1000);
    let at = |born: u64, port: u16| Target {
        address: ([10, 0, 0, 1], port).into(),
        ..target("a", born, false)
    };
    let address = |port: u16| Some(([10, 0, 0, 1], port).into());
    let mut registry = Registry::default();
    registry.put(at(2, 80), now);
    assert_eq!(registry.addresses(&incarnation("a", 2)), (address(80), None));
    // Listed elsewhere, earlier or later.
    for (born, port) in [(1, 81), (3, 82)] {
        registry.put(at(born, port), now);
        assert_eq!(registry.addresses(&incarnation("a", 2)), (address(80), address(port)));
        assert_eq!(registry.addresses(&incarnation("a", born)), (address(port), None));
    }
    // Restarted at the same address: the new incarnation answers for the one before.
    registry.put(at(4, 80), now);
    assert_eq!(registry.addresses(&incarnation("a", 2)), (address(80), None));
    // Another target is listed at the address.
    registry.remove("a", now);
    registry.put(Target { address: ([10, 0, 0, 1], 80).into(), ..target("c", 9, false) }, now);
    assert_eq!(registry.addresses(&incarnation("a", 2)), (address(80), None));
    registry.remove("c", now);
    registry.put(at(4, 80), now);
    // Never seen by this instance.
    assert_eq!(registry.addresses(&incarnation("a", 9)), (None, address(80)));
    assert_eq!(registry.addresses(&incarnation("b", 1)), (None, None));
}
