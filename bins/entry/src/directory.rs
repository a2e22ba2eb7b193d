//! Directory of the known entry instances and the coordinators of the groups.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_ownership::roster::Process;
use caraway_wire::peer;

/// An entry instance and its addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Process of the instance.
    pub process: Process,
    /// Failure domain of the instance.
    pub domain: name::Domain,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Address for forwarded requests.
    pub peer: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
}

impl Member {
    /// Converts a wire message to a member; returns none if an address is invalid.
    pub fn from_wire(message: &peer::Member) -> Option<Self> {
        Some(Self {
            process: Process {
                instance: name::Instance::new(&message.instance),
                incarnation: message.incarnation,
            },
            domain: name::Domain::new(&message.failure_domain),
            control: message.control_address.parse().ok()?,
            peer: message.peer_address.parse().ok()?,
            admin: message.admin_address.parse().ok()?,
        })
    }

    /// Converts the member to a wire message.
    pub fn to_wire(&self) -> peer::Member {
        peer::Member {
            instance: self.process.instance.to_string(),
            incarnation: self.process.incarnation,
            failure_domain: self.domain.to_string(),
            control_address: self.control.to_string(),
            peer_address: self.peer.to_string(),
            admin_address: self.admin.to_string(),
        }
    }
}

/// Directory row: the coordinator of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Term of the coordinator.
    pub term: u64,
    /// Process of the coordinator.
    pub holder: Process,
    /// Address of the coordinator for forwarded requests.
    pub peer: SocketAddr,
    /// Address of the coordinator's admin interface.
    pub admin: SocketAddr,
    /// Utilization of the group's queue in percent.
    pub queue_percent: u32,
    /// Time of the last message that confirmed the row.
    pub confirmed_at: Stamp,
    /// Time of the last change of the coordinator, the term or the peer address.
    pub changed_at: Stamp,
}

/// Directory of members and coordinators.
#[derive(Debug, Default)]
pub struct Directory {
    members: BTreeMap<name::Instance, Member>,
    rows: BTreeMap<name::Group, Row>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates a member. An older incarnation does not replace a newer one.
    pub fn add_member(&mut self, member: Member) {
        let known = self.members.get(&member.process.instance);
        if known.is_none_or(|known| known.process.incarnation <= member.process.incarnation) {
            self.members.insert(member.process.instance.clone(), member);
        }
    }

    /// Removes the member with this process; another incarnation of the instance is kept.
    pub fn remove_member(&mut self, process: &Process) {
        self.members.retain(|_, member| member.process != *process);
    }

    /// Returns the member with this instance name.
    pub fn member(&self, instance: &name::Instance) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members of a failure domain.
    pub fn of_domain(&self, domain: &name::Domain) -> Vec<&Member> {
        self.members.values().filter(|member| member.domain == *domain).collect()
    }

    /// Applies a received row and returns true if the coordinator, the term or the peer address
    /// changed.
    ///
    /// Rows with a lower term or an invalid address are ignored.
    pub fn update_row(&mut self, message: &peer::Row, now: Stamp) -> bool {
        let (Ok(peer), Ok(admin)) = (message.peer_address.parse(), message.admin_address.parse())
        else {
            return false;
        };
        let group = name::Group::new(&message.group);
        let holder = Process {
            instance: name::Instance::new(&message.holder),
            incarnation: message.holder_incarnation,
        };
        let known = self.rows.get(&group);
        if known.is_some_and(|known| known.term > message.term) {
            return false;
        }
        let unchanged = known.is_some_and(|known| {
            known.term == message.term && known.holder == holder && known.peer == peer
        });
        let changed_at = known.filter(|_| unchanged).map_or(now, |known| known.changed_at);
        let row = Row {
            term: message.term,
            holder,
            peer,
            admin,
            queue_percent: message.queue_percent,
            confirmed_at: now,
            changed_at,
        };
        self.rows.insert(group, row);
        !unchanged
    }

    /// Returns the row of a group.
    pub fn row(&self, group: &name::Group) -> Option<&Row> {
        self.rows.get(group)
    }

    /// Returns all rows by group.
    pub fn rows(&self) -> &BTreeMap<name::Group, Row> {
        &self.rows
    }

    /// Converts a row to a wire message.
    pub fn to_wire(group: &name::Group, row: &Row) -> peer::Row {
        peer::Row {
            group: group.to_string(),
            term: row.term,
            holder: row.holder.instance.to_string(),
            holder_incarnation: row.holder.incarnation,
            peer_address: row.peer.to_string(),
            admin_address: row.admin.to_string(),
            queue_percent: row.queue_percent,
            ..peer::Row::default()
        }
    }
}
