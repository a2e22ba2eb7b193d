//! Late entries of the store do not replace newer ones, and entries of other writers replace none.

use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_fleet::era::Revision;
use caraway_fleet::membership::Change;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Objection;
use caraway_fleet::membership::Registry;
use caraway_fleet::membership::Target;
use caraway_fleet::proof::Witness;

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

fn target(id: &str, born: u64, service: &str, port: u16) -> Target {
    Target {
        incarnation: Incarnation { id: id.into(), born },
        address: ([10, 0, 0, 1], port).into(),
        domain: "d".into(),
        service: service.into(),
        slots: 4,
        draining: false,
        warmup: Duration::from_secs(5),
    }
}

/// Guards against an entry of a service that no configuration names which replaces a running target
/// with the same id or address, and against a target that is never listed because its entry came
/// before the configuration.
#[test]
fn an_entry_of_an_unknown_service_is_kept_until_a_configuration_names_it() {
    let now = Stamp::from_millis(9000);
    let mut registry = Registry::for_named_services();
    registry.name_services([Arc::from("s")], now);
    registry.put(target("a", 1, "s", 80), now);
    let unknown = Some(Objection::UnknownService("t".into()));
    for odd in [target("agent", 2, "t", 80), target("a", 2, "t", 80)] {
        assert_eq!(registry.objection(&odd), unknown);
        assert_eq!(registry.put(odd, now), None);
    }
    let running = Incarnation { id: "a".into(), born: 1 };
    assert_eq!(registry.get("a").unwrap().target.incarnation, running);
    assert_eq!(registry.grant_address(&running), Some(([10, 0, 0, 1], 80).into()));
    assert_eq!(Witness::at_own_address(&registry, &running), None);
    assert!(registry.get("agent").is_none());
    // Other instances get the entry: they may know a configuration that names the service.
    assert_eq!(registry.entry("agent", now).unwrap().incarnation.born, 2);
    // The target writes its own entry again.
    registry.put(target("a", 1, "s", 80), now);
    let later = now + Duration::from_secs(2);
    let changes = registry.name_services([Arc::from("t")], later);
    assert!(matches!(&changes[..], [Change::Joined(joined)] if *joined.incarnation.id == *"agent"));
    let warm_at = registry.get("agent").unwrap().warm_at;
    assert_eq!(warm_at, now + Duration::from_secs(5), "the warm-up counts from the entry");
    // A service that a later configuration omits keeps its targets.
    assert!(registry.name_services([Arc::from("s")], later).is_empty());
    assert!(registry.get("agent").is_some());
}

/// Guards against a target of a service that becomes known late whose drain time counts from then.
#[test]
fn a_target_that_was_draining_before_its_service_became_known_is_not_used() {
    let now = Stamp::from_millis(9000);
    let mut registry = Registry::for_named_services();
    registry.put(Target { draining: true, ..target("a", 1, "s", 80) }, now);
    registry.name_services([Arc::from("s")], now + Duration::from_secs(1));
    assert!(registry.get("a").unwrap().drain_age_unknown);
}

/// Guards against an entry that is removed from the store and comes back with a configuration.
#[test]
fn a_removed_entry_of_an_unknown_service_is_forgotten() {
    let now = Stamp::from_millis(9000);
    let mut registry = Registry::for_named_services();
    for id in ["a", "b"] {
        registry.put(target(id, 1, "s", 80), now);
    }
    assert_eq!(registry.remove("a", now), None);
    assert!(registry.reconcile(&|_| false, false, now).is_empty());
    assert!(registry.name_services([Arc::from("s")], now).is_empty());
}

/// Guards against an entry of another writer that directs the calls for a running target to the
/// address of another one, or gives the target to another service.
#[yare::parameterized(
    another_address = { "s", 81 },
    another_service = { "t", 80 },
)]
fn an_incarnation_keeps_its_address_and_service(service: &str, port: u16) {
    let now = Stamp::from_millis(9000);
    let mut registry = Registry::default();
    registry.put(target("a", 1, "s", 80), now);
    let odd = target("a", 1, service, port);
    assert_eq!(registry.objection(&odd), Some(Objection::Contradiction));
    assert_eq!(registry.put(odd, now), None);
    let listed = &registry.get("a").unwrap().target;
    assert_eq!((listed.address.port(), &*listed.service), (80, "s"));
}
