//! Decisions of an instance for its failure domain.

use caraway_core::name;
use caraway_core::time::Stamp;

use crate::claim;
use crate::claim::Holder;
use crate::claim::Verdict;

use super::GONE_RETENTION;
use super::Group;
use super::HANDOVER_INTERVAL;
use super::HANDOVER_START_DELAY;
use super::Intent;
use super::PreviousHolder;
use super::Process;
use super::Roster;
use super::Row;

impl Roster {
    /// Returns the actions to take now.
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

    /// Removes processes that are gone from the record; only the first live instance in name order does so.
    fn decide_removals(&self, now: Stamp, intents: &mut Vec<Intent>) {
        let earlier = |process: &Process| process.instance < self.local.instance;
        if !self.store_reachable || self.alive(now).iter().any(earlier) {
            return;
        }
        let listed =
            |process: &Process| self.members.get(&process.instance) == Some(&process.incarnation);
        let expired =
            |row: &Row| row.peer.gone_at.is_some_and(|at| now.since(at) >= GONE_RETENTION);
        let gone = self.rows.iter().filter(|(process, row)| listed(process) && expired(row));
        intents.extend(gone.map(|(process, _)| Intent::Remove(process.clone())));
    }

    fn decide_claims(&mut self, now: Stamp, intents: &mut Vec<Intent>) {
        let candidates = self.candidates(now);
        for group in self.groups.clone() {
            if self.coordinated.contains_key(&group.name) {
                self.vacant_since.remove(&group.name);
                continue;
            }
            let Some((holder, _)) = self.holder(&group.name) else { continue };
            let Some(rank) = claim::rank(&group.name, &self.local.instance, &candidates) else {
                continue;
            };
            let vacant_since = match &holder {
                Holder::Peer(peer) if peer.alive(now) => {
                    self.vacant_since.remove(&group.name);
                    continue;
                }
                _ => *self.vacant_since.entry(group.name.clone()).or_insert(now),
            };
            if self.decide_succession(&group.name, intents) || !self.store_reachable {
                continue;
            }
            let rank = rank + usize::from(self.successor_is_alive(&group.name, now));
            let verdict = claim::judge(&holder, rank, group.checked, vacant_since, now);
            if verdict == Verdict::Claim {
                let expected = self.holdings.get(&group.name).map_or(0, |holding| holding.term);
                let successor = self.choose_successor(&group.name, now).filter(|_| group.checked);
                let former = self.previous_holder(&group.name);
                let group = group.name;
                intents.push(Intent::Claim { group, expected, former, successor });
            }
        }
    }

    /// Returns the processes that may act for a group under an earlier term if this instance claims it now.
    fn previous_holder(&self, group: &name::Group) -> Option<PreviousHolder> {
        let (process, term) = self.coordinator(group)?;
        let holding = self.holdings.get(group).filter(|holding| holding.term == term);
        if *process != self.local {
            let successor = holding.and_then(|holding| holding.successor.clone());
            return Some(PreviousHolder { holder: process.clone(), released: false, successor });
        }
        // The record names this process, but it does not coordinate the group: the message of a handover or the answer
        // to a write was lost. The previous coordinator may continue until it is fenced.
        Some(self.previous.get(group).cloned().unwrap_or_else(PreviousHolder::unknown))
    }

    /// Uses the reserved term if this instance is the named successor of a coordinator that is proved gone.
    ///
    /// This needs no call to the store, so it is done even if the store is slow or unreachable.
    fn decide_succession(&self, group: &name::Group, intents: &mut Vec<Intent>) -> bool {
        let Some(nomination) = self.nominations.get(group) else { return false };
        let Some(row) = self.rows.get(&nomination.holder) else { return false };
        let current =
            self.coordinator(group).is_none_or(|(process, _)| *process == nomination.holder);
        let may_succeed = current && claim::may_succeed(&row.peer, nomination.at);
        if may_succeed {
            let former = PreviousHolder {
                holder: nomination.holder.clone(),
                released: false,
                successor: None,
            };
            intents.push(Intent::Succeed { group: group.clone(), term: nomination.term, former });
        }
        may_succeed
    }

