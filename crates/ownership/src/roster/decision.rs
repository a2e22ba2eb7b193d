//! What an instance does next for its failure domain.

use caraway_core::name;
use caraway_core::time::Stamp;

use crate::claim;
use crate::claim::Holder;
use crate::claim::Verdict;

use super::EVEN_OUT;
use super::EVEN_OUT_START;
use super::Group;
use super::Intent;
use super::PreviousHolder;
use super::Process;
use super::REMOVAL;
use super::Roster;
use super::Row;

impl Roster {
    /// Returns what should be done now.
    pub fn decide(&mut self, now: Stamp) -> Vec<Intent> {
        let mut intents = Vec::new();
        if !self.registered && !self.stopping && self.store_reachable {
            intents.push(Intent::Register);
        }
        if self.registered && !self.stopping {
            self.decide_claims(now, &mut intents);
        }
        self.decide_removals(now, &mut intents);
        self.decide_successors(now, &mut intents);
        self.decide_handover(now, &mut intents);
        intents
    }

    /// Removes what is gone from the record; the first live instance in name order does it for all.
    fn decide_removals(&self, now: Stamp, intents: &mut Vec<Intent>) {
        let earlier = |process: &Process| process.instance < self.me.instance;
        if !self.store_reachable || self.alive(now).iter().any(earlier) {
            return;
        }
        let listed =
            |process: &Process| self.members.get(&process.instance) == Some(&process.incarnation);
        let over = |row: &Row| row.peer.gone_at.is_some_and(|at| now.since(at) >= REMOVAL);
        let gone = self.rows.iter().filter(|(process, row)| listed(process) && over(row));
        intents.extend(gone.map(|(process, _)| Intent::Remove(process.clone())));
    }

    fn decide_claims(&mut self, now: Stamp, intents: &mut Vec<Intent>) {
        let candidates = self.candidates(now);
        for group in self.groups.clone() {
            if self.mine.contains_key(&group.name) {
                self.vacant.remove(&group.name);
                continue;
            }
            let Some((holder, _)) = self.holder(&group.name) else { continue };
            let Some(rank) = claim::rank(&group.name, &self.me.instance, &candidates) else {
                continue;
            };
            let vacant_since = match &holder {
                Holder::Peer(peer) if peer.alive(now) => {
                    self.vacant.remove(&group.name);
                    continue;
                }
                _ => *self.vacant.entry(group.name.clone()).or_insert(now),
            };
            if self.decide_succession(&group.name, intents) || !self.store_reachable {
                continue;
            }
            let rank = rank + usize::from(self.successor_is_alive(&group.name, now));
            let verdict = claim::judge(&holder, rank, group.checked, vacant_since, now);
            if verdict == Verdict::Claim {
                let expected = self.holdings.get(&group.name).map_or(0, |holding| holding.term);
                let successor = self.choose_successor(&group.name, now).filter(|_| group.checked);
                let former = self.former(&group.name);
                let group = group.name;
                intents.push(Intent::Claim { group, expected, former, successor });
            }
        }
    }

    /// Returns who may act for a group under an earlier term if this instance takes it now.
    fn former(&self, group: &name::Group) -> Option<PreviousHolder> {
        let (process, term) = self.coordinator(group)?;
        let holding = self.holdings.get(group).filter(|holding| holding.term == term);
        if *process != self.me {
            let successor = holding.and_then(|holding| holding.successor.clone());
            return Some(PreviousHolder { holder: process.clone(), released: false, successor });
        }
        // The record names this process, which does not coordinate the group: the message of a handover was lost, or
        // the answer to a write. The coordinator before may go on until it is fenced.
        Some(self.previous.get(group).cloned().unwrap_or_else(PreviousHolder::unknown))
    }

