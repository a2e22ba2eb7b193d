//! The admin interface: health checks, metrics and the questions of the operator's tool.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use prometheus_client::registry::Registry;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::message::Message;
use crate::message::Outbox;
use crate::message::Question;
use caraway_core::time::Clock;
use caraway_relay::key;
use caraway_relay::router::Router;
use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;
use caraway_telemetry::metric::Metrics;

/// Longest time that the control thread may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a connection without a request is closed.
const IDLE: Duration = Duration::from_secs(30);

/// Connections that are open at once; further ones wait.
const CONNECTIONS: usize = 64;

type Answer = Response<Full<Bytes>>;

/// What the admin interface answers from.
#[derive(Debug)]
pub struct Desk {
    /// Control thread.
    pub outbox: Outbox,
    /// Data path, for explained requests.
    pub router: Arc<Router>,
    /// Metrics of the control plane.
    pub metrics: Arc<Metrics>,
    /// Metrics of the data path.
    pub data_path: Registry,
}

/// Serves the admin interface until the runtime ends.
pub async fn serve(listener: TcpListener, desk: Arc<Desk>) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else { continue };
        let desk = desk.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let desk = desk.clone();
                async move { Ok::<_, Infallible>(desk.answer(&request).await) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                log::debug!("an admin connection ended: {error}");
            }
            drop(slot);
        });
    }
}

impl Desk {
    async fn answer(&self, request: &Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if request.method() != Method::GET {
            event::emit(LogEvent::AdminRefused { path, problem: "not a GET".to_owned() });
            return respond(405, &json!({ "error": "only GET is allowed" }));
        }
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["healthz"] => respond(200, &json!({ "running": true })),
            ["readyz"] => self.ready().await,
            ["metrics"] => self.metrics(),
            ["status"] => self.ask(Question::Status).await,
            ["directory"] => self.ask(Question::Directory).await,
            ["explain", "key", service, key] => {
                let Ok(key) = key::decode(key) else {
                    let problem = "the key is not percent-encoded UTF-8";
                    return respond(400, &json!({ "error": problem }));
                };
                let (service, key) = ((*service).to_owned(), key.into_owned());
                self.ask(Question::Key { service, key }).await
            }
            ["explain", "request", id] => self.explain_request(id),
            _ => {
                event::emit(LogEvent::AdminRefused { path, problem: "unknown path".to_owned() });
                respond(404, &json!({ "error": "unknown path" }))
            }
        }
    }

    async fn question(&self, question: Question) -> Option<Option<Value>> {
        let (reply, answer) = oneshot::channel();
        self.outbox.send(Message::Admin { question, reply });
        timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
    }

    async fn ask(&self, question: Question) -> Answer {
        match self.question(question).await {
            Some(Some(value)) => respond(200, &value),
            Some(None) => respond(404, &json!({ "error": "not known here" })),
            None => respond(503, &json!({ "error": "the control thread is busy" })),
        }
    }

    async fn ready(&self) -> Answer {
        let ready = self.question(Question::Ready).await == Some(Some(json!(true)));
        respond(if ready { 200 } else { 503 }, &json!({ "ready": ready }))
    }

    fn metrics(&self) -> Answer {
        let mut text = self.metrics.render();
        // Both registries end with the end marker; only the last one may stay.
        if let Some(cut) = text.strip_suffix("# EOF\n") {
            text.truncate(cut.len());
        }
        if prometheus_client::encoding::text::encode(&mut text, &self.data_path).is_err() {
            log::debug!("the metrics of the data path cannot be encoded");
        }
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        answer(200, kind, text)
    }

    fn explain_request(&self, id: &str) -> Answer {
        let Some(record) = self.router.explain.find(id) else {
            return respond(404, &json!({ "error": "not known here" }));
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
        respond(200, &json!({ "id": id, "steps": steps }))
    }
}

fn respond(status: u16, value: &Value) -> Answer {
    answer(status, "application/json", format!("{value}\n"))
}

fn answer(status: u16, kind: &'static str, body: String) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
