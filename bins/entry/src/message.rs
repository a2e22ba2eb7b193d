//! Messages to the control thread.

use std::sync::mpsc::Sender;

use tokio::sync::oneshot;

use caraway_core::name;
use caraway_ownership::roster::Process;
use caraway_relay::replication;
use caraway_relay::report;
use caraway_wire::peer;

use crate::peers;
use crate::storage;
use crate::target;

/// Message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// A control call to a target ended, with or without an answer.
    Target(target::CommandResult),
    /// Another instance sent a heartbeat.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Box<peer::Heartbeat>,
        /// Receives the answer.
        reply: oneshot::Sender<peer::Heartbeat>,
    },
    /// A heartbeat of this instance ended, with or without an answer.
    HeartbeatResult(peers::HeartbeatResult),
    /// An instance answered a request for a ledger history.
    History(peers::History),
    /// The transfer of a full ledger copy to an instance ended.
    Copied {
        /// Name of the group.
        group: name::Group,
        /// Receiver of the copy.
        to: Process,
        /// True if the receiver stored the copy.
        stored: bool,
    },
    /// A former coordinator reported outcomes of requests that it had finished.
    Outcomes {
        /// Name of the group.
        group: name::Group,
        /// Ledger entries with the outcomes.
        entries: Vec<peer::Entry>,
    },
    /// Another instance hands over a group.
    Handover {
        /// Handover request.
        request: Box<peer::HandoverRequest>,
        /// Receives the answer.
        reply: oneshot::Sender<peer::HandoverReply>,
    },
    /// Another instance requested the document.
    DocumentRequest {
        /// Receives the version and the text of the document, if there is one.
        reply: oneshot::Sender<Option<(u64, String)>>,
    },
    /// A document arrived from the store or from a peer.
    Document {
        /// Version of the document.
        version: u64,
        /// Text of the document.
        text: String,
    },
    /// A call to the store ended.
    Store(storage::Response),
    /// The data path requests the replication of a ledger entry.
    Replicate(replication::Job),
    /// The data path observed a failure of a target or an instance.
    Report(report::Event),
    /// The admin interface sent a query.
    Admin {
        /// The query.
        query: Query,
        /// Receives the JSON answer, or none if the subject is unknown.
        reply: oneshot::Sender<Option<serde_json::Value>>,
    },
    /// A signal requested a planned stop.
    Stop {
        /// Name of the signal.
        signal: String,
    },
}

/// Query of the admin interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Query {
    /// Readiness of the instance for callers.
    Ready,
    /// State of the instance.
    Status,
    /// All directory rows and members.
    Directory,
    /// Owner of a key and the ownership changes of its shard.
    Key {
        /// Service of the key.
        service: String,
        /// Decoded key.
        key: String,
    },
}

/// Mailbox of the control thread.
#[derive(Clone, Debug)]
pub struct Mailbox {
    sender: Sender<Message>,
}

impl Mailbox {
    /// Creates a mailbox that sends to a channel.
    pub fn new(sender: Sender<Message>) -> Self {
        Self { sender }
    }

    /// Sends a message. It is dropped if the control thread has ended, which happens only at
    /// process exit.
    pub fn send(&self, message: Message) {
        if self.sender.send(message).is_err() {
            log::debug!("the control thread has ended; dropping a message");
        }
    }
}