    /// Returns true if another live instance is the named successor, which takes precedence.
    fn successor_is_alive(&self, group: &name::Group, now: Stamp) -> bool {
        let named = self.holdings.get(group).and_then(|holding| holding.successor.as_ref());
        let alive = |name: &name::Instance| {
            self.rows.iter().any(|(process, row)| process.instance == *name && row.peer.alive(now))
        };
        named.is_some_and(|name| *name != self.local.instance && alive(name))
    }

    fn decide_successors(&mut self, now: Stamp, intents: &mut Vec<Intent>) {
        let names: Vec<name::Instance> =
            self.alive(now).into_iter().map(|process| process.instance).collect();
        for group in self.coordinated.keys().cloned().collect::<Vec<_>>() {
            if self.must_reclaim(&group) {
                self.reclaim(group, now, intents);
                continue;
            }
            let named = self.holdings.get(&group).and_then(|holding| holding.successor.clone());
            if named.as_ref().is_some_and(|name| names.contains(name)) {
                self.successor_lost_since.remove(&group);
                continue;
            }
            let checked = |row: &Group| row.name == group && row.checked;
            if !self.groups.iter().any(checked) {
                continue;
            }
            let first = named.is_none();
            let since = *self.successor_lost_since.entry(group.clone()).or_insert(now);
            let paused = !first && now.since(since) < claim::NOMINATION_PAUSE;
            if !self.store_reachable || paused {
                continue;
            }
            if let Some(successor) = self.choose_successor(&group, now) {
                intents.push(Intent::NameSuccessor { group, successor });
            }
        }
    }

    /// Returns true if the record does not name this instance as holder, because the group was taken over with a
    /// reserved term, or if all reserved terms of the recorded term are used up.
    fn must_reclaim(&self, group: &name::Group) -> bool {
        let Some(holding) = self.holdings.get(group) else { return true };
        let used = holding.reserved.saturating_sub(holding.term);
        holding.holder != self.local || claim::reserved_term(holding.term, used).is_none()
    }

    fn reclaim(&self, group: name::Group, now: Stamp, intents: &mut Vec<Intent>) {
        if !self.store_reachable || self.stopping {
            return;
        }
        let holding = self.holdings.get(&group);
        let expected = holding.map_or(0, |holding| holding.term);
        let former = PreviousHolder {
            holder: self.local.clone(),
            released: true,
            successor: holding.and_then(|holding| holding.successor.clone()),
        };
        let successor = self.choose_successor(&group, now);
        intents.push(Intent::Claim { group, expected, former: Some(former), successor });
    }

    /// Returns the successor to name in heartbeats and its reserved term; `None` while the recorded successor is
    /// being replaced.
    pub fn named_successor(&self, group: &name::Group) -> Option<(name::Instance, u64)> {
        if self.successor_lost_since.contains_key(group) {
            return None;
        }
        let holding = self.holdings.get(group)?;
        let successor = holding.successor.clone()?;
        (holding.holder == self.local).then_some((successor, holding.reserved))
    }

    fn decide_handover(&mut self, now: Stamp, intents: &mut Vec<Intent>) {
        let early = now.since(self.started) < HANDOVER_START_DELAY;
        if self.stopping
            || early
            || now.since(self.last_handover) < HANDOVER_INTERVAL
            || !self.store_reachable
        {
            return;
        }
        let least = self.candidates(now).into_iter().min_by_key(|candidate| candidate.groups);
        let Some(least) = least else { return };
        if self.coordinated.len() >= least.groups + 2
            && let Some(group) = self.coordinated.keys().next()
        {
            self.last_handover = now;
            intents.push(Intent::HandOver { group: group.clone(), to: least.instance });
        }
    }
}
