//! The domain record: the members of a failure domain and the terms of its groups.

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;
use caraway_core::name;

/// Format that this version reads and writes.
pub const FORMAT: u32 = 1;

/// The record of one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Domain {
    /// Format of the record.
    pub format: u32,
    /// Identifier of the write that produced the record, set by [`crate::write::Writer`].
    pub write_id: String,
    /// Entry instances of the failure domain.
    pub members: Vec<Member>,
    /// Groups of the failure domain.
    pub groups: Vec<Group>,
}

/// An entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Address for messages between entry instances.
    pub control_address: String,
    /// Address for forwarded requests.
    pub peer_address: String,
    /// Address of the admin interface.
    pub admin_address: String,
}

/// The term of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Name of the group.
    pub group: name::Group,
    /// Recorded term, which is even.
    pub term: u64,
    /// Coordinator of the group, or none if the term was released.
    pub holder: Option<name::Instance>,
    /// Incarnation of the coordinator, 0 if there is none.
    pub holder_incarnation: u64,
    /// Instance that may acquire the reserved term.
    pub successor: Option<name::Instance>,
    /// Why the term was acquired or released.
    pub reason: String,
}

impl Default for Domain {
    /// Returns an empty record, from which the first write starts.
    fn default() -> Self {
        let (write_id, members, groups) = Default::default();
        Self { format: FORMAT, write_id, members, groups }
    }
}

impl Domain {
    /// Reads a record from JSON text. Fails if its format is not [`FORMAT`], because a write would
    /// lose what another format has added.
    pub fn try_from_json(text: &str) -> Result<Self> {
        #[derive(Deserialize)]
        struct Format {
            format: u32,
        }
        let bad = |error: serde_json::Error| Error::Record(error.to_string());
        let Format { format } = serde_json::from_str(text).map_err(bad)?;
        if format != FORMAT {
            return Err(Error::Record(format!("format {format} instead of {FORMAT}")));
        }
        serde_json::from_str(text).map_err(bad)
    }

    /// Returns the record as JSON text.
    pub fn to_json(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|error| Error::Record(error.to_string()))
    }
}
