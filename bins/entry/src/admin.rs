//! The admin interface: health checks, metrics and the questions of the operator's tool.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use caraway_core::time::Clock;
use caraway_relay::key;
use caraway_relay::router::Router;
use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;
use caraway_telemetry::metric::Metrics;

use crate::errors::Error;
use crate::errors::Result;
use crate::message::Message;
use crate::message::Outbox;
use crate::message::Question;

/// Time between two looks at whether the process ends.
const POLL: Duration = Duration::from_millis(100);

/// Longest time that the control thread may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The admin thread.
#[derive(Debug)]
pub struct Admin {
    handle: JoinHandle<()>,
    stop: Arc<AtomicBool>,
}

struct Desk {
    server: Server,
    outbox: Outbox,
    router: Arc<Router>,
    metrics: Arc<Metrics>,
    data_path: Arc<prometheus_client::registry::Registry>,
    stop: Arc<AtomicBool>,
}

impl Admin {
    /// Opens the listener and starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on or the thread cannot be started.
    pub fn try_start(
        address: SocketAddr,
        outbox: Outbox,
        router: Arc<Router>,
        metrics: Arc<Metrics>,
        data_path: Arc<prometheus_client::registry::Registry>,
    ) -> Result<Self> {
        let listen = |error: Box<dyn std::error::Error + Send + Sync>| Error::Listen {
            address,
            problem: error.to_string(),
        };
        let server = Server::http(address).map_err(listen)?;
        let stop = Arc::new(AtomicBool::new(false));
        let desk = Desk { server, outbox, router, metrics, data_path, stop: stop.clone() };
        let failed =
            |error: std::io::Error| Error::Start { what: "admin", problem: error.to_string() };
        let builder = std::thread::Builder::new().name("admin".to_owned());
        let handle = builder.spawn(move || desk.serve()).map_err(failed)?;
        Ok(Self { handle, stop })
    }

    /// Ends the thread.
    pub fn join(self) {
        self.stop.store(true, Ordering::Release);
        if self.handle.join().is_err() {
            log::error!("the admin thread panicked");
        }
    }
}

impl Desk {
    fn serve(&self) {
        while !self.stop.load(Ordering::Acquire) {
            match self.server.recv_timeout(POLL) {
                Ok(Some(request)) => self.answer(request),
                Ok(None) => {}
                Err(error) => log::debug!("the admin listener failed: {error}"),
            }
        }
    }

    fn answer(&self, request: Request) {
        let path = request.url().split('?').next().unwrap_or("").to_owned();
        if *request.method() != Method::Get {
            event::emit(LogEvent::AdminRefused { path, problem: "not a GET".to_owned() });
            respond(request, 405, &json!({ "error": "only GET is allowed" }));
            return;
        }
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["healthz"] => respond(request, 200, &json!({ "running": true })),
            ["readyz"] => self.ready(request),
            ["metrics"] => self.metrics(request),
            ["status"] => self.ask(request, Question::Status),
            ["directory"] => self.ask(request, Question::Directory),
            ["explain", "key", service, key] => {
                let Ok(key) = key::decode(key) else {
                    let problem = "the key is not percent-encoded UTF-8";
                    respond(request, 400, &json!({ "error": problem }));
                    return;
                };
                let question =
                    Question::Key { service: (*service).to_owned(), key: key.into_owned() };
                self.ask(request, question);
            }
            ["explain", "request", id] => self.explain_request(request, id),
            _ => {
                event::emit(LogEvent::AdminRefused { path, problem: "unknown path".to_owned() });
                respond(request, 404, &json!({ "error": "unknown path" }));
            }
        }
    }

    fn question(&self, question: Question) -> Option<Option<Value>> {
        let (reply, answer) = channel();
        self.outbox.send(Message::Admin { question, reply });
        answer.recv_timeout(ANSWER_TIMEOUT).ok()
    }

    fn ask(&self, request: Request, question: Question) {
        match self.question(question) {
            Some(Some(value)) => respond(request, 200, &value),
            Some(None) => respond(request, 404, &json!({ "error": "not known here" })),
            None => respond(request, 503, &json!({ "error": "the control thread is busy" })),
        }
    }

    fn ready(&self, request: Request) {
        let ready = self.question(Question::Ready) == Some(Some(json!(true)));
        respond(request, if ready { 200 } else { 503 }, &json!({ "ready": ready }));
    }

    fn metrics(&self, request: Request) {
        let mut text = self.metrics.render();
        // Both registries end with the end marker; only the last one may stay.
        if let Some(cut) = text.strip_suffix("# EOF\n") {
            text.truncate(cut.len());
        }
        if prometheus_client::encoding::text::encode(&mut text, &self.data_path).is_err() {
            log::debug!("the metrics of the data path cannot be encoded");
        }
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        send(request, 200, kind, text);
    }

    fn explain_request(&self, request: Request, id: &str) {
        let Some(record) = self.router.explain.find(id) else {
            respond(request, 404, &json!({ "error": "not known here" }));
            return;
        };
        let now = Clock.now();
        let steps: Vec<Value> = record
            .steps()
            .iter()
            .map(|step| {
                let age = u64::try_from(now.since(step.at).as_millis()).unwrap_or(u64::MAX);
                json!({ "at_ms": age, "text": step.text })
            })
            .collect();
        respond(request, 200, &json!({ "id": id, "steps": steps }));
    }
}

fn respond(request: Request, status: u16, value: &Value) {
    send(request, status, "application/json", format!("{value}\n"));
}

fn send(request: Request, status: u16, kind: &str, body: String) {
    let mut response = Response::from_string(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("content-type", kind) {
        response.add_header(header);
    }
    if let Err(error) = request.respond(response) {
        log::debug!("an admin client went away: {error}");
    }
}
