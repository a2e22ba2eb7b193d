//! A caller with one connection, which carries one request at a time. The client never retries a request
//! on its own.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::Checker;
use crate::body::Integrity;
use crate::body::Upload;
use crate::response::Head;
use crate::response::classify_body;
use crate::sample::Verdict;
use caraway_core::header;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which callers eject a failed address, as a load balancer with health checks would.
const EJECTION_TIME: Duration = Duration::from_secs(1);

/// The addresses of a run with the end of their ejection, in milliseconds since the start of the run.
#[derive(Debug)]
pub struct Addresses {
    started: Instant,
    addresses: Vec<(SocketAddr, AtomicU64)>,
    /// Number of failed connection attempts.
    pub connect_failures: AtomicU64,
    /// Number of opened connections.
    pub connections: AtomicU64,
}

impl Addresses {
    /// Creates the list for a run that started at `started`.
    pub fn new(started: Instant, addresses: &[SocketAddr]) -> Self {
        Self {
            started,
            addresses: addresses.iter().map(|address| (*address, AtomicU64::new(0))).collect(),
            connect_failures: AtomicU64::new(0),
            connections: AtomicU64::new(0),
        }
    }

    /// Returns the number of addresses.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Returns true if there are no addresses.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn eject(&self, index: usize) {
        let until = self.now_ms() + u64::try_from(EJECTION_TIME.as_millis()).unwrap_or(0);
        if let Some((_, ejected_until)) = self.addresses.get(index) {
            ejected_until.store(until, Ordering::Relaxed);
        }
    }

    /// Returns the addresses in the order in which a caller tries them: round robin from `first`, ejected
    /// addresses last.
    fn candidates(&self, first: usize) -> Vec<(usize, SocketAddr)> {
        let now = self.now_ms();
        let count = self.addresses.len();
        let rotated = (0..count).map(|offset| (first + offset) % count);
        let (available, ejected): (Vec<_>, Vec<_>) = rotated
            .filter_map(|index| Some((index, self.addresses.get(index)?)))
            .partition(|(_, (_, until))| until.load(Ordering::Relaxed) <= now);
        available
            .into_iter()
            .chain(ejected)
            .map(|(index, (address, _))| (index, *address))
            .collect()
    }
}

/// Result of one submission.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Verdict of the caller.
    pub verdict: Verdict,
    /// Index of the address that received the request.
    pub entry: usize,
    /// Target process that sent the response, as `target/incarnation`.
    pub incarnation: Option<String>,
    /// Description of an invalid response.
    pub detail: Option<String>,
}

impl Exchange {
    /// Creates the result of a submission without a response.
    pub fn unanswered(verdict: Verdict, entry: usize) -> Self {
        Self { verdict, entry, incarnation: None, detail: None }
    }
}

/// A caller with at most one open connection.
#[derive(Debug)]
pub struct Client {
    current: usize,
    sender: Option<SendRequest<Upload>>,
}

impl Client {
    /// Creates a caller that prefers the address of the given index.
    pub fn new(current: usize) -> Self {
        Self { current, sender: None }
    }

    /// Closes the connection and makes the next address the preferred one.
    pub fn rotate(&mut self, addresses: &Addresses) {
        self.sender = None;
        self.current = (self.current + 1) % addresses.len().max(1);
    }

    /// Submits one request and reads the complete response within `time_limit`.
    ///
    /// `ids` are the request ids whose responses are accepted, `expected_bytes` is the size of the response
    /// body.
    pub async fn submit(
        &mut self,
        addresses: &Addresses,
        request: Request<Upload>,
        ids: &[String],
        expected_bytes: Option<u64>,
        direct: bool,
        time_limit: Duration,
    ) -> Exchange {
        let Some(mut sender) = self.connect(addresses).await else {
            return Exchange::unanswered(Verdict::Unreachable, self.current);
        };
        let entry = self.current;
        let exchange = exchange(&mut sender, request, ids, expected_bytes, direct);
        let result = timeout(time_limit, exchange).await;
        let mut result = result.unwrap_or_else(|_| Exchange::unanswered(Verdict::TimedOut, entry));
        result.entry = entry;
        match result.verdict {
            Verdict::Answered(_) | Verdict::Refused(_) | Verdict::Unknown(_) => {
                self.sender = Some(sender);
            }
            Verdict::TimedOut | Verdict::Lost | Verdict::Unreachable => {
                addresses.eject(entry);
                self.rotate(addresses);
            }
            Verdict::Broken | Verdict::Truncated | Verdict::Wrong | Verdict::Malformed => {}
        }
        result
    }

    /// Returns the open connection, or connects to the first address that accepts a connection.
    async fn connect(&mut self, addresses: &Addresses) -> Option<SendRequest<Upload>> {
        if let Some(mut sender) = self.sender.take()
            && sender.ready().await.is_ok()
        {
            return Some(sender);
        }
        for (index, address) in addresses.candidates(self.current) {
            if let Ok(sender) = connect(address).await {
                addresses.connections.fetch_add(1, Ordering::Relaxed);
                self.current = index;
                return Some(sender);
            }
            addresses.connect_failures.fetch_add(1, Ordering::Relaxed);
            addresses.eject(index);
        }
        None
    }
}

/// Opens a connection and spawns its driver task.
///
/// # Errors
///
/// The connection was refused or could not be opened before the timeout.
pub async fn connect(address: SocketAddr) -> io::Result<SendRequest<Upload>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn exchange(
    sender: &mut SendRequest<Upload>,
    request: Request<Upload>,
    ids: &[String],
    expected_bytes: Option<u64>,
    direct: bool,
) -> Exchange {
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        // The driver task ended before it accepted the request, so nothing was sent.
        Err(error) if error.is_canceled() => return Exchange::unanswered(Verdict::Unreachable, 0),
        Err(_) => return Exchange::unanswered(Verdict::Lost, 0),
    };
    let head = Head::new(response.status(), response.headers());
    let verdict = head.classify(ids, direct);
    let mut result =
        Exchange { verdict, entry: 0, incarnation: incarnation_of(&response), detail: None };
    let mut checkers: Vec<Checker> =
        ids.iter().map(|id| Checker::new(id, expected_bytes)).collect();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            result.verdict = Verdict::Broken;
            return result;
        };
        if let Some(data) = frame.data_ref() {
            checkers.iter_mut().for_each(|checker| checker.add(data));
        }
    }
    let integrity: Vec<Integrity> = checkers.iter().map(Checker::finish).collect();
    result.verdict = classify_body(verdict, &integrity);
    if matches!(result.verdict, Verdict::Truncated | Verdict::Wrong | Verdict::Malformed) {
        let bytes = checkers.first().map_or(0, Checker::received_bytes);
        let verdict = result.verdict.name();
        result.detail = Some(format!("{verdict}: request {ids:?}, {bytes} bytes, {head:?}"));
    }
    result
}

fn incarnation_of(response: &Response<Incoming>) -> Option<String> {
    let text = |name: &str| response.headers().get(name)?.to_str().ok();
    Some(format!("{}/{}", text(header::TARGET)?, text(header::INCARNATION)?))
}
