//! Changes of the failure domain's record in the store, as pure functions of the record.

use std::collections::BTreeMap;

use caraway_core::name;
use caraway_ownership::claim;
use caraway_ownership::roster::Holding;
use caraway_ownership::roster::PreviousHolder;
use caraway_ownership::roster::Process;
use caraway_store::record;

use crate::directory::Member;

/// A change that an instance wants to make.
#[derive(Clone, Debug)]
pub enum Change {
    /// List the own process.
    Register(Member),
    /// Remove a process: the own one at the end of a planned stop, or one that has been gone for long.
    Leave(Process),
    /// Take a group.
    Claim {
        /// The group.
        group: name::Group,
        /// Term that the record must still have; zero if the group must not be listed.
        expected: u64,
        /// Highest term known, which the new one must exceed.
        highest: u64,
        /// Who may act under an earlier term.
        former: Option<PreviousHolder>,
        /// The new holder.
        holder: Process,
        /// Successor to name.
        successor: Option<name::Instance>,
        /// Why, for explanations.
        reason: &'static str,
    },
    /// Give a group to another instance.
    HandOver {
        /// The group.
        group: name::Group,
        /// The holder that gives it up.
        from: Process,
        /// Term of the holder.
        term: u64,
        /// The receiver.
        to: Process,
    },
    /// Name another successor.
    Rename {
        /// The group.
        group: name::Group,
        /// The holder.
        holder: Process,
        /// The successor.
        successor: name::Instance,
    },
}

/// Applies a change; returns false if the record does not allow it any more.
pub fn apply(change: &Change, record: &mut record::Domain) -> bool {
    match change {
        Change::Register(member) => register(member, record),
        Change::Leave(process) => leave(process, record),
        Change::Claim { group, expected, highest, holder, successor, reason, .. } => {
            let listed = record.groups.iter().position(|row| row.group == *group);
            let current = listed.and_then(|index| record.groups.get(index));
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
            let Some(row) = held(record, group, from) else { return false };
            row.term = claim::next_term(row.term.max(*term));
            row.holder = to.instance.clone();
            row.holder_incarnation = to.incarnation;
            row.successor = None;
            row.reserved = 0;
            row.reason = format!("handed over by {}", from.instance);
            true
        }
        Change::Rename { group, holder, successor } => rename(group, holder, successor, record),
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
    let newer = |known: &record::Member| {
        known.instance == row.instance && known.incarnation >= row.incarnation
    };
    if record.members.iter().any(newer) {
        return false;
    }
    record.members.retain(|known| {
        // Another instance at one of our addresses cannot be alive.
        known.instance != row.instance && known.control_address != row.control_address
    });
    record.members.push(row);
    true
}

fn leave(process: &Process, record: &mut record::Domain) -> bool {
    let before = record.members.len();
    record.members.retain(|known| {
        known.instance != process.instance || known.incarnation != process.incarnation
    });
    record.members.len() != before
}

fn rename(
    group: &name::Group,
    holder: &Process,
    successor: &name::Instance,
    record: &mut record::Domain,
) -> bool {
    let Some(row) = held(record, group, holder) else { return false };
    if row.successor.as_ref() == Some(successor) {
        return false;
    }
    let used = row.reserved.saturating_sub(row.term);
    let Some(reserved) = claim::reserved_term(row.term, used) else { return false };
    row.successor = Some(successor.clone());
    row.reserved = reserved;
    true
}

fn held<'a>(
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

/// Returns the listed processes.
pub fn processes(record: &record::Domain) -> Vec<Process> {
    let process = |member: &record::Member| Process {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
    };
    record.members.iter().map(process).collect()
}

/// Returns the members with their addresses.
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

/// Returns what the record says about the groups.
pub fn holdings(record: &record::Domain) -> BTreeMap<name::Group, Holding> {
    let holding = |row: &record::Group| Holding {
        term: row.term,
        holder: Process { instance: row.holder.clone(), incarnation: row.holder_incarnation },
        successor: row.successor.clone(),
        reserved: row.reserved,
    };
    record.groups.iter().map(|row| (row.group.clone(), holding(row))).collect()
}
