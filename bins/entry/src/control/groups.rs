//! The groups that this instance coordinates, and the directory that it publishes to the data
//! path.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_call::quarantine::Crash;
use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_ownership::event::Cause;
use caraway_ownership::event::Event;
use caraway_ownership::event::Health;
use caraway_ownership::grant;
use caraway_ownership::grant::Reply;
use caraway_relay::directory::Coordinator;
use caraway_relay::directory::Local;
use caraway_relay::directory::Remote;
use caraway_relay::directory::Snapshot;
use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;
use caraway_telemetry::metric::Cause as MetricCause;

use crate::coordination::Change;
use crate::coordination::Coordination;
use crate::coordination::Outcome;
use crate::target::CommandResult;
use crate::target::Failure;
use crate::timer::Task;

use super::Control;

/// Minimum interval between two checks of the own terms. One check covers all groups.
const TERM_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Interval at which the directory is republished for its queue utilization although no row has changed.
const REFRESH_PERIOD: Duration = Duration::from_millis(200);

impl Control {
    pub(super) fn tick_groups(&mut self, now: Stamp) {
        self.step_all(&Event::Tick, now);
        let groups: Vec<name::Group> = self.coordinated.keys().cloned().collect();
        for group in groups {
            let Some(coordination) = self.coordinated.get_mut(&group) else { continue };
            for outcome in coordination.poll_drained(now) {
                self.apply_outcome(&group, outcome, now);
            }
        }
        self.resolve_former(now);
    }

    /// Notifies the state machines of predecessors that can no longer act under an earlier term.
    fn resolve_former(&mut self, now: Stamp) {
        let ended: Vec<(name::Group, Stamp)> = self
            .coordinated
            .iter()
            .filter_map(|(group, coordination)| {
                let former = coordination.origin.former.as_ref()?;
                Some((
                    group.clone(),
                    self.roster.ended_since(former, coordination.origin.claimed_at)?,
                ))
            })
            .collect();
        for (group, at) in ended {
            self.step(&group, Event::PredecessorEnded(at), now);
            if let Some(coordination) = self.coordinated.get_mut(&group) {
                coordination.origin.former = None;
            }
        }
    }

    pub(super) fn step_all(&mut self, event: &Event, now: Stamp) {
        let groups: Vec<name::Group> = self.coordinated.keys().cloned().collect();
        for group in groups {
            self.step(&group, event.clone(), now);
        }
    }

    pub(super) fn step(&mut self, group: &name::Group, event: Event, now: Stamp) {
        let Some(coordination) = self.coordinated.get_mut(group) else { return };
        let outcome = coordination.step(event, now);
        self.apply_outcome(group, outcome, now);
    }

    pub(super) fn apply_outcome(&mut self, group: &name::Group, outcome: Outcome, now: Stamp) {
        self.log_changes(group, &outcome.changes);
        if outcome.check_term {
            self.check_terms(now);
        }
        for (target, health, incarnation) in outcome.health {
            log_health(group, target, health, incarnation);
        }
        if let Some(higher_term) = outcome.fenced {
            let term =
                self.coordinated.get(group).map_or(0, |coordination| coordination.origin.term);
            self.end_coordination(group, now);
            let group = group.clone();
            event::emit(LogEvent::GroupLost { group, term, higher_term });
            self.update_held_groups();
            self.dirty = true;
            self.context.storage.read_domain(self.context.me.domain.clone());
            self.announce(now);
        }
    }

    /// Starts a check of the own terms: reads the domain record and sends heartbeats to all
    /// instances of the failure domain.
    fn check_terms(&mut self, now: Stamp) {
        if now >= self.next_term_check {
            self.next_term_check = now + TERM_CHECK_PERIOD;
            self.context.storage.read_domain(self.context.me.domain.clone());
            self.scheduler.make_due(Task::Heartbeat, now);
        }
    }

