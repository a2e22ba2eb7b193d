//! Changes of the owners that are sent instead of the whole view.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use caraway_fleet::era::Revision;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::ownership::Holding;
use caraway_fleet::view::Log;
use caraway_fleet::view::Owners;
use caraway_fleet::view::Version;
use caraway_fleet::view::View;

/// Number of parts into which the keys are divided.
const PARTS: u16 = 16;

fn version(change: u64) -> Version {
    Version { term: Revision::new(0, 7), change }
}

/// Returns a view in which adjacent parts with the same owner are one range.
fn view(change: u64, owners: &[(usize, bool)]) -> View {
    let mut rows: Vec<(Holding, bool)> = Vec::new();
    for (part, (owner, granted)) in (0..PARTS).zip(owners) {
        let size = 65_536 / u32::from(PARTS);
        let first = u16::try_from(u32::from(part) * size).unwrap();
        let last = first + u16::try_from(size - 1).unwrap();
        let incarnation = Incarnation { id: format!("k{owner}").into(), born: 1 };
        match rows.last_mut() {
            Some((holding, known)) if holding.owner == incarnation && known == granted => {
                holding.last = last;
            }
            _ => {
                let holding =
                    Holding { first, last, owner: incarnation, fence: 1, earlier: vec![] };
                rows.push((holding, *granted));
            }
        }
    }
    let coordinator: Arc<str> = "edge-1".into();
    let services = [(Arc::from("keyed"), Owners::new(&rows))].into();
    View { version: version(change), coordinator, services, fences: BTreeMap::new() }
}

fn owner(view: &View, key: u16) -> (Incarnation, bool) {
    let (owner, granted) = view.services["keyed"].find(key).unwrap();
    (owner.clone(), granted)
}

proptest! {
    /// Guards against a sum of changes that differs from the view that it leads to: requests
    /// would go to former owners.
    #[test]
    fn the_sum_of_changes_leads_to_the_current_view(
        owners in vec(vec((0..3_usize, proptest::bool::ANY), usize::from(PARTS)), 2..12),
    ) {
        let views: Vec<View> =
            (1..).zip(&owners).map(|(change, owners)| view(change, owners)).collect();
        let mut log = Log::default();
        for pair in views.windows(2) {
            log.add(pair[1].changes_since(&pair[0]));
        }
        let current = views.last().unwrap();
        for earlier in &views[..views.len() - 1] {
            let change = log.between(earlier.version, current.version).unwrap();
            let result = earlier.with_change(&change).unwrap();
            prop_assert_eq!(result.version, current.version);
            for key in (0..=u16::MAX).step_by(1024) {
                prop_assert_eq!(owner(&result, key), owner(current, key));
            }
        }
    }

    /// Guards against a history without a bound.
    #[test]
    fn the_history_is_bounded(count in 260..300_u64) {
        let mut log = Log::default();
        let views = [view(1, &[(0, true); 16]), view(2, &[(1, true); 16])];
        let mut change = views[1].changes_since(&views[0]);
        for number in 1..=count {
            (change.from, change.to) = (version(number), version(number + 1));
            log.add(change.clone());
        }
        prop_assert!(log.between(version(1), version(count + 1)).is_none());
        prop_assert!(log.between(version(count - 10), version(count + 1)).is_some());
    }
}

/// Guards against a difference to a version that the log does not contain.
#[test]
fn a_gap_in_the_changes_requires_the_whole_view() {
    let views: Vec<View> = (1..5)
        .map(|change| view(change, &[(usize::try_from(change).unwrap(), true); 16]))
        .collect();
    let mut log = Log::default();
    log.add(views[1].changes_since(&views[0]));
    log.add(views[3].changes_since(&views[2]));
    assert!(log.between(version(1), version(4)).is_none());
    assert!(log.between(version(3), version(4)).is_some());
    assert!(log.between(version(3), version(5)).is_none());
}
