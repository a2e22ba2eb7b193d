//! Listeners for callers, readiness checks, other instances and metrics.

pub mod body;

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch::Receiver;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use caraway_adapter::header as field;
use caraway_core::time::Clock;
use caraway_core::time::millis;
use caraway_fleet::reports::Reports;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::forward;
use crate::ingress::body::Body;
use crate::memory::Lease;
use crate::metrics::Metrics;
use crate::peers;
use crate::response;
use crate::state::State;

/// Size limit of a connection's buffer, which has to hold a whole request head. Callers send heads of up to
/// 16 KB.
const BUFFER_BYTES: usize = 24 << 10;

/// Length of the accept queue, in connections.
const BACKLOG: i32 = 512;

/// Largest message from another instance: the owners of several thousand holdings.
const MESSAGE_BYTES: usize = 4 << 20;

/// Paths of messages from other instances. Other paths are answered before a body is read.
const MESSAGE_PATHS: [&str; 4] =
    [peers::REPORT_PATH, peers::OWNERS_PATH, peers::ANNOUNCEMENT_PATH, peers::RETIRED_PATH];

/// Longest time for which a message of another instance arrives. Senders give up earlier.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a connection whose caller stops acknowledging data is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval of checks for timeouts of a connection. The configured timeouts are whole seconds.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Activity of a caller's connection, for its timeouts.
#[derive(Debug)]
struct Activity {
    /// Number of requests in flight.
    in_flight: Cell<u32>,
    /// Time at which bytes last arrived or a response ended.
    last_active: Cell<Instant>,
    /// Time since which the caller has taken no bytes of a response that is waiting for it.
    unread_since: Cell<Option<Instant>>,
    /// Whether the connection is reset when it is closed, which frees what its caller has not read.
    reset: Cell<bool>,
    /// Time at which the first bytes of an incomplete request head arrived.
    head_started: Cell<Option<Instant>>,
}

/// A socket that records the arrival of bytes in its [`Activity`].
struct TrackedIo {
    io: TokioIo<TcpStream>,
    activity: Rc<Activity>,
}

impl Drop for TrackedIo {
    fn drop(&mut self) {
        if self.activity.reset.get() {
            // Fails only if the socket is already closed.
            let _ = SockRef::from(self.io.inner()).set_linger(Some(Duration::ZERO));
        }
    }
}

impl TrackedIo {
    fn record_write(&self, pending: bool) {
        let since = self.activity.unread_since.get();
        self.activity.unread_since.set(pending.then(|| since.unwrap_or_else(Instant::now)));
    }
}

impl Read for TrackedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_read(cx, buffer);
        if result.is_ready() {
            let now = Instant::now();
            self.activity.last_active.set(now);
            if self.activity.in_flight.get() == 0 && self.activity.head_started.get().is_none() {
                self.activity.head_started.set(Some(now));
            }
        }
        result
    }
}

impl Write for TrackedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.record_write(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write_vectored(cx, parts);
        self.record_write(result.is_pending());
        result
    }
}