    fn log_changes(&self, group: &name::Group, changes: &[Change]) {
        let mut counts: BTreeMap<(name::Target, &'static str), (u32, &Change)> = BTreeMap::new();
        for change in changes {
            let key = (change.owner.clone(), change.cause.as_str());
            counts.entry(key).or_insert((0, change)).0 += 1;
        }
        for ((owner, reason), (count, change)) in counts {
            event::emit(LogEvent::ShardsReassigned {
                group: group.clone(),
                to: owner,
                count,
                token: change.token,
                reason: reason.to_owned(),
            });
            if let Some(cause) = metric_cause(change.cause) {
                self.context.metrics.record_ownership_changes(cause, u64::from(count));
            }
        }
    }

    pub(super) fn handle_command_result(&mut self, ended: CommandResult, now: Stamp) {
        let CommandResult { group, term, target, sent, result } = ended;
        let current = self.coordinated.get(&group).map(|coordination| coordination.origin.term);
        if current != Some(term) {
            return;
        }
        let event = match result {
            Ok(reply) => {
                self.record_incarnation(&target, &reply);
                Event::Reply { target, sent, reply }
            }
            Err(Failure::Refused) => {
                self.log_target_gone(&group, &target);
                Event::Gone { target, sent }
            }
            Err(Failure::Unknown) => Event::Failed(target),
        };
        self.step(&group, event, now);
    }

    fn log_target_gone(&self, group: &name::Group, target: &name::Target) {
        let coordination = self.coordinated.get(group);
        if coordination
            .is_some_and(|coordination| coordination.machine().incarnation(target).is_some())
        {
            let (target, group) = (target.clone(), group.clone());
            let proof = "its address refuses connections".to_owned();
            event::emit(LogEvent::TargetGone { target, group, proof });
        }
    }

    fn record_incarnation(&self, target: &name::Target, reply: &Reply) {
        let router = &self.context.router;
        router.record_incarnation(target, reply.incarnation);
        let alive = Crash { target: target.clone(), incarnation: reply.incarnation };
        router.retract_crash(&alive);
    }

    /// Updates the held groups in the roster and in the metrics.
    pub(super) fn update_held_groups(&mut self) {
        let held: BTreeMap<name::Group, u64> = self
            .coordinated
            .iter()
            .map(|(group, coordination)| (group.clone(), coordination.origin.term))
            .collect();
        self.context.metrics.set_groups_held(held.len());
        self.roster.set_coordinated(held);
    }

    /// Publishes the directory to the data path if it has changed or the refresh is due.
    pub(super) fn publish(&mut self, now: Stamp) {
        let newly_serving = self.coordinated.values().any(|coordination| {
            coordination.is_served(now) && !coordination.is_served(self.last_published)
        });
        let due = self.dirty || newly_serving || now.since(self.last_published) >= REFRESH_PERIOD;
        let Some(plan) = self.plan.clone().filter(|_| due) else { return };
        self.dirty = false;
        self.last_published = now;
        let mut rows = HashMap::new();
        for group in &plan.groups {
            rows.insert(group.name.clone(), self.directory_row(&group.name, now));
        }
        self.context.router.directory.replace(Arc::new(Snapshot::new(plan, rows)));
    }

    fn directory_row(&self, group: &name::Group, now: Stamp) -> Coordinator {
        if let Some(coordination) = self.coordinated.get(group) {
            return if coordination.is_served(now) {
                Coordinator::Local(local(coordination))
            } else {
                Coordinator::Unknown
            };
        }
        match self.directory.row(group) {
            Some(row) if row.holder != self.context.me.process => Coordinator::Remote(Remote {
                instance: row.holder.instance.clone(),
                peer_address: row.peer,
                term: row.term,
                queue_percent: row.queue_percent,
            }),
            Some(_) | None => Coordinator::Unknown,
        }
    }

    pub(super) fn update_metrics(&mut self, _now: Stamp) {
        event::flush();
        self.context.router.tick();
        for (group, coordination) in &self.coordinated {
            let depth = usize::try_from(coordination.admission.queue_percent()).unwrap_or(0);
            self.context.metrics.set_queue_depth(group, depth);
        }
    }
}

fn log_health(group: &name::Group, target: name::Target, health: Health, incarnation: u64) {
    let group = group.clone();
    let silent_ms = u64::try_from(grant::DURATION.as_millis()).unwrap_or(0);
    event::emit(match health {
        Health::Granted(_) => LogEvent::TargetReturned { target, group, incarnation },
        Health::Lost => LogEvent::TargetSilent { target, group, silent_ms },
    });
}

fn local(coordination: &Coordination) -> Local {
    Local {
        admission: coordination.admission.clone(),
        term: coordination.origin.term,
        ledger: coordination.ledger.clone(),
    }
}

fn metric_cause(cause: Cause) -> Option<MetricCause> {
    match cause {
        Cause::Kept => None,
        Cause::Placed => Some(MetricCause::Placed),
        Cause::Expired => Some(MetricCause::GrantEnded),
        Cause::Gone => Some(MetricCause::TargetGone),
        Cause::Leaving => Some(MetricCause::TargetLeaving),
        Cause::Balance => Some(MetricCause::Balance),
    }
}
