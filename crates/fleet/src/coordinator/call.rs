//! Calls of the coordinator to targets, and their outcomes.

use std::sync::Arc;
use std::time::Duration;

use crate::coordinator::limits::Class;
use crate::membership::Incarnation;

/// A call to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Service that the keys belong to.
    pub service: Arc<str>,
    /// Incarnation of the target that is called.
    pub incarnation: Incarnation,
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fencing token of the call.
    pub fence: u64,
    /// Requested operation.
    pub request: Request,
    /// Connection on which this token was first sent, or `None` for a new token. A grant must not
    /// move to another connection: a new incarnation of the target may use the same address and
    /// must not receive a token of the old one.
    pub connection: Option<u64>,
    /// Limit that applies to the call.
    pub class: Class,
}

/// Operation that a call requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// Permits the target to serve the keys for a limited time.
    Grant {
        /// Length of the grant, counted from the arrival of the call.
        duration: Duration,
        /// State that the previous owner handed over.
        handover: Option<Arc<str>>,
    },
    /// Asks the target to finish its requests for the keys and give them up.
    Release,
}

/// Outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The target carried the call out.
    Done {
        /// State for the next owner.
        handover: Option<Arc<str>>,
    },
    /// The target has seen a higher fencing token and refused the call.
    Fenced,
    /// A target of another service answered at the address and stated its own id.
    Replaced,
    /// No response arrived, or it leaves the outcome open. The connection is closed.
    Unknown,
    /// Nothing was sent.
    Unsent,
    /// Nothing was sent because the connection on which the token was first sent is gone.
    ConnectionGone,
}
