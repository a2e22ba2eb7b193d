//! Listeners for callers, readiness checks, other instances and metrics.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
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
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
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

use caraway_adapter::header as field;
use caraway_call::quarantine::Caller;
use caraway_core::time::Clock;
use caraway_fleet::reports::Reports;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::forward;
use crate::peers;
use crate::response;
use crate::response::Body;
use crate::state::State;

/// Size limit of a connection's buffer, which has to hold a whole request head. Callers send heads of up to
/// 16 KB.
const BUFFER_BYTES: usize = 24 << 10;

/// Length of the accept queue, in connections.
const BACKLOG: i32 = 512;

/// Largest message from another instance: the owners of several thousand holdings.
const MESSAGE_BYTES: usize = 4 << 20;

/// Time after which a connection whose caller stops acknowledging data is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval of checks for timeouts of a connection. The configured timeouts are whole seconds.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Activity of a caller's connection, for its timeouts.
#[derive(Debug)]
struct Activity {
    /// The caller, as the quarantine knows it.
    caller: Caller,
    /// Number of requests in flight.
    in_flight: Cell<u32>,
    /// Time at which bytes last arrived or a response ended.
    last_active: Cell<Instant>,
    /// Time at which the first bytes of an incomplete request head arrived.
    head_started: Cell<Option<Instant>>,
}

/// A socket that records the arrival of bytes in its [`Activity`].
struct TrackedIo {
    io: TokioIo<TcpStream>,
    activity: Rc<Activity>,
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
        Pin::new(&mut self.io).poll_write(cx, bytes)
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
        Pin::new(&mut self.io).poll_write_vectored(cx, parts)
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
    let peer = stream.peer_addr().ok().map(|address| address.ip());
    let activity = Rc::new(Activity {
        caller: peer.into(),
        in_flight: Cell::new(0),
        last_active: Cell::new(Instant::now()),
        head_started: Cell::new(None),
    });
    let io = TrackedIo { io: TokioIo::new(stream), activity: activity.clone() };
    let (for_requests, for_service) = (state.clone(), activity.clone());
    let service = service_fn(move |request| {
        let (state, activity) = (for_requests.clone(), for_service.clone());
        async move { Ok::<_, Infallible>(handle(&state, &activity, request).await) }
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
        if activity.in_flight.get() > 0 {
            continue;
        }
        let current = state.active_configuration.borrow();
        let stamp = Clock.now();
        let limits =
            current.as_ref().map(|c| (c.configuration.limits.head_timeout, c.idle_timeout(stamp)));
        drop(current);
        let default = caraway_fleet::configuration::Limits::default();
        let (head_time, idle_time) = limits.unwrap_or((default.head_timeout, default.idle_timeout));
        let now = Instant::now();
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
) -> Response<Body> {
    let received = Instant::now();
    let _in_flight = InFlight::begin(state, activity);
    let mut response = receive_and_forward(state, activity.caller, request, received).await;
    if state.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn receive_and_forward(
    state: &Rc<State>,
    caller: Caller,
    request: Request<Incoming>,
    received: Instant,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(field::ATTEMPT).and_then(|value| value.to_str().ok());
    let Some(id) = id.map(Arc::from) else {
        return response::plain(StatusCode::BAD_REQUEST, "the id of the attempt is missing");
    };
    let limit = state.configuration().map(|configuration| configuration.limits.max_body_bytes);
    let limit = limit.and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(usize::MAX);
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return response::plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Err(_) => return response::plain(StatusCode::BAD_REQUEST, "the body ended early"),
    };
    let request = forward::Request { parts, body, id, caller, received };
    forward::serve(state, &request).await
}

type Reply = Response<Full<Bytes>>;

fn reply(status: StatusCode, text: String) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Serves the platform's readiness checks.
pub async fn readiness(state: Rc<State>, listener: TcpListener) {
    accept(listener, move |request| {
        let ready = !state.stopping.get() && state.configuration().is_some() && state.is_current();
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
    accept(listener, move |_| std::future::ready(reply(StatusCode::OK, state.metrics.render())))
        .await;
}

/// Serves messages from other instances.
pub async fn instances(state: Rc<State>, reports: Rc<RefCell<Reports>>, listener: TcpListener) {
    accept(listener, move |request| {
        let (state, reports) = (state.clone(), reports.clone());
        async move { handle_message(&state, &reports, request).await }
    })
    .await;
}

async fn handle_message(
    state: &Rc<State>,
    reports: &Rc<RefCell<Reports>>,
    request: Request<Incoming>,
) -> Reply {
    let path = request.uri().path().to_owned();
    let Ok(body) = Limited::new(request.into_body(), MESSAGE_BYTES).collect().await else {
        return reply(StatusCode::BAD_REQUEST, "the message is too long or broken".to_owned());
    };
    let body = body.to_bytes();
    let invalid = |error: serde_json::Error| reply(StatusCode::BAD_REQUEST, error.to_string());
    match path.as_str() {
        peers::REPORT_PATH => match serde_json::from_slice(&body) {
            Err(error) => invalid(error),
            Ok(report) => {
                let update = peers::handle_report(state, reports, report);
                match peers::encode_update(state, &update) {
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
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let handler = Rc::new(handler);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        if prepare(&stream).is_err() {
            continue;
        }
        let handler = handler.clone();
        connections.spawn_local(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            // The client may disconnect at any time.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
