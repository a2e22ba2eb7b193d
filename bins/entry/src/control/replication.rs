//! Ledger entries at other instances: copies of the own groups, and histories after a takeover.

use std::net::SocketAddr;

use super::Control;
use crate::directory::Member;
use crate::peers;
use crate::timer::Part;
use caraway_call::history::required_replicas;
use caraway_call::ledger::State;
use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_entry::ledgers;
use caraway_ownership::roster::Process;
use caraway_relay::replication;
use caraway_wire::peer;

impl Control {
    /// Records an entry at the instances that hold the ledger of its group.
    pub(super) fn replicate(&mut self, job: replication::Job, now: Stamp) {
        let replication::Job { group, term, entry, done } = job;
        let current = self.coordinated.get(&group).map(|row| row.origin.term);
        let outcome = entry.state != State::Open;
        let serving = current == Some(term);
        if !serving && !outcome {
            let _ = done.send(false);
            return;
        }
        let addresses = if serving {
            self.intent_addresses(&group, now)
        } else {
            // The new coordinator has to know that the request ended, or it answers a repeated one
            // with "outcome unknown".
            Some(self.coordinator_address(&group).into_iter().collect())
        };
        let Some(addresses) = addresses else {
            let _ = done.send(false);
            return;
        };
        let entries = vec![ledgers::to_wire(entry)];
        let request = peer::RecordRequest { group: group.to_string(), term, entries, full: false };
        self.parts.caller.record(addresses, request, done);
    }

    fn coordinator_address(&self, group: &name::Group) -> Option<SocketAddr> {
        let holder = self.directory.row(group).map(|row| row.holder.instance.clone());
        let member = self.directory.member(&holder?)?;
        (member.process != self.parts.me.process).then_some(member.control)
    }

    /// Takes the outcomes that a former coordinator of a group tells late.
    pub(super) fn take_outcomes(
        &mut self,
        group: &name::Group,
        entries: Vec<peer::Entry>,
        now: Stamp,
    ) {
        if let Some(row) = self.coordinated.get(group) {
            let mut ledger = row.lock_ledger();
            for entry in entries {
                ledger.import(ledgers::from_wire(entry), now);
            }
        }
    }

    /// Returns where an entry of a group has to be recorded; none if too few instances hold a full copy.
    ///
    /// A copy that is on its way may lack the entry, so it is recorded there too.
    fn intent_addresses(&self, group: &name::Group, now: Stamp) -> Option<Vec<SocketAddr>> {
        let row = self.coordinated.get(group)?;
        let needed = required_replicas(self.roster.others_not_gone());
        let peers = self.live_peers(now);
        let held = peers.iter().filter(|member| row.copies.contains(&member.process));
        let mut addresses: Vec<SocketAddr> =
            held.take(needed).map(|member| member.control).collect();
        if addresses.len() < needed {
            return None;
        }
        let coming = peers.iter().filter(|member| row.copying.contains(&member.process));
        addresses.extend(coming.map(|member| member.control));
        Some(addresses)
    }

    /// Returns the live instances of the failure domain, from the next one in name order, so that the
    /// copies of different coordinators are spread.
    fn live_peers(&self, now: Stamp) -> Vec<Member> {
        let alive = self.roster.reachable(now);
        let mut members: Vec<Member> = self
            .directory
            .of_domain(&self.parts.me.domain)
            .into_iter()
            .filter(|member| alive.contains(&member.process))
            .cloned()
            .collect();
        let me = self.parts.me.process.instance.clone();
        members.sort_by_key(|member| {
            let name = member.process.instance.clone();
            (name < me, name)
        });
        members
    }

    /// Copies ledgers to live instances that lack them, and asks again for histories that are missing.
    pub(super) fn turn_ledgers(&mut self, now: Stamp) {
        let peers = self.live_peers(now);
        let mut copies: Vec<(Process, SocketAddr, peer::RecordRequest)> = Vec::new();
        let mut asks: Vec<(name::Instance, name::Group, u64)> = Vec::new();
        for (group, row) in &mut self.coordinated {
            for name in row.history.missing() {
                asks.push((name.clone(), group.clone(), row.origin.term));
            }
            if row.lock_ledger().incomplete_until() > now {
                // A copy of a ledger with gaps would pass for a full one.
                continue;
            }
            // An instance that was out of reach has missed entries and gets a full copy again.
            row.copies.retain(|process| peers.iter().any(|member| member.process == *process));
            for member in &peers {
                let process = member.process.clone();
                if row.copies.contains(&process) || !row.copying.insert(process.clone()) {
                    continue;
                }
                let entries = row.lock_ledger().export(now);
                let request = peer::RecordRequest {
                    group: group.to_string(),
                    term: row.origin.term,
                    entries: entries.into_iter().map(ledgers::to_wire).collect(),
                    full: true,
                };
                copies.push((process, member.control, request));
            }
        }
        for (process, address, request) in copies {
            self.parts.caller.copy(process, address, request);
        }
        for (name, group, term) in asks {
            if let Some(member) = self.directory.member(&name) {
                self.parts.caller.history(name, member.control, group, term);
            }
        }
    }

    pub(super) fn take_copied(&mut self, group: &name::Group, to: Process, stored: bool) {
        let Some(row) = self.coordinated.get_mut(group) else { return };
        row.copying.remove(&to);
        if stored {
            row.copies.insert(to);
        }
    }

    pub(super) fn take_history(&mut self, history: peers::History, now: Stamp) {
        let peers::History { group, term, from, entries, copy_term } = history;
        if let Some(row) = self.coordinated.get_mut(&group)
            && row.origin.term == term
        {
            row.take_history(&from, entries, copy_term, now);
            self.dirty = true;
            self.timer.hasten(Part::Ledgers, now);
        }
    }

    /// Takes the entries that this instance held for the former coordinator.
    pub(super) fn take_own_history(&mut self, group: &name::Group, term: u64, now: Stamp) {
        let (entries, copy_term) = self.parts.copies.history(group, term, now);
        let me = self.parts.me.process.instance.clone();
        if let Some(row) = self.coordinated.get_mut(group) {
            row.take_history(&me, entries, copy_term, now);
        }
    }
}
