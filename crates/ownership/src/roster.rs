//! The roster of a failure domain: its instances, who coordinates which group, and what to do next.
//!
//! Each instance keeps one roster. [`Roster::decide`] is a pure function of what was observed; the control
//! plane turns each [`Intent`] into a compare-and-swap or a message.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use caraway_core::name;
use caraway_core::time::Stamp;

use crate::claim;
use crate::claim::Candidate;
use crate::claim::Holder;
use crate::claim::Peer;
use crate::claim::Verdict;

mod decision;

/// Least time between two groups that an instance hands over to even out the coordination load.
const EVEN_OUT: Duration = Duration::from_millis(500);

/// Time for which a process that is gone stays listed: the retention of the ledger entries that it held.
const REMOVAL: Duration = Duration::from_secs(600);

/// Time since the start during which an instance hands nothing over, because others still start.
const EVEN_OUT_START: Duration = Duration::from_secs(1);

/// One process of an entry instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Process {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Incarnation, different for each process start.
    pub incarnation: u64,
}

/// What the domain record says about a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// Highest term taken from the store.
    pub term: u64,
    /// Holder of that term.
    pub holder: Process,
    /// Named successor, if any.
    pub successor: Option<name::Instance>,
    /// Term reserved for the named successor.
    pub reserved: u64,
}

/// What a heartbeat says about a group that its sender coordinates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The group.
    pub group: name::Group,
    /// Term under which the sender coordinates it.
    pub term: u64,
    /// Successor that it names, if any.
    pub successor: Option<name::Instance>,
    /// Term reserved for the successor.
    pub reserved: u64,
}

/// A group of the domain, from the plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Group {
    /// Name of the group.
    pub name: name::Group,
    /// True if its targets check tokens, or if its shards have no owner.
    pub checked: bool,
}

/// Who may act for a group under an earlier term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PreviousHolder {
    /// The former coordinator.
    pub holder: Process,
    /// True if the former coordinator gave the term up.
    pub released: bool,
    /// The successor that it named, which may use the reserved term.
    pub successor: Option<name::Instance>,
}

impl PreviousHolder {
    /// Makes the entry of a coordinator that is not known, so that nothing proves its end.
    fn unknown() -> Self {
        let holder = Process { instance: name::Instance::new(""), incarnation: 0 };
        Self { holder, released: false, successor: None }
    }
}

/// Something that the control plane should do now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Intent {
    /// Write the own process into the domain record.
    Register,
    /// Take a group's term by compare-and-swap.
    Claim {
        /// The group.
        group: name::Group,
        /// Term that the record must still have.
        expected: u64,
        /// Processes that may act under an earlier term.
        former: Option<PreviousHolder>,
        /// Successor to name.
        successor: Option<name::Instance>,
    },
    /// Use the reserved term, without a call to the store.
    Succeed {
        /// The group.
        group: name::Group,
        /// The reserved term.
        term: u64,
        /// The former coordinator, which is proved gone.
        former: PreviousHolder,
    },
    /// Hand a group over to another instance.
    HandOver {
        /// The group.
        group: name::Group,
        /// The receiving instance.
        to: name::Instance,
    },
    /// Remove a process from the domain record that has been gone for so long that nothing depends on it.
    Remove(Process),
    /// Name another successor in the domain record.
    NameSuccessor {
        /// The group.
        group: name::Group,
        /// The new successor.
        successor: name::Instance,
    },
}

#[derive(Clone, Debug)]
struct Row {
    peer: Peer,
    groups: usize,
    /// When the latest heartbeat that the process answered was sent.
    answered: Option<Stamp>,
}

#[derive(Clone, Debug)]
struct Naming {
    term: u64,
    at: Stamp,
    holder: Process,
}

/// Roster of the own failure domain.
#[derive(Clone, Debug)]
pub struct Roster {
    me: Process,
    started: Stamp,
    stopping: bool,
    store_reachable: bool,
    registered: bool,
    groups: Vec<Group>,
    rows: BTreeMap<Process, Row>,
    members: BTreeMap<name::Instance, u64>,
    holdings: BTreeMap<name::Group, Holding>,
    /// Who may act under an earlier term, for groups that the record has come to name this process for.
    previous: BTreeMap<name::Group, PreviousHolder>,
    words: BTreeMap<name::Group, (u64, Process)>,
    namings: BTreeMap<name::Group, Naming>,
    vacant: BTreeMap<name::Group, Stamp>,
    mine: BTreeMap<name::Group, u64>,
    successor_lost: BTreeMap<name::Group, Stamp>,
    evened: Stamp,
}

