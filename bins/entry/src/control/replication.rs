//! Ledger replication: copies of the own ledgers at other instances, and collection of histories
//! after a takeover.

use std::net::SocketAddr;

use super::Control;
use crate::directory::Member;
use crate::peers;
use crate::timer::Task;
use caraway_call::history::required_replicas;
use caraway_call::ledger::State;
use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_entry::ledgers;
use caraway_ownership::roster::Process;
use caraway_relay::replication;
use caraway_wire::peer;

impl Control {
    /// Replicates an entry to the instances that hold a copy of the ledger of its group.
    pub(super) fn replicate(&mut self, job: replication::Job, now: Stamp) {
        let replication::Job { group, term, entry, done } = job;
        let current = self.coordinated.get(&group).map(|coordination| coordination.origin.term);
        let is_outcome = entry.state != State::Open;
        let serving = current == Some(term);
        if !serving && !is_outcome {
            let _ = done.send(false);
            return;
        }
        let addresses = if serving {
            self.replica_addresses(&group, now)
        } else {
            // Without the outcome, the new coordinator would answer a repeated request with
            // "outcome unknown".
            Some(self.coordinator_address(&group).into_iter().collect())
        };
        let Some(addresses) = addresses else {
            let _ = done.send(false);
            return;
        };
        let entries = vec![ledgers::to_wire(entry)];
        let request = peer::RecordRequest { group: group.to_string(), term, entries, full: false };
        self.context.peers.record(addresses, request, done);
    }

    fn coordinator_address(&self, group: &name::Group) -> Option<SocketAddr> {
        let holder = self.directory.row(group).map(|row| row.holder.instance.clone());
        let member = self.directory.member(&holder?)?;
        (member.process != self.context.me.process).then_some(member.control)
    }

    /// Imports outcomes that a former coordinator of a group reported after its term had ended.
    pub(super) fn import_outcomes(
        &mut self,
        group: &name::Group,
        entries: Vec<peer::Entry>,
        now: Stamp,
    ) {
        if let Some(coordination) = self.coordinated.get(group) {
            let mut ledger = coordination.lock_ledger();
            for entry in entries {
                ledger.import(ledgers::from_wire(entry), now);
            }
        }
    }

    /// Returns the control addresses of the instances that must store an entry of a group, or none
    /// if too few hold a full copy.
    ///
    /// Instances to which a full copy is being sent are included, because that copy may lack the
    /// entry.
    fn replica_addresses(&self, group: &name::Group, now: Stamp) -> Option<Vec<SocketAddr>> {
        let coordination = self.coordinated.get(group)?;
        let needed = required_replicas(self.roster.others_not_gone());
        let peers = self.live_peers(now);
        let holders = peers.iter().filter(|member| coordination.copies.contains(&member.process));
        let mut addresses: Vec<SocketAddr> =
            holders.take(needed).map(|member| member.control).collect();
        if addresses.len() < needed {
            return None;
        }
        let pending = peers.iter().filter(|member| coordination.copying.contains(&member.process));
        addresses.extend(pending.map(|member| member.control));
        Some(addresses)
    }

    /// Returns the live instances of the failure domain in name order, starting after this one, so
    /// that the copies of different coordinators are spread over the instances.
    fn live_peers(&self, now: Stamp) -> Vec<Member> {
        let alive = self.roster.reachable(now);
        let mut members: Vec<Member> = self
            .directory
            .of_domain(&self.context.me.domain)
            .into_iter()
            .filter(|member| alive.contains(&member.process))
            .cloned()
            .collect();
        let me = self.context.me.process.instance.clone();
        members.sort_by_key(|member| {
            let name = member.process.instance.clone();
            (name < me, name)
        });
        members
    }

    /// Sends full ledger copies to live instances without one, and requests missing histories
    /// again.
    pub(super) fn sync_ledgers(&mut self, now: Stamp) {
        let peers = self.live_peers(now);
        let mut copies: Vec<(Process, SocketAddr, peer::RecordRequest)> = Vec::new();
        let mut requests: Vec<(name::Instance, name::Group, u64)> = Vec::new();
        for (group, coordination) in &mut self.coordinated {
            for name in coordination.history.missing() {
                requests.push((name.clone(), group.clone(), coordination.origin.term));
            }
            if coordination.lock_ledger().incomplete_until() > now {
                // The receivers would treat a copy of an incomplete ledger as a full one.
                continue;
            }
            // An instance that was unreachable has missed entries and needs a full copy again.
            coordination
                .copies
                .retain(|process| peers.iter().any(|member| member.process == *process));
            for member in &peers {
                let process = member.process.clone();
                if coordination.copies.contains(&process)
                    || !coordination.copying.insert(process.clone())
                {
                    continue;
                }
                let entries = coordination.lock_ledger().export(now);
                let request = peer::RecordRequest {
                    group: group.to_string(),
                    term: coordination.origin.term,
                    entries: entries.into_iter().map(ledgers::to_wire).collect(),
                    full: true,
                };
                copies.push((process, member.control, request));
            }
        }
        for (process, address, request) in copies {
            self.context.peers.copy(process, address, request);
        }
        for (name, group, term) in requests {
            if let Some(member) = self.directory.member(&name) {
                self.context.peers.request_history(name, member.control, group, term);
            }
        }
    }

    pub(super) fn handle_copied(&mut self, group: &name::Group, to: Process, stored: bool) {
        let Some(coordination) = self.coordinated.get_mut(group) else { return };
        coordination.copying.remove(&to);
        if stored {
            coordination.copies.insert(to);
        }
    }

    pub(super) fn handle_history(&mut self, history: peers::History, now: Stamp) {
        let peers::History { group, term, from, entries, copy_term } = history;
        if let Some(coordination) = self.coordinated.get_mut(&group)
            && coordination.origin.term == term
        {
            coordination.import_history(&from, entries, copy_term, now);
            self.dirty = true;
            self.scheduler.make_due(Task::Ledgers, now);
        }
    }

    /// Imports the entries that this instance stored for the former coordinator.
    pub(super) fn import_own_history(&mut self, group: &name::Group, term: u64, now: Stamp) {
        let (entries, copy_term) = self.context.copies.history(group, term, now);
        let me = self.context.me.process.instance.clone();
        if let Some(coordination) = self.coordinated.get_mut(group) {
            coordination.import_history(&me, entries, copy_term, now);
        }
    }
}
