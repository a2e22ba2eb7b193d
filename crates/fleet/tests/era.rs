//! What a record of an earlier era of the store is worth.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_fleet::coordinator::Tables;
use caraway_fleet::era;
use caraway_fleet::era::Basis;
use caraway_fleet::era::Latest;
use caraway_fleet::era::Observation;
use caraway_fleet::era::Record;
use caraway_fleet::era::Retirement;
use caraway_fleet::era::Revision;
use caraway_fleet::ownership::Table;

fn at(ms: u64) -> Stamp {
    Stamp::default() + Duration::from_millis(ms)
}

fn tables(fence: u64) -> Tables {
    BTreeMap::from([("keyed".into(), Table { fence, holdings: vec![] })])
}

fn announced(next_era: Option<u64>) -> Retirement {
    Retirement {
        tables_revision: Revision::new(0, 9),
        next_era,
        tables: tables(70),
        grant_expiries: HashMap::new(),
    }
}

/// Guards against an entry of an earlier era that replaces a later one because its revision is
/// higher.
#[test]
fn revisions_are_ordered_by_the_era_first() {
    assert!(Revision::new(1, 3) > Revision::new(0, 900));
    assert!(Revision::new(1, 4) > Revision::new(1, 3));
}

/// Guards against a late response of an earlier era that counts, and against the first response to a
/// process that is taken for a restoration.
#[test]
fn a_response_of_an_earlier_era_is_outdated() {
    let mut latest = Latest::default();
    assert_eq!(latest.observe(2, at(100)), Observation::Current);
    assert_eq!(latest.observe(3, at(200)), Observation::Risen);
    assert_eq!(latest.observe(2, at(300)), Observation::Outdated);
    assert_eq!(latest.observe(3, at(400)), Observation::Current);
    assert_eq!((latest.era(), latest.seen_at()), (3, at(200)));
}

/// Guards against a new coordinator that takes restored tables for complete.
#[test]
fn restored_tables_are_replaced_by_announced_ones() {
    let stored = |era| Record { era, tables: tables(50) };
    let fence = |tables: &Tables| tables["keyed"].fence;
    match era::basis(1, stored(0), &announced(Some(1))) {
        Basis::Announced(tables, _) => assert_eq!(fence(&tables), 70),
        other => panic!("{other:?}"),
    }
    assert!(matches!(era::basis(1, stored(0), &announced(None)), Basis::Unknown(_)));
    // Grants of era 1 are not covered by what ended era 0.
    assert!(matches!(era::basis(2, stored(0), &announced(Some(1))), Basis::Unknown(_)));
    match era::basis(1, stored(1), &announced(Some(1))) {
        Basis::Stored(tables) => assert_eq!(fence(&tables), 50),
        other => panic!("{other:?}"),
    }
}

/// Guards against the announcement of a coordinator that was frozen: another one may have followed it
/// before the restoration.
#[test]
fn a_coordinator_without_a_valid_lease_is_not_the_last() {
    assert!(era::is_last(at(1000), at(2300)));
    assert!(!era::is_last(at(1000), at(2400)));
}

/// Guards against tokens of a new era that were assigned in an earlier one, and against a change of
/// the tokens of a store without eras.
#[test]
fn tokens_of_an_era_are_above_those_of_earlier_ones() {
    assert_eq!(era::token_floor(0), 0);
    assert!(era::token_floor(1) > 1_000_000_000);
    assert!(era::token_floor(2) > era::token_floor(1) + 1_000_000_000);
}
