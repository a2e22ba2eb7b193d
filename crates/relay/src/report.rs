//! What the data path notices about targets and instances, reported to the control plane.

use std::net::SocketAddr;

use caraway_call::quarantine::Fingerprint;
use caraway_core::name;

/// An observation. The channel is bounded and an observation that does not fit is dropped; every one
/// of them is a hint, which the control plane would find out later by itself.
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
    /// A connection to a target failed while a request was in flight; the target may have crashed.
    Lost {
        /// Group of the target.
        group: name::Group,
        /// The target.
        target: name::Target,
        /// Incarnation of the target as last seen in an answer, or zero.
        incarnation: u64,
        /// Request that was in flight.
        fingerprint: Fingerprint,
    },
    /// A target refused a request.
    Refused {
        /// Group of the target.
        group: name::Group,
        /// The target.
        target: name::Target,
        /// Reason that the target gave.
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
    /// An instance says that it does not coordinate a group.
    Misdirected {
        /// The group.
        group: name::Group,
        /// Term under which it was believed to coordinate the group.
        term: u64,
        /// The instance.
        instance: name::Instance,
    },
}
