//! The record of a failure domain in the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use caraway_core::name;

/// Format version of the record.
pub const FORMAT: u32 = 1;

/// Record of one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Domain {
    /// Format version.
    pub format: u32,
    /// ID of the write that stored this value.
    pub write_id: String,
    /// Entry instances of the failure domain.
    pub members: Vec<Member>,
    /// Coordinated groups and their coordinators.
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
    /// Incarnation of the instance's process.
    pub incarnation: u64,
    /// Address of the control listener.
    pub control_address: SocketAddr,
    /// Address of the peer listener, for forwarded requests.
    pub peer_address: SocketAddr,
    /// Address of the admin interface.
    pub admin_address: SocketAddr,
}

/// Coordination of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Name of the group.
    pub group: name::Group,
    /// Term of the coordinator, a multiple of the interval between terms of the store.
    pub term: u64,
    /// Coordinator.
    pub holder: name::Instance,
    /// Incarnation of the coordinator's process.
    pub holder_incarnation: u64,
    /// Instance that may use the reserved term.
    pub successor: Option<name::Instance>,
    /// Reserved term of the successor.
    pub reserved: u64,
    /// Reason of the takeover.
    pub reason: String,
}
