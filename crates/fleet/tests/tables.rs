//! Tables of owners, views, targets and configurations.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_fleet::configuration::Configuration;
use caraway_fleet::configuration::Divider;
use caraway_fleet::configuration::Part;
use caraway_fleet::configuration::Route;
use caraway_fleet::membership::Change;
use caraway_fleet::membership::Life;
use caraway_fleet::membership::RETURN_TIME;
use caraway_fleet::membership::Registry;
use caraway_fleet::membership::Target;
use caraway_fleet::ownership::Move;
use caraway_fleet::ownership::Table;
use caraway_fleet::view::Owners;
use caraway_fleet::view::View;

fn life(id: &str, born: u64) -> Life {
    Life { id: id.into(), born }
}

fn give(table: &mut Table, first: u16, last: u16, to: &str) {
    table.apply(&Move { first, last, to: life(to, 1) });
}

/// Guards against keys that a move loses or gives to two owners, and against a token that does not
/// rise.
#[test]
fn a_move_cuts_holdings_and_remembers_their_owners() {
    let mut table = Table::default();
    give(&mut table, 0, 65_535, "a");
    give(&mut table, 100, 199, "b");
    assert_eq!(table.holdings.len(), 3);
    assert!(table.gaps().is_empty());
    let moved = table.find(150).unwrap();
    assert_eq!((moved.owner.clone(), moved.earlier.clone()), (life("b", 1), vec![life("a", 1)]));
    assert!(moved.release_fence() > table.find(99).unwrap().fence);
    assert_eq!(table.find(99).unwrap().fence, table.find(200).unwrap().fence);
    give(&mut table, 150, 250, "c");
    let both = table.find(180).unwrap();
    assert_eq!(both.earlier, vec![life("b", 1), life("a", 1)]);
    // Going back to a former owner needs no release of its own keys.
    give(&mut table, 150, 160, "a");
    assert_eq!(table.find(155).unwrap().earlier, vec![life("c", 1), life("b", 1)]);
}

/// Guards against an earlier owner that is forgotten for keys it was not asked about.
#[test]
fn an_earlier_owner_is_settled_for_the_keys_of_the_call_only() {
    let mut table = Table::default();
    give(&mut table, 0, 999, "a");
    give(&mut table, 0, 999, "b");
    let fence = table.find(0).unwrap().fence;
    give(&mut table, 400, 499, "c");
    table.settle(0, 399, fence, &life("a", 1));
    assert!(table.find(10).unwrap().earlier.is_empty());
    assert_eq!(table.find(600).unwrap().earlier, vec![life("a", 1)]);
}

/// Guards against holdings that are joined although an earlier owner has a part in one.
#[test]
fn neighbors_are_joined_when_they_are_settled() {
    let mut table = Table::default();
    give(&mut table, 0, 99, "a");
    give(&mut table, 100, 199, "a");
    give(&mut table, 200, 299, "b");
    give(&mut table, 200, 299, "a");
    table.join();
    assert_eq!(table.holdings.len(), 2);
    let highest = table.fence;
    table.settle(200, 299, table.find(250).unwrap().fence, &life("b", 1));
    table.join();
    assert_eq!(table.holdings.len(), 1);
    assert!(table.find(0).unwrap().fence > highest);
}

/// Guards against a stored holding that is served before its earlier owner has ended.
#[test]
fn a_stored_view_serves_settled_holdings_only() {
    let mut table = Table::default();
    give(&mut table, 0, 99, "a");
    give(&mut table, 50, 99, "b");
    let tables = [(Arc::from("s"), table)].into_iter().collect();
    let view = View::stored(&tables, 7);
    let owners = &view.services["s"];
    assert_eq!(owners.find(10), Some((&life("a", 1), true)));
    assert_eq!(owners.find(60), Some((&life("b", 1), false)));
    assert_eq!(owners.find(100), None);
    assert_eq!(Owners::default().find(0), None);
}

fn target(id: &str, born: u64, draining: bool) -> Target {
    Target {
        life: life(id, born),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "a".into(),
        service: "s".into(),
        slots: 4,
        draining,
        cold: Duration::ZERO,
    }
}

/// Guards against a new life that is taken for the old one, and against notices that are lost.
#[test]
fn joins_notices_and_ends_are_told_once() {
    let mut registry = Registry::default();
    let now = Stamp::from_millis(5);
    assert!(matches!(registry.put(target("a", 1, false), now), Some(Change::Joined(_))));
    assert_eq!(registry.put(target("a", 1, false), now), None);
    assert!(matches!(registry.put(target("a", 1, true), now), Some(Change::Draining(_))));
    assert_eq!(registry.put(target("a", 1, true), now), None);
    assert!(matches!(registry.put(target("a", 2, false), now), Some(Change::Joined(_))));
    assert_eq!(registry.get("a").unwrap().leaving, None);
    assert!(matches!(registry.remove("a"), Some(Change::Gone(_))));
    assert_eq!(registry.remove("a"), None);
}

/// Guards against targets that are dropped because their entries lapsed while the store was away,
/// and against one that never comes back and is used for ever.
#[test]
fn entries_that_lapsed_in_an_outage_have_time_to_return() {
    let mut registry = Registry::default();
    let at = Stamp::from_millis;
    registry.put(target("a", 1, false), at(0));
    registry.put(target("b", 1, false), at(0));
    registry.put(target("c", 1, true), at(0));
    let gone = registry.retain(&|id| id == "b", true, at(1000));
    assert_eq!(gone, vec![Change::Gone(Arc::new(target("c", 1, true)))]);
    assert!(registry.expire(at(1000) + RETURN_TIME - Duration::from_millis(1)).is_empty());
    registry.put(target("b", 1, false), at(1100));
    assert_eq!(registry.expire(at(1000) + RETURN_TIME).len(), 1);
    assert!(registry.get("a").is_none() && registry.get("b").is_some());
    assert_eq!(registry.retain(&|_| false, false, at(9000)).len(), 1);
}

fn route(name: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        prefix: prefix.into(),
        repeatable: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        rank: 1,
        parts: vec![],
        attempts: 2,
    })
}

/// Guards against a shorter prefix that hides a longer one, and against a host in other case or
/// with a port.
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
fn a_split_keeps_its_shares_over_short_runs() {
    let part = |service: &str, weight| Part { service: service.into(), weight };
    let parts = [part("a", 90), part("b", 10), part("none", 0)];
    let mut divider = Divider::default();
    for _ in 0..20 {
        let mut counts = [0; 3];
        for _ in 0..10 {
            counts[divider.next(&parts)] += 1;
        }
        assert_eq!(counts, [9, 1, 0]);
    }
    // A configuration with other parts starts anew.
    assert_eq!(divider.next(&parts[..1]), 0);
}
