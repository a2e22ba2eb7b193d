//! Terms of coordinators: claims, reserved terms, handovers and the planned stop.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Control;
use crate::coordination::Coordination;
use crate::coordination::Origin;
use crate::domain;
use crate::domain::Change;
use crate::storage::Response;
use crate::timer::Task;
use caraway_call::history::History;
use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_document::plan;
use caraway_entry::ledgers;
use caraway_ownership::event::Event;
use caraway_ownership::roster::Intent;
use caraway_ownership::roster::PreviousHolder;
use caraway_ownership::roster::Process;
use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;
use caraway_telemetry::metric::Takeover;
use caraway_wire::peer;

/// Time limit for the handover of all groups in a planned stop.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed change of the domain record, so that a persistent cause leads to few store
/// calls.
const CHANGE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which a stopping instance still accepts callers, so that the load balancer notices that
/// it is not ready.
const STOP_NOTICE_PERIOD: Duration = Duration::from_millis(500);

impl Control {
    pub(super) fn execute_intents(&mut self, now: Stamp) {
        let mut changes = Vec::new();
        for intent in self.roster.decide(now) {
            match intent {
                Intent::Register => changes.push(Change::Register(self.context.me.clone())),
                Intent::Claim { group, expected, former, successor } => {
                    changes.push(self.claim(group, expected, former, successor));
                }
                Intent::Succeed { group, term, former } => self.succeed(&group, term, former, now),
                Intent::HandOver { group, to } => {
                    changes.extend(self.hand_over(&group, &to));
                }
                Intent::Remove(process) => changes.push(Change::Deregister(process)),
                Intent::NameSuccessor { group, successor } => {
                    let holder = self.context.me.process.clone();
                    changes.push(Change::Nominate { group, holder, successor });
                }
            }
        }
        if self.stopping.is_some() && self.store.reachable {
            changes.extend(self.hand_over_all(now));
            if self.coordinated.is_empty() && !self.deregistered {
                changes.push(Change::Deregister(self.context.me.process.clone()));
            }
        }
        self.submit(changes, now);
    }

    /// Submits changes to the store; only one compare-and-swap is in flight at a time.
    fn submit(&mut self, changes: Vec<Change>, now: Stamp) {
        if changes.is_empty() || self.store.change_in_flight || now < self.store.next_change_at {
            return;
        }
        self.store.change_in_flight = true;
        self.context.storage.change(changes, self.record.clone());
    }

    fn claim(
        &self,
        group: name::Group,
        expected: u64,
        former: Option<PreviousHolder>,
        successor: Option<name::Instance>,
    ) -> Change {
        let highest = self.roster.highest_term(&group);
        let reason = match &former {
            None => "first coordinator",
            Some(former) if former.released => "handed over",
            Some(former) if self.roster.gone_at(&former.holder).is_some() => "coordinator gone",
            Some(_) => "coordinator silent",
        };
        let holder = self.context.me.process.clone();
        Change::Claim { group, expected, highest, former, holder, successor, reason }
    }

    /// Takes over a group with the reserved term, for use while the store is unreachable.
    fn succeed(&mut self, group: &name::Group, term: u64, former: PreviousHolder, now: Stamp) {
        if self.coordinated.contains_key(group) {
            return;
        }
        event::emit(LogEvent::ReservedTermUsed { group: group.clone(), term });
        self.context.metrics.record_takeover(Takeover::Reserved);
        let reason = "coordinator gone, reserved term";
        self.start_coordination(
            group,
            Origin { term, former: Some(former), claimed_at: now, reason },
            now,
        );
    }

    fn hand_over(&self, group: &name::Group, to: &name::Instance) -> Option<Change> {
        let coordination = self.coordinated.get(group)?;
        let receiver = self.directory.member(to)?.process.clone();
        let from = self.context.me.process.clone();
        Some(Change::HandOver {
            group: group.clone(),
            from,
            term: coordination.origin.term,
            to: receiver,
        })
    }

    fn hand_over_all(&self, now: Stamp) -> Vec<Change> {
        self.coordinated
            .keys()
            .filter_map(|group| {
                let to = self.roster.receiver(group, now)?;
                self.hand_over(group, &to)
            })
            .collect()
    }

