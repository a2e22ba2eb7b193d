//! The groups that this instance coordinates, and the directory that the data path sees.

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
use crate::target::Answer;
use crate::target::Failure;
use crate::timer::Part;

use super::Control;

/// Least time between two checks of the own terms; a check answers for all groups.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Time after which queue fill levels are published again although no row changed.
const REFRESH: Duration = Duration::from_millis(200);

impl Control {
    pub(super) fn turn_groups(&mut self, now: Stamp) {
        self.step_all(&Event::Tick, now);
        let groups: Vec<name::Group> = self.coordinated.keys().cloned().collect();
        for group in groups {
            let Some(row) = self.coordinated.get_mut(&group) else { continue };
            for outcome in row.poll_in_flight(now) {
                self.take_outcome(&group, outcome, now);
            }
        }
        self.resolve_former(now);
    }

    /// Tells machines when the processes that could act under an earlier term have ended.
    fn resolve_former(&mut self, now: Stamp) {
        let ended: Vec<(name::Group, Stamp)> = self
            .coordinated
            .iter()
            .filter_map(|(group, row)| {
                let former = row.origin.former.as_ref()?;
                Some((group.clone(), self.roster.ended_since(former, row.origin.claimed)?))
            })
            .collect();
        for (group, at) in ended {
            self.step(&group, Event::PredecessorEnded(at), now);
            if let Some(row) = self.coordinated.get_mut(&group) {
                row.origin.former = None;
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
        let Some(row) = self.coordinated.get_mut(group) else { return };
        let outcome = row.step(event, now);
        self.take_outcome(group, outcome, now);
    }

    pub(super) fn take_outcome(&mut self, group: &name::Group, outcome: Outcome, now: Stamp) {
        self.log_changes(group, &outcome.changes);
        if outcome.confirm {
            self.check_terms(now);
        }
        for (target, health, incarnation) in outcome.health {
            log_health(group, target, health, incarnation);
        }
        if let Some(higher_term) = outcome.fenced {
            let term = self.coordinated.get(group).map_or(0, |row| row.origin.term);
            self.set_aside(group, now);
            let group = group.clone();
            event::emit(LogEvent::GroupLost { group, term, higher_term });
            self.note_mine();
            self.dirty = true;
            self.parts.storage.read_domain(self.parts.me.domain.clone());
            self.announce(now);
        }
    }

    /// Starts a check of the own terms, by the store and by heartbeats to all instances of the failure domain.
    fn check_terms(&mut self, now: Stamp) {
        if now >= self.next_check {
            self.next_check = now + CHECK_PERIOD;
            self.parts.storage.read_domain(self.parts.me.domain.clone());
            self.timer.hasten(Part::Heartbeat, now);
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
                self.parts.metrics.record_ownership_changes(cause, u64::from(count));
            }
        }
    }

    pub(super) fn take_target_answer(&mut self, answer: Answer, now: Stamp) {
        let Answer { group, term, target, sent, result } = answer;
        let current = self.coordinated.get(&group).map(|row| row.origin.term);
        if current != Some(term) {
            return;
        }
        let event = match result {
            Ok(reply) => {
                self.note_incarnation(&target, &reply);
                Event::Reply { target, sent, reply }
            }
            Err(Failure::Refused) => {
                self.log_gone(&group, &target);
                Event::Gone { target, sent }
            }
            Err(Failure::Silent) => Event::Failed(target),
        };
        self.step(&group, event, now);
    }

    fn log_gone(&self, group: &name::Group, target: &name::Target) {
        let row = self.coordinated.get(group);
        if row.is_some_and(|row| row.machine().incarnation(target).is_some()) {
            let (target, group) = (target.clone(), group.clone());
            let proof = "its address refuses connections".to_owned();
            event::emit(LogEvent::TargetGone { target, group, proof });
        }
    }

    fn note_incarnation(&self, target: &name::Target, reply: &Reply) {
        let router = &self.parts.router;
        router.record_incarnation(target, reply.incarnation);
        let alive = Crash { target: target.clone(), incarnation: reply.incarnation };
        router.retract_crash(&alive);
    }

    /// Updates the set of held groups in the roster and the metrics.
    pub(super) fn note_mine(&mut self) {
        let mine: BTreeMap<name::Group, u64> =
            self.coordinated.iter().map(|(group, row)| (group.clone(), row.origin.term)).collect();
        self.parts.metrics.set_groups_held(mine.len());
        self.roster.set_coordinated(mine);
    }

    /// Publishes the directory to the data path if something changed.
    pub(super) fn publish(&mut self, now: Stamp) {
        let newly_served = self
            .coordinated
            .values()
            .any(|row| row.is_served(now) && !row.is_served(self.published));
        let due = self.dirty || newly_served || now.since(self.published) >= REFRESH;
        let Some(plan) = self.plan.clone().filter(|_| due) else { return };
        self.dirty = false;
        self.published = now;
        let mut rows = HashMap::new();
        for group in &plan.groups {
            rows.insert(group.name.clone(), self.row(&group.name, now));
        }
        self.parts.router.directory.replace(Arc::new(Snapshot::new(plan, rows)));
    }

    fn row(&self, group: &name::Group, now: Stamp) -> Coordinator {
        if let Some(row) = self.coordinated.get(group) {
            return if row.is_served(now) {
                Coordinator::Local(local(row))
            } else {
                Coordinator::Unknown
            };
        }
        match self.directory.row(group) {
            Some(row) if row.holder != self.parts.me.process => Coordinator::Remote(Remote {
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
        self.parts.router.tick();
        for (group, row) in &self.coordinated {
            let waiting = usize::try_from(row.lane.queue_percent()).unwrap_or(0);
            self.parts.metrics.set_queue_depth(group, waiting);
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

fn local(row: &Coordination) -> Local {
    Local { lane: row.lane.clone(), term: row.origin.term, ledger: row.ledger.clone() }
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