impl Roster {
    /// Makes the roster of a process that has just started.
    pub fn new(me: Process, now: Stamp) -> Self {
        Self {
            me,
            started: now,
            stopping: false,
            store_reachable: false,
            registered: false,
            groups: Vec::new(),
            rows: BTreeMap::new(),
            members: BTreeMap::new(),
            holdings: BTreeMap::new(),
            previous: BTreeMap::new(),
            words: BTreeMap::new(),
            namings: BTreeMap::new(),
            vacant: BTreeMap::new(),
            mine: BTreeMap::new(),
            successor_lost: BTreeMap::new(),
            evened: now,
        }
    }

    /// Sets the groups of the domain.
    pub fn set_groups(&mut self, groups: Vec<Group>) {
        self.groups = groups;
    }

    /// Says whether the latest call to the store succeeded.
    pub fn set_store_reachable(&mut self, reachable: bool) {
        self.store_reachable = reachable;
    }

    /// Counts the silence of others from now on, because this process itself did not run.
    pub fn resume(&mut self, now: Stamp) {
        for row in self.rows.values_mut() {
            row.peer.last_heard = now;
        }
        self.vacant.clear();
        self.namings.clear();
    }

    /// Starts a planned stop: the instance takes no more groups.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Records the groups that this instance coordinates, with their terms.
    pub fn set_coordinated(&mut self, mine: BTreeMap<name::Group, u64>) {
        self.mine = mine;
    }

    /// Takes over the content of the domain record.
    pub fn observe(
        &mut self,
        members: &[Process],
        holdings: BTreeMap<name::Group, Holding>,
        now: Stamp,
    ) {
        self.members =
            members.iter().map(|process| (process.instance.clone(), process.incarnation)).collect();
        self.registered = members.contains(&self.me);
        for process in members {
            if *process != self.me {
                self.row(process, now);
            }
        }
        for holding in holdings.values() {
            if holding.holder != self.me {
                self.row(&holding.holder, now);
            }
        }
        for (group, holding) in &holdings {
            let before = self.holdings.get(group).filter(|before| before.holder != self.me);
            if let Some(before) = before.filter(|_| holding.holder == self.me) {
                let former = PreviousHolder {
                    holder: before.holder.clone(),
                    released: false,
                    successor: before.successor.clone(),
                };
                self.previous.insert(group.clone(), former);
            }
        }
        self.holdings = holdings;
        self.forget_gone();
    }

    /// Records that a process was heard from, and what it says about its groups.
    pub fn record_heartbeat(
        &mut self,
        process: &Process,
        words: &[Announcement],
        stopping: bool,
        now: Stamp,
    ) {
        let row = self.row(process, now);
        row.peer.last_heard = now;
        row.peer.contacted = true;
        row.peer.stopping = stopping;
        row.groups = words.len();
        let older: Vec<Process> = self
            .rows
            .keys()
            .filter(|other| other.instance == process.instance && *other != process)
            .cloned()
            .collect();
        for other in older {
            // Instances listen on fixed addresses, so a new incarnation proves the old one gone.
            self.record_gone(&other, now);
        }
        self.words.retain(|_, (_, holder)| holder != process);
        for word in words {
            let known = self.words.get(&word.group).map_or(0, |(term, _)| *term);
            if word.term >= known {
                self.words.insert(word.group.clone(), (word.term, process.clone()));
            }
            if word.successor.as_ref() == Some(&self.me.instance) {
                let naming = Naming { term: word.reserved, at: now, holder: process.clone() };
                self.namings.insert(word.group.clone(), naming);
            }
        }
    }

    /// Records that a process answered a heartbeat that was sent at `sent`.
    ///
    /// It has then taken notice of every term that the heartbeat named.
    pub fn record_reply(&mut self, process: &Process, sent: Stamp, now: Stamp) {
        let row = self.row(process, now);
        row.answered = row.answered.max(Some(sent));
    }

