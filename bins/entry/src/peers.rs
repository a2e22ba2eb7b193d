//! Control messages between entry instances: the gRPC service and its client.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use prost::Message as Wire;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_ownership::roster::Process;
use caraway_telemetry::metric;
use caraway_telemetry::metric::Metrics;
use caraway_wire::peer;
use caraway_wire::peer::peer_client::PeerClient;
use caraway_wire::peer::peer_server::Peer;

use crate::message::Mailbox;
use crate::message::Message;
use caraway_entry::ledgers::Copies;

/// Time limit for the answer to a heartbeat; an instance that answers later counts as silent.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for the replication of a ledger entry, for which a caller waits.
const RECORD_TIMEOUT: Duration = Duration::from_millis(250);

/// Time limit for calls that transfer many entries or a document.
const BULK_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for opening a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum size of a message, sufficient for a document and for a full ledger with its stored
/// answers.
const MAX_MESSAGE_BYTES: usize = 96 << 20;

/// Average overhead of gRPC and HTTP/2 per message in bytes: the 5-byte gRPC prefix, a 9-byte frame
/// header each for the headers and the data, and the indexed header fields.
const FRAMING_BYTES: usize = 49;

/// Result of a heartbeat.
#[derive(Debug)]
pub struct HeartbeatResult {
    /// Address to which it was sent.
    pub address: SocketAddr,
    /// Process expected at the address, if known.
    pub expected: Option<Process>,
    /// Time at which it was sent.
    pub sent: Stamp,
    /// Answer to the heartbeat, or the reason why there is none.
    pub result: Result<Box<peer::Heartbeat>, Failure>,
}

/// Reason why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The address refuses connections, so no process listens on it.
    Refused,
    /// Any other failure; the process may still be alive.
    Unknown,
}

/// Ledger history of a group, as held by an instance.
#[derive(Debug)]
pub struct History {
    /// Name of the group.
    pub group: name::Group,
    /// Term under which the history was requested.
    pub term: u64,
    /// Instance that sent the history.
    pub from: name::Instance,
    /// Ledger entries.
    pub entries: Vec<peer::Entry>,
    /// Term of the full copy that the instance holds; zero if it holds none.
    pub copy_term: u64,
}

/// Client of other entry instances. Each call runs in its own task, which sends the result to the
/// control thread.
#[derive(Clone, Debug)]
pub struct Client {
    runtime: tokio::runtime::Handle,
    mailbox: Mailbox,
    metrics: Arc<Metrics>,
    channels: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(runtime: tokio::runtime::Handle, mailbox: Mailbox, metrics: Arc<Metrics>) -> Self {
        Self { runtime, mailbox, metrics, channels: Arc::new(Mutex::new(HashMap::new())) }
    }

    /// Sends a heartbeat; the result arrives as [`Message::HeartbeatResult`].
    pub fn send_heartbeat(
        &self,
        address: SocketAddr,
        expected: Option<Process>,
        heartbeat: peer::Heartbeat,
    ) {
        let peers = self.clone();
        self.runtime.spawn(async move {
            let sent = Clock.now();
            let result = peers.exchange(address, heartbeat).await;
            let result = HeartbeatResult { address, expected, sent, result };
            peers.mailbox.send(Message::HeartbeatResult(result));
        });
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        heartbeat: peer::Heartbeat,
    ) -> Result<Box<peer::Heartbeat>, Failure> {
        let Some(mut client) = self.client_for(address) else { return Err(Failure::Unknown) };
        count_message(&self.metrics, metric::Message::Heartbeat, &heartbeat);
        match timeout(HEARTBEAT_TIMEOUT, client.heartbeat(Request::new(heartbeat))).await {
            Ok(Ok(answer)) => Ok(Box::new(answer.into_inner())),
            Ok(Err(_)) | Err(_) => Err(probe(address).await),
        }
    }

