//! The roster of a failure domain: its instances, the coordinators of its groups, and the next actions.
//!
//! Each instance keeps one roster. [`Roster::decide`] depends only on recorded observations and the time; the
//! control plane turns each [`Intent`] into a compare-and-swap or a message.

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

/// Minimum time between two handovers that rebalance the groups of an instance.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a process that is gone stays listed, which is the retention of its ledger entries.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Time after its start during which an instance hands over no groups, because others may still be starting.
const HANDOVER_START_DELAY: Duration = Duration::from_secs(1);

/// One process of an entry instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Process {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Incarnation, different for each process start.
    pub incarnation: u64,
}

/// Entry of a group in the domain record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// Highest term claimed in the store.
    pub term: u64,
    /// Holder of that term.
    pub holder: Process,
    /// Named successor, if any.
    pub successor: Option<name::Instance>,
    /// Term reserved for the named successor.
    pub reserved: u64,
}

/// Part of a heartbeat about one group that its sender coordinates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The group.
    pub group: name::Group,
    /// Term under which the sender coordinates it.
    pub term: u64,
    /// Successor that the sender names, if any.
    pub successor: Option<name::Instance>,
    /// Term reserved for the successor.
    pub reserved: u64,
}

/// A group of the failure domain, from the plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Group {
    /// Name of the group.
    pub name: name::Group,
    /// True if its targets check tokens, or if it is pooled and its shards have no owner.
    pub checked: bool,
}

/// Processes that may act for a group under an earlier term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PreviousHolder {
    /// The previous coordinator.
    pub holder: Process,
    /// True if the previous coordinator released the term.
    pub released: bool,
    /// The successor that it named, which may use a reserved term.
    pub successor: Option<name::Instance>,
}

impl PreviousHolder {
    /// Creates a placeholder for an unknown coordinator, whose end is never proved.
    fn unknown() -> Self {
        let holder = Process { instance: name::Instance::new(""), incarnation: 0 };
        Self { holder, released: false, successor: None }
    }
}

/// An action for the control plane.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Intent {
    /// Write this process into the domain record.
    Register,
    /// Claim the term of a group by compare-and-swap.
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
    /// Take over a group with its reserved term, without a call to the store.
    Succeed {
        /// The group.
        group: name::Group,
        /// The reserved term.
        term: u64,
        /// The previous coordinator, which is proved gone.
        former: PreviousHolder,
    },
    /// Hand a group over to another instance.
    HandOver {
        /// The group.
        group: name::Group,
        /// The receiving instance.
        to: name::Instance,
    },
    /// Remove a process from the domain record that has been gone for long enough that nothing depends on it.
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
    /// Time at which the latest heartbeat answered by the process was sent.
    acked_heartbeat: Option<Stamp>,
}

#[derive(Clone, Debug)]
struct Nomination {
    term: u64,
    at: Stamp,
    holder: Process,
}

/// Roster of the failure domain of this instance.
#[derive(Clone, Debug)]
pub struct Roster {
    local: Process,
    started: Stamp,
    stopping: bool,
    store_reachable: bool,
    registered: bool,
    groups: Vec<Group>,
    rows: BTreeMap<Process, Row>,
    members: BTreeMap<name::Instance, u64>,
    holdings: BTreeMap<name::Group, Holding>,
    /// Previous holders of the groups whose holder in the record changed to this process.
    previous: BTreeMap<name::Group, PreviousHolder>,
    announcements: BTreeMap<name::Group, (u64, Process)>,
    nominations: BTreeMap<name::Group, Nomination>,
    vacant_since: BTreeMap<name::Group, Stamp>,
    coordinated: BTreeMap<name::Group, u64>,
    successor_lost_since: BTreeMap<name::Group, Stamp>,
    last_handover: Stamp,
}

