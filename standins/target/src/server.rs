//! Connections and answers.

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

use crate::answer::Answer;
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
use crate::ramp::Ramp;
use crate::settings::Settings;
use crate::slots::Slots;

/// Wait after a failed accept, which happens when the process has no free file descriptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Longest time that a planned stop waits for running requests, and then for their answers.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Time between two checks for running requests during a planned stop.
const STOP_TICK: Duration = Duration::from_millis(10);

/// The state that control calls change.
#[derive(Debug, Default)]
pub struct State {
    /// The current grant.
    pub grant: Grant,
    /// The executed requests.
    pub journal: Journal,
    /// The faults in force.
    pub faults: Faults,
    /// Whether the target is leaving.
    pub draining: bool,
}

/// The target.
#[derive(Debug)]
pub struct Server {
    /// Flags of the process.
    pub settings: Settings,
    /// Number that is unique per process start: the start in microseconds since boot.
    pub incarnation: u64,
    /// Progress of the warm-up.
    pub ramp: Ramp,
    /// Execution slots.
    pub slots: Arc<Slots>,
    state: Mutex<State>,
}

impl Server {
    /// Makes a target. Its warm-up begins.
    pub fn new(settings: Settings) -> Self {
        let ramp = Ramp::new(clock::now_ms(), settings.warmup_ms);
        let slots = Arc::new(Slots::new(settings.slots, ramp));
        Self { settings, incarnation: clock::now_us(), ramp, slots, state: Mutex::default() }
    }

    /// Returns the state. The lock is never held across a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves until `stop` changes, then finishes the running requests.
    pub async fn serve(self: Arc<Self>, stop: watch::Receiver<()>) -> Result<()> {
        let listener = TcpListener::bind(self.settings.address).await?;
        let Settings { name, service, address, .. } = &self.settings;
        eprintln!("caraway-target: {name} of {service} listening on {address}");
        let (close, closed) = watch::channel(());
        let mut connections = JoinSet::new();
        tokio::select! {
            () = self.accept(&listener, &mut connections, &closed) => {}
            () = self.finish(stop) => {}
        }
        if self.slots.load(0) != Load::default() {
            eprintln!("caraway-target: cancelling requests that run after {STOP_LIMIT:?}");
            connections.shutdown().await;
        }
        drop(listener);
        close.send_replace(());
        let answered = async { while connections.join_next().await.is_some() {} };
        if timeout(STOP_LIMIT, answered).await.is_err() {
            eprintln!("caraway-target: closing connections that are open after {STOP_LIMIT:?}");
        }
        connections.shutdown().await;
        Ok(())
    }

    /// Waits for a planned stop, and then for the end of the last running request.
    ///
    /// The address stays open meanwhile, because a refused connection proves to a coordinator that
    /// no request runs here.
    async fn finish(&self, mut stop: watch::Receiver<()>) {
        // An error means that the signals cannot be received any more.
        let _ = stop.changed().await;
        self.state().draining = true;
        let ended = async {
            while self.slots.load(0) != Load::default() {
                sleep(STOP_TICK).await;
            }
        };
        // The caller cancels requests that still run after the limit.
        let _ = timeout(STOP_LIMIT, ended).await;
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
                // A connection over the limit is closed at once.
                Ok(_) if connections.len() >= self.settings.connections => {}
                Ok((stream, _)) => {
                    connections.spawn(Arc::clone(self).connection(stream, closed.clone()));
                }
                Err(_) => sleep(ACCEPT_RETRY).await,
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, mut closed: watch::Receiver<()>) {
        // Without this option an answer may wait for the acknowledgement of an earlier one.
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.answer(request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = closed.changed() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> std::result::Result<Response<Answer>, Infallible> {
        if request.uri().path().starts_with("/control/") {
            let result = control::run(self, request).await;
            let (status, body) = result
                .unwrap_or_else(|error| (error.status(), json!({ "error": error.to_string() })));
            let mut response = response(status, Answer::text(body.to_string()));
            set(&mut response, "content-type", "application/json");
            return Ok(response);
        }
        let id = request.headers().get("caraway-request-id").cloned();
        let mut response = match execution::run(self, request).await {
            Ok(outcome) => executed(outcome),
            Err(error) => self.refused(&error),
        };
        if let Some(id) = id {
            response.headers_mut().insert("caraway-request-id", id);
        }
        set(&mut response, "caraway-target", &self.settings.name);
        set(&mut response, "caraway-incarnation", &self.incarnation.to_string());
        Ok(response)
    }

    fn refused(&self, error: &Error) -> Response<Answer> {
        let mut response = response(error.status(), Answer::text(format!("{error}\n")));
        if let Error::Refused(refusal) = error {
            self.state().journal.refuse(*refusal);
            set(&mut response, "caraway-refused", refusal.name());
        }
        response
    }
}

fn executed(outcome: Outcome) -> Response<Answer> {
    let mut response = response(200, outcome.answer);
    set(&mut response, "caraway-body-length", &outcome.body_length.to_string());
    set(&mut response, "caraway-body-checksum", &format!("{:016x}", outcome.body_checksum));
    response
}

fn response(status: u16, answer: Answer) -> Response<Answer> {
    let mut response = Response::new(answer);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

fn set(response: &mut Response<Answer>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
