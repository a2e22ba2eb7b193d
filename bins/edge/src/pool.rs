//! Idle connections by address, and whole exchanges on them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::time::timeout;

use caraway_core::time::Clock;

use crate::http::Connection;
use crate::http::Head;

/// Longest time for opening a connection. A target that is alive accepts within a round trip.
pub const OPEN: Duration = Duration::from_millis(400);

/// Idle time after which a connection is not used again where the other side states no limit.
const IDLE: Duration = Duration::from_secs(4);

/// Part of the idle time that the other side states in which a connection is used again. The other
/// side closes it at the end, and a request must not cross that.
const STATED_SHARE: f64 = 0.6;

/// Idle connections that are kept to the store and to other instances.
const PER_ADDRESS: usize = 2;

/// Largest body of an answer of the store or of an instance: a value has a megabyte at most, in
/// base64, and a page some of them.
const ANSWER_BYTES: usize = 16 << 20;

/// Idle connections.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

/// Why an exchange has no answer.
#[derive(Debug)]
pub enum Failure {
    /// No connection was opened; nothing was sent.
    Unsent(io::Error),
    /// The request, or a part of it, was sent.
    Sent(io::Error),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unsent(error) => write!(f, "no connection: {error}"),
            Self::Sent(error) => write!(f, "no answer: {error}"),
        }
    }
}

impl Pool {
    /// Takes an idle connection that has been idle for less than `newest` and is usable.
    pub fn take(&self, address: SocketAddr, newest: Duration) -> Option<Connection> {
        let now = Clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let fresh = now.since(connection.idle_since) < usable(&connection).min(newest);
            if fresh && connection.reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer is complete, if it can be used again.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        self.put_within(address, connection, PER_ADDRESS);
    }

    /// Keeps a connection whose answer is complete, if it can be used again and `most` are kept at most.
    pub fn put_within(&self, address: SocketAddr, mut connection: Connection, most: usize) {
        if most == 0 || !connection.reusable() {
            return;
        }
        connection.rest(Clock.now());
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        while connections.len() >= most {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes the connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        let now = Clock.now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now.since(idle.idle_since) < usable(idle));
            !connections.is_empty()
        });
    }

    /// Sends a request and reads the whole answer. A connection that fails is reset, so that
    /// nothing of the request arrives later.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole answer within `limit`.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: &[u8],
        limit: Duration,
    ) -> Result<(Head, BytesMut), Failure> {
        let connection = self.take(address, IDLE);
        let mut connection = match connection {
            Some(connection) => connection,
            None => Connection::open(address, OPEN.min(limit)).await.map_err(Failure::Unsent)?,
        };
        let answer = whole(&mut connection, request, limit).await.map_err(Failure::Sent)?;
        self.put(address, connection);
        Ok(answer)
    }
}

/// Returns the idle time up to which a connection is used again.
fn usable(connection: &Connection) -> Duration {
    connection.keep.map_or(IDLE, |keep| keep.mul_f64(STATED_SHARE))
}

/// Sends a request on a connection and reads the whole answer. The connection must be dropped if that
/// fails; it is reset then, so that nothing of the request arrives later.
///
/// # Errors
///
/// Fails if there is no whole answer within `limit`.
pub async fn whole(
    connection: &mut Connection,
    request: &[u8],
    limit: Duration,
) -> io::Result<(Head, BytesMut)> {
    connection.reset();
    let exchange = async {
        connection.send(request).await?;
        let head = connection.head().await?;
        let mut body = BytesMut::new();
        while let Some(bytes) = connection.body().await? {
            if body.len() + bytes.len() > ANSWER_BYTES {
                return Err(io::Error::other("the answer is too long"));
            }
            body.extend_from_slice(&bytes);
        }
        Ok((head, body))
    };
    match timeout(limit, exchange).await {
        Ok(result) => result,
        Err(elapsed) => Err(elapsed.into()),
    }
}