impl Roster {
    /// Creates the roster of a process that has just started.
    pub fn new(local: Process, now: Stamp) -> Self {
        Self {
            local,
            started: now,
            stopping: false,
            store_reachable: false,
            registered: false,
            groups: Vec::new(),
            rows: BTreeMap::new(),
            members: BTreeMap::new(),
            holdings: BTreeMap::new(),
            previous: BTreeMap::new(),
            announcements: BTreeMap::new(),
            nominations: BTreeMap::new(),
            vacant_since: BTreeMap::new(),
            coordinated: BTreeMap::new(),
            successor_lost_since: BTreeMap::new(),
            last_handover: now,
        }
    }

    /// Sets the groups of the failure domain.
    pub fn set_groups(&mut self, groups: Vec<Group>) {
        self.groups = groups;
    }

    /// Records whether the latest call to the store succeeded.
    pub fn set_store_reachable(&mut self, reachable: bool) {
        self.store_reachable = reachable;
    }

    /// Restarts the suspicion timeouts of all processes, after this process was suspended.
    pub fn resume(&mut self, now: Stamp) {
        for row in self.rows.values_mut() {
            row.peer.last_heard = now;
        }
        self.vacant_since.clear();
        self.nominations.clear();
    }

    /// Starts a planned stop, in which the instance claims no more groups.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Sets the groups that this instance coordinates, with their terms.
    pub fn set_coordinated(&mut self, coordinated: BTreeMap<name::Group, u64>) {
        self.coordinated = coordinated;
    }

    /// Applies the content of the domain record.
    pub fn observe(
        &mut self,
        members: &[Process],
        holdings: BTreeMap<name::Group, Holding>,
        now: Stamp,
    ) {
        self.members =
            members.iter().map(|process| (process.instance.clone(), process.incarnation)).collect();
        self.registered = members.contains(&self.local);
        for process in members {
            if *process != self.local {
                self.row_or_insert(process, now);
            }
        }
        for holding in holdings.values() {
            if holding.holder != self.local {
                self.row_or_insert(&holding.holder, now);
            }
        }
        for (group, holding) in &holdings {
            let previous =
                self.holdings.get(group).filter(|previous| previous.holder != self.local);
            if let Some(previous) = previous.filter(|_| holding.holder == self.local) {
                let former = PreviousHolder {
                    holder: previous.holder.clone(),
                    released: false,
                    successor: previous.successor.clone(),
                };
                self.previous.insert(group.clone(), former);
            }
        }
        self.holdings = holdings;
        self.prune_gone();
    }

    /// Records a heartbeat of a process and its announcements about its groups.
    pub fn record_heartbeat(
        &mut self,
        process: &Process,
        announcements: &[Announcement],
        stopping: bool,
        now: Stamp,
    ) {
        let row = self.row_or_insert(process, now);
        row.peer.last_heard = now;
        row.peer.contacted = true;
        row.peer.stopping = stopping;
        row.groups = announcements.len();
        let older: Vec<Process> = self
            .rows
            .keys()
            .filter(|other| other.instance == process.instance && *other != process)
            .cloned()
            .collect();
        for other in older {
            // Instances listen on fixed addresses, so a new incarnation proves that the old one is gone.
            self.record_gone(&other, now);
        }
        self.announcements.retain(|_, (_, holder)| holder != process);
        for announcement in announcements {
            let known = self.announcements.get(&announcement.group).map_or(0, |(term, _)| *term);
            if announcement.term >= known {
                self.announcements
                    .insert(announcement.group.clone(), (announcement.term, process.clone()));
            }
            if announcement.successor.as_ref() == Some(&self.local.instance) {
                let nomination =
                    Nomination { term: announcement.reserved, at: now, holder: process.clone() };
                self.nominations.insert(announcement.group.clone(), nomination);
            }
        }
    }

    /// Records that a process answered a heartbeat that was sent at `sent`.
    ///
    /// The process then knows every term announced in the heartbeat.
    pub fn record_reply(&mut self, process: &Process, sent: Stamp, now: Stamp) {
        let row = self.row_or_insert(process, now);
        row.acked_heartbeat = row.acked_heartbeat.max(Some(sent));
    }

