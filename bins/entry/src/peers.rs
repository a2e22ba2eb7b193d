//! Control messages between entry instances: the gRPC service and the calls to others.

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

use crate::message::Message;
use crate::message::Outbox;
use caraway_entry::ledgers::Copies;

/// Longest time for a heartbeat; an instance that answers later counts as silent.
const BEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for a record of a ledger entry, which a caller waits for.
const RECORD_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time for calls that carry many entries or a document.
const BULK_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time to find out whether an address refuses connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Largest message that is accepted: a full ledger with kept answers fits, and so does a document.
const MESSAGE_LIMIT: usize = 96 << 20;

/// Bytes that gRPC and HTTP/2 add to a message: the 5-byte prefix of gRPC, frame headers of 9 bytes for
/// the headers and the data, and the indexed header fields. Measured as the difference between the messages
/// and the bytes on their connections, on average of heartbeats and records.
const FRAMING_BYTES: usize = 49;

/// What came of a heartbeat.
#[derive(Debug)]
pub struct BeatAnswer {
    /// Address that it was sent to.
    pub address: SocketAddr,
    /// Process that was expected there, if one was known.
    pub expected: Option<Process>,
    /// When it was sent.
    pub sent: Stamp,
    /// The answer, or why there is none.
    pub result: Result<Box<peer::Heartbeat>, Silence>,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Silence {
    /// The address refuses connections: no process listens there.
    Refused,
    /// Anything else; it proves nothing.
    Unknown,
}

/// Ledger entries that an instance holds for a group.
#[derive(Debug)]
pub struct History {
    /// The group.
    pub group: name::Group,
    /// Term under which the entries were asked for.
    pub term: u64,
    /// Instance that answered.
    pub from: name::Instance,
    /// Its entries.
    pub entries: Vec<peer::Entry>,
    /// Term of the full copy that it holds, zero if it holds none.
    pub copy_term: u64,
}

/// Calls to other instances. Each call is a task of its own that reports by message.
#[derive(Clone, Debug)]
pub struct Caller {
    runtime: tokio::runtime::Handle,
    outbox: Outbox,
    metrics: Arc<Metrics>,
    channels: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
}

impl Caller {
    /// Makes a caller without connections.
    pub fn new(runtime: tokio::runtime::Handle, outbox: Outbox, metrics: Arc<Metrics>) -> Self {
        Self { runtime, outbox, metrics, channels: Arc::new(Mutex::new(HashMap::new())) }
    }

    /// Sends a heartbeat.
    pub fn beat(&self, address: SocketAddr, expected: Option<Process>, beat: peer::Heartbeat) {
        let caller = self.clone();
        self.runtime.spawn(async move {
            let sent = Clock.now();
            let result = caller.exchange(address, beat).await;
            let answer = BeatAnswer { address, expected, sent, result };
            caller.outbox.send(Message::BeatAnswer(answer));
        });
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        beat: peer::Heartbeat,
    ) -> Result<Box<peer::Heartbeat>, Silence> {
        let Some(mut client) = self.client(address) else { return Err(Silence::Unknown) };
        count(&self.metrics, metric::Message::Heartbeat, &beat);
        match timeout(BEAT_TIMEOUT, client.heartbeat(Request::new(beat))).await {
            Ok(Ok(answer)) => Ok(Box::new(answer.into_inner())),
            Ok(Err(_)) | Err(_) => Err(probe(address).await),
        }
    }

    /// Stores ledger entries at other instances and says whether all of them hold the entries.
    ///
    /// Without addresses the answer is true: the instance is alone in its failure domain.
    pub fn record(
        &self,
        addresses: Vec<SocketAddr>,
        request: peer::RecordRequest,
        done: oneshot::Sender<bool>,
    ) {
        let caller = self.clone();
        self.runtime.spawn(async move {
            let calls = addresses.into_iter().map(|address| {
                let caller = caller.clone();
                let request = request.clone();
                tokio::spawn(
                    async move { caller.record_at(address, request, RECORD_TIMEOUT).await },
                )
            });
            let mut stored = true;
            for call in calls.collect::<Vec<_>>() {
                stored &= call.await.unwrap_or(false);
            }
            // Nobody waits for the answer if the entry is an outcome.
            let _ = done.send(stored);
        });
    }

    /// Stores the whole ledger of a group at another instance.
    pub fn copy(&self, to: Process, address: SocketAddr, request: peer::RecordRequest) {
        let caller = self.clone();
        self.runtime.spawn(async move {
            let group = name::Group::new(&request.group);
            let stored = caller.record_at(address, request, BULK_TIMEOUT).await;
            caller.outbox.send(Message::Copied { group, to, stored });
        });
    }

