//! Application of what another instance has sent in response to a report.

use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Clock;
use caraway_fleet::era::Revision;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::peers::crashes::Rows;
use crate::peers::crashes::merge_crashes;
use crate::peers::message::Update;
use crate::peers::report::merge_departures;
use crate::state::State;

/// Age at which the load that the coordinator has sent no longer counts, as that of reports.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Applies what another instance has sent in response to a report.
pub(super) fn apply_update(state: &State, update: Update, peer: &Arc<str>) {
    let revision = update.revision;
    let log_update = |what: &str| {
        let (peer, what) = (peer.to_string(), what.to_owned());
        emit(Event::PeerFollowed { peer, what, revision: revision.number });
    };
    if let Some(text) = update.config {
        log_update("the configuration");
        state.configure(text.as_bytes(), revision.number, peer);
    }
    let rows = Rows { in_flight: update.crashes, completed: update.crashes_after };
    merge_crashes(state, rows, peer);
    merge_departures(state, update.departures, peer);
    state.merge_evacuations(&update.evacuations, peer);
    if let Some(change) = update.owner_change {
        state.apply_owner_change(change);
    }
    if let Some(view) = update.owners {
        state.apply_view(view);
    }
    // Only the coordinator knows the load. What it last said is used until it is out of date.
    let now = Clock.now();
    if update.leading || now.since(state.loads_at.get()) > MAX_LOAD_AGE {
        state.loads_at.set(now);
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
    if update.fresh && revision > Revision::default() && revision == state.revision.get() {
        // The state was complete as of this revision.
        state.synchronized.set(true);
        state.complete_era.set(revision.era);
    }
    if revision <= state.revision.get() {
        return;
    }
    let Some(targets) = update.targets else { return };
    if targets.all {
        log_update("all targets");
        let listed = targets.listed.iter().map(|target| target.incarnation.id.clone()).collect();
        state.reconcile_targets(&listed, false, revision);
        state.history.borrow_mut().restart(revision);
    }
    for id in &targets.gone {
        state.remove_target(id, revision);
    }
    state.revision.set(revision);
    let revisions = targets.revisions.iter().copied().chain(std::iter::repeat(revision));
    for (target, entry_revision) in targets.listed.into_iter().zip(revisions) {
        state.record_target(target, entry_revision);
    }
    for (id, age) in &targets.leaving {
        state.registry.borrow_mut().update_draining_since(id, now - Duration::from_millis(*age));
    }
    for (id, age) in &targets.missing {
        state.record_missing(id, now - Duration::from_millis(*age));
    }
    if let Some(instances) = update.instances {
        state.replace_instances(instances, revision);
    }
    if update.fresh {
        state.complete_era.set(revision.era);
        state.synchronized.set(true);
    }
    let (name, term) = update.leader;
    state.set_leader(name.as_deref(), term);
}