    /// Adds a process that may know of this one, because a heartbeat is sent to it.
    pub fn add_process(&mut self, process: &Process, now: Stamp) {
        if *process != self.local {
            self.row_or_insert(process, now);
        }
    }

    /// Returns a time at which no other instance had taken a group of this instance with a higher term.
    ///
    /// Only instances that have exchanged heartbeats with this one may act on its silence. Each of them is gone, or has
    /// answered a heartbeat that was sent at that time or later without reporting a higher term. `None` if one of them
    /// has not answered.
    pub fn confirmed_since(&self, now: Stamp) -> Option<Stamp> {
        let others = self.rows.values().filter(|row| row.peer.gone_at.is_none());
        others
            .map(|row| row.acked_heartbeat)
            .try_fold(now, |least, answered| Some(least.min(answered?)))
    }

    /// Returns the time since which no process can act for a group under an earlier term, if that is proved.
    ///
    /// `claimed` is the time at which this instance claimed the group. The previous coordinator must be gone or have
    /// released the term. The successor that it named must be gone, or have answered a heartbeat sent after the claim.
    pub fn ended_since(&self, former: &PreviousHolder, claimed: Stamp) -> Option<Stamp> {
        let holder = if former.released || former.holder.instance == self.local.instance {
            claimed
        } else {
            self.gone_at(&former.holder)?
        };
        let Some(successor) = &former.successor else { return Some(holder) };
        if *successor == self.local.instance {
            return Some(holder);
        }
        let mut latest = holder;
        let processes = self.rows.iter().filter(|(process, _)| process.instance == *successor);
        let mut known = false;
        for (_, row) in processes {
            known = true;
            let answered = row.acked_heartbeat.filter(|sent| *sent >= claimed);
            latest = latest.max(row.peer.gone_at.or(answered)?);
        }
        known.then_some(latest)
    }

    /// Records proof that a process is gone.
    pub fn record_gone(&mut self, process: &Process, now: Stamp) {
        let row = self.row_or_insert(process, now);
        row.peer.gone_at.get_or_insert(now);
        row.groups = 0;
        self.announcements.retain(|_, (_, holder)| holder != process);
    }

    /// Returns the time at which a process was proved gone.
    pub fn gone_at(&self, process: &Process) -> Option<Stamp> {
        self.rows.get(process).and_then(|row| row.peer.gone_at)
    }

    /// Returns the processes that are considered alive.
    pub fn alive(&self, now: Stamp) -> Vec<Process> {
        let alive = self.rows.iter().filter(|(_, row)| row.peer.alive(now));
        alive.map(|(process, _)| process.clone()).collect()
    }

    /// Returns true if a process has announced a planned stop.
    pub fn is_stopping(&self, process: &Process) -> bool {
        self.rows.get(process).is_some_and(|row| row.peer.stopping)
    }

    /// Returns the processes whose heartbeats are recent, including those in a planned stop.
    pub fn reachable(&self, now: Stamp) -> Vec<Process> {
        let heard = |row: &Row| {
            row.peer.gone_at.is_none() && now.since(row.peer.last_heard) <= claim::SUSPICION_TIMEOUT
        };
        let reachable = self.rows.iter().filter(|(_, row)| heard(row));
        reachable.map(|(process, _)| process.clone()).collect()
    }

    /// Returns the listed processes that are neither alive nor proved gone.
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

    /// Returns the number of other processes that may be running: those known and not proved gone.
    pub fn others_not_gone(&self) -> usize {
        self.rows.values().filter(|row| row.peer.gone_at.is_none()).count()
    }

    /// Returns the highest term known for a group, from the record or from heartbeats.
    pub fn highest_term(&self, group: &name::Group) -> u64 {
        let recorded = self.holdings.get(group).map_or(0, |holding| holding.term);
        recorded.max(self.announcements.get(group).map_or(0, |(term, _)| *term))
    }

