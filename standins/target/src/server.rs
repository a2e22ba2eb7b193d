//! HTTP server of the target.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock;
use crate::control;
use crate::errors::Error;
use crate::errors::Result;
use crate::execution;
use crate::execution::Outcome;
use crate::fault::Faults;
use crate::grant::Grant;
use crate::journal::Journal;
use crate::load::Load;
use crate::payload::Payload;
use crate::settings::Settings;
use crate::slots::Slots;
use crate::warmup::Warmup;

/// Backoff after a failed accept, which occurs when the process has no free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum time for which a shutdown waits for running requests to end, and then for connections to close.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks for running requests during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Mutable state, which control calls can change.
#[derive(Debug, Default)]
pub struct State {
    pub grant: Grant,
    pub journal: Journal,
    pub faults: Faults,
    pub draining: bool,
}

/// A target process.
#[derive(Debug)]
pub struct Server {
    pub settings: Settings,
    /// Incarnation, unique per process start: its time in microseconds since boot.
    pub incarnation: u64,
    pub warmup: Warmup,
    pub slots: Arc<Slots>,
    state: Mutex<State>,
}

impl Server {
    /// Creates a target and starts its warm-up.
    pub fn new(settings: Settings) -> Self {
        let warmup = Warmup::new(clock::now_ms(), settings.warmup_ms);
        let slots = Arc::new(Slots::new(settings.slots, warmup));
        Self { settings, incarnation: clock::now_us(), warmup, slots, state: Mutex::default() }
    }

    /// Locks the state. The lock must not be held across an await point.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves requests until `stop` changes, then drains the target.
    pub async fn serve(self: Arc<Self>, stop: watch::Receiver<()>) -> Result<()> {
        let listener = TcpListener::bind(self.settings.address).await?;
        let Settings { name, service, address, .. } = &self.settings;
        eprintln!("caraway-target: {name} of {service} listening on {address}");
        let (close, closed) = watch::channel(());
        let mut connections = JoinSet::new();
        tokio::select! {
            () = self.accept(&listener, &mut connections, &closed) => {}
            () = self.wait_for_drain(stop) => {}
        }
        if self.slots.load(0) != Load::default() {
            eprintln!(
                "caraway-target: cancelling requests that are still running after {SHUTDOWN_TIMEOUT:?}"
            );
            connections.shutdown().await;
        }
        drop(listener);
        close.send_replace(());
        let all_closed = async { while connections.join_next().await.is_some() {} };
        if timeout(SHUTDOWN_TIMEOUT, all_closed).await.is_err() {
            eprintln!(
                "caraway-target: closing connections that are still open after {SHUTDOWN_TIMEOUT:?}"
            );
        }
        connections.shutdown().await;
        Ok(())
    }

    /// Waits for the shutdown signal, then until no request is running or queued.
    ///
    /// The listener stays open meanwhile, because a coordinator takes a refused connection as proof that no
    /// request is running here.
    async fn wait_for_drain(&self, mut stop: watch::Receiver<()>) {
        // An error means that signals are no longer received; the target then stops as well.
        let _ = stop.changed().await;
        self.state().draining = true;
        let drained = async {
            while self.slots.load(0) != Load::default() {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // The caller cancels requests that are still running after the timeout.
        let _ = timeout(SHUTDOWN_TIMEOUT, drained).await;
    }

    async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        connections: &mut JoinSet<()>,
        closed: &watch::Receiver<()>,
    ) {
        loop {
            let accepted = listener.accept().await;
            while connections.try_join_next().is_some() {}
            match accepted {
                // A connection above the limit is closed immediately.
                Ok(_) if connections.len() >= self.settings.connections => {}
                Ok((stream, _)) => {
                    connections.spawn(Arc::clone(self).serve_connection(stream, closed.clone()));
                }
                Err(_) => sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, mut closed: watch::Receiver<()>) {
        // Nagle's algorithm would delay a response until the previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.handle_request(request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = closed.changed() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
    ) -> std::result::Result<Response<Payload>, Infallible> {
        if request.uri().path().starts_with("/control/") {
            let result = control::handle(self, request).await;
            let (status, body) = result
                .unwrap_or_else(|error| (error.status(), json!({ "error": error.to_string() })));
            let mut response = response(status, Payload::text(body.to_string()));
            set_header(&mut response, "content-type", "application/json");
            return Ok(response);
        }
        let id = request.headers().get("caraway-request-id").cloned();
        let mut response = match execution::run(self, request).await {
            Ok(outcome) => execution_response(outcome),
            Err(error) => self.error_response(&error),
        };
        if let Some(id) = id {
            response.headers_mut().insert("caraway-request-id", id);
        }
        set_header(&mut response, "caraway-target", &self.settings.name);
        set_header(&mut response, "caraway-incarnation", &self.incarnation.to_string());
        Ok(response)
    }

    fn error_response(&self, error: &Error) -> Response<Payload> {
        let mut response = response(error.status(), Payload::text(format!("{error}\n")));
        if let Error::Refused(refusal) = error {
            self.state().journal.refuse(*refusal);
            set_header(&mut response, "caraway-refused", refusal.name());
        }
        response
    }
}

fn execution_response(outcome: Outcome) -> Response<Payload> {
    let mut response = response(200, outcome.payload);
    set_header(&mut response, "caraway-body-length", &outcome.body_length.to_string());
    set_header(&mut response, "caraway-body-checksum", &format!("{:016x}", outcome.body_checksum));
    response
}

fn response(status: u16, payload: Payload) -> Response<Payload> {
    let mut response = Response::new(payload);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

fn set_header(response: &mut Response<Payload>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
