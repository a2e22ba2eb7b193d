//! Tests of the directory and of the declarations.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::unwrap_used)]

use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_entry::declaration::Snapshot;
use caraway_entry::directory::Directory;
use caraway_entry::directory::Member;
use caraway_ownership::roster::Process;
use caraway_store::declaration::Declarations;
use caraway_store::declaration::Gone;
use caraway_wire::peer;

fn process(instance: &str, incarnation: u64) -> Process {
    Process { instance: name::Instance::new(instance), incarnation }
}

fn member(instance: &str, incarnation: u64, domain: &str) -> Member {
    Member {
        process: process(instance, incarnation),
        domain: name::Domain::new(domain),
        control: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        admin: "[::1]:3".parse().unwrap(),
    }
}

fn row(term: u64, holder: &str, incarnation: u64) -> peer::Row {
    peer::Row {
        group: "lectura/med/0".into(),
        term,
        holder: holder.into(),
        holder_incarnation: incarnation,
        peer_address: "127.0.0.1:2".into(),
        admin_address: "127.0.0.1:3".into(),
        queue_percent: 40,
        ..peer::Row::default()
    }
}

fn group() -> name::Group {
    name::Group::new("lectura/med/0")
}

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(millis)
}

/// Guards against a delayed message that restores a replaced process.
#[test]
fn an_older_incarnation_does_not_replace_a_newer_one() {
    let mut directory = Directory::new();
    directory.add_member(member("med-1", 7, "med"));
    directory.add_member(member("med-1", 6, "bog"));
    let name = name::Instance::new("med-1");
    assert_eq!(directory.member(&name), Some(&member("med-1", 7, "med")));
    directory.add_member(member("med-1", 8, "bog"));
    assert_eq!(directory.member(&name), Some(&member("med-1", 8, "bog")));
    assert_eq!(directory.members().count(), 1);
    assert!(directory.of_domain(&name::Domain::new("med")).is_empty());
}

/// Guards against the removal of a restarted process because its previous incarnation is gone.
#[test]
fn only_the_process_that_is_gone_is_removed() {
    let mut directory = Directory::new();
    directory.add_member(member("med-1", 7, "med"));
    directory.add_member(member("med-2", 7, "med"));
    directory.remove_member(&process("med-1", 6));
    assert_eq!(directory.members().count(), 2);
    directory.remove_member(&process("med-1", 7));
    assert_eq!(directory.members().count(), 1);
    assert!(directory.member(&name::Instance::new("med-2")).is_some());
}

/// Guards against routing requests to a coordinator whose term has ended.
#[test]
fn a_row_of_a_lower_term_is_ignored() {
    let mut directory = Directory::new();
    assert!(directory.update_row(&row(32, "med-2", 1), at(10)));
    assert!(!directory.update_row(&row(16, "med-1", 1), at(20)));
    let known = directory.row(&group()).unwrap();
    assert_eq!((known.term, &known.holder, known.confirmed_at), (32, &process("med-2", 1), at(10)));
    assert!(directory.update_row(&row(33, "med-3", 1), at(30)));
    assert_eq!(directory.row(&group()).unwrap().holder, process("med-3", 1));
    assert_eq!(directory.rows().len(), 1);
}

/// Guards against publishing the directory to the data path after every heartbeat, and against
/// an age that is not reset when the coordinator changes.
#[test]
fn a_confirmed_row_is_not_a_change() {
    let mut directory = Directory::new();
    directory.update_row(&row(16, "med-1", 1), at(10));
    let same_coordinator = peer::Row { queue_percent: 90, ..row(16, "med-1", 1) };
    assert!(!directory.update_row(&same_coordinator, at(20)));
    let known = directory.row(&group()).unwrap();
    assert_eq!((known.changed_at, known.confirmed_at, known.queue_percent), (at(10), at(20), 90));
    let moved = peer::Row { peer_address: "127.0.0.1:9".into(), ..row(16, "med-1", 1) };
    assert!(directory.update_row(&moved, at(30)));
    assert!(directory.update_row(&row(16, "med-1", 2), at(40)));
    assert_eq!(directory.row(&group()).unwrap().changed_at, at(40));
}

/// Guards against a message with a malformed address that removes or replaces a known row.
#[test]
fn a_message_with_an_invalid_address_is_ignored() {
    let mut directory = Directory::new();
    directory.update_row(&row(16, "med-1", 1), at(10));
    let invalid = peer::Row { peer_address: "med-2:80".into(), ..row(32, "med-2", 1) };
    assert!(!directory.update_row(&invalid, at(20)));
    let invalid = peer::Row { admin_address: String::new(), ..row(32, "med-2", 1) };
    assert!(!directory.update_row(&invalid, at(20)));
    assert_eq!(directory.row(&group()).unwrap().term, 16);
    let invalid = peer::Member { control_address: "x".into(), ..member("a", 1, "med").to_wire() };
    assert_eq!(Member::from_wire(&invalid), None);
}

/// Guards against a field that is lost or swapped in a wire message.
#[test]
fn members_and_rows_round_trip_through_wire_messages() {
    let member = member("med-1", 7, "med");
    assert_eq!(Member::from_wire(&member.to_wire()), Some(member));
    let mut directory = Directory::new();
    directory.update_row(&row(16, "med-1", 1), at(10));
    let sent = Directory::to_wire(&group(), directory.row(&group()).unwrap());
    assert_eq!(sent, row(16, "med-1", 1));
}

fn declared(names: &[&str]) -> Declarations {
    let gone = |name: &&str| Gone { name: (*name).into(), reason: "r".into(), source: "s".into() };
    Declarations { write_id: "w".into(), gone: names.iter().map(gone).collect() }
}

/// Guards against event 802 at every read of the declarations, and against a missing event for a
/// name that is declared again after a withdrawal.
#[test]
fn a_declaration_is_new_once() {
    let mut snapshot = Snapshot::new();
    let mut added = |names: &[&str]| -> Vec<String> {
        snapshot.replace(declared(names)).into_iter().map(|gone| gone.name).collect()
    };
    assert_eq!(added(&["a"]), ["a"]);
    assert_eq!(added(&["a", "b", "b"]), ["b"]);
    assert!(added(&["b"]).is_empty());
    assert_eq!(added(&["a", "b"]), ["a"]);
    assert_eq!(snapshot.names().collect::<Vec<_>>(), ["a", "b"]);
}
