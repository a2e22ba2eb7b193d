//! Late entries of the store do not replace newer ones.

use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_fleet::era::Revision;
use caraway_fleet::membership::Registry;

/// Guards against a late page of the store, or a late response of another instance, that brings
/// back a removed target or an earlier state of one.
#[test]
fn an_older_entry_is_not_accepted() {
    let (mut registry, now) = (Registry::default(), Stamp::default() + Duration::from_secs(9));
    let id: Arc<str> = "p0".into();
    assert!(registry.accept(&id, Revision::new(0, 7), now));
    assert!(!registry.accept(&id, Revision::new(0, 5), now));
    // The same entry may be read twice.
    assert!(registry.accept(&id, Revision::new(0, 7), now));
    assert!(registry.accept(&id, Revision::new(0, 8), now));
    assert_eq!(registry.entry_revision(&id), Revision::new(0, 8));
    // Revisions are assigned again in a new era.
    assert!(registry.accept(&id, Revision::new(1, 3), now));
    assert!(!registry.accept(&id, Revision::new(0, 9), now));
    assert!(registry.accept(&"p1".into(), Revision::new(0, 1), now));
}

/// Guards against memory that grows with each target that was ever listed.
#[test]
fn revisions_of_removed_entries_are_forgotten_after_a_minute() {
    let (mut registry, now) = (Registry::default(), Stamp::default() + Duration::from_secs(9));
    registry.accept(&"p0".into(), Revision::new(0, 7), now);
    registry.expire(now + Duration::from_secs(50));
    assert_eq!(registry.entry_revision("p0"), Revision::new(0, 7));
    registry.expire(now + Duration::from_secs(70));
    assert_eq!(registry.entry_revision("p0"), Revision::new(0, 0));
}