    /// Uses the reserved term if this instance is the named successor of a coordinator that is proved gone.
    ///
    /// That needs no store, so it is done whether or not the store answers: a slow store delays nothing.
    fn decide_succession(&self, group: &name::Group, intents: &mut Vec<Intent>) -> bool {
        let Some(naming) = self.namings.get(group) else { return false };
        let Some(row) = self.rows.get(&naming.holder) else { return false };
        let current = self.coordinator(group).is_none_or(|(process, _)| *process == naming.holder);
        let may = current && claim::may_succeed(&row.peer, naming.at);
        if may {
            let former =
                PreviousHolder { holder: naming.holder.clone(), released: false, successor: None };
            intents.push(Intent::Succeed { group: group.clone(), term: naming.term, former });
        }
        may
    }

    /// Returns true if another live instance is the named successor, which acts first.
    fn successor_is_alive(&self, group: &name::Group, now: Stamp) -> bool {
        let named = self.holdings.get(group).and_then(|holding| holding.successor.as_ref());
        let alive = |name: &name::Instance| {
            self.rows.iter().any(|(process, row)| process.instance == *name && row.peer.alive(now))
        };
        named.is_some_and(|name| *name != self.me.instance && alive(name))
    }

    fn decide_successors(&mut self, now: Stamp, intents: &mut Vec<Intent>) {
        let names: Vec<name::Instance> =
            self.alive(now).into_iter().map(|process| process.instance).collect();
        for group in self.mine.keys().cloned().collect::<Vec<_>>() {
            if self.must_record_again(&group) {
                self.claim_again(group, now, intents);
                continue;
            }
            let named = self.holdings.get(&group).and_then(|holding| holding.successor.clone());
            if named.as_ref().is_some_and(|name| names.contains(name)) {
                self.successor_lost.remove(&group);
                continue;
            }
            let checked = |row: &Group| row.name == group && row.checked;
            if !self.groups.iter().any(checked) {
                continue;
            }
            let first = named.is_none();
            let since = *self.successor_lost.entry(group.clone()).or_insert(now);
            let paused = !first && now.since(since) < claim::NOMINATION_PAUSE;
            if !self.store_reachable || paused {
                continue;
            }
            if let Some(successor) = self.choose_successor(&group, now) {
                intents.push(Intent::NameSuccessor { group, successor });
            }
        }
    }

    /// Returns true if the record does not name this instance as holder, because the group was taken with a reserved
    /// term, or if all reserved terms of the recorded term are used up.
    fn must_record_again(&self, group: &name::Group) -> bool {
        let Some(holding) = self.holdings.get(group) else { return true };
        let used = holding.reserved.saturating_sub(holding.term);
        holding.holder != self.me || claim::reserved_term(holding.term, used).is_none()
    }

    fn claim_again(&self, group: name::Group, now: Stamp, intents: &mut Vec<Intent>) {
        if !self.store_reachable || self.stopping {
            return;
        }
        let holding = self.holdings.get(&group);
        let expected = holding.map_or(0, |holding| holding.term);
        let former = PreviousHolder {
            holder: self.me.clone(),
            released: true,
            successor: holding.and_then(|holding| holding.successor.clone()),
        };
        let successor = self.choose_successor(&group, now);
        intents.push(Intent::Claim { group, expected, former: Some(former), successor });
    }

    /// Returns the successor to name in heartbeats: none while the recorded one is being replaced.
    pub fn named_successor(&self, group: &name::Group) -> Option<(name::Instance, u64)> {
        if self.successor_lost.contains_key(group) {
            return None;
        }
        let holding = self.holdings.get(group)?;
        let successor = holding.successor.clone()?;
        (holding.holder == self.me).then_some((successor, holding.reserved))
    }

    fn decide_handover(&mut self, now: Stamp, intents: &mut Vec<Intent>) {
        let early = now.since(self.started) < EVEN_OUT_START;
        if self.stopping || early || now.since(self.evened) < EVEN_OUT || !self.store_reachable {
            return;
        }
        let least = self.candidates(now).into_iter().min_by_key(|candidate| candidate.groups);
        let Some(least) = least else { return };
        if self.mine.len() >= least.groups + 2
            && let Some(group) = self.mine.keys().next()
        {
            self.evened = now;
            intents.push(Intent::HandOver { group: group.clone(), to: least.instance });
        }
    }
}
