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

/// Something that the control thread has to handle.
#[derive(Debug)]
pub enum Message {
    /// A target answered a control call, or did not.
    Target(target::Answer),
    /// Another instance sent a heartbeat; the answer goes back to it.
    Beat {
        /// The heartbeat.
        beat: Box<peer::Heartbeat>,
        /// Takes the answer.
        reply: oneshot::Sender<peer::Heartbeat>,
    },
    /// A heartbeat that this instance sent was answered, or not.
    BeatAnswer(peers::BeatAnswer),
    /// An instance answered a request for ledger entries.
    History(peers::History),
    /// A full set of ledger entries was stored at an instance, or not.
    Copied {
        /// The group.
        group: name::Group,
        /// The instance.
        to: Process,
        /// True if it holds them now.
        stored: bool,
    },
    /// A former coordinator tells the outcomes of requests that it finished.
    Outcomes {
        /// The group.
        group: name::Group,
        /// The outcomes.
        entries: Vec<peer::Entry>,
    },
    /// Another instance hands a group over.
    Handover {
        /// The request.
        request: Box<peer::HandoverRequest>,
        /// Takes the answer.
        reply: oneshot::Sender<peer::HandoverReply>,
    },
    /// Another instance asks for the document.
    DocumentWanted {
        /// Takes the document and its version, if there is one.
        reply: oneshot::Sender<Option<(u64, String)>>,
    },
    /// A document arrived from the store or from a peer.
    Document {
        /// Its version.
        version: u64,
        /// Its text.
        text: String,
    },
    /// A call to the store ended.
    Store(storage::Done),
    /// The data path wants a ledger entry to be recorded elsewhere.
    Replicate(replication::Job),
    /// The data path noticed something.
    Report(report::Event),
    /// The admin interface wants a JSON answer.
    Admin {
        /// What it asks.
        question: Question,
        /// Takes the answer; none if the thing is not known.
        reply: oneshot::Sender<Option<serde_json::Value>>,
    },
    /// A planned stop begins.
    Stop {
        /// Name of the signal.
        signal: String,
    },
}

/// A question of the admin interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Question {
    /// Whether the instance is ready for callers.
    Ready,
    /// State of the instance.
    Status,
    /// All known directory rows.
    Directory,
    /// Owner of a key and how it came to own it.
    Key {
        /// Service of the key.
        service: String,
        /// The key.
        key: String,
    },
}

/// Sender of messages to the control thread.
#[derive(Clone, Debug)]
pub struct Outbox {
    sender: Sender<Message>,
}

impl Outbox {
    /// Makes an outbox.
    pub fn new(sender: Sender<Message>) -> Self {
        Self { sender }
    }

    /// Sends a message. It is lost if the control thread has ended, which happens only at process exit.
    pub fn send(&self, message: Message) {
        if self.sender.send(message).is_err() {
            log::debug!("the control thread has ended; a message is dropped");
        }
    }
}
