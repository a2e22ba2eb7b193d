//! Calls to the control interface of a target.
//!
//! One task per target makes the calls sequentially, so that grants arrive in order. A call that is
//! queued behind a stalled one is superseded by newer calls: the group's state machine repeats what
//! was not acknowledged.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::token::Token;
use caraway_ownership::grant::Reply;
use caraway_ownership::grant::State;
use caraway_ownership::grant::from_ranges;
use caraway_telemetry::metric;
use caraway_telemetry::metric::Metrics;

use crate::message::Mailbox;
use crate::message::Message;

/// Time limit for one call. A target that answers later counts as silent.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Commands that may be queued for one target.
const QUEUE_CAPACITY: usize = 16;

/// Call to a target.
#[derive(Clone, Debug)]
pub enum Call {
    /// Query clock, incarnation and current grant.
    Query,
    /// Grant shards or renew a grant.
    Grant(Grant),
}

/// Body of a grant call.
#[derive(Clone, Debug, Serialize)]
pub struct Grant {
    /// Group of the grant.
    pub group: name::Group,
    /// Term of the token.
    pub term: u64,
    /// Sequence of the token.
    pub seq: u64,
    /// Incarnation of the target that may accept the grant.
    pub incarnation: u64,
    /// Expiry on the target's clock, in milliseconds.
    pub valid_until_ms: u64,
    /// Inclusive ranges of shards; none leaves the set of shards unchanged.
    pub shards: Option<Vec<(u32, u32)>>,
}

/// A call with the group and term that its answer is matched against.
#[derive(Clone, Debug)]
pub struct Command {
    /// Group on whose behalf the call is made.
    pub group: name::Group,
    /// Term under which the call is made.
    pub term: u64,
    /// Call to make.
    pub call: Call,
}

/// Reason why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The address refuses connections, so no process listens on it.
    Refused,
    /// Any other failure; the target may still be alive.
    Unknown,
}

/// Result of a command.
#[derive(Clone, Debug)]
pub struct CommandResult {
    /// Group of the command.
    pub group: name::Group,
    /// Term of the command.
    pub term: u64,
    /// Target of the command.
    pub target: name::Target,
    /// Time at which the call was made.
    pub sent: Stamp,
    /// Reply of the target, or the reason why there is none.
    pub result: Result<Reply, Failure>,
}

#[derive(Debug, Deserialize)]
struct Status {
    #[serde(default)]
    accepted: bool,
    incarnation: u64,
    now_ms: u64,
    term: u64,
    seq: u64,
    valid_until_ms: u64,
    #[serde(default)]
    shards: Vec<(u32, u32)>,
    #[serde(default)]
    state: String,
}

/// Resources shared by the tasks of all targets.
#[derive(Clone, Debug)]
pub struct Context {
    /// Runtime of the tasks.
    pub runtime: tokio::runtime::Handle,
    /// Metrics that count messages and bytes.
    pub metrics: Arc<Metrics>,
}

/// Handle to the task of one target.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
}

impl Handle {
    /// Starts the task of a target. The task ends when the handle is dropped.
    pub fn start(
        context: &Context,
        target: name::Target,
        address: SocketAddr,
        mailbox: Mailbox,
    ) -> Self {
        let (commands, queue) = mpsc::channel(QUEUE_CAPACITY);
        let metrics = context.metrics.clone();
        let worker = Worker { target, address, mailbox, metrics, connection: None };
        context.runtime.spawn(worker.run(queue));
        Self { commands }
    }

    /// Queues a command. If the queue is full, the command is dropped; the group's state machine
    /// repeats it.
    pub fn send(&self, command: Command) {
        if self.commands.try_send(command).is_err() {
            log::debug!("queue of control calls is full; dropping a call, which is repeated later");
        }
    }
}

struct Worker {
    target: name::Target,
    address: SocketAddr,
    mailbox: Mailbox,
    metrics: Arc<Metrics>,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl Worker {
    async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        while let Some(mut command) = queue.recv().await {
            while let Ok(newer) = queue.try_recv() {
                command = newer;
            }
            let sent = Clock.now();
            let result = match timeout(CALL_TIMEOUT, self.call(&command.call)).await {
                Ok(result) => result,
                Err(_) => Err(Failure::Unknown),
            };
            if result.is_err() {
                self.connection = None;
            }
            let Command { group, term, .. } = command;
            let target = self.target.clone();
            self.mailbox.send(Message::Target(CommandResult { group, term, target, sent, result }));
        }
    }

    async fn call(&mut self, call: &Call) -> Result<Reply, Failure> {
        if self.connection.is_some() {
            // The target may have closed an idle connection. Calls are idempotent, so this one is
            // repeated.
            match self.exchange(call).await {
                Ok(reply) => return Ok(reply),
                Err(_) => self.connection = None,
            }
        }
        self.connect().await?;
        self.exchange(call).await
    }

    async fn connect(&mut self) -> Result<(), Failure> {
        let stream =
            TcpStream::connect(self.address).await.map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => Failure::Refused,
                _ => Failure::Unknown,
            })?;
        stream.set_nodelay(true).map_err(|_| Failure::Unknown)?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Failure::Unknown)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("control connection to a target failed: {error}");
            }
        });
        self.connection = Some(sender);
        Ok(())
    }

    async fn exchange(&mut self, call: &Call) -> Result<Reply, Failure> {
        let connection = self.connection.as_mut().ok_or(Failure::Unknown)?;
        let (kind, method, path, body, seq) = match call {
            Call::Query => (metric::Message::Query, "GET", "/control/status", Vec::new(), None),
            Call::Grant(grant) => {
                let body = serde_json::to_vec(grant).map_err(|_| Failure::Unknown)?;
                (metric::Message::Grant, "POST", "/control/grant", body, Some(grant.seq))
            }
        };
        let body_bytes = body.len();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .header("content-length", body_bytes)
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Failure::Unknown)?;
        connection.ready().await.map_err(|_| Failure::Unknown)?;
        let start_line = method.len() + path.len() + " HTTP/1.1 ".len();
        self.metrics
            .record_control_message(kind, message_bytes(start_line, request.headers(), body_bytes));
        let response = connection.send_request(request).await.map_err(|_| Failure::Unknown)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES);
        let bytes = body.collect().await.map_err(|_| Failure::Unknown)?.to_bytes();
        let start_line = "HTTP/1.1 200 ".len() + head.status.canonical_reason().map_or(0, str::len);
        self.metrics
            .record_control_message(kind, message_bytes(start_line, &head.headers, bytes.len()));
        let status: Status = serde_json::from_slice(&bytes).map_err(|_| Failure::Unknown)?;
        Ok(reply(status, seq))
    }
}

/// Returns the size of an HTTP/1.1 message in bytes; `start_line` is the length of its first line
/// without CRLF.
fn message_bytes(start_line: usize, headers: &HeaderMap, body: usize) -> u64 {
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    let head = start_line + 2 + fields.sum::<usize>() + 2;
    u64::try_from(head.saturating_add(body)).unwrap_or(u64::MAX)
}

fn reply(status: Status, seq: Option<u64>) -> Reply {
    Reply {
        accepted: status.accepted && seq.is_some(),
        seq,
        incarnation: status.incarnation,
        clock_ms: status.now_ms,
        highest: Token::new(status.term, status.seq),
        valid_until_ms: status.valid_until_ms,
        shards: from_ranges(&status.shards, &(0..u32::MAX)),
        state: match status.state.as_str() {
            "cold" => State::Cold,
            "draining" => State::Draining,
            _ => State::Live,
        },
    }
}
