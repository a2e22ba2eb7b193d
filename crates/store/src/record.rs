//! The failure domain's record in the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use caraway_core::name;

/// Version of the record's form.
pub const FORMAT: u32 = 1;

/// Record of one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Domain {
    /// Version of the form.
    pub format: u32,
    /// Identity of the write that produced this value.
    pub write_id: String,
    /// Entry instances.
    pub members: Vec<Member>,
    /// Coordinated groups.
    pub groups: Vec<Group>,
}

impl Default for Domain {
    fn default() -> Self {
        Self { format: FORMAT, write_id: String::new(), members: Vec::new(), groups: Vec::new() }
    }
}

/// An entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Address for control messages.
    pub control_address: SocketAddr,
    /// Address for forwarded requests.
    pub peer_address: SocketAddr,
    /// Address of the admin interface.
    pub admin_address: SocketAddr,
}

/// The coordinator of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Name of the group.
    pub group: name::Group,
    /// Term, a multiple of the distance between terms of the store.
    pub term: u64,
    /// Coordinator.
    pub holder: name::Instance,
    /// Incarnation of the coordinator's process.
    pub holder_incarnation: u64,
    /// Instance that may use the reserved term.
    pub successor: Option<name::Instance>,
    /// Term reserved for the successor.
    pub reserved: u64,
    /// Why the group was taken.
    pub reason: String,
}
