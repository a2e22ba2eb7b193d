//! Terms: claims, reserved terms, handovers and the planned stop.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Control;
use crate::coordination::Coordination;
use crate::coordination::Origin;
use crate::domain;
use crate::domain::Change;
use crate::storage::Done;
use crate::timer::Part;
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

/// Longest time that a planned stop waits for the handover of all groups.
const HANDOVER_WAIT: Duration = Duration::from_secs(5);

/// Pause after a change that could not be made, so that a lasting reason costs few store calls.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a stopping instance goes on accepting callers, so that the balancer sees that it is not ready.
const STOP_NOTICE: Duration = Duration::from_millis(500);

impl Control {
    pub(super) fn carry_out_intents(&mut self, now: Stamp) {
        let mut changes = Vec::new();
        for intent in self.roster.decide(now) {
            match intent {
                Intent::Register => changes.push(Change::Register(self.parts.me.clone())),
                Intent::Claim { group, expected, former, successor } => {
                    changes.push(self.claim(group, expected, former, successor));
                }
                Intent::Succeed { group, term, former } => self.succeed(&group, term, former, now),
                Intent::HandOver { group, to } => {
                    changes.extend(self.hand_over(&group, &to));
                }
                Intent::Remove(process) => changes.push(Change::Leave(process)),
                Intent::NameSuccessor { group, successor } => {
                    let holder = self.parts.me.process.clone();
                    changes.push(Change::Rename { group, holder, successor });
                }
            }
        }
        if self.stopping.is_some() && self.store.reachable {
            changes.extend(self.hand_over_all(now));
            if self.coordinated.is_empty() && !self.left {
                changes.push(Change::Leave(self.parts.me.process.clone()));
            }
        }
        self.change(changes, now);
    }

    /// Sends changes to the store, one compare-and-swap at a time.
    fn change(&mut self, changes: Vec<Change>, now: Stamp) {
        if changes.is_empty() || self.store.changing || now < self.store.next_change {
            return;
        }
        self.store.changing = true;
        self.parts.storage.change(changes, self.record.clone());
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
        let holder = self.parts.me.process.clone();
        Change::Claim { group, expected, highest, former, holder, successor, reason }
    }

    /// Coordinates a group under the reserved term, because the store cannot be reached.
    fn succeed(&mut self, group: &name::Group, term: u64, former: PreviousHolder, now: Stamp) {
        if self.coordinated.contains_key(group) {
            return;
        }
        event::emit(LogEvent::ReservedTermUsed { group: group.clone(), term });
        self.parts.metrics.record_takeover(Takeover::Reserved);
        let reason = "coordinator gone, reserved term";
        self.start(group, Origin { term, former: Some(former), claimed: now, reason }, now);
    }

