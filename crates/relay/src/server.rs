//! Listeners for callers and for other instances.

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

/// Room for the header fields that an instance adds to a forwarded request.
const PEER_FIELD_BYTES: usize = 4096;

/// Shortest idle time of a peer listener; three times the idle time of a pool.
const MIN_PEER_IDLE: Duration = Duration::from_secs(30);

/// Pause after an error of accept, such as too many open files, which would otherwise repeat at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time without a new connection after which the accept queue of a stopping listener is empty.
const BACKLOG_PAUSE: Duration = Duration::from_millis(1);

/// Longest time for which a stopping listener empties its accept queue.
const BACKLOG_LIMIT: Duration = Duration::from_millis(100);

/// Time within which the first request must arrive on a connection that was opened before a stop. A
/// caller that has just connected sends its request at once, so closing would lose it.
const FIRST_REQUEST: Duration = Duration::from_millis(250);

/// Who connects to a listener.
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
    /// Who connects.
    pub side: Side,
    /// True if new connections use the limits of the document in force.
    pub follow_document: bool,
    /// Largest number of connections; further ones wait in the accept queue.
    pub max_connections: usize,
    /// Longest header section in bytes.
    pub max_header_bytes: usize,
    /// Time within which the next header section must arrive on an open connection. It bounds both
    /// idle connections and slowly sent headers.
    pub idle_timeout: Duration,
    /// Time after which a connection is closed whose reader takes nothing.
    pub stall_timeout: Duration,
    /// Becomes true when a stop is announced. From then on every answer asks its reader to close the
    /// connection: a request that is under way when this side closes an idle connection gets no
    /// answer. Without it, the announcement is the stop itself.
    pub draining: Option<watch::Receiver<bool>>,
    /// Time after the stop in which connections are still accepted and no idle one is closed. It can
    /// be zero if the stop was announced long enough before.
    pub grace_period: Duration,
}

impl Options {
    /// Returns the options with the limits of the document in force, for a new connection.
    ///
    /// A peer listener leaves room for the fields that instances add, and keeps idle connections for
    /// longer than the pools of the other instances do, so that it never closes one that is about to
    /// be used.
    pub fn effective(&self, router: &Router) -> Self {
        let options = self.clone();
        match router.directory.current().filter(|_| self.follow_document) {
            Some(snapshot) => options.with_limits(&snapshot.plan().limits),
            None => options,
        }
    }

    /// Returns the options with the limits of a document.
    pub fn with_limits(self, limits: &Limits) -> Self {
        let (header_bytes, idle) = match self.side {
            Side::Caller => (limits.max_header_bytes, limits.idle_timeout),
            Side::Peer => {
                (limits.max_header_bytes + PEER_FIELD_BYTES, limits.idle_timeout.max(MIN_PEER_IDLE))
            }
        };
        Self { max_header_bytes: header_bytes, idle_timeout: idle, ..self }
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

/// Serves connections until `stop` becomes true. Then gives notice, see [`Options::grace_period`], closes the
/// idle connections and finishes the requests in flight, also those whose callers have left.
///
/// It returns when the last connection has ended. Dropping the future closes all connections.
pub async fn serve(
    listener: TcpListener,
    router: Arc<Router>,
    options: Options,
    stop: watch::Receiver<bool>,
) {
    let (close, closing) = watch::channel(false);
    let notice = notice(stop.clone(), options.grace_period);
    tokio::pin!(notice);
    let slots = Arc::new(Semaphore::new(options.max_connections.max(1)));
    let mut connections = JoinSet::new();
    let leaving = options.draining.clone().unwrap_or_else(|| stop.clone());
    let start = |(stream, slot)| {
        let phase = Phase { leaving: leaving.clone(), closing: closing.clone() };
        connection(stream, slot, router.clone(), options.effective(&router), phase)
    };
    loop {
        tokio::select! {
            () = notice.as_mut() => break,
            Some(_) = connections.join_next() => {}
            accepted = accept(&listener, &slots) => {
                if let Some(accepted) = accepted {
                    connections.spawn(start(accepted));
                }
            }
        }
    }
    // Connections that are not accepted yet would be reset with the listener.
    let ends = Instant::now() + BACKLOG_LIMIT;
    while Instant::now() < ends
        && let Ok(Some(accepted)) = timeout(BACKLOG_PAUSE, accept(&listener, &slots)).await
    {
        connections.spawn(start(accepted));
    }
    drop(listener);
    close.send_replace(true);
    while connections.join_next().await.is_some() {}
    router.detached_exchanges_ended().await;
}

/// How far the stop of a listener is.
struct Phase {
    /// True from its announcement; answers ask for the end of their connections.
    leaving: watch::Receiver<bool>,
    /// True from the end of the notice; idle connections are closed.
    closing: watch::Receiver<bool>,
}

/// Waits until the notice of a stop has ended.
async fn notice(mut stop: watch::Receiver<bool>, time: Duration) {
    stopped(&mut stop).await;
    sleep(time).await;
}

/// Waits until `stop` becomes true or nobody can set it any more.
async fn stopped(stop: &mut watch::Receiver<bool>) {
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
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

async fn connection(
    stream: TcpStream,
    _slot: OwnedSemaphorePermit,
    router: Arc<Router>,
    options: Options,
    phase: Phase,
) {
    let Phase { leaving, mut closing } = phase;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY cannot be set: {error}");
    }
    let side = options.side;
    let (first, mut requested) = watch::channel(false);
    let service = service_fn(move |request: Request<Incoming>| {
        let (router, leaving) = (router.clone(), leaving.clone());
        first.send_replace(true);
        async move {
            let mut response = match side {
                Side::Caller => caller::serve(router, request).await,
                Side::Peer => peer::serve(router, request).await,
            };
            if *leaving.borrow() {
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
    let due = async {
        stopped(&mut closing).await;
        let _ = timeout(FIRST_REQUEST, requested.wait_for(|requested| *requested)).await;
    };
    // A request that has arrived is read before the connection can count as idle.
    let result = tokio::select! {
        biased;
        result = serving.as_mut() => result,
        () = due => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection from {side:?} ended: {error}");
    }
}
