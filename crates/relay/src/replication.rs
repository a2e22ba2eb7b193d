//! Replication of ledger entries to other instances.

use tokio::sync::oneshot;

use caraway_call::ledger::Entry;
use caraway_core::name;

/// A ledger entry to be replicated to other instances of the failure domain.
#[derive(Debug)]
pub struct Job {
    /// Group of the request.
    pub group: name::Group,
    /// Term under which this instance coordinates the group.
    pub term: u64,
    /// Ledger entry.
    pub entry: Entry,
    /// Receives true when enough instances hold the entry, false if the term has ended or the entry
    /// cannot be stored. No task waits for the replication of an outcome.
    pub done: oneshot::Sender<bool>,
}
