//! Connection pool by address, and complete exchanges on pooled connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;

use crate::http::Connection;
use crate::http::Head;

/// Timeout for opening a connection. A live target accepts within one round trip.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is not reused if the peer announces no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the idle timeout announced by the peer in which a connection is reused. The margin
/// prevents a request from racing with the peer's close at the timeout.
const ANNOUNCED_TIMEOUT_SHARE: f64 = 0.6;

/// Maximum number of idle connections to the store and to each other instance.
const MAX_IDLE_PER_ADDRESS: usize = 2;

/// Size limit of the head of a response from the store or another instance.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Size limit of the body of a message of another instance, which contains at most the registry of
/// all targets and all owners of keys.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// What happens to the body of a response.
#[derive(Clone, Copy, Debug)]
pub enum Content {
    /// It is kept. The exchange fails if it has more than this many bytes.
    Keep(usize),
    /// It is not used and not kept. The exchange fails if it has more than this many bytes.
    Skip(usize),
}

/// Bounds of the response to one call. The exchange fails if the response exceeds one of them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Size limit of the head.
    pub head_bytes: usize,
    /// What happens to the body, with its size limit.
    pub content: Content,
    /// Time until the head is complete, and longest pause between two parts of the body.
    pub time: Duration,
    /// Time in addition to `time` for a body that keeps arriving.
    pub extension: Duration,
}

impl Bounds {
    /// Returns the bounds of a message to another instance.
    pub const fn message(time: Duration) -> Self {
        let content = Content::Keep(MAX_MESSAGE_BYTES);
        Self { head_bytes: MAX_HEAD_BYTES, content, time, extension: Duration::ZERO }
    }

    /// Returns the bounds of a call to the store whose response has a body of up to `body_bytes`.
    pub const fn store(time: Duration, extension: Duration, body_bytes: usize) -> Self {
        let content = Content::Keep(body_bytes);
        Self { head_bytes: MAX_HEAD_BYTES, content, time, extension }
    }
}

/// Pool of idle connections.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

/// Reason why an exchange has no response.
#[derive(Debug)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    Unsent(io::Error),
    /// The request or a part of it was sent.
    Sent(io::Error),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unsent(error) => write!(f, "no connection: {error}"),
            Self::Sent(error) => write!(f, "no response: {error}"),
        }
    }
}

impl Pool {
    /// Takes a reusable connection that has been idle for less than `max_idle`, for a request with
    /// the given id. A connection on which the peer has refused a request with this id, or has just
    /// responded to one, is closed: a late copy would be taken for the next response.
    pub fn take(&self, address: SocketAddr, max_idle: Duration, id: &str) -> Option<Connection> {
        let now = Clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let fresh =
                now.since(connection.idle_since) < max_reuse_idle(&connection).min(max_idle);
            if fresh && !connection.has_answered(id) && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool if it is reusable.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        self.put_within(address, connection, MAX_IDLE_PER_ADDRESS);
    }

    /// Returns a connection to the pool if it is reusable. The oldest connections to the address
    /// are closed so that at most `max_connections` are idle.
    pub fn put_within(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        max_connections: usize,
    ) {
        if max_connections == 0 || !connection.is_reusable() {
            return;
        }
        connection.set_idle(Clock.now());
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        while connections.len() >= max_connections {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Removes the connections to an address that are idle since `since` or later and were closed by
    /// the peer; returns whether there were any.
    pub fn remove_closed(&self, address: SocketAddr, since: Stamp) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&address) else { return false };
        let count = connections.len();
        connections.retain(|idle| idle.idle_since < since || !idle.is_closed_by_peer());
        connections.len() < count
    }

    /// Closes the idle connections to an address.
    pub fn remove(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long to be reused.
    pub fn expire(&self) {
        let now = Clock.now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now.since(idle.idle_since) < max_reuse_idle(idle));
            !connections.is_empty()
        });
    }

    /// Sends a request to the store or another instance and reads the complete response. A
    /// connection that fails is reset, so that no part of the request is delivered later.
    ///
    /// The response is believed because it is the next one on its connection. This is right only for
    /// peers that send one response to each request, which targets in trouble do not.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete response within the bounds.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: &[u8],
        bounds: &Bounds,
    ) -> Result<(Head, BytesMut), Failure> {
        let connection = self.take(address, DEFAULT_IDLE_TIMEOUT, "");
        let mut connection = match connection {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT.min(bounds.time))
                .await
                .map_err(Failure::Unsent)?,
        };
        let response = exchange_on(&mut connection, request, bounds).await;
        let response = response.map_err(Failure::Sent)?;
        self.put(address, connection);
        Ok(response)
    }
}

/// Returns the idle time up to which a connection may be reused.
fn max_reuse_idle(connection: &Connection) -> Duration {
    connection
        .keep_alive
        .map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.mul_f64(ANNOUNCED_TIMEOUT_SHARE))
}

/// Sends a request on a connection and reads the complete response. After an error the connection
/// must be dropped, which resets it so that no part of the request is delivered later.
///
/// # Errors
///
/// Fails if there is no complete response within the bounds.
pub async fn exchange_on(
    connection: &mut Connection,
    request: &[u8],
    bounds: &Bounds,
) -> io::Result<(Head, BytesMut)> {
    connection.reset_on_close();
    let started = Instant::now();
    let head = timeout(bounds.time, async {
        connection.send(request).await?;
        connection.read_head_within(bounds.head_bytes, || true).await
    });
    let head = head.await??;
    let end = started + bounds.time + bounds.extension;
    let (limit, kept) = match bounds.content {
        Content::Keep(limit) => (limit, true),
        Content::Skip(limit) => (limit, false),
    };
    let mut body = BytesMut::new();
    let mut length = 0_usize;
    loop {
        let until = end.min(Instant::now() + bounds.time);
        let Some(bytes) = timeout_at(until, connection.read_body()).await?? else {
            return Ok((head, body));
        };
        length = length.saturating_add(bytes.len());
        if length > limit {
            return Err(io::Error::other("the response is too long"));
        }
        if kept {
            body.extend_from_slice(&bytes);
        }
    }
}