    async fn record_at(
        &self,
        address: SocketAddr,
        request: peer::RecordRequest,
        limit: Duration,
    ) -> bool {
        let Some(mut client) = self.client(address) else { return false };
        count(&self.metrics, metric::Message::Record, &request);
        match timeout(limit, client.record(Request::new(request))).await {
            Ok(Ok(answer)) => answer.into_inner().accepted,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Asks another instance for its ledger entries of a group.
    pub fn history(
        &self,
        from: name::Instance,
        address: SocketAddr,
        group: name::Group,
        term: u64,
    ) {
        let caller = self.clone();
        self.runtime.spawn(async move {
            let Some(mut client) = caller.client(address) else { return };
            let request = peer::HistoryRequest { group: group.to_string(), term };
            count(&caller.metrics, metric::Message::History, &request);
            let call = timeout(BULK_TIMEOUT, client.history(Request::new(request))).await;
            if let Ok(Ok(answer)) = call {
                let peer::HistoryReply { entries, copy_term } = answer.into_inner();
                let history = History { group, term, from, entries, copy_term };
                caller.outbox.send(Message::History(history));
            }
        });
    }

    /// Tells another instance that a group was handed over to it.
    pub fn hand_over(&self, address: SocketAddr, request: peer::HandoverRequest) {
        let caller = self.clone();
        self.runtime.spawn(async move {
            let Some(mut client) = caller.client(address) else { return };
            count(&caller.metrics, metric::Message::Handover, &request);
            let call = timeout(BULK_TIMEOUT, client.handover(Request::new(request))).await;
            if !matches!(call, Ok(Ok(_))) {
                // The receiver finds the group in the domain record as well.
                log::debug!("the receiver of a handover did not answer");
            }
        });
    }

    /// Asks another instance for the document.
    pub fn document(&self, address: SocketAddr, version: u64) {
        let caller = self.clone();
        self.runtime.spawn(async move {
            let Some(mut client) = caller.client(address) else { return };
            let request = peer::DocumentRequest { version };
            count(&caller.metrics, metric::Message::Document, &request);
            let call = timeout(BULK_TIMEOUT, client.document(Request::new(request))).await;
            if let Ok(Ok(answer)) = call {
                let peer::DocumentReply { version, document } = answer.into_inner();
                caller.outbox.send(Message::Document { version, text: document });
            }
        });
    }

    fn client(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&address) {
            return Some(client(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        // The channel connects within the runtime that it is used from.
        let _guard = self.runtime.enter();
        let channel = endpoint.connect_timeout(PROBE_TIMEOUT).tcp_nodelay(true).connect_lazy();
        channels.insert(address, channel.clone());
        Some(client(channel))
    }
}

fn count(metrics: &Metrics, kind: metric::Message, message: &impl Wire) {
    let bytes = message.encoded_len().saturating_add(FRAMING_BYTES);
    metrics.record_control_message(kind, u64::try_from(bytes).unwrap_or(u64::MAX));
}

fn client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel)
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT)
}

/// Finds out whether an address refuses connections.
async fn probe(address: SocketAddr) -> Silence {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Silence::Refused,
        Ok(Ok(_) | Err(_)) | Err(_) => Silence::Unknown,
    }
}

/// The gRPC service of this instance.
#[derive(Debug)]
pub struct Service {
    outbox: Outbox,
    copies: Copies,
    metrics: Arc<Metrics>,
}

impl Service {
    /// Makes the service.
    pub fn new(outbox: Outbox, copies: Copies, metrics: Arc<Metrics>) -> Self {
        Self { outbox, copies, metrics }
    }

    /// Counts an answer and makes the response of it.
    fn answer<T: Wire>(&self, kind: metric::Message, message: T) -> Response<T> {
        count(&self.metrics, kind, &message);
        Response::new(message)
    }

    /// Returns the tonic server of the service.
    pub fn into_server(self) -> peer::peer_server::PeerServer<Self> {
        peer::peer_server::PeerServer::new(self)
            .max_decoding_message_size(MESSAGE_LIMIT)
            .max_encoding_message_size(MESSAGE_LIMIT)
    }
}

fn ended<E>(_: E) -> Status {
    Status::unavailable("the control thread has ended")
}

#[tonic::async_trait]
impl Peer for Service {
    async fn heartbeat(
        &self,
        request: Request<peer::Heartbeat>,
    ) -> Result<Response<peer::Heartbeat>, Status> {
        let (reply, answer) = oneshot::channel();
        let beat = Box::new(request.into_inner());
        self.outbox.send(Message::Beat { beat, reply });
        let answer = answer.await.map_err(ended)?;
        Ok(self.answer(metric::Message::Heartbeat, answer))
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
            self.outbox.send(Message::Outcomes { group, entries: outcomes });
        }
        let reply = peer::RecordReply { accepted, term: known };
        Ok(self.answer(metric::Message::Record, reply))
    }

    async fn history(
        &self,
        request: Request<peer::HistoryRequest>,
    ) -> Result<Response<peer::HistoryReply>, Status> {
        let peer::HistoryRequest { group, term } = request.into_inner();
        let now = Clock.now();
        let (entries, copy_term) = self.copies.history(&name::Group::new(&group), term, now);
        let reply = peer::HistoryReply { entries, copy_term };
        Ok(self.answer(metric::Message::History, reply))
    }

    async fn handover(
        &self,
        request: Request<peer::HandoverRequest>,
    ) -> Result<Response<peer::HandoverReply>, Status> {
        let (reply, answer) = oneshot::channel();
        let request = Box::new(request.into_inner());
        self.outbox.send(Message::Handover { request, reply });
        let answer = answer.await.map_err(ended)?;
        Ok(self.answer(metric::Message::Handover, answer))
    }

    async fn document(
        &self,
        request: Request<peer::DocumentRequest>,
    ) -> Result<Response<peer::DocumentReply>, Status> {
        let wanted = request.into_inner().version;
        let (reply, answer) = oneshot::channel();
        self.outbox.send(Message::DocumentWanted { reply });
        let held = answer.await.map_err(ended)?;
        match held.filter(|(version, _)| *version >= wanted) {
            Some((version, document)) => {
                let reply = peer::DocumentReply { version, document };
                Ok(self.answer(metric::Message::Document, reply))
            }
            None => Err(Status::not_found("this instance has no document of that version")),
        }
    }
}