    /// Returns the entry of a group in the record.
    pub fn holding(&self, group: &name::Group) -> Option<&Holding> {
        self.holdings.get(group)
    }

    /// Returns the last known coordinator of a group and its term.
    pub fn coordinator(&self, group: &name::Group) -> Option<(&Process, u64)> {
        if let Some((term, process)) = self.announcements.get(group)
            && *term >= self.holdings.get(group).map_or(0, |holding| holding.term)
        {
            return Some((process, *term));
        }
        self.holdings.get(group).map(|holding| (&holding.holder, holding.term))
    }

    /// Returns the groups that wait for proof that their silent coordinator is gone, with that coordinator.
    pub fn blocked(&self, now: Stamp) -> Vec<(name::Group, Process)> {
        let blocked = |group: &Group| {
            let (holder, process) = self.holder(&group.name)?;
            let verdict = claim::judge(&holder, 0, group.checked, now, now);
            if verdict == Verdict::Blocked { Some((group.name.clone(), process?)) } else { None }
        };
        self.groups.iter().filter_map(blocked).collect()
    }

    /// Returns the live instance that should receive a group in a planned stop, if there is one.
    pub fn receiver(&self, group: &name::Group, now: Stamp) -> Option<name::Instance> {
        self.choose_successor(group, now)
    }

    fn choose_successor(&self, group: &name::Group, now: Stamp) -> Option<name::Instance> {
        let mut others = self.candidates(now);
        others.retain(|candidate| candidate.instance != self.local.instance);
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
            let instance = self.local.instance.clone();
            candidates.push(Candidate { instance, groups: self.coordinated.len() });
        }
        candidates
    }

    /// Returns the holder of a group as input of [`claim::judge`], and its process if that is not this one.
    fn holder(&self, group: &name::Group) -> Option<(Holder, Option<Process>)> {
        let Some((process, _)) = self.coordinator(group) else {
            return Some((Holder::Nobody, None));
        };
        if *process == self.local {
            // The record or a peer still lists a term that this process released or never used.
            return Some((self.own_holder(group), None));
        }
        if process.instance == self.local.instance {
            // This process listens on the address of its earlier incarnation, which is therefore gone.
            return Some((Holder::Replaced, Some(process.clone())));
        }
        let row = self.rows.get(process)?;
        Some((Holder::Peer(row.peer.clone()), Some(process.clone())))
    }

    /// Returns the holder of a group for which the record names this process, although it does not coordinate the group.
    ///
    /// If the targets do not check tokens, the previous coordinator must be gone first.
    fn own_holder(&self, group: &name::Group) -> Holder {
        let checked = self.groups.iter().any(|row| row.name == *group && row.checked);
        let previous = self.previous.get(group).and_then(|former| self.rows.get(&former.holder));
        match previous {
            Some(row) if !checked => Holder::Peer(row.peer.clone()),
            Some(_) | None => Holder::Own,
        }
    }

    fn row_or_insert(&mut self, process: &Process, now: Stamp) -> &mut Row {
        self.rows.entry(process.clone()).or_insert_with(|| Row {
            peer: Peer { last_heard: now, gone_at: None, stopping: false, contacted: false },
            groups: 0,
            acked_heartbeat: None,
        })
    }

    /// Removes processes that are proved gone and that neither the record nor a group refers to.
    fn prune_gone(&mut self) {
        let members = &self.members;
        let holdings = &self.holdings;
        let nominations = &self.nominations;
        let previous = &self.previous;
        self.rows.retain(|process, row| {
            row.peer.gone_at.is_none()
                || members.get(&process.instance) == Some(&process.incarnation)
                || holdings.values().any(|holding| holding.holder == *process)
                || nominations.values().any(|nomination| nomination.holder == *process)
                || previous.values().any(|former| former.holder == *process)
        });
    }
}
