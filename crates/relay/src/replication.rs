//! Records of non-repeatable requests on their way to other instances.

use tokio::sync::oneshot;

use caraway_call::ledger::Entry;
use caraway_core::name;

/// An entry that other instances of the failure domain have to hold.
#[derive(Debug)]
pub struct Job {
    /// Group of the request.
    pub group: name::Group,
    /// Term under which this instance coordinates the group.
    pub term: u64,
    /// The entry.
    pub entry: Entry,
    /// Told true when enough instances hold the entry, false if the term has ended or the entry
    /// cannot be stored. Nobody waits for it if the entry is an outcome.
    pub done: oneshot::Sender<bool>,
}
