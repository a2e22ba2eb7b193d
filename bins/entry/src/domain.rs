//! Changes of the failure domain's record in the store, implemented as pure functions on the
//! record.

use std::collections::BTreeMap;

use caraway_core::name;
use caraway_ownership::claim;
use caraway_ownership::roster::Holding;
use caraway_ownership::roster::PreviousHolder;
use caraway_ownership::roster::Process;
use caraway_store::record;

use crate::directory::Member;

/// A change of the record that an instance requests.
#[derive(Clone, Debug)]
pub enum Change {
    /// Add the own process.
    Register(Member),
    /// Remove a process: the own one at the end of a planned stop, or one that has been gone for a
    /// long time.
    Deregister(Process),
    /// Claim a group.
    Claim {
        /// Name of the group.
        group: name::Group,
        /// Term that the record must have; zero if the group must not be listed.
        expected: u64,
        /// Highest known term; the new term must exceed it.
        highest: u64,
        /// Previous coordinator, which may still act under an earlier term.
        former: Option<PreviousHolder>,
        /// New holder.
        holder: Process,
        /// Successor named by the new holder.
        successor: Option<name::Instance>,
        /// Reason of the claim, for explanations.
        reason: &'static str,
    },
    /// Hand over a group to another instance.
    HandOver {
        /// Name of the group.
        group: name::Group,
        /// Current holder.
        from: Process,
        /// Term of the current holder.
        term: u64,
        /// New holder.
        to: Process,
    },
    /// Name another successor, with a reserved term of its own.
    Nominate {
        /// Name of the group.
        group: name::Group,
        /// Current holder.
        holder: Process,
        /// New successor.
        successor: name::Instance,
    },
}

/// Applies a change; returns false and leaves the record as it is if the record no longer permits
/// it.
pub fn apply(change: &Change, record: &mut record::Domain) -> bool {
    match change {
        Change::Register(member) => register(member, record),
        Change::Deregister(process) => deregister(process, record),
        Change::Claim { group, expected, highest, holder, successor, reason, .. } => {
            let index = record.groups.iter().position(|row| row.group == *group);
            let current = index.and_then(|index| record.groups.get(index));
            if current.map_or(0, |row| row.term) != *expected {
                return false;
            }
            let term = claim::next_term((*expected).max(*highest));
            let row = record::Group {
                group: group.clone(),
                term,
                holder: holder.instance.clone(),
                holder_incarnation: holder.incarnation,
                successor: successor.clone(),
                reserved: claim::reserved_term(term, 0).unwrap_or(0),
                reason: (*reason).to_owned(),
            };
            record.groups.retain(|row| row.group != *group);
            record.groups.push(row);
            true
        }
        Change::HandOver { group, from, term, to } => {
            let Some(row) = find_held(record, group, from) else { return false };
            row.term = claim::next_term(row.term.max(*term));
            row.holder = to.instance.clone();
            row.holder_incarnation = to.incarnation;
            row.successor = None;
            row.reserved = 0;
            row.reason = format!("handed over by {}", from.instance);
            true
        }
        Change::Nominate { group, holder, successor } => nominate(group, holder, successor, record),
    }
}

fn register(member: &Member, record: &mut record::Domain) -> bool {
    let row = record::Member {
        instance: member.process.instance.clone(),
        incarnation: member.process.incarnation,
        control_address: member.control,
        peer_address: member.peer,
        admin_address: member.admin,
    };
    let is_current = |known: &record::Member| {
        known.instance == row.instance && known.incarnation >= row.incarnation
    };
    if record.members.iter().any(is_current) {
        return false;
    }
    record.members.retain(|known| {
        // The process of another instance that had one of the addresses cannot be alive.
        known.instance != row.instance
            && known.control_address != row.control_address
            && known.peer_address != row.peer_address
            && known.admin_address != row.admin_address
    });
    record.members.push(row);
    true
}

fn deregister(process: &Process, record: &mut record::Domain) -> bool {
    let before = record.members.len();
    record.members.retain(|known| {
        known.instance != process.instance || known.incarnation != process.incarnation
    });
    record.members.len() != before
}

fn nominate(
    group: &name::Group,
    holder: &Process,
    successor: &name::Instance,
    record: &mut record::Domain,
) -> bool {
    let Some(row) = find_held(record, group, holder) else { return false };
    if row.successor.as_ref() == Some(successor) {
        return false;
    }
    let last_offset = row.reserved.saturating_sub(row.term);
    let Some(reserved) = claim::reserved_term(row.term, last_offset) else { return false };
    row.successor = Some(successor.clone());
    row.reserved = reserved;
    true
}

fn find_held<'a>(
    record: &'a mut record::Domain,
    group: &name::Group,
    holder: &Process,
) -> Option<&'a mut record::Group> {
    record.groups.iter_mut().find(|row| {
        row.group == *group
            && row.holder == holder.instance
            && row.holder_incarnation == holder.incarnation
    })
}

/// Returns the processes listed in the record.
pub fn processes(record: &record::Domain) -> Vec<Process> {
    let process = |member: &record::Member| Process {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
    };
    record.members.iter().map(process).collect()
}

/// Returns the members listed in the record of a failure domain.
pub fn members(record: &record::Domain, domain: &name::Domain) -> Vec<Member> {
    let member = |row: &record::Member| Member {
        process: Process { instance: row.instance.clone(), incarnation: row.incarnation },
        domain: domain.clone(),
        control: row.control_address,
        peer: row.peer_address,
        admin: row.admin_address,
    };
    record.members.iter().map(member).collect()
}

/// Returns the holdings of the groups listed in the record.
pub fn holdings(record: &record::Domain) -> BTreeMap<name::Group, Holding> {
    let holding = |row: &record::Group| Holding {
        term: row.term,
        holder: Process { instance: row.holder.clone(), incarnation: row.holder_incarnation },
        successor: row.successor.clone(),
        reserved: row.reserved,
    };
    record.groups.iter().map(|row| (row.group.clone(), holding(row))).collect()
}
