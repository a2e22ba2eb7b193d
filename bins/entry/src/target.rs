//! Calls to the control interface of one target.
//!
//! One task a target makes the calls one after the other, so that grants arrive in order. A call
//! that waits behind a stalled one is dropped when a newer one is queued: the group machine repeats
//! what was not acknowledged.

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

use crate::message::Message;
use crate::message::Outbox;

/// Longest time for one call. A target that answers later is treated as silent.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest answer that is read.
const ANSWER_LIMIT: usize = 1 << 20;

/// Calls that may wait for the task of one target.
const QUEUE: usize = 16;

/// What a target is asked to do.
#[derive(Clone, Debug)]
pub enum Call {
    /// Report clock, incarnation and grant.
    Query,
    /// Take or renew a grant.
    Grant(Grant),
}

/// Body of a grant.
#[derive(Clone, Debug, Serialize)]
pub struct Grant {
    /// Group of the grant.
    pub group: name::Group,
    /// Term of the token.
    pub term: u64,
    /// Sequence of the token.
    pub seq: u64,
    /// Process that may accept the grant.
    pub incarnation: u64,
    /// Expiry on the target's clock, in milliseconds.
    pub valid_until_ms: u64,
    /// Inclusive ranges of shards; none keeps the set that the target has.
    pub shards: Option<Vec<(u32, u32)>>,
}

/// A call together with what its answer has to be matched with.
#[derive(Clone, Debug)]
pub struct Order {
    /// Group on whose behalf the call is made.
    pub group: name::Group,
    /// Term under which it is made.
    pub term: u64,
    /// The call.
    pub call: Call,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The address refuses connections: no process listens there.
    Refused,
    /// Anything else; it proves nothing.
    Silent,
}

/// Answer to an order.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Group of the order.
    pub group: name::Group,
    /// Term of the order.
    pub term: u64,
    /// The target.
    pub target: name::Target,
    /// When the call was made.
    pub sent: Stamp,
    /// What came of it.
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

/// What the lines of all targets share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Runtime of the tasks.
    pub runtime: tokio::runtime::Handle,
    /// Counts of messages and bytes.
    pub metrics: Arc<Metrics>,
}

/// Handle to the task of one target.
#[derive(Clone, Debug)]
pub struct Line {
    orders: mpsc::Sender<Order>,
}

impl Line {
    /// Starts the task of a target. It ends when the handle is dropped.
    pub fn start(
        shared: &Shared,
        target: name::Target,
        address: SocketAddr,
        outbox: Outbox,
    ) -> Self {
        let (orders, queue) = mpsc::channel(QUEUE);
        let metrics = shared.metrics.clone();
        let caller = Caller { target, address, outbox, metrics, connection: None };
        shared.runtime.spawn(caller.run(queue));
        Self { orders }
    }

    /// Queues a call; if the queue is full the call is dropped and repeated by the group machine.
    pub fn send(&self, order: Order) {
        if self.orders.try_send(order).is_err() {
            log::debug!("queue of control calls is full; the call is repeated later");
        }
    }
}

struct Caller {
    target: name::Target,
    address: SocketAddr,
    outbox: Outbox,
    metrics: Arc<Metrics>,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    async fn run(mut self, mut queue: mpsc::Receiver<Order>) {
        while let Some(mut order) = queue.recv().await {
            while let Ok(newer) = queue.try_recv() {
                order = newer;
            }
            let sent = Clock.now();
            let result = match timeout(CALL_TIMEOUT, self.call(&order.call)).await {
                Ok(result) => result,
                Err(_) => Err(Failure::Silent),
            };
            if result.is_err() {
                self.connection = None;
            }
            let Order { group, term, .. } = order;
            let target = self.target.clone();
            self.outbox.send(Message::Target(Answer { group, term, target, sent, result }));
        }
    }

    async fn call(&mut self, call: &Call) -> Result<Reply, Failure> {
        if self.connection.is_some() {
            // A kept connection may have been closed meanwhile. Calls can be repeated without harm.
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
                _ => Failure::Silent,
            })?;
        stream.set_nodelay(true).map_err(|_| Failure::Silent)?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Failure::Silent)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("control connection to a target ended: {error}");
            }
        });
        self.connection = Some(sender);
        Ok(())
    }

    async fn exchange(&mut self, call: &Call) -> Result<Reply, Failure> {
        let connection = self.connection.as_mut().ok_or(Failure::Silent)?;
        let (kind, method, path, body, seq) = match call {
            Call::Query => (metric::Message::Query, "GET", "/control/status", Vec::new(), None),
            Call::Grant(grant) => {
                let body = serde_json::to_vec(grant).map_err(|_| Failure::Silent)?;
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
            .map_err(|_| Failure::Silent)?;
        connection.ready().await.map_err(|_| Failure::Silent)?;
        let line = method.len() + path.len() + " HTTP/1.1 ".len();
        self.metrics
            .record_control_message(kind, message_bytes(line, request.headers(), body_bytes));
        let response = connection.send_request(request).await.map_err(|_| Failure::Silent)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT);
        let bytes = body.collect().await.map_err(|_| Failure::Silent)?.to_bytes();
        let line = "HTTP/1.1 200 ".len() + head.status.canonical_reason().map_or(0, str::len);
        self.metrics.record_control_message(kind, message_bytes(line, &head.headers, bytes.len()));
        let status: Status = serde_json::from_slice(&bytes).map_err(|_| Failure::Silent)?;
        Ok(reply(status, seq))
    }
}

/// Returns the length of an HTTP/1.1 message without the end of its first line.
fn message_bytes(line: usize, headers: &HeaderMap, body: usize) -> u64 {
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    let head = line + 2 + fields.sum::<usize>() + 2;
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
