//! HTTP listeners for callers and other instances.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_document::plan::Limits;

use crate::caller;
use crate::peer;
use crate::router::Router;
use crate::stall;

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Allowance in bytes for the header fields that an instance adds to a forwarded request.
const PEER_FIELD_BYTES: usize = 4096;

/// Shortest idle timeout of a peer listener; three times the idle timeout of a pool.
const MIN_PEER_IDLE: Duration = Duration::from_secs(30);

/// Delay after a failed accept. Errors such as too many open files would otherwise repeat
/// immediately.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a new connection after which the accept queue of a stopping listener is considered
/// empty.
const BACKLOG_IDLE_TIMEOUT: Duration = Duration::from_millis(1);

/// Longest time for emptying the accept queue of a stopping listener.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Time within which the first request must arrive on a connection that was opened before a stop. A
/// caller that has just connected sends its request immediately; closing the connection would lose
/// it.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Kind of client that a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// Callers.
    Caller,
    /// Other instances.
    Peer,
}

/// Settings of a listener.
#[derive(Clone, Debug)]
pub struct Options {
    /// Kind of client.
    pub side: Side,
    /// Whether new connections use the limits of the document in force.
    pub follow_document: bool,
    /// Largest number of connections; further ones wait in the accept queue.
    pub max_connections: usize,
    /// Longest header section in bytes.
    pub max_header_bytes: usize,
    /// Time within which the next header section must arrive on an open connection. It bounds idle
    /// connections and slow headers.
    pub idle_timeout: Duration,
    /// Time after which a connection is closed if the other side does not read.
    pub stall_timeout: Duration,
    /// Becomes true when a stop is announced. From then on every response asks the other side to
    /// close the connection, because a request that crosses the closing of an idle connection gets
    /// no response. If `None`, draining begins with the stop itself.
    pub draining: Option<watch::Receiver<bool>>,
    /// Time after the stop during which connections are still accepted and idle ones are kept. It
    /// can be zero if the stop was announced long enough in advance.
    pub grace_period: Duration,
}

impl Options {
    /// Returns the options for a new connection, with the limits of the document in force.
    ///
    /// A peer listener allows for the fields that instances add. Its idle timeout is longer than
    /// that of the other instances' pools, so that it never closes a connection that is about to be
    /// reused.
    pub fn effective(&self, router: &Router) -> Self {
        let options = self.clone();
        match router.directory.current().filter(|_| self.follow_document) {
            Some(snapshot) => options.with_limits(&snapshot.plan().limits),
            None => options,
        }
    }

    /// Returns the options with the limits of a document.
    pub fn with_limits(self, limits: &Limits) -> Self {
        let (max_header_bytes, idle_timeout) = match self.side {
            Side::Caller => (limits.max_header_bytes, limits.idle_timeout),
            Side::Peer => {
                (limits.max_header_bytes + PEER_FIELD_BYTES, limits.idle_timeout.max(MIN_PEER_IDLE))
            }
        };
        Self { max_header_bytes, idle_timeout, ..self }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            side: Side::Caller,
            follow_document: false,
            max_connections: 4096,
            max_header_bytes: 16 * 1024,
            idle_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(10),
            draining: None,
            grace_period: Duration::from_millis(500),
        }
    }
}

/// Serves connections until `stop` becomes true. After the grace period, closes idle connections
/// and finishes the requests in flight, including detached exchanges.
///
/// Returns when the last connection has ended. Dropping the future closes all connections.
pub async fn serve(
    listener: TcpListener,
    router: Arc<Router>,
    options: Options,
    stop: watch::Receiver<bool>,
) {
    let (close, closing) = watch::channel(false);
    let grace = grace_period_ended(stop.clone(), options.grace_period);
    tokio::pin!(grace);
    let slots = Arc::new(Semaphore::new(options.max_connections.max(1)));
    let mut connections = JoinSet::new();
    let draining = options.draining.clone().unwrap_or_else(|| stop.clone());
    let start = |(stream, slot)| {
        let signals = StopSignals { draining: draining.clone(), closing: closing.clone() };
        serve_connection(stream, slot, router.clone(), options.effective(&router), signals)
    };
    loop {
        tokio::select! {
            () = grace.as_mut() => break,
            Some(_) = connections.join_next() => {}
            accepted = accept(&listener, &slots) => {
                if let Some(accepted) = accepted {
                    connections.spawn(start(accepted));
                }
            }
        }
    }
    // Closing the listener would reset connections that are still in the accept queue.
    let drain_deadline = Instant::now() + BACKLOG_DRAIN_TIMEOUT;
    while Instant::now() < drain_deadline
        && let Ok(Some(accepted)) = timeout(BACKLOG_IDLE_TIMEOUT, accept(&listener, &slots)).await
    {
        connections.spawn(start(accepted));
    }
    drop(listener);
    close.send_replace(true);
    while connections.join_next().await.is_some() {}
    router.detached_exchanges_ended().await;
}

/// Stop signals of a listener.
struct StopSignals {
    /// True once the stop is announced; responses ask the other side to close the connection.
    draining: watch::Receiver<bool>,
    /// True once the grace period has ended; idle connections are closed.
    closing: watch::Receiver<bool>,
}

/// Waits for the end of the grace period after a stop.
async fn grace_period_ended(mut stop: watch::Receiver<bool>, time: Duration) {
    wait_until_set(&mut stop).await;
    sleep(time).await;
}

/// Waits until `stop` becomes true or its sender is dropped.
async fn wait_until_set(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let slot = slots.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, slot)),
        Err(error) => {
            log::debug!("accept failed: {error}");
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    _slot: OwnedSemaphorePermit,
    router: Arc<Router>,
    options: Options,
    signals: StopSignals,
) {
    let StopSignals { draining, mut closing } = signals;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {error}");
    }
    let side = options.side;
    let (first_request, mut arrived) = watch::channel(false);
    let service = service_fn(move |request: Request<Incoming>| {
        let (router, draining) = (router.clone(), draining.clone());
        first_request.send_replace(true);
        async move {
            let mut response = match side {
                Side::Caller => caller::serve(router, request).await,
                Side::Peer => peer::serve(router, request).await,
            };
            if *draining.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let io = TokioIo::new(stall::Stream::new(stream, options.stall_timeout));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle_timeout)
        .max_buf_size(options.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    tokio::pin!(serving);
    let shutdown_due = async {
        wait_until_set(&mut closing).await;
        let _ = timeout(FIRST_REQUEST_TIMEOUT, arrived.wait_for(|arrived| *arrived)).await;
    };
    // A request that has arrived is read before the connection can count as idle.
    let result = tokio::select! {
        biased;
        result = serving.as_mut() => result,
        () = shutdown_due => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection from {side:?} closed: {error}");
    }
}
