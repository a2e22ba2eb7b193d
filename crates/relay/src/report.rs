//! Observations about targets and instances that the data path reports to the control plane.

use std::net::SocketAddr;

use caraway_call::quarantine::Fingerprint;
use caraway_core::name;

/// An observation. The channel is bounded and drops observations that do not fit: each is only a
/// hint that speeds up detection by the control plane.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A connection to a target could not be opened.
    ConnectFailed {
        /// Group of the target.
        group: name::Group,
        /// The target.
        target: name::Target,
        /// True if the address refused the connection.
        refused: bool,
    },
    /// A connection to a target failed with a request in flight; the target may have crashed.
    Lost {
        /// Group of the target.
        group: name::Group,
        /// The target.
        target: name::Target,
        /// Incarnation of the target in its latest response, or zero if unknown.
        incarnation: u64,
        /// Fingerprint of the request in flight.
        fingerprint: Fingerprint,
    },
    /// A target refused a request.
    Refused {
        /// Group of the target.
        group: name::Group,
        /// The target.
        target: name::Target,
        /// Reason in the response of the target.
        reason: String,
    },
    /// A connection to the peer listener of another instance could not be opened.
    PeerUnreachable {
        /// The instance.
        instance: name::Instance,
        /// Address of its peer listener.
        address: SocketAddr,
        /// True if the address refused the connection.
        refused: bool,
    },
    /// An instance refused a request because it does not coordinate the group.
    Misdirected {
        /// The group.
        group: name::Group,
        /// Term under which the instance was expected to coordinate the group.
        term: u64,
        /// The instance.
        instance: name::Instance,
    },
}
