//! Application of what another instance has sent in response to a report.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Clock;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::peers::message::Update;
use crate::peers::report::merge_crashes;
use crate::peers::report::merge_departures;
use crate::state::State;

/// Applies what another instance has sent in response to a report.
pub(super) fn apply_update(state: &State, update: Update, peer: &Arc<str>) {
    let revision = update.revision;
    let log_update = |what: &str| {
        emit(Event::PeerFollowed { peer: peer.to_string(), what: what.to_owned(), revision });
    };
    if let Some(text) = update.config {
        log_update("the configuration");
        state.configure(text.as_bytes(), revision, peer);
    }
    merge_crashes(state, update.crashes);
    merge_departures(state, update.departures, peer);
    if let Some(view) = update.owners {
        state.apply_view(view);
    }
    {
        let mut estimates = state.estimates.borrow_mut();
        for estimate in estimates.values_mut() {
            estimate.others_in_flight = 0.0;
            estimate.admitted_share = 1.0;
            estimate.fleet_failure_ratio = 0.0;
        }
        for (target, ratio) in update.failing {
            estimates.entry(target).or_default().fleet_failure_ratio = ratio;
        }
        for (target, share) in update.shares {
            estimates.entry(target).or_default().admitted_share = share;
        }
        for (target, others, time) in update.loads {
            let estimate = estimates.entry(target).or_default();
            estimate.others_in_flight = others;
            if time > 0.0 {
                estimate.service_time = time;
            }
        }
    }
    if revision <= state.revision.get() {
        return;
    }
    let Some(targets) = update.targets else { return };
    if targets.all {
        log_update("all targets");
        let ids: HashSet<&Arc<str>> = targets.listed.iter().map(|t| &t.incarnation.id).collect();
        let listed = |id: &str| ids.contains(&Arc::from(id));
        let gone = state.registry.borrow_mut().reconcile(&listed, false, Clock.now());
        state.record_removals(gone, revision);
        state.history.borrow_mut().restart(revision);
    }
    for id in &targets.gone {
        let change = state.registry.borrow_mut().remove(id, Clock.now());
        state.record_removals(change.into_iter().collect(), revision);
    }
    state.revision.set(revision);
    for target in targets.listed {
        state.record_target(target, revision);
    }
    let now = Clock.now();
    for (id, age) in &targets.leaving {
        state.registry.borrow_mut().update_draining_since(id, now - Duration::from_millis(*age));
    }
    if let Some(instances) = update.instances {
        *state.instances.borrow_mut() = instances;
    }
    let (name, term) = update.leader;
    state.set_leader(name.as_deref(), term);
}