    pub(super) fn handle_store_response(&mut self, response: Response, now: Stamp) {
        match response {
            Response::Changed { began, revision, record, applied } => {
                self.store.change_in_flight = false;
                self.store_answered(now);
                for change in &applied {
                    if let Change::HandOver { group, to, term, .. } = change {
                        self.complete_handover(group, to, *term, &record);
                    }
                }
                self.apply_record(revision, &record, began, now);
                if applied.is_empty() {
                    // The changes were checked against a record that may be outdated.
                    self.store.next_change_at = now + CHANGE_RETRY_DELAY;
                    self.context.storage.read_domain(self.context.me.domain.clone());
                }
                for change in applied {
                    self.complete_change(change, &record, now);
                }
            }
            Response::ChangeFailed { unavailable } => {
                self.store.change_in_flight = false;
                self.store.next_change_at = now + CHANGE_RETRY_DELAY;
                if unavailable {
                    self.store_failed();
                }
                self.context.storage.read_domain(self.context.me.domain.clone());
            }
            Response::Record { domain, began, revision, record } => {
                self.store_answered(now);
                if domain == self.context.me.domain {
                    self.apply_record(revision, &record, began, now);
                } else {
                    for member in domain::members(&record, &domain) {
                        self.directory.add_member(member);
                    }
                }
            }
            Response::Document { version, text } => {
                self.store_answered(now);
                self.apply_document(version, text, now);
            }
            Response::Instances { leaving, gone } => {
                self.store_answered(now);
                self.update_platform_list(leaving, gone, now);
            }
            Response::Unchanged => self.store_answered(now),
            Response::Failed => self.store_failed(),
        }
    }

    pub(super) fn record_revision(&self) -> u64 {
        self.record.as_ref().map_or(0, |(revision, _)| *revision)
    }

    fn store_answered(&mut self, now: Stamp) {
        if !self.store.reachable {
            let outage = self.store.last_response.map_or(Duration::ZERO, |last| now.since(last));
            let outage_ms = u64::try_from(outage.as_millis()).unwrap_or(u64::MAX);
            event::emit(LogEvent::StoreReachable { outage_ms });
        }
        self.store.reachable = true;
        self.store.last_response = Some(now);
        self.roster.set_store_reachable(true);
    }

    fn store_failed(&mut self) {
        if self.store.reachable {
            event::emit(LogEvent::StoreUnreachable {
                error: "call failed or timed out".to_owned(),
            });
        }
        self.store.reachable = false;
        self.roster.set_store_reachable(false);
    }

    fn apply_record(
        &mut self,
        revision: u64,
        record: &caraway_store::record::Domain,
        began: Stamp,
        now: Stamp,
    ) {
        if revision < self.record_revision() {
            return;
        }
        self.record = Some((revision, record.clone()));
        for member in domain::members(record, &self.context.me.domain) {
            if member.process.instance != self.context.me.process.instance {
                self.directory.add_member(member);
            }
        }
        let holdings = domain::holdings(record);
        for (group, holding) in &holdings {
            if holding.holder != self.context.me.process {
                let held = self.coordinated.get(group).map(|coordination| coordination.origin.term);
                if held.is_some_and(|term| term < holding.term) {
                    self.step(group, Event::Fenced(holding.term), now);
                }
            }
        }
        self.roster.observe(&domain::processes(record), holdings, now);
        self.step_all(&Event::Confirmed(began), now);
    }

    fn complete_change(
        &mut self,
        change: Change,
        record: &caraway_store::record::Domain,
        now: Stamp,
    ) {
        match change {
            Change::Claim { group, former, holder, reason, .. } => {
                let row = record.groups.iter().find(|row| row.group == group);
                let own = row.filter(|row| row.holder_incarnation == holder.incarnation);
                // A group that was acquired with the reserved term is already coordinated, and the
                // claim only records it: its tokens stay valid, because no other process uses the
                // recorded term.
                let held = self.coordinated.contains_key(&group);
                if let Some(row) = own.filter(|row| row.holder == holder.instance && !held) {
                    let origin = Origin { term: row.term, former, claimed_at: now, reason };
                    self.context.metrics.record_takeover(takeover(origin.former.as_ref()));
                    self.start_coordination(&group, origin, now);
                }
            }
            Change::Deregister(process) => self.deregistered |= process == self.context.me.process,
            Change::HandOver { .. } | Change::Register(_) | Change::Nominate { .. } => {}
        }
    }

