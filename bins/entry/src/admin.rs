//! Admin interface: health checks, metrics and the queries of the operator's tool.

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
use tokio::time::sleep;
use tokio::time::timeout;

use crate::message::Mailbox;
use crate::message::Message;
use crate::message::Query;
use caraway_core::time::Clock;
use caraway_relay::key;
use caraway_relay::router::Router;
use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;
use caraway_telemetry::metric::Metrics;

/// Time limit for an answer of the control thread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for the headers of the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Concurrent connections; further ones wait in the accept queue.
const MAX_CONNECTIONS: usize = 64;

type AdminResponse = Response<Full<Bytes>>;

/// Handler of admin requests and the state that it reads.
#[derive(Debug)]
pub struct Handler {
    /// Mailbox of the control thread.
    pub mailbox: Mailbox,
    /// Data path, for the traces of recent requests.
    pub router: Arc<Router>,
    /// Metrics of the control plane.
    pub metrics: Arc<Metrics>,
    /// Metrics of the data path.
    pub data_path_metrics: Registry,
}

/// Serves the admin interface until the runtime ends.
pub async fn serve(listener: TcpListener, handler: Arc<Handler>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely out of file descriptors; closing connections frees some.
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.handle(&request).await) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                log::debug!("admin connection failed: {error}");
            }
            drop(permit);
        });
    }
}

impl Handler {
    async fn handle(&self, request: &Request<Incoming>) -> AdminResponse {
        let path = request.uri().path().to_owned();
        if request.method() != Method::GET {
            event::emit(LogEvent::AdminRefused { path, problem: "not a GET".to_owned() });
            return respond(405, &json!({ "error": "only GET is allowed" }));
        }
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match segments.as_slice() {
            ["healthz"] => respond(200, &json!({ "running": true })),
            ["readyz"] => self.readiness().await,
            ["metrics"] => self.metrics(),
            ["status"] => self.respond_to(Query::Status).await,
            ["directory"] => self.respond_to(Query::Directory).await,
            ["explain", "key", service, key] => {
                let Ok(key) = key::decode(key) else {
                    let problem = "the key is not percent-encoded UTF-8";
                    return respond(400, &json!({ "error": problem }));
                };
                let (service, key) = ((*service).to_owned(), key.into_owned());
                self.respond_to(Query::Key { service, key }).await
            }
            ["explain", "request", id] => self.explain_request(id),
            _ => {
                event::emit(LogEvent::AdminRefused { path, problem: "unknown path".to_owned() });
                respond(404, &json!({ "error": "unknown path" }))
            }
        }
    }

    async fn send_query(&self, query: Query) -> Option<Option<Value>> {
        let (reply, answer) = oneshot::channel();
        self.mailbox.send(Message::Admin { query, reply });
        timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
    }

    async fn respond_to(&self, query: Query) -> AdminResponse {
        match self.send_query(query).await {
            Some(Some(value)) => respond(200, &value),
            Some(None) => respond(404, &json!({ "error": "not known here" })),
            None => respond(503, &json!({ "error": "the control thread is busy" })),
        }
    }

    async fn readiness(&self) -> AdminResponse {
        let ready = self.send_query(Query::Ready).await == Some(Some(json!(true)));
        respond(if ready { 200 } else { 503 }, &json!({ "ready": ready }))
    }

    fn metrics(&self) -> AdminResponse {
        let mut text = self.metrics.render();
        // Each encoded registry ends with an EOF marker; the exposition format allows only the last
        // one.
        if let Some(stripped) = text.strip_suffix("# EOF\n") {
            text.truncate(stripped.len());
        }
        if prometheus_client::encoding::text::encode(&mut text, &self.data_path_metrics).is_err() {
            log::debug!("cannot encode the metrics of the data path");
        }
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        build_response(200, content_type, text)
    }

    fn explain_request(&self, id: &str) -> AdminResponse {
        let Some(trace) = self.router.explain.find(id) else {
            return respond(404, &json!({ "error": "not known here" }));
        };
        let now = Clock.now();
        let steps: Vec<Value> = trace
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

fn respond(status: u16, value: &Value) -> AdminResponse {
    build_response(status, "application/json", format!("{value}\n"))
}

fn build_response(status: u16, content_type: &'static str, body: String) -> AdminResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