    /// Counts a process among those that may know of this one, because a heartbeat is sent to it.
    pub fn add_process(&mut self, process: &Process, now: Stamp) {
        if *process != self.me {
            self.row(process, now);
        }
    }

    /// Returns the moment at which nobody had taken a higher term from this instance.
    ///
    /// Only instances that have met this one may act on its silence. Each of them is gone, or has answered a
    /// heartbeat that was sent at that moment or later, and told no higher term. None if one of them has not answered.
    pub fn confirmed_since(&self, now: Stamp) -> Option<Stamp> {
        let others = self.rows.values().filter(|row| row.peer.gone_at.is_none());
        others.map(|row| row.answered).try_fold(now, |least, answered| Some(least.min(answered?)))
    }

    /// Returns since when nobody can act for a group under an earlier term, if that is proved.
    ///
    /// `claimed` is when this instance took the group. The former coordinator must be gone or have given up. The
    /// successor that it named must be gone, or have answered a heartbeat sent after the claim.
    pub fn ended_since(&self, former: &PreviousHolder, claimed: Stamp) -> Option<Stamp> {
        let holder = if former.released || former.holder.instance == self.me.instance {
            claimed
        } else {
            self.gone_at(&former.holder)?
        };
        let Some(successor) = &former.successor else { return Some(holder) };
        if *successor == self.me.instance {
            return Some(holder);
        }
        let mut latest = holder;
        let processes = self.rows.iter().filter(|(process, _)| process.instance == *successor);
        let mut known = false;
        for (_, row) in processes {
            known = true;
            let answered = row.answered.filter(|sent| *sent >= claimed);
            latest = latest.max(row.peer.gone_at.or(answered)?);
        }
        known.then_some(latest)
    }

    /// Records proof that a process is gone.
    pub fn record_gone(&mut self, process: &Process, now: Stamp) {
        let row = self.row(process, now);
        row.peer.gone_at.get_or_insert(now);
        row.groups = 0;
        self.words.retain(|_, (_, holder)| holder != process);
    }

    /// Returns when a process was proved gone.
    pub fn gone_at(&self, process: &Process) -> Option<Stamp> {
        self.rows.get(process).and_then(|row| row.peer.gone_at)
    }

    /// Returns the processes that were heard from lately.
    pub fn alive(&self, now: Stamp) -> Vec<Process> {
        let alive = self.rows.iter().filter(|(_, row)| row.peer.alive(now));
        alive.map(|(process, _)| process.clone()).collect()
    }

    /// Returns true if a process has announced a planned stop.
    pub fn is_stopping(&self, process: &Process) -> bool {
        self.rows.get(process).is_some_and(|row| row.peer.stopping)
    }

    /// Returns the processes that were heard from lately, those in a planned stop included.
    pub fn reachable(&self, now: Stamp) -> Vec<Process> {
        let heard = |row: &Row| {
            row.peer.gone_at.is_none() && now.since(row.peer.last_heard) <= claim::SUSPICION_TIMEOUT
        };
        let reachable = self.rows.iter().filter(|(_, row)| heard(row));
        reachable.map(|(process, _)| process.clone()).collect()
    }

    /// Returns the listed processes that are neither heard from nor proved gone.
    pub fn silent(&self, now: Stamp) -> Vec<Process> {
        let listed =
            |process: &Process| self.members.get(&process.instance) == Some(&process.incarnation);
        self.rows
            .iter()
            .filter(|(process, row)| {
                listed(process) && row.peer.gone_at.is_none() && !row.peer.alive(now)
            })
            .map(|(process, _)| process.clone())
            .collect()
    }

    /// Returns the names of the listed instances.
    pub fn listed(&self) -> BTreeSet<name::Instance> {
        self.members.keys().cloned().collect()
    }

    /// Returns how many other processes may be running: those that are listed or were heard from, and not proved gone.
    pub fn others_not_gone(&self) -> usize {
        self.rows.values().filter(|row| row.peer.gone_at.is_none()).count()
    }

    /// Returns the highest term known for a group, from the record or from heartbeats.
    pub fn highest_term(&self, group: &name::Group) -> u64 {
        let recorded = self.holdings.get(group).map_or(0, |holding| holding.term);
        recorded.max(self.words.get(group).map_or(0, |(term, _)| *term))
    }

