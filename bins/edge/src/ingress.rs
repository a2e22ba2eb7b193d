//! Listeners for callers, the platform's question, other instances and metrics.

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
use caraway_core::time::Clock;
use caraway_fleet::reports::Reports;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::answer;
use crate::answer::Body;
use crate::forward;
use crate::peers;
use crate::state::State;

/// Buffer of a connection; a head must fit in it. Callers stay within 16 KB.
const BUFFER_BYTES: usize = 24 << 10;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 512;

/// Largest message of another instance: the owners of some thousand holdings.
const MESSAGE_BYTES: usize = 4 << 20;

/// Longest time that a caller whose connection has broken without notice occupies it.
const LOST_CALLER: Duration = Duration::from_secs(8);

/// Time between looks at idle connections; limits are stated in seconds.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Time without accepting connections after a failure to accept one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What a connection is doing.
#[derive(Debug)]
struct Activity {
    /// Requests that are being served.
    running: Cell<u32>,
    /// When bytes last arrived or an answer ended.
    last: Cell<Instant>,
    /// Since when an unfinished head is being received.
    head: Cell<Option<Instant>>,
}

/// A socket that notes when bytes arrive.
struct Watched {
    io: TokioIo<TcpStream>,
    activity: Rc<Activity>,
}

impl Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_read(cx, buffer);
        if result.is_ready() {
            let now = Instant::now();
            self.activity.last.set(now);
            if self.activity.running.get() == 0 && self.activity.head.get().is_none() {
                self.activity.head.set(Some(now));
            }
        }
        result
    }
}

impl Write for Watched {
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
/// Fails if the address cannot be listened on.
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

/// Serves callers until `closing` is true, then refuses connections and returns when all have
/// ended.
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
                    // Out of descriptors, most likely; connections that end free some.
                    emit(Event::ListenerFailed {
                        address: state.settings.client_address.to_string(),
                        error: error.to_string(),
                    });
                    sleep_until(Instant::now() + ACCEPT_PAUSE).await;
                }
            },
            // The sender lives as long as the process; its end would mean the same.
            _ = stop.wait_for(|closing| *closing) => break,
        }
    }
    // A connection that is made from here on is reset, so that its caller turns elsewhere at once
    // instead of having a request taken that there is no time to answer.
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(state: Rc<State>, stream: TcpStream, mut closing: Receiver<bool>) {
    if let Err(error) = prepare(&stream) {
        emit(Event::CallerInvalid { address: String::new(), problem: error.to_string() });
        return;
    }
    let activity = Rc::new(Activity {
        running: Cell::new(0),
        last: Cell::new(Instant::now()),
        head: Cell::new(None),
    });
    let io = Watched { io: TokioIo::new(stream), activity: activity.clone() };
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
    let mut leaving = false;
    loop {
        let wake = Instant::now() + IDLE_TICK;
        tokio::select! {
            // An error means that the caller left or sent no HTTP; hyper has answered if it could.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing), if !leaving => {
                leaving = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep_until(wake) => {}
        }
        if activity.running.get() > 0 {
            continue;
        }
        let current = state.current.borrow();
        let boot = Clock.now();
        let limits =
            current.as_ref().map(|c| (c.configuration.limits.head_timeout, c.idle_limit(boot)));
        drop(current);
        let default = caraway_fleet::configuration::Limits::default();
        let (head_time, idle_time) = limits.unwrap_or((default.head_timeout, default.idle_timeout));
        let now = Instant::now();
        if activity.head.get().is_some_and(|since| now - since > head_time) {
            return;
        }
        if now - activity.last.get() > idle_time && !leaving {
            leaving = true;
            connection.as_mut().graceful_shutdown();
        }
    }
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probe = Duration::from_secs(2);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(probe).with_interval(probe))?;
    socket.set_tcp_user_timeout(Some(LOST_CALLER))
}

/// Counts a request until its answer, or the caller, is gone.
struct Running<'a> {
    state: &'a State,
    activity: &'a Activity,
}

