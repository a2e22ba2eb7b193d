//! Entries of the store that this instance knows: targets and registrations of instances. An entry
//! is replaced only by a newer one, since a response of the store or of another instance may be
//! older than what is known.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use caraway_call::suspicion::Loss;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::era::Revision;
use caraway_fleet::membership::Change;
use caraway_fleet::membership::Objection;
use caraway_fleet::membership::Target;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::state::Instance;
use crate::state::State;

/// Maximum number of unreadable or unused entries that are remembered, so that each is logged once.
const MAX_IGNORED_ENTRIES: usize = 4096;

/// Number of changes kept in the history: enough for several seconds, even while all targets are replaced.
const MAX_HISTORY: usize = 1024;

/// History of changes of the listed targets.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<(Revision, Arc<str>)>,
    /// Revision up to which changes have been dropped.
    dropped_revision: Revision,
}

impl History {
    fn add(&mut self, revision: Revision, id: &Arc<str>) {
        if self.changes.len() >= MAX_HISTORY
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.dropped_revision = self.dropped_revision.max(dropped);
        }
        self.changes.push_back((revision, id.clone()));
    }

    /// Clears the history after the targets were read as of a revision.
    pub fn restart(&mut self, revision: Revision) {
        self.changes.clear();
        self.dropped_revision = revision;
    }

    /// Returns the ids of the targets that changed after a revision, or `None` if the history does
    /// not reach back to it.
    pub fn after(&self, revision: Revision) -> Option<BTreeSet<Arc<str>>> {
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        (revision >= self.dropped_revision).then(|| later.map(|(_, id)| id.clone()).collect())
    }
}

impl State {
    /// Records that an entry in the store cannot be read, and logs it the first time.
    pub fn ignore_entry(&self, key: &str, error: &str) {
        let mut ignored = self.ignored_entries.borrow_mut();
        if ignored.len() >= MAX_IGNORED_ENTRIES || !ignored.insert(key.to_owned()) {
            return;
        }
        self.metrics.ignored_entries.inc();
        emit(Event::EntryIgnored { key: key.to_owned(), error: error.to_owned() });
    }

    /// Records that an entry in the store can be read, or was removed.
    pub fn accept_entry(&self, key: &str) {
        self.ignored_entries.borrow_mut().remove(key);
    }

    /// Records the registration of a target as of a revision, unless a newer one is known.
    pub fn record_target(&self, target: Target, revision: Revision) {
        let now = Clock.now();
        let id = target.incarnation.id.clone();
        if self.is_outlived(&target, revision) {
            // The running incarnation writes its entry again, or is removed after the grace period.
            return self.record_missing(&id, now);
        }
        if !self.registry.borrow_mut().accept(&id, revision, now) {
            return;
        }
        self.history.borrow_mut().add(revision, &id);
        let objection = self.registry.borrow().objection(&target);
        self.log_objection(&target, objection);
        let change = self.registry.borrow_mut().put(target, now);
        self.report_change(change);
    }

    /// Logs that an entry lists no target, the first time.
    fn log_objection(&self, target: &Target, objection: Option<Objection>) {
        let id = &target.incarnation.id;
        let mut objections = self.objections.borrow_mut();
        if objections.get(id) == objection.as_ref() {
            return;
        }
        let Some(objection) = objection else {
            objections.remove(id);
            return;
        };
        emit(Event::EntryUnused { target: id.to_string(), reason: objection.to_string() });
        if objections.len() < MAX_IGNORED_ENTRIES {
            objections.insert(id.clone(), objection);
        }
    }

    /// Lists the targets of services that the configuration names for the first time.
    pub fn list_named_targets(&self) {
        let Some(configuration) = self.configuration() else { return };
        let services = configuration.services.keys().cloned();
        let changes = self.registry.borrow_mut().name_services(services, Clock.now());
        for change in changes {
            self.report_change(Some(change));
        }
    }

    /// Returns whether an entry that came back with a new era is that of an earlier incarnation than
    /// the known one.
    fn is_outlived(&self, target: &Target, revision: Revision) -> bool {
        let registry = self.registry.borrow();
        let id = &target.incarnation.id;
        registry.entry_revision(id).era < revision.era
            && registry
                .get(id)
                .is_some_and(|known| known.target.incarnation.born > target.incarnation.born)
    }

