//! Connection pool for targets and other instances.
//!
//! A connection carries one exchange at a time. It returns to the pool only after the exchange has
//! completed and is closed in every other case, so that no late byte of one exchange can be read as
//! part of the next.

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

/// Longest header section of a response in bytes; also the bound of a connection's read buffer.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Time after which an idle connection that is not ready for an exchange is replaced.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time after which an idle connection is closed. It is shorter than the idle timeout of the
    /// other side, so that the other side rarely closes a connection just as it is reused.
    pub idle_timeout: Duration,
    /// Timeout for opening a connection.
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
struct State {
    open: usize,
    idle: Vec<(Stamp, Connection)>,
}

/// Connections to one address.
#[derive(Debug, Default)]
struct Host {
    state: Mutex<State>,
    available: Notify,
}

impl Host {
    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Accounts for one open connection of a host.
#[derive(Debug)]
struct Slot(Arc<Host>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.update(|state| state.open -= 1);
        self.0.available.notify_one();
    }
}

enum Candidate {
    Idle(Connection),
    Slot(Slot),
    Full,
}

/// A connection that is checked out for one exchange. Dropping it closes the connection.
#[derive(Debug)]
pub struct Checkout {
    connection: Connection,
    host: Arc<Host>,
    /// True if the connection has carried an earlier exchange.
    pub used: bool,
}

impl Checkout {
    /// Returns the sender of the connection.
    pub fn sender(&mut self) -> &mut SendRequest<Body> {
        &mut self.connection.sender
    }

    /// Returns the gate of the connection.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.connection.gate
    }
}

/// Why no connection was available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The address refused the connection or did not respond.
    Connect {
        /// True if the address refused, which shows that nothing listens there.
        refused: bool,
    },
    /// All connections that the address may have were in use until the deadline.
    Full,
}

/// Connection pool, with a limit per address.
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

    /// Returns a connection to an address, which may have at most `limit` connections.
    ///
    /// With `fresh`, idle connections are closed and a new one is opened.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened, or if all connections are in use until the
    /// deadline.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        limit: usize,
        deadline: Stamp,
        fresh: bool,
    ) -> Result<Checkout, Failure> {
        let host = self.host(address);
        loop {
            match self.take(&host, limit, fresh) {
                Candidate::Idle(mut connection) => {
                    let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
                    if matches!(ready, Ok(Ok(()))) {
                        return Ok(Checkout { connection, host, used: true });
                    }
                }
                Candidate::Slot(slot) => {
                    let connection = self.open(address, slot, deadline).await?;
                    return Ok(Checkout { connection, host, used: false });
                }
                Candidate::Full => {
                    let remaining = deadline.since(self.clock.now());
                    if timeout(remaining, host.available.notified()).await.is_err() {
                        return Err(Failure::Full);
                    }
                }
            }
        }
    }

    /// Returns a connection to the pool. Its exchange must have completed.
    pub fn release(&self, checkout: Checkout) {
        checkout.connection.gate.close();
        if checkout.connection.sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let Checkout { connection, host, .. } = checkout;
        host.update(|state| state.idle.push((now, connection)));
        host.available.notify_one();
    }

    /// Closes connections that exceeded the idle timeout or were closed by the other side.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let hosts: Vec<_> = self.hosts().values().cloned().collect();
        for host in hosts {
            let closed = host.update(|state| {
                let idle = std::mem::take(&mut state.idle);
                let (keep, closed): (Vec<_>, Vec<_>) =
                    idle.into_iter().partition(|(since, connection)| {
                        now.since(*since) < self.options.idle_timeout
                            && !connection.sender.is_closed()
                    });
                state.idle = keep;
                closed
            });
            drop(closed);
        }
        self.hosts().retain(|_, host| Arc::strong_count(host) > 1 || host.update(|s| s.open > 0));
    }

    /// Returns the number of open connections to an address.
    pub fn open_connections(&self, address: SocketAddr) -> usize {
        self.hosts().get(&address).map_or(0, |host| host.update(|state| state.open))
    }

    fn hosts(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Host>>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn host(&self, address: SocketAddr) -> Arc<Host> {
        self.hosts().entry(address).or_default().clone()
    }

    fn take(&self, host: &Arc<Host>, limit: usize, fresh: bool) -> Candidate {
        let now = self.clock.now();
        let mut closed = Vec::new();
        let candidate = host.update(|state| {
            while let Some((since, connection)) = state.idle.pop() {
                let stale =
                    connection.sender.is_closed() || now.since(since) >= self.options.idle_timeout;
                if stale || fresh {
                    closed.push(connection);
                    continue;
                }
                return Candidate::Idle(connection);
            }
            if state.open >= limit.max(1) + closed.len() {
                return Candidate::Full;
            }
            state.open += 1;
            Candidate::Slot(Slot(host.clone()))
        });
        drop(closed);
        candidate
    }

    async fn open(
        &self,
        address: SocketAddr,
        slot: Slot,
        deadline: Stamp,
    ) -> Result<Connection, Failure> {
        let remaining = deadline.since(self.clock.now()).min(self.options.connect_timeout);
        let stream = match timeout(remaining, TcpStream::connect(address)).await {
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
                log::debug!("connection to {address} closed: {error}");
            }
        });
        Ok(Connection { sender, driver, gate, _slot: slot })
    }
}