impl<'a> Running<'a> {
    fn begin(state: &'a State, activity: &'a Activity) -> Self {
        activity.head.set(None);
        activity.running.set(activity.running.get() + 1);
        state.metrics.running.inc();
        Self { state, activity }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.activity.running.set(self.activity.running.get().saturating_sub(1));
        self.activity.last.set(Instant::now());
        self.state.metrics.running.dec();
    }
}

async fn handle(
    state: &Rc<State>,
    activity: &Activity,
    request: Request<Incoming>,
) -> Response<Body> {
    let received = Instant::now();
    let _running = Running::begin(state, activity);
    let mut response = request_of(state, request, received).await;
    if state.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn request_of(
    state: &Rc<State>,
    request: Request<Incoming>,
    received: Instant,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(field::ATTEMPT).and_then(|value| value.to_str().ok());
    let Some(id) = id.map(Arc::from) else {
        return answer::plain(StatusCode::BAD_REQUEST, "the id of the attempt is missing");
    };
    let limit = state.configuration().map(|configuration| configuration.limits.max_body_bytes);
    let limit = limit.and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(usize::MAX);
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return answer::plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Err(_) => return answer::plain(StatusCode::BAD_REQUEST, "the body ended early"),
    };
    let request = forward::Request { parts, body, id, received };
    forward::serve(state, &request).await
}

type Small = Response<Full<Bytes>>;

fn small(status: StatusCode, text: String) -> Small {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Answers the platform's question whether this instance takes requests.
pub async fn readiness(state: Rc<State>, listener: TcpListener) {
    accept(listener, move |request| {
        let ready = !state.stopping.get() && state.configuration().is_some();
        let status = if request.uri().path() != field::READY_PATH {
            StatusCode::NOT_FOUND
        } else if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(small(status, String::new()))
    })
    .await;
}

/// Serves the metrics as text.
pub async fn metrics(state: Rc<State>, listener: TcpListener) {
    accept(listener, move |_| std::future::ready(small(StatusCode::OK, state.metrics.render())))
        .await;
}

/// Serves other instances.
pub async fn instances(state: Rc<State>, reports: Rc<RefCell<Reports>>, listener: TcpListener) {
    accept(listener, move |request| {
        let (state, reports) = (state.clone(), reports.clone());
        async move { message(&state, &reports, request).await }
    })
    .await;
}

async fn message(
    state: &Rc<State>,
    reports: &Rc<RefCell<Reports>>,
    request: Request<Incoming>,
) -> Small {
    let path = request.uri().path().to_owned();
    let Ok(body) = Limited::new(request.into_body(), MESSAGE_BYTES).collect().await else {
        return small(StatusCode::BAD_REQUEST, "the message is too long or broken".to_owned());
    };
    let body = body.to_bytes();
    let invalid = |error: serde_json::Error| small(StatusCode::BAD_REQUEST, error.to_string());
    match path.as_str() {
        peers::REPORT => match serde_json::from_slice(&body) {
            Err(error) => invalid(error),
            Ok(report) => {
                let knowledge = peers::respond(state, reports, report);
                match serde_json::to_string(&knowledge) {
                    Ok(text) => small(StatusCode::OK, text),
                    Err(error) => small(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
                }
            }
        },
        peers::OWNERS => match serde_json::from_slice(&body) {
            Err(error) => invalid(error),
            Ok(change) => {
                state.change_owners(change);
                small(StatusCode::OK, String::new())
            }
        },
        peers::NEWS => {
            state.news.notify_one();
            small(StatusCode::OK, String::new())
        }
        peers::RETIRED => match serde_json::from_slice::<peers::Ends>(&body) {
            Err(error) => invalid(error),
            Ok(ends) => {
                state.retire(ends.received(Clock.now()));
                small(StatusCode::OK, String::new())
            }
        },
        _ => small(StatusCode::NOT_FOUND, String::new()),
    }
}

async fn accept<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Small> + 'static,
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
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            // The other side may leave at any time.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