    fn hand_over(&self, group: &name::Group, to: &name::Instance) -> Option<Change> {
        let row = self.coordinated.get(group)?;
        let receiver = self.directory.member(to)?.process.clone();
        let from = self.parts.me.process.clone();
        Some(Change::HandOver { group: group.clone(), from, term: row.origin.term, to: receiver })
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

    pub(super) fn take_store(&mut self, done: Done, now: Stamp) {
        match done {
            Done::Changed { began, revision, record, applied } => {
                self.store.changing = false;
                self.store_answered(now);
                for change in &applied {
                    if let Change::HandOver { group, to, term, .. } = change {
                        self.handed_over(group, to, *term, &record);
                    }
                }
                self.take_record(revision, &record, began, now);
                if applied.is_empty() {
                    // The change was judged by a record that may be out of date.
                    self.store.next_change = now + CHANGE_PAUSE;
                    self.parts.storage.read_domain(self.parts.me.domain.clone());
                }
                for change in applied {
                    self.take_applied(change, &record, now);
                }
            }
            Done::ChangeFailed { unavailable } => {
                self.store.changing = false;
                self.store.next_change = now + CHANGE_PAUSE;
                if unavailable {
                    self.store_failed();
                }
                self.parts.storage.read_domain(self.parts.me.domain.clone());
            }
            Done::Record { domain, began, revision, record } => {
                self.store_answered(now);
                if domain == self.parts.me.domain {
                    self.take_record(revision, &record, began, now);
                } else {
                    for member in domain::members(&record, &domain) {
                        self.directory.add_member(member);
                    }
                }
            }
            Done::Document { version, text } => {
                self.store_answered(now);
                self.take_document(version, text, now);
            }
            Done::Instances { leaving, gone } => {
                self.store_answered(now);
                self.take_platform_list(leaving, gone, now);
            }
            Done::Nothing => self.store_answered(now),
            Done::Failed => self.store_failed(),
        }
    }

    pub(super) fn record_revision(&self) -> u64 {
        self.record.as_ref().map_or(0, |(revision, _)| *revision)
    }

    fn store_answered(&mut self, now: Stamp) {
        if !self.store.reachable {
            let outage = self.store.last_ok.map_or(Duration::ZERO, |last| now.since(last));
            let outage_ms = u64::try_from(outage.as_millis()).unwrap_or(u64::MAX);
            event::emit(LogEvent::StoreReachable { outage_ms });
        }
        self.store.reachable = true;
        self.store.last_ok = Some(now);
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

    fn take_record(
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
        for member in domain::members(record, &self.parts.me.domain) {
            if member.process.instance != self.parts.me.process.instance {
                self.directory.add_member(member);
            }
        }
        let holdings = domain::holdings(record);
        for (group, holding) in &holdings {
            if holding.holder != self.parts.me.process {
                let held = self.coordinated.get(group).map(|row| row.origin.term);
                if held.is_some_and(|term| term < holding.term) {
                    self.step(group, Event::Fenced(holding.term), now);
                }
            }
        }
        self.roster.observe(&domain::processes(record), holdings, now);
        self.step_all(&Event::Confirmed(began), now);
    }

    fn take_applied(&mut self, change: Change, record: &caraway_store::record::Domain, now: Stamp) {
        match change {
            Change::Claim { group, former, holder, reason, .. } => {
                let row = record.groups.iter().find(|row| row.group == group);
                let mine = row.filter(|row| row.holder_incarnation == holder.incarnation);
                // A group taken with the reserved term is only recorded: its tokens stay valid,
                // because nobody else uses the recorded term.
                let held = self.coordinated.contains_key(&group);
                if let Some(row) = mine.filter(|row| row.holder == holder.instance && !held) {
                    let origin = Origin { term: row.term, former, claimed: now, reason };
                    self.parts.metrics.record_takeover(takeover(origin.former.as_ref()));
                    self.start(&group, origin, now);
                }
            }
            Change::Leave(process) => self.left |= process == self.parts.me.process,
            Change::HandOver { .. } | Change::Register(_) | Change::Rename { .. } => {}
        }
    }

    /// Ends the coordination of a group that the record now names another instance for.
    ///
    /// The group is served until the record is written: if the write fails, nothing has changed. The message tells
    /// the receiver that this instance has stopped; without it the receiver treats it as possibly alive.
    fn handed_over(
        &mut self,
        group: &name::Group,
        to: &Process,
        term: u64,
        record: &caraway_store::record::Domain,
    ) {
        let Some(row) = self.coordinated.remove(group) else { return };
        row.close();
        self.dirty = true;
        let now = self.clock.now();
        self.last_handover = now;
        let gap = row.lock_ledger().incomplete_until().since(now);
        let entries = row.lock_ledger().export(now).into_iter().map(ledgers::to_wire).collect();
        let new_term = record.groups.iter().find(|row| row.group == *group);
        let successor = self.roster.holding(group).and_then(|holding| holding.successor.clone());
        let request = peer::HandoverRequest {
            group: group.to_string(),
            term: new_term.map_or(term, |row| row.term),
            holder: to.instance.to_string(),
            holder_incarnation: to.incarnation,
            entries,
            incomplete_ms: u64::try_from(gap.as_millis()).unwrap_or(u64::MAX),
            successor: successor.map(|name| name.to_string()).unwrap_or_default(),
        };
        if let Some(member) = self.directory.member(&to.instance).cloned() {
            // The data path forwards to the receiver from now on; it does not wait for its heartbeat.
            let row = peer::Row {
                group: request.group.clone(),
                term: request.term,
                holder: request.holder.clone(),
                holder_incarnation: request.holder_incarnation,
                peer_address: member.peer.to_string(),
                admin_address: member.admin.to_string(),
                ..peer::Row::default()
            };
            self.directory.take(&row, now);
            self.parts.caller.hand_over(member.control, request);
        }
        let (group, to) = (group.clone(), to.instance.clone());
        event::emit(LogEvent::GroupHandedOver { group, term, to });
        self.note_mine();
    }

    /// Ends a coordination and keeps its ledger among the copies.
    pub(super) fn set_aside(&mut self, group: &name::Group, now: Stamp) {
        if let Some(row) = self.coordinated.remove(group) {
            row.close();
            let entries = row.lock_ledger().export(now);
            let entries = entries.into_iter().map(ledgers::to_wire).collect();
            self.parts.copies.record(group, row.origin.term, entries, now);
        }
    }

    pub(super) fn take_handover(
        &mut self,
        request: &peer::HandoverRequest,
        now: Stamp,
    ) -> peer::HandoverReply {
        let refuse =
            |reason: &str| peer::HandoverReply { accepted: false, reason: reason.to_owned() };
        let me = &self.parts.me.process;
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
        let named = name::Instance::new(&request.successor);
        let successor = (!request.successor.is_empty()).then_some(named);
        let former = PreviousHolder { holder, released: true, successor };
        let origin = Origin {
            term: request.term,
            former: Some(former),
            claimed: now,
            reason: "handed over",
        };
        self.start(&group, origin, now);
        if let Some(row) = self.coordinated.get_mut(&group) {
            // The former coordinator sent its whole ledger, so no history has to be collected.
            row.history = History::default();
            let mut ledger = row.lock_ledger();
            ledger.set_incomplete_until(now + Duration::from_millis(request.incomplete_ms));
            for entry in &request.entries {
                ledger.import(ledgers::from_wire(entry.clone()), now);
            }
        }
        self.parts.storage.read_domain(self.parts.me.domain.clone());
        peer::HandoverReply { accepted: true, reason: String::new() }
    }

    fn start(&mut self, group: &name::Group, origin: Origin, now: Stamp) {
        let Some(plan) = self.plan.as_ref().and_then(|plan| plan.group(group)).cloned() else {
            return;
        };
        let instances = self.history_instances(origin.former.as_ref());
        let started = Coordination::try_start(
            plan,
            origin.clone(),
            instances,
            &self.parts.runtime,
            &self.parts.outbox,
            now,
        );
        let Ok(row) = started else { return };
        self.set_aside(group, now);
        self.coordinated.insert(group.clone(), row);
        self.take_own_history(group, origin.term, now);
        self.timer.hasten(Part::Ledgers, now);
        event::emit(LogEvent::GroupAcquired {
            group: group.clone(),
            term: origin.term,
            reason: origin.reason.to_owned(),
        });
        self.note_mine();
        self.dirty = true;
        self.step(group, Event::Tick, now);
        self.announce(now);
    }

    /// Returns the instances that may hold ledger entries of a group: all that are listed but the former holder, this one
    /// included. One that is gone counts too, because its entries are lost.
    fn history_instances(&self, former: Option<&PreviousHolder>) -> BTreeSet<name::Instance> {
        let Some(former) = former else { return BTreeSet::new() };
        let mut names = self.roster.listed();
        names.insert(self.parts.me.process.instance.clone());
        if former.holder.instance != self.parts.me.process.instance {
            names.remove(&former.holder.instance);
        }
        names
    }

    /// Applies a plan to the coordinated groups and the roster.
    pub(super) fn apply_plan(&mut self, plan: &Arc<plan::Plan>, now: Stamp) {
        let own = plan.groups.iter().filter(|group| group.domain == self.parts.me.domain);
        let rows = own.map(|group| caraway_ownership::roster::Group {
            name: group.name.clone(),
            checked: group.service.fencing == plan::Fencing::Checked
                || group.service.division == plan::Division::Pooled,
        });
        self.roster.set_groups(rows.collect());
        let groups: Vec<name::Group> = self.coordinated.keys().cloned().collect();
        for name in groups {
            let Some(row) = self.coordinated.get_mut(&name) else { continue };
            if let Some(group) = plan.group(&name) {
                let outcome =
                    row.replan(group.clone(), &self.parts.runtime, &self.parts.outbox, now);
                self.take_outcome(&name, outcome, now);
            } else {
                row.close();
                self.coordinated.remove(&name);
            }
        }
        self.note_mine();
    }

    pub(super) fn begin_stop(&mut self, signal: String, now: Stamp) {
        if self.stopping.is_none() {
            event::emit(LogEvent::StopRequested { signal });
            self.stopping = Some(now);
            self.parts.leaving.send_replace(true);
            self.roster.stop();
            self.announce(now);
        }
    }

    /// Returns true once a planned stop has handed over what it can.
    pub(super) fn is_stopped(&self, now: Stamp) -> bool {
        let Some(since) = self.stopping else { return false };
        // The successors that this process named may act until a while after its end, so the
        // last naming has to be older than that when the process ends.
        let settled = now.since(since.max(self.last_handover)) >= STOP_NOTICE;
        let left = self.left || !self.store.reachable;
        // The outcomes of these requests are passed on by this thread.
        let quiet = self.parts.router.detached_exchanges() == 0;
        (self.coordinated.is_empty() && settled && left && quiet)
            || now.since(since) >= HANDOVER_WAIT
    }
}

fn takeover(former: Option<&PreviousHolder>) -> Takeover {
    match former {
        None => Takeover::First,
        Some(former) if former.released => Takeover::Handover,
        Some(_) => Takeover::Swap,
    }
}