    /// Replicates ledger entries to other instances and reports through `done` whether all of them
    /// stored the entries.
    ///
    /// Without addresses the result is true: the instance is alone in its failure domain.
    pub fn record(
        &self,
        addresses: Vec<SocketAddr>,
        request: peer::RecordRequest,
        done: oneshot::Sender<bool>,
    ) {
        let peers = self.clone();
        self.runtime.spawn(async move {
            let calls = addresses.into_iter().map(|address| {
                let peers = peers.clone();
                let request = request.clone();
                tokio::spawn(async move { peers.record_at(address, request, RECORD_TIMEOUT).await })
            });
            let mut stored = true;
            for call in calls.collect::<Vec<_>>() {
                stored &= call.await.unwrap_or(false);
            }
            // The receiver is closed if the entry is an outcome, for which the data path does not
            // wait.
            let _ = done.send(stored);
        });
    }

    /// Copies the full ledger of a group to another instance; the result arrives as
    /// [`Message::Copied`].
    pub fn copy(&self, to: Process, address: SocketAddr, request: peer::RecordRequest) {
        let peers = self.clone();
        self.runtime.spawn(async move {
            let group = name::Group::new(&request.group);
            let stored = peers.record_at(address, request, BULK_TIMEOUT).await;
            peers.mailbox.send(Message::Copied { group, to, stored });
        });
    }

