//! Reports: what an instance tells the coordinator, and what the response contains.

use std::cell::RefCell;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::admission;
use caraway_fleet::era::Revision;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Target;
use caraway_fleet::reports::Reports;

use crate::peers::check_lag;
use crate::peers::crashes::Rows;
use crate::peers::crashes::merge_crashes;
use crate::peers::message::Departures;
use crate::peers::message::Report;
use crate::peers::message::Targets;
use crate::peers::message::Update;
use crate::state::State;

/// Builds a report and resets the counts that it contains.
pub(super) fn build_report(state: &State) -> Report {
    let demand = std::mem::take(&mut *state.demand.borrow_mut());
    let demand = demand.into_iter().map(|(service, keys)| (service, keys.into_iter().collect()));
    let mut loads = Vec::new();
    let now = Clock.now();
    for (id, estimate) in state.estimates.borrow_mut().iter_mut() {
        let in_flight = estimate.live_in_flight(now);
        let (completed, time) = std::mem::take(&mut estimate.unreported);
        let failed = std::mem::take(&mut estimate.unreported_failures);
        if in_flight > 0 || completed > 0 || failed > 0 {
            loads.push((id.clone(), in_flight, completed, time, failed));
        }
    }
    Report {
        name: state.settings.name.clone(),
        config: state.version(),
        revision: state.revision.get(),
        owners: state.view.borrow().version,
        demand: demand.collect(),
        loads,
        departures: departures(state),
        evacuations: state.evacuation_notices(),
        ..Report::default()
    }
}

/// Builds a report to an instance other than the coordinator, which has no use for the load.
pub(super) fn build_query(state: &State) -> Report {
    Report {
        name: state.settings.name.clone(),
        config: state.version(),
        revision: state.revision.get(),
        owners: state.view.borrow().version,
        departures: departures(state),
        evacuations: state.evacuation_notices(),
        // A fresh instance asks only for the owners of keys.
        seeking: !state.is_fresh(),
        ..Report::default()
    }
}

fn departures(state: &State) -> Departures {
    let now = Clock.now();
    let registry = state.registry.borrow();
    let row =
        |(incarnation, at): (&Incarnation, Stamp)| (incarnation.clone(), millis(now.since(at)));
    registry.recent_departures(now).map(row).collect()
}

pub(super) fn merge_departures(state: &State, departures: Departures, source: &str) {
    let now = Clock.now();
    for (incarnation, age) in departures {
        state.record_departure(&incarnation, now - Duration::from_millis(age), source);
    }
}

/// Records a report and returns what the reporting instance does not know yet.
pub fn handle_report(state: &State, reports: &RefCell<Reports>, report: Report) -> Update {
    let now = Clock.now();
    check_lag(state, report.revision);
    if report.seeking {
        state.follow(|following, deputy, now| following.record_question(deputy, now));
    }
    let mut update = Update {
        revision: state.revision.get(),
        leading: state.leading.get(),
        fresh: state.is_fresh(),
        age_ms: millis(state.view_age()),
        ..Update::default()
    };
    let rows = Rows { in_flight: report.crashes, completed: report.crashes_after };
    merge_crashes(state, rows, &report.name);
    let (rows, sent) = state.crashes.borrow().for_update(&report.name, report.crashes_received);
    (update.crashes, update.crashes_after, update.crashes_sent) =
        (rows.in_flight, rows.completed, sent);
    merge_departures(state, report.departures, &report.name);
    update.departures = departures(state);
    state.merge_evacuations(&report.evacuations, &report.name);
    update.evacuations = state.evacuation_notices();
    if state.leading.get() {
        let mut reports = reports.borrow_mut();
        for (service, keys) in &report.demand {
            reports.add_demand(service, keys);
        }
        reports.mark_reported(&report.name, now);
        reports.clear_instance(&report.name);
        for (target, in_flight, completed, time, failed) in &report.loads {
            reports.add_load(&report.name, target, *in_flight, (*completed, *time), now);
            reports.add_outcomes(target, *completed, *failed, now);
        }
        update.failing = reports.failing(now);
        let used = report.loads.iter().map(|(target, ..)| target).collect();
        update.loads = pooled_loads(state, &reports, &report.name, &used, now);
        update.shares.clone_from(&reports.admitted_shares);
    }
    if let Some(current) = state.active_configuration.borrow().as_ref()
        && current.configuration.version > report.config
    {
        update.config = Some(current.text.to_string());
    }
    let view = state.view.borrow();
    if view.version > report.owners {
        update.owner_change = state.owner_changes.borrow().between(report.owners, view.version);
        if update.owner_change.is_none() {
            update.owners = Some(view.clone());
        }
    }
    if state.revision.get() > report.revision {
        update.targets = Some(targets_since(state, report.revision));
        let changed = state.instances_revision.get() > report.revision;
        update.instances = changed.then(|| state.instances.borrow().clone());
        let name = state.leader.borrow().as_ref().map(|leader| leader.name.clone());
        update.leader = (name, state.leader_revision.get());
    }
    update
}

/// Returns the load of targets of services without keys. For keyed services, where the owner of a
/// key is the only choice, the admitted shares are sent, and in a large fleet the load of owners
/// without free slots. If the targets of a service are divided among the instances, only those that
/// the reporting instance has `used` are included.
fn pooled_loads(
    state: &State,
    reports: &Reports,
    except: &str,
    used: &HashSet<&Arc<str>>,
    now: Stamp,
) -> Vec<(Arc<str>, f64, f64)> {
    let registry = state.registry.borrow();
    let configuration = state.configuration();
    let is_keyed = |service: &str| {
        let settings = configuration.as_ref().and_then(|current| current.services.get(service));
        settings.is_some_and(|service| service.keyed)
    };
    let instances = state.instances.borrow().len();
    let is_sent = |id: &Arc<str>, others: f64| {
        let Some(member) = registry.get(id) else { return false };
        let Target { service, slots, .. } = &*member.target;
        if is_keyed(service) {
            return admission::is_large(*slots, instances) && others >= f64::from(*slots);
        }
        used.contains(id) || !state.is_divided(service)
    };
    let mut loads = reports.loads(except, now);
    loads.retain(|(id, others, _)| is_sent(id, *others));
    loads
}

/// Returns the targets that have changed after a revision, or all targets if the history does not
/// reach back to it. Entries that list no target here are included: the receiver may know the
/// configuration that names their service.
fn targets_since(state: &State, revision: Revision) -> Targets {
    let registry = state.registry.borrow();
    let mut targets = Targets::default();
    let now = Clock.now();
    let add = |targets: &mut Targets, id: &Arc<str>| {
        let Some(entry) = registry.entry(id, now) else { return targets.gone.push(id.clone()) };
        targets.listed.push(entry);
        targets.revisions.push(registry.entry_revision(id));
        let Some(member) = registry.get(id) else { return };
        if let Some(since) = member.missing_since {
            targets.missing.push((id.clone(), millis(now.since(since))));
        }
        if let Some(since) = member.draining_since {
            targets.leaving.push((id.clone(), millis(now.since(since))));
        }
    };
    match state.history.borrow().after(revision) {
        Some(ids) => ids.iter().for_each(|id| add(&mut targets, id)),
        None => {
            targets.all = true;
            registry.ids().for_each(|id| add(&mut targets, id));
        }
    }
    targets
}