/// Opens a listener.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Serves callers until `closing` is true, then closes the listener and returns when all connections have
/// closed.
pub async fn callers(state: Rc<State>, listener: TcpListener, closing: Receiver<bool>) {
    let mut connections = JoinSet::new();
    let mut stop = closing.clone();
    loop {
        while connections.try_join_next().is_some() {}
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn_local(serve(state.clone(), stream, closing.clone()));
                }
                Err(error) => {
                    // Most likely out of file descriptors; closing connections frees some.
                    emit(Event::ListenerFailed {
                        address: state.settings.client_address.to_string(),
                        error: error.to_string(),
                    });
                    sleep_until(Instant::now() + ACCEPT_RETRY_DELAY).await;
                }
            },
            // The sender is never dropped before the process exits; an error would also mean shutdown.
            _ = stop.wait_for(|closing| *closing) => break,
        }
    }
    // Later connection attempts are refused or reset, so that callers switch to another instance at
    // once instead of sending a request that this instance has no time to answer.
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(state: Rc<State>, stream: TcpStream, mut closing: Receiver<bool>) {
    if let Err(error) = prepare(&stream) {
        emit(Event::CallerInvalid { address: String::new(), problem: error.to_string() });
        return;
    }
    let activity = Rc::new(Activity {
        in_flight: Cell::new(0),
        last_active: Cell::new(Instant::now()),
        unread_since: Cell::new(None),
        reset: Cell::new(false),
        head_started: Cell::new(None),
    });
    let Ok(caller) = stream.peer_addr().map(|address| address.ip()) else { return };
    let io = TrackedIo { io: TokioIo::new(stream), activity: activity.clone() };
    let (for_requests, for_service) = (state.clone(), activity.clone());
    let service = service_fn(move |request| {
        let (state, activity) = (for_requests.clone(), for_service.clone());
        async move { Ok::<_, Infallible>(handle(&state, &activity, request, caller).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .half_close(false)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let mut closing_gracefully = false;
    loop {
        let wake = Instant::now() + TIMEOUT_CHECK_INTERVAL;
        tokio::select! {
            // An error means that the caller disconnected or sent invalid HTTP; hyper has already
            // responded if it could.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing), if !closing_gracefully => {
                closing_gracefully = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep_until(wake) => {}
        }
        let current = state.active_configuration.borrow();
        let stamp = Clock.now();
        let limits =
            current.as_ref().map(|c| (c.configuration.limits.head_timeout, c.idle_timeout(stamp)));
        drop(current);
        let default = caraway_fleet::configuration::Limits::default();
        let (head_time, idle_time) = limits.unwrap_or((default.head_timeout, default.idle_timeout));
        let now = Instant::now();
        // A caller that reads nothing holds memory and a connection to a target.
        if activity.unread_since.get().is_some_and(|since| now - since > idle_time) {
            activity.reset.set(true);
            return;
        }
        if activity.in_flight.get() > 0 {
            continue;
        }
        if activity.head_started.get().is_some_and(|since| now - since > head_time) {
            return;
        }
        if now - activity.last_active.get() > idle_time && !closing_gracefully {
            closing_gracefully = true;
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Sets the options of an accepted connection: no send delay, and detection of lost peers.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = Duration::from_secs(2);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(keepalive).with_interval(keepalive))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Counts a request as in flight until it is dropped.
struct InFlight<'a> {
    state: &'a State,
    activity: &'a Activity,
}

impl<'a> InFlight<'a> {
    fn begin(state: &'a State, activity: &'a Activity) -> Self {
        activity.head_started.set(None);
        activity.in_flight.set(activity.in_flight.get() + 1);
        state.metrics.in_flight.inc();
        Self { state, activity }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.activity.in_flight.set(self.activity.in_flight.get().saturating_sub(1));
        self.activity.last_active.set(Instant::now());
        self.state.metrics.in_flight.dec();
    }
}

async fn handle(
    state: &Rc<State>,
    activity: &Activity,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Response<response::Body> {
    let received = Instant::now();
    let _in_flight = InFlight::begin(state, activity);
    let mut response = receive_and_forward(state, request, received, caller).await;
    if state.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn receive_and_forward(
    state: &Rc<State>,
    request: Request<Incoming>,
    received: Instant,
    caller: IpAddr,
) -> Response<response::Body> {
    let (parts, incoming) = request.into_parts();
    let id = parts.headers.get(field::ATTEMPT).and_then(|value| value.to_str().ok());
    let Some(id) = id.map(Arc::from) else {
        return response::plain(StatusCode::BAD_REQUEST, "the id of the attempt is missing");
    };
    let configuration = state.configuration();
    let preview = configuration.as_ref().and_then(|c| forward::preview(c, &parts));
    let mut request = forward::Request { parts, body: Body::default(), caller, id, received };
    let (Some(configuration), Some(preview)) = (configuration, preview) else {
        return forward::serve(state, &request).await;
    };
    let limit = usize::try_from(configuration.limits.max_body_bytes).unwrap_or(usize::MAX);
    let lease = state.memory.lease(caller);
    let deadline = received + preview.time_limit;
    let receive = receive(incoming, limit, &lease, deadline);
    let received = tokio::select! {
        result = timeout_at(deadline, receive) => result.unwrap_or(Err(Problem::Late)),
        () = lease.given_up() => Err(Problem::Shortage),
    };
    lease.complete();
    if let Err(problem) = &received {
        record_refused_body(state, &request, problem);
    }
    match received {
        Ok(body) => request.body = body,
        Err(Problem::Shortage) => return forward::refuse_for_memory(state, &request),
        Err(Problem::TooLong) => {
            return response::plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Err(Problem::Late) => {
            let text = "the body did not arrive before the deadline of the request";
            return response::plain(StatusCode::REQUEST_TIMEOUT, text);
        }
        Err(Problem::Broken) => {
            return response::plain(StatusCode::BAD_REQUEST, "the body ended early");
        }
    }
    forward::serve(state, &request).await
}

/// Reason why a body was not received.
enum Problem {
    /// The body is longer than allowed.
    TooLong,
    /// There is no memory for the body.
    Shortage,
    /// The body did not arrive before the deadline of the request.
    Late,
    /// The caller disconnected, or the encoding of the body is invalid.
    Broken,
}

impl Problem {
    fn as_str(&self) -> &'static str {
        match self {
            Self::TooLong => "too long",
            Self::Shortage => "no memory",
            Self::Late => "late",
            Self::Broken => "broken off",
        }
    }
}

fn record_refused_body(state: &State, request: &forward::Request, problem: &Problem) {
    Metrics::count(&state.metrics.bodies_refused, "reason", problem.as_str());
    emit(Event::BodyRefused {
        request_id: request.id.to_string(),
        address: request.caller.to_string(),
        reason: problem.as_str().to_owned(),
        held_ms: millis(request.received.elapsed()),
        memory_used: state.memory.used(),
    });
}

/// Receives a body after its memory is available. The memory of a body whose length is not known is taken as
/// it arrives.
async fn receive(
    mut incoming: Incoming,
    limit: usize,
    lease: &Lease,
    deadline: Instant,
) -> Result<Body, Problem> {
    let declared = incoming.size_hint().exact();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared.is_some_and(|length| length > limit) {
        return Err(Problem::TooLong);
    }
    lease.grow(declared.unwrap_or(0), deadline).await.map_err(|_| Problem::Shortage)?;
    let mut body = Body::default();
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame.map_err(|_| Problem::Broken)?.into_data() else { continue };
        if body.len() + data.len() > limit {
            return Err(Problem::TooLong);
        }
        lease.record_arrival(data.len());
        let mut rest = &*data;
        while !rest.is_empty() {
            if body.room() == 0 {
                let size = body.next_piece(declared.map(|length| length - body.len()));
                if declared.is_none() {
                    lease.grow(size, deadline).await.map_err(|_| Problem::Shortage)?;
                }
                body.add_piece(size);
            }
            let size = body.push(rest);
            rest = rest.get(size..).unwrap_or_default();
        }
    }
    Ok(body)
}

type Reply = Response<Full<Bytes>>;

fn reply(status: StatusCode, text: String) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Serves the platform's readiness checks.
pub async fn readiness(state: Rc<State>, listener: TcpListener) {
    accept(listener, move |request, _| {
        let ready = !state.stopping.get() && state.configuration().is_some();
        let status = if request.uri().path() != field::READY_PATH {
            StatusCode::NOT_FOUND
        } else if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(reply(status, String::new()))
    })
    .await;
}

/// Serves the metrics in the text format.
pub async fn metrics(state: Rc<State>, listener: TcpListener) {
    accept(listener, move |_, _| std::future::ready(reply(StatusCode::OK, state.metrics.render())))
        .await;
}

/// Serves messages from other instances.
pub async fn instances(state: Rc<State>, reports: Rc<RefCell<Reports>>, listener: TcpListener) {
    accept(listener, move |request, sender| {
        let (state, reports) = (state.clone(), reports.clone());
        async move { handle_message(&state, &reports, request, sender).await }
    })
    .await;
}

async fn handle_message(
    state: &Rc<State>,
    reports: &Rc<RefCell<Reports>>,
    request: Request<Incoming>,
    sender: IpAddr,
) -> Reply {
    let path = request.uri().path().to_owned();
    if !MESSAGE_PATHS.contains(&path.as_str()) {
        return reply(StatusCode::NOT_FOUND, String::new());
    }
    let lease = state.memory.lease(sender);
    let deadline = Instant::now() + MESSAGE_TIMEOUT;
    let receive = receive(request.into_body(), MESSAGE_BYTES, &lease, deadline);
    let received = tokio::select! {
        result = timeout_at(deadline, receive) => result.unwrap_or(Err(Problem::Late)),
        () = lease.given_up() => Err(Problem::Shortage),
    };
    lease.complete();
    let body = match received {
        // The message is joined for its parser while its pieces are still held.
        Ok(body) if lease.try_grow(body.len()) => body.joined(),
        Ok(_) | Err(Problem::Shortage) => {
            return reply(StatusCode::SERVICE_UNAVAILABLE, "memory is short".to_owned());
        }
        Err(Problem::Late) => return reply(StatusCode::REQUEST_TIMEOUT, String::new()),
        Err(Problem::TooLong | Problem::Broken) => {
            return reply(StatusCode::BAD_REQUEST, "the message is too long or broken".to_owned());
        }
    };
    let invalid = |error: serde_json::Error| reply(StatusCode::BAD_REQUEST, error.to_string());
    match path.as_str() {
        peers::REPORT_PATH => match serde_json::from_slice(&body) {
            Err(error) => invalid(error),
            Ok(report) => {
                let update = peers::handle_report(state, reports, report);
                match serde_json::to_string(&update) {
                    Ok(text) => reply(StatusCode::OK, text),
                    Err(error) => reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
                }
            }
        },
        peers::OWNERS_PATH => match serde_json::from_slice(&body) {
            Err(error) => invalid(error),
            Ok(change) => {
                state.apply_owner_change(change);
                reply(StatusCode::OK, String::new())
            }
        },
        peers::ANNOUNCEMENT_PATH => {
            state.announcement.notify_one();
            reply(StatusCode::OK, String::new())
        }
        peers::RETIRED_PATH => match serde_json::from_slice::<peers::RetirementNotice>(&body) {
            Err(error) => invalid(error),
            Ok(notice) => {
                state.record_retirement(notice.received(Clock.now()));
                reply(StatusCode::OK, String::new())
            }
        },
        _ => reply(StatusCode::NOT_FOUND, String::new()),
    }
}

/// Accepts connections and passes their requests to `handler`.
async fn accept<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>, IpAddr) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let handler = Rc::new(handler);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, sender)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        if prepare(&stream).is_err() {
            continue;
        }
        let handler = handler.clone();
        connections.spawn_local(async move {
            let service = service_fn(move |request| {
                let response = handler(request, sender.ip());
                async move { Ok::<_, Infallible>(response.await) }
            });
            // The client may disconnect at any time.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