    /// Returns what the record says about a group.
    pub fn holding(&self, group: &name::Group) -> Option<&Holding> {
        self.holdings.get(group)
    }

    /// Returns the process that coordinates a group as far as it is known, with its term.
    pub fn coordinator(&self, group: &name::Group) -> Option<(&Process, u64)> {
        if let Some((term, process)) = self.words.get(group)
            && *term >= self.holdings.get(group).map_or(0, |holding| holding.term)
        {
            return Some((process, *term));
        }
        self.holdings.get(group).map(|holding| (&holding.holder, holding.term))
    }

    /// Returns the groups that wait for proof that their silent coordinator is gone.
    pub fn blocked(&self, now: Stamp) -> Vec<(name::Group, Process)> {
        let blocked = |group: &Group| {
            let (holder, process) = self.holder(&group.name)?;
            let verdict = claim::judge(&holder, 0, group.checked, now, now);
            if verdict == Verdict::Blocked { Some((group.name.clone(), process?)) } else { None }
        };
        self.groups.iter().filter_map(blocked).collect()
    }

    /// Returns the live instance that should get a group in a planned stop, if there is one.
    pub fn receiver(&self, group: &name::Group, now: Stamp) -> Option<name::Instance> {
        self.choose_successor(group, now)
    }

    fn choose_successor(&self, group: &name::Group, now: Stamp) -> Option<name::Instance> {
        let mut others = self.candidates(now);
        others.retain(|candidate| candidate.instance != self.me.instance);
        let first = others
            .iter()
            .find(|candidate| claim::rank(group, &candidate.instance, &others) == Some(0));
        first.map(|candidate| candidate.instance.clone())
    }

    fn candidates(&self, now: Stamp) -> Vec<Candidate> {
        let others = self.rows.iter().filter(|(process, row)| {
            row.peer.alive(now) && self.members.get(&process.instance) == Some(&process.incarnation)
        });
        let mut candidates: Vec<Candidate> = others
            .map(|(process, row)| Candidate {
                instance: process.instance.clone(),
                groups: row.groups,
            })
            .collect();
        if !self.stopping {
            let instance = self.me.instance.clone();
            candidates.push(Candidate { instance, groups: self.mine.len() });
        }
        candidates
    }

    /// Returns the holder of a group, as an input of [`claim::judge`].
    fn holder(&self, group: &name::Group) -> Option<(Holder, Option<Process>)> {
        let Some((process, _)) = self.coordinator(group) else {
            return Some((Holder::Nobody, None));
        };
        if *process == self.me {
            // The record or a peer still lists a term that this process has given up or not used.
            return Some((self.own_holder(group), None));
        }
        if process.instance == self.me.instance {
            // This process listens on the address of its former incarnation.
            return Some((Holder::Replaced, Some(process.clone())));
        }
        let row = self.rows.get(process)?;
        Some((Holder::Peer(row.peer.clone()), Some(process.clone())))
    }

    /// Returns the holder of a group that the record names this process for, although it does not coordinate it.
    ///
    /// If the targets check no tokens, the coordinator before has to be gone first.
    fn own_holder(&self, group: &name::Group) -> Holder {
        let checked = self.groups.iter().any(|row| row.name == *group && row.checked);
        let before = self.previous.get(group).and_then(|former| self.rows.get(&former.holder));
        match before {
            Some(row) if !checked => Holder::Peer(row.peer.clone()),
            Some(_) | None => Holder::Own,
        }
    }

    fn row(&mut self, process: &Process, now: Stamp) -> &mut Row {
        self.rows.entry(process.clone()).or_insert_with(|| Row {
            peer: Peer { last_heard: now, gone_at: None, stopping: false, contacted: false },
            groups: 0,
            answered: None,
        })
    }

    /// Forgets processes that are proved gone and that neither the record nor a group refers to.
    fn forget_gone(&mut self) {
        let members = &self.members;
        let holdings = &self.holdings;
        let namings = &self.namings;
        let previous = &self.previous;
        self.rows.retain(|process, row| {
            row.peer.gone_at.is_none()
                || members.get(&process.instance) == Some(&process.incarnation)
                || holdings.values().any(|holding| holding.holder == *process)
                || namings.values().any(|naming| naming.holder == *process)
                || previous.values().any(|former| former.holder == *process)
        });
    }
}