    async fn record_at(
        &self,
        address: SocketAddr,
        request: peer::RecordRequest,
        time_limit: Duration,
    ) -> bool {
        let Some(mut client) = self.client_for(address) else { return false };
        count_message(&self.metrics, metric::Message::Record, &request);
        match timeout(time_limit, client.record(Request::new(request))).await {
            Ok(Ok(answer)) => answer.into_inner().accepted,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Requests the ledger history of a group from another instance; it arrives as
    /// [`Message::History`].
    pub fn request_history(
        &self,
        from: name::Instance,
        address: SocketAddr,
        group: name::Group,
        term: u64,
    ) {
        let peers = self.clone();
        self.runtime.spawn(async move {
            let Some(mut client) = peers.client_for(address) else { return };
            let request = peer::HistoryRequest { group: group.to_string(), term };
            count_message(&peers.metrics, metric::Message::History, &request);
            let call = timeout(BULK_TIMEOUT, client.history(Request::new(request))).await;
            if let Ok(Ok(answer)) = call {
                let peer::HistoryReply { entries, copy_term } = answer.into_inner();
                let history = History { group, term, from, entries, copy_term };
                peers.mailbox.send(Message::History(history));
            }
        });
    }

    /// Sends another instance the handover of a group.
    pub fn hand_over(&self, address: SocketAddr, request: peer::HandoverRequest) {
        let peers = self.clone();
        self.runtime.spawn(async move {
            let Some(mut client) = peers.client_for(address) else { return };
            count_message(&peers.metrics, metric::Message::Handover, &request);
            let call = timeout(BULK_TIMEOUT, client.handover(Request::new(request))).await;
            if !matches!(call, Ok(Ok(_))) {
                // The receiver learns of the handover from the domain record as well.
                log::debug!("no answer to a handover request");
            }
        });
    }

    /// Requests the document from another instance; it arrives as [`Message::Document`].
    pub fn request_document(&self, address: SocketAddr, version: u64) {
        let peers = self.clone();
        self.runtime.spawn(async move {
            let Some(mut client) = peers.client_for(address) else { return };
            let request = peer::DocumentRequest { version };
            count_message(&peers.metrics, metric::Message::Document, &request);
            let call = timeout(BULK_TIMEOUT, client.document(Request::new(request))).await;
            if let Ok(Ok(answer)) = call {
                let peer::DocumentReply { version, document } = answer.into_inner();
                peers.mailbox.send(Message::Document { version, text: document });
            }
        });
    }

    fn client_for(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&address) {
            return Some(peer_client(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        // Creating a channel requires the context of the runtime.
        let _guard = self.runtime.enter();
        let channel = endpoint.connect_timeout(PROBE_TIMEOUT).tcp_nodelay(true).connect_lazy();
        channels.insert(address, channel.clone());
        Some(peer_client(channel))
    }
}

fn count_message(metrics: &Metrics, kind: metric::Message, message: &impl Wire) {
    let bytes = message.encoded_len().saturating_add(FRAMING_BYTES);
    metrics.record_control_message(kind, u64::try_from(bytes).unwrap_or(u64::MAX));
}

fn peer_client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// Determines whether an address refuses connections.
async fn probe(address: SocketAddr) -> Failure {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Failure::Refused,
        Ok(Ok(_) | Err(_)) | Err(_) => Failure::Unknown,
    }
}

/// The gRPC service of this instance.
#[derive(Debug)]
pub struct Service {
    mailbox: Mailbox,
    copies: Copies,
    metrics: Arc<Metrics>,
}

impl Service {
    /// Creates the service.
    pub fn new(mailbox: Mailbox, copies: Copies, metrics: Arc<Metrics>) -> Self {
        Self { mailbox, copies, metrics }
    }

    /// Counts an answer and wraps it in a response.
    fn respond<T: Wire>(&self, kind: metric::Message, message: T) -> Response<T> {
        count_message(&self.metrics, kind, &message);
        Response::new(message)
    }

    /// Converts the service to a tonic server.
    pub fn into_server(self) -> peer::peer_server::PeerServer<Self> {
        peer::peer_server::PeerServer::new(self)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }
}

fn control_ended<E>(_: E) -> Status {
    Status::unavailable("the control thread has ended")
}

#[tonic::async_trait]
impl Peer for Service {
    async fn heartbeat(
        &self,
        request: Request<peer::Heartbeat>,
    ) -> Result<Response<peer::Heartbeat>, Status> {
        let (reply, answer) = oneshot::channel();
        let heartbeat = Box::new(request.into_inner());
        self.mailbox.send(Message::Heartbeat { heartbeat, reply });
        let answer = answer.await.map_err(control_ended)?;
        Ok(self.respond(metric::Message::Heartbeat, answer))
    }

    async fn record(
        &self,
        request: Request<peer::RecordRequest>,
    ) -> Result<Response<peer::RecordReply>, Status> {
        let peer::RecordRequest { group, term, entries, full } = request.into_inner();
        let group = name::Group::new(&group);
        let outcomes: Vec<peer::Entry> =
            entries.iter().filter(|entry| entry.state() != peer::State::Open).cloned().collect();
        let now = Clock.now();
        let (accepted, known) = if full {
            self.copies.record_full(&group, term, entries, now)
        } else {
            self.copies.record(&group, term, entries, now)
        };
        if term < known && !outcomes.is_empty() {
            self.mailbox.send(Message::Outcomes { group, entries: outcomes });
        }
        let reply = peer::RecordReply { accepted, term: known };
        Ok(self.respond(metric::Message::Record, reply))
    }

    async fn history(
        &self,
        request: Request<peer::HistoryRequest>,
    ) -> Result<Response<peer::HistoryReply>, Status> {
        let peer::HistoryRequest { group, term } = request.into_inner();
        let now = Clock.now();
        let (entries, copy_term) = self.copies.history(&name::Group::new(&group), term, now);
        let reply = peer::HistoryReply { entries, copy_term };
        Ok(self.respond(metric::Message::History, reply))
    }

    async fn handover(
        &self,
        request: Request<peer::HandoverRequest>,
    ) -> Result<Response<peer::HandoverReply>, Status> {
        let (reply, answer) = oneshot::channel();
        let request = Box::new(request.into_inner());
        self.mailbox.send(Message::Handover { request, reply });
        let answer = answer.await.map_err(control_ended)?;
        Ok(self.respond(metric::Message::Handover, answer))
    }

    async fn document(
        &self,
        request: Request<peer::DocumentRequest>,
    ) -> Result<Response<peer::DocumentReply>, Status> {
        let min_version = request.into_inner().version;
        let (reply, answer) = oneshot::channel();
        self.mailbox.send(Message::DocumentRequest { reply });
        let document = answer.await.map_err(control_ended)?;
        match document.filter(|(version, _)| *version >= min_version) {
            Some((version, document)) => {
                let reply = peer::DocumentReply { version, document };
                Ok(self.respond(metric::Message::Document, reply))
            }
            None => Err(Status::not_found("this instance has no document of that version")),
        }
    }
}
