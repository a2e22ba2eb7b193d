//! Ledger entries at other instances: copies of the own groups, and histories after a takeover.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use caraway_call::ledger::State;
use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_relay::replication;
use caraway_wire::peer;

use crate::directory::Member;
use caraway_entry::ledgers;

use super::Control;

/// Other instances that hold each ledger entry.
const HOLDERS: usize = 2;

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
        let mut addresses: Vec<SocketAddr> =
            self.holders(now).into_iter().map(|member| member.control).collect();
        if !serving {
            // The new coordinator has to know that the request ended, or it answers a repeated one
            // with "outcome unknown".
            addresses = self.coordinator_address(&group).into_iter().collect();
        }
        let entries = vec![ledgers::to_wire(entry)];
        let request = peer::RecordRequest { group: group.to_string(), term, entries };
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

    /// Returns the live instances of the failure domain that hold this instance's ledgers.
    fn holders(&self, now: Stamp) -> Vec<Member> {
        let alive = self.roster.alive(now);
        let mut members: Vec<Member> = self
            .directory
            .of_domain(&self.parts.me.domain)
            .into_iter()
            .filter(|member| alive.contains(&member.process))
            .cloned()
            .collect();
        // The next instances in name order, so that the copies are spread over the failure domain.
        let me = self.parts.me.process.instance.clone();
        members.sort_by_key(|member| {
            let name = member.process.instance.clone();
            (name < me, name)
        });
        members.truncate(HOLDERS);
        members
    }

    /// Copies ledgers to holders that lack them, and asks again for histories that are missing.
    pub(super) fn turn_ledgers(&mut self, now: Stamp) {
        let holders = self.holders(now);
        let names: BTreeSet<name::Instance> =
            holders.iter().map(|member| member.process.instance.clone()).collect();
        let mut copies: Vec<(name::Instance, SocketAddr, peer::RecordRequest)> = Vec::new();
        let mut asks: Vec<(name::Instance, name::Group, u64)> = Vec::new();
        for (group, row) in &mut self.coordinated {
            row.copies.retain(|name| names.contains(name));
            for member in &holders {
                let name = member.process.instance.clone();
                if row.copies.contains(&name) || !row.copying.insert(name.clone()) {
                    continue;
                }
                let entries = row.lock_ledger().export(now);
                let request = peer::RecordRequest {
                    group: group.to_string(),
                    term: row.origin.term,
                    entries: entries.into_iter().map(ledgers::to_wire).collect(),
                };
                copies.push((name, member.control, request));
            }
            for name in &row.history_missing {
                asks.push((name.clone(), group.clone(), row.origin.term));
            }
        }
        for (name, address, request) in copies {
            self.parts.caller.copy(name, address, request);
        }
        for (name, group, term) in asks {
            if let Some(member) = self.directory.member(&name) {
                self.parts.caller.history(name, member.control, group, term);
            }
        }
    }

    pub(super) fn take_copied(&mut self, group: &name::Group, to: &name::Instance, stored: bool) {
        let Some(row) = self.coordinated.get_mut(group) else { return };
        row.copying.remove(to);
        if stored {
            row.copies.insert(to.clone());
        }
    }

    pub(super) fn take_history(
        &mut self,
        group: &name::Group,
        term: u64,
        from: &name::Instance,
        entries: Vec<peer::Entry>,
        now: Stamp,
    ) {
        if let Some(row) = self.coordinated.get_mut(group)
            && row.origin.term == term
        {
            row.take_history(from, entries, now);
            self.dirty = true;
        }
    }

    /// Takes the entries that this instance held for the former coordinator.
    pub(super) fn take_own_history(&mut self, group: &name::Group, term: u64, now: Stamp) {
        let entries = self.parts.copies.history(group, term, now);
        let me = self.parts.me.process.instance.clone();
        if let Some(row) = self.coordinated.get_mut(group) {
            row.take_history(&me, entries, now);
        }
    }
}