    /// Ends the coordination of a group that the record has assigned to another instance.
    ///
    /// The group is served until the record is written, so a failed write changes nothing. The
    /// handover message tells the receiver that this instance has stopped coordinating; without it,
    /// the receiver must assume that this instance may still act.
    fn complete_handover(
        &mut self,
        group: &name::Group,
        to: &Process,
        term: u64,
        record: &caraway_store::record::Domain,
    ) {
        let Some(coordination) = self.coordinated.remove(group) else { return };
        coordination.close();
        self.dirty = true;
        let now = self.clock.now();
        self.last_handover = now;
        let incomplete = coordination.lock_ledger().incomplete_until().since(now);
        let entries =
            coordination.lock_ledger().export(now).into_iter().map(ledgers::to_wire).collect();
        let new_term = record.groups.iter().find(|row| row.group == *group);
        let successor = self.roster.holding(group).and_then(|holding| holding.successor.clone());
        let request = peer::HandoverRequest {
            group: group.to_string(),
            term: new_term.map_or(term, |row| row.term),
            holder: to.instance.to_string(),
            holder_incarnation: to.incarnation,
            entries,
            incomplete_ms: u64::try_from(incomplete.as_millis()).unwrap_or(u64::MAX),
            successor: successor.map(|name| name.to_string()).unwrap_or_default(),
        };
        if let Some(member) = self.directory.member(&to.instance).cloned() {
            // The data path forwards to the receiver at once, without waiting for its heartbeat.
            let row = peer::Row {
                group: request.group.clone(),
                term: request.term,
                holder: request.holder.clone(),
                holder_incarnation: request.holder_incarnation,
                peer_address: member.peer.to_string(),
                admin_address: member.admin.to_string(),
                ..peer::Row::default()
            };
            self.directory.update_row(&row, now);
            self.context.peers.hand_over(member.control, request);
        }
        let (group, to) = (group.clone(), to.instance.clone());
        event::emit(LogEvent::GroupHandedOver { group, term, to });
        self.update_held_groups();
    }

    /// Ends a coordination and keeps its ledger as a copy.
    pub(super) fn end_coordination(&mut self, group: &name::Group, now: Stamp) {
        if let Some(coordination) = self.coordinated.remove(group) {
            coordination.close();
            let entries = coordination.lock_ledger().export(now);
            let entries = entries.into_iter().map(ledgers::to_wire).collect();
            self.context.copies.record(group, coordination.origin.term, entries, now);
        }
    }

    pub(super) fn handle_handover(
        &mut self,
        request: &peer::HandoverRequest,
        now: Stamp,
    ) -> peer::HandoverReply {
        let refuse =
            |reason: &str| peer::HandoverReply { accepted: false, reason: reason.to_owned() };
        let me = &self.context.me.process;
        if request.holder != me.instance.as_str() || request.holder_incarnation != me.incarnation {
            return refuse("the group was handed to another process");
        }
        let group = name::Group::new(&request.group);
        if self.coordinated.contains_key(&group) {
            return refuse("this instance coordinates the group already");
        }
        if self.roster.highest_term(&group) > request.term {
            return refuse("a higher term of the group is known");
        }
        let holder = self.roster.coordinator(&group).map(|(process, _)| process.clone());
        let Some(holder) = holder else { return refuse("the former coordinator is not known") };
        let successor = name::Instance::new(&request.successor);
        let successor = (!request.successor.is_empty()).then_some(successor);
        let former = PreviousHolder { holder, released: true, successor };
        let origin = Origin {
            term: request.term,
            former: Some(former),
            claimed_at: now,
            reason: "handed over",
        };
        self.start_coordination(&group, origin, now);
        if let Some(coordination) = self.coordinated.get_mut(&group) {
            // The former coordinator sent its full ledger, so no history has to be collected.
            coordination.history = History::default();
            let mut ledger = coordination.lock_ledger();
            ledger.set_incomplete_until(now + Duration::from_millis(request.incomplete_ms));
            for entry in &request.entries {
                ledger.import(ledgers::from_wire(entry.clone()), now);
            }
        }
        self.context.storage.read_domain(self.context.me.domain.clone());
        peer::HandoverReply { accepted: true, reason: String::new() }
    }