    /// Records that the entry of a target was removed as of a revision, unless a newer entry is
    /// known.
    pub fn remove_target(&self, id: &str, revision: Revision) {
        let now = Clock.now();
        if self.registry.borrow_mut().accept(&id.into(), revision, now) {
            self.objections.borrow_mut().remove(id);
            let change = self.registry.borrow_mut().remove(id, now);
            self.record_removals(change.into_iter().collect(), revision);
        }
    }

    /// Removes the targets that are missing in a complete list as of a revision, except those whose
    /// entries are newer than the list.
    pub fn reconcile_targets(&self, listed: &HashSet<Arc<str>>, outage: bool, revision: Revision) {
        let mut registry = self.registry.borrow_mut();
        let newer: HashSet<Arc<str>> = registry
            .members()
            .map(|member| &member.target.incarnation.id)
            .filter(|id| registry.entry_revision(id) > revision)
            .cloned()
            .collect();
        let retained = |id: &str| listed.contains(id) || newer.contains(id);
        let gone = registry.reconcile(&retained, outage, Clock.now());
        drop(registry);
        self.record_removals(gone, revision);
    }

    /// Records that the entry of a target has been missing since an outage of the store.
    pub fn record_missing(&self, id: &str, since: Stamp) {
        self.registry.borrow_mut().record_missing(id, since);
    }

    /// Records the registration of an instance, or its removal, as of a revision, unless a newer
    /// one is known.
    pub fn record_instance(&self, name: &str, instance: Option<Instance>, revision: Revision) {
        let mut revisions = self.instance_revisions.borrow_mut();
        let known = revisions.entry(name.into()).or_default();
        if *known > revision {
            return;
        }
        *known = revision;
        let mut instances = self.instances.borrow_mut();
        let before = match &instance {
            Some(instance) => instances.insert(name.into(), instance.clone()),
            None => instances.remove(name),
        };
        if before != instance {
            self.instances_revision.set(self.instances_revision.get().max(revision));
        }
    }

    /// Replaces the registered instances by a complete list as of a revision, except those whose
    /// registrations are newer than the list.
    pub fn replace_instances(&self, listed: BTreeMap<Arc<str>, Instance>, revision: Revision) {
        self.retain_instances(&|name| listed.contains_key(name), revision);
        for (name, instance) in listed {
            self.record_instance(&name, Some(instance), revision);
        }
    }

    /// Removes the instances that are missing in a complete list as of a revision, except those
    /// whose registrations are newer than the list.
    pub fn retain_instances(&self, listed: &dyn Fn(&str) -> bool, revision: Revision) {
        let names: Vec<Arc<str>> = self.instances.borrow().keys().cloned().collect();
        for name in names.iter().filter(|name| !listed(name)) {
            self.record_instance(name, None, revision);
        }
    }

    /// Records changes of targets, such as removals, as of a revision.
    pub fn record_removals(&self, changes: Vec<Change>, revision: Revision) {
        for change in changes {
            if let Change::Gone(target) = &change {
                self.history.borrow_mut().add(revision, &target.incarnation.id);
            }
            self.report_change(Some(change));
        }
    }

    /// Logs a change of the listed targets and updates the state that depends on it.
    fn report_change(&self, change: Option<Change>) {
        let revision = self.revision.get().number;
        let id_and_service =
            |target: &Target| (target.incarnation.id.to_string(), target.service.to_string());
        if matches!(change, Some(Change::Draining(_) | Change::Gone(_))) {
            self.departures.set(self.departures.get() + 1);
        }
        let event = match change {
            None => return,
            Some(Change::Joined(target)) => {
                if let Some(previous) =
                    self.registry.borrow().previous_incarnation(&target.incarnation)
                {
                    self.record_loss(&previous, &target.service, Loss::Ended);
                }
                let (id, service) = id_and_service(&target);
                let (address, born) = (target.address.to_string(), target.incarnation.born);
                self.estimates.borrow_mut().remove(&target.incarnation.id);
                Event::TargetListed { target: id, service, address, born, revision }
            }
            Some(Change::Draining(target)) => {
                let (target, service) = id_and_service(&target);
                Event::TargetDraining { target, service, revision }
            }
            Some(Change::Gone(target)) => {
                self.pool.remove(target.address);
                self.record_loss(&target.incarnation, &target.service, Loss::Unreachable);
                self.estimates.borrow_mut().remove(&target.incarnation.id);
                self.callers.borrow_mut().remove(&target.incarnation.id);
                let (target, service) = id_and_service(&target);
                Event::TargetUnlisted { target, service, revision }
            }
        };
        emit(event);
        self.changed.notify_waiters();
    }
}
