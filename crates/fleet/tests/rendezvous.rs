//! Rendezvous hashing of instances for targets.

use std::collections::BTreeSet;
use std::sync::Arc;

use caraway_fleet::membership::Incarnation;
use caraway_fleet::rendezvous::Domains;
use caraway_fleet::rendezvous::is_selected;
use caraway_fleet::rendezvous::select;

fn instances(count: usize) -> Domains {
    let row = |index: usize| (format!("edge-{index}").into(), format!("d{}", index % 4).into());
    (0..count).map(row).collect()
}

fn incarnation(id: usize) -> Incarnation {
    Incarnation { id: format!("i-{id}").into(), born: 7 }
}

/// Guards against a selection that shuffles when an unrelated instance leaves: connections and
/// shares of all targets would change at once.
#[test]
fn the_removal_of_an_instance_changes_only_its_own_selections() {
    let all = instances(40);
    let mut fewer = all.clone();
    fewer.remove("edge-3");
    for id in 0..200 {
        let target = incarnation(id);
        let before: BTreeSet<&Arc<str>> = select(&target, "d1", &all, 4).into_iter().collect();
        let after: BTreeSet<&Arc<str>> = select(&target, "d1", &fewer, 4).into_iter().collect();
        if before.iter().any(|name| ***name == *"edge-3") {
            assert_eq!(before.difference(&after).count(), 1);
        } else {
            assert_eq!(before, after);
        }
    }
}

/// Guards against instances of other failure domains being selected while the own domain has some.
#[test]
fn instances_of_the_same_domain_are_selected_first() {
    let all = instances(12);
    let selected = select(&incarnation(1), "d2", &all, 4);
    let domains: Vec<&str> = selected.iter().map(|name| &*all[*name]).collect();
    assert_eq!(domains.iter().filter(|domain| **domain == "d2").count(), 3);
}

/// Guards against a skewed hash: one instance would carry the load of many targets.
#[test]
fn selections_are_spread_over_the_instances() {
    let all = instances(40);
    let mut counts = std::collections::BTreeMap::new();
    for id in 0..1000 {
        for name in select(&incarnation(id), "d1", &all, 2) {
            *counts.entry(name.clone()).or_insert(0) += 1;
        }
    }
    // Ten instances of the domain get 200 selections each in the mean.
    assert_eq!(counts.len(), 10);
    assert!(counts.values().all(|count| (120..=280).contains(count)), "{counts:?}");
}

/// Guards against an instance that decides otherwise about itself than the others do.
#[test]
fn an_instance_is_selected_if_and_only_if_it_is_in_the_selection() {
    for size in [1, 3, 9, 40] {
        let all = instances(size);
        for (id, count) in (0..30).flat_map(|id| [1, 4, 20].map(|count| (id, count))) {
            let target = incarnation(id);
            let selected = select(&target, "d1", &all, count);
            for name in all.keys() {
                let included = is_selected(name, &target, "d1", &all, count);
                assert_eq!(included, selected.contains(&name));
            }
        }
    }
    let unknown = "other".into();
    assert!(!is_selected(&unknown, &incarnation(1), "d1", &instances(3), 4));
}