    fn start_coordination(&mut self, group: &name::Group, origin: Origin, now: Stamp) {
        let Some(plan) = self.plan.as_ref().and_then(|plan| plan.group(group)).cloned() else {
            return;
        };
        let instances = self.history_instances(origin.former.as_ref());
        let started = Coordination::try_start(
            plan,
            origin.clone(),
            instances,
            &self.context.targets,
            &self.context.mailbox,
            now,
        );
        let Ok(coordination) = started else { return };
        self.end_coordination(group, now);
        self.coordinated.insert(group.clone(), coordination);
        self.import_own_history(group, origin.term, now);
        self.scheduler.make_due(Task::Ledgers, now);
        event::emit(LogEvent::GroupAcquired {
            group: group.clone(),
            term: origin.term,
            reason: origin.reason.to_owned(),
        });
        self.update_held_groups();
        self.dirty = true;
        self.step(group, Event::Tick, now);
        self.announce(now);
    }

    /// Returns the instances that may hold ledger entries of a group: this one and all listed ones
    /// except the former holder. Instances that are gone count too, because their entries are lost.
    fn history_instances(&self, former: Option<&PreviousHolder>) -> BTreeSet<name::Instance> {
        let Some(former) = former else { return BTreeSet::new() };
        let mut names = self.roster.listed();
        names.insert(self.context.me.process.instance.clone());
        if former.holder.instance != self.context.me.process.instance {
            names.remove(&former.holder.instance);
        }
        names
    }

    /// Applies a plan to the coordinated groups and the roster.
    pub(super) fn apply_plan(&mut self, plan: &Arc<plan::Plan>, now: Stamp) {
        let own = plan.groups.iter().filter(|group| group.domain == self.context.me.domain);
        let rows = own.map(|group| caraway_ownership::roster::Group {
            name: group.name.clone(),
            checked: group.service.fencing == plan::Fencing::Checked
                || group.service.division == plan::Division::Pooled,
        });
        self.roster.set_groups(rows.collect());
        let groups: Vec<name::Group> = self.coordinated.keys().cloned().collect();
        for name in groups {
            let Some(coordination) = self.coordinated.get_mut(&name) else { continue };
            if let Some(group) = plan.group(&name) {
                let outcome = coordination.replan(
                    group.clone(),
                    &self.context.targets,
                    &self.context.mailbox,
                    now,
                );
                self.apply_outcome(&name, outcome, now);
            } else {
                coordination.close();
                self.coordinated.remove(&name);
            }
        }
        self.update_held_groups();
    }

    pub(super) fn begin_stop(&mut self, signal: String, now: Stamp) {
        if self.stopping.is_none() {
            event::emit(LogEvent::StopRequested { signal });
            self.stopping = Some(now);
            self.context.leaving.send_replace(true);
            self.roster.stop();
            self.announce(now);
        }
    }

    /// Returns true once a planned stop has handed over all groups and left the record, or has
    /// timed out.
    pub(super) fn is_stopped(&self, now: Stamp) -> bool {
        let Some(since) = self.stopping else { return false };
        // The successors named by this process may act until some time after it ends, so the last
        // nomination must be older than that when the process exits.
        let settled = now.since(since.max(self.last_handover)) >= STOP_NOTICE_PERIOD;
        let deregistered = self.deregistered || !self.store.reachable;
        // This thread replicates the outcomes of the requests in flight.
        let idle = self.context.router.detached_exchanges() == 0;
        (self.coordinated.is_empty() && settled && deregistered && idle)
            || now.since(since) >= HANDOVER_TIMEOUT
    }
}

fn takeover(former: Option<&PreviousHolder>) -> Takeover {
    match former {
        None => Takeover::First,
        Some(former) if former.released => Takeover::Handover,
        Some(_) => Takeover::Swap,
    }
}
