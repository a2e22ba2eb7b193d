//! Connections to targets and to other instances.
//!
//! A connection carries one exchange at a time. It returns to the pool only when the exchange has
//! ended completely, and is closed in every other case, so that no late byte of one exchange can be
//! read as part of the next.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;

use crate::body::Body;
use crate::gate::Gate;
use crate::gate::Stream;

/// Longest header section of an answer in bytes; also bounds the read buffer of a connection.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Time after which a pooled connection that does not get ready for an exchange is replaced.
const READY_LIMIT: Duration = Duration::from_millis(50);

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time after which an idle connection is closed. It is shorter than the idle limit of every
    /// peer, so that a peer rarely closes a connection at the moment when it is used.
    pub idle_timeout: Duration,
    /// Longest time for opening a connection.
    pub connect_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { idle_timeout: Duration::from_secs(10), connect_timeout: Duration::from_millis(500) }
    }
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    driver: JoinHandle<()>,
    gate: Arc<Gate>,
    _slot: Slot,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug, Default)]
struct Shelf {
    open: usize,
    idle: Vec<(Stamp, Connection)>,
}

/// The connections to one address.
#[derive(Debug, Default)]
struct Host {
    shelf: Mutex<Shelf>,
    freed: Notify,
}

impl Host {
    fn with<T>(&self, change: impl FnOnce(&mut Shelf) -> T) -> T {
        change(&mut self.shelf.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts one open connection of a host.
#[derive(Debug)]
struct Slot(Arc<Host>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.with(|shelf| shelf.open -= 1);
        self.0.freed.notify_one();
    }
}

enum Found {
    Idle(Connection),
    Slot(Slot),
    Full,
}

/// A connection for one exchange. Dropping it closes the connection.
#[derive(Debug)]
pub struct Lease {
    connection: Connection,
    host: Arc<Host>,
    /// True if the connection has carried an exchange before.
    pub used: bool,
}

impl Lease {
    /// Returns the sender of the connection.
    pub fn sender(&mut self) -> &mut SendRequest<Body> {
        &mut self.connection.sender
    }

    /// Returns the gate of the connection.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.connection.gate
    }
}

/// Why no connection could be had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The address refuses connections or does not respond.
    Connect {
        /// True if the address refused, which shows that nothing listens there.
        refused: bool,
    },
    /// All connections that the address may have are in use until the deadline.
    Full,
}

/// Connections per address.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    options: Options,
    hosts: Mutex<HashMap<SocketAddr, Arc<Host>>>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(options: Options, clock: Clock) -> Self {
        Self { clock, options, hosts: Mutex::default() }
    }

    /// Returns a connection to an address that has at most `limit` connections.
    ///
    /// With `fresh`, a new connection is opened even if an idle one exists.
    ///
    /// # Errors
    ///
    /// The address cannot be connected to, or its connections are in use until the deadline.
    pub async fn lease(
        &self,
        address: SocketAddr,
        limit: usize,
        deadline: Stamp,
        fresh: bool,
    ) -> Result<Lease, Failure> {
        let host = self.host(address);
        loop {
            match self.find(&host, limit, fresh) {
                Found::Idle(mut connection) => {
                    let ready = timeout(READY_LIMIT, connection.sender.ready()).await;
                    if matches!(ready, Ok(Ok(()))) {
                        return Ok(Lease { connection, host, used: true });
                    }
                }
                Found::Slot(slot) => {
                    let connection = self.open(address, slot, deadline).await?;
                    return Ok(Lease { connection, host, used: false });
                }
                Found::Full => {
                    let left = deadline.since(self.clock.now());
                    if timeout(left, host.freed.notified()).await.is_err() {
                        return Err(Failure::Full);
                    }
                }
            }
        }
    }

    /// Returns a connection whose exchange has ended completely.
    pub fn give_back(&self, lease: Lease) {
        lease.connection.gate.shut();
        if lease.connection.sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let Lease { connection, host, .. } = lease;
        host.with(|shelf| shelf.idle.push((now, connection)));
        host.freed.notify_one();
    }

    /// Closes the connections that are idle for too long or were closed by the other side.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let hosts: Vec<_> = self.hosts().values().cloned().collect();
        for host in hosts {
            let closed = host.with(|shelf| {
                let idle = std::mem::take(&mut shelf.idle);
                let (keep, closed): (Vec<_>, Vec<_>) =
                    idle.into_iter().partition(|(since, connection)| {
                        now.since(*since) < self.options.idle_timeout
                            && !connection.sender.is_closed()
                    });
                shelf.idle = keep;
                closed
            });
            drop(closed);
        }
        self.hosts().retain(|_, host| Arc::strong_count(host) > 1 || host.with(|s| s.open > 0));
    }

    /// Returns the number of open connections to an address.
    pub fn open_connections(&self, address: SocketAddr) -> usize {
        self.hosts().get(&address).map_or(0, |host| host.with(|shelf| shelf.open))
    }

    fn hosts(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Host>>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn host(&self, address: SocketAddr) -> Arc<Host> {
        self.hosts().entry(address).or_default().clone()
    }

    fn find(&self, host: &Arc<Host>, limit: usize, fresh: bool) -> Found {
        let now = self.clock.now();
        let mut closed = Vec::new();
        let found = host.with(|shelf| {
            while let Some((since, connection)) = shelf.idle.pop() {
                let stale =
                    connection.sender.is_closed() || now.since(since) >= self.options.idle_timeout;
                if stale || fresh {
                    closed.push(connection);
                    continue;
                }
                return Found::Idle(connection);
            }
            if shelf.open >= limit.max(1) + closed.len() {
                return Found::Full;
            }
            shelf.open += 1;
            Found::Slot(Slot(host.clone()))
        });
        drop(closed);
        found
    }

    async fn open(
        &self,
        address: SocketAddr,
        slot: Slot,
        deadline: Stamp,
    ) -> Result<Connection, Failure> {
        let left = deadline.since(self.clock.now()).min(self.options.connect_timeout);
        let stream = match timeout(left, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                return Err(Failure::Connect { refused });
            }
            Err(_) => return Err(Failure::Connect { refused: false }),
        };
        let failed = |_| Failure::Connect { refused: false };
        stream.set_nodelay(true).map_err(|_| Failure::Connect { refused: false })?;
        let stream = Stream::new(stream);
        let gate = stream.gate();
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(failed)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Connection { sender, driver, gate, _slot: slot })
    }
}
