//! HTTP server of the platform.
//!
//! The server uses `hyper`, because `tiny_http` fails two requirements. It cannot close a connection without a
//! response, and it can starve a connection while others are open: if two connections arrive before an idle
//! thread of its pool wakes up, the second one waits until another connection is closed. With 24 concurrent
//! persistent connections, 150 of 1,200 requests had no response within 1 s.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::call::Call;
use crate::call::MAX_BODY_BYTES;
use crate::call::Watch;
use crate::counts::Counts;
use crate::errors::Error;
use crate::errors::Result;
use crate::fault::Faults;
use crate::list::List;
use crate::store::Store;

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Backoff after a failed accept, which occurs when the process has no free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Request header with the caller's failure domain.
const DOMAIN_HEADER: &str = "platform-domain";

#[derive(Debug, Default)]
struct State {
    store: Store,
    list: List,
    counts: Counts,
    faults: Faults,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notifies waiting watches of changed keys.
    key_changes: watch::Sender<()>,
    /// Notifies connections of changed faults.
    fault_changes: watch::Sender<()>,
}

/// Failure domain of the last call on a connection, or `None` after a control call. It is empty if the caller
/// did not name one.
type CallerDomain = Mutex<Option<String>>;

/// Serves the platform on a listener until `stop` changes, then closes all connections, also those of waiting
/// calls.
pub async fn serve(listener: TcpListener, mut stop: watch::Receiver<()>) {
    let shared = Arc::new(Shared {
        state: Mutex::default(),
        key_changes: watch::Sender::new(()),
        fault_changes: watch::Sender::new(()),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&shared).run_lease_expiry());
    loop {
        let accepted = tokio::select! {
            _ = stop.changed() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => drop(tasks.spawn(Arc::clone(&shared).serve_connection(stream))),
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
        while tasks.try_join_next().is_some() {}
    }
    tasks.shutdown().await;
}

pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    Ok(TcpListener::bind(address).await?)
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fails(&self, domain: &str) -> bool {
        self.state().faults.fails(domain)
    }

    /// Periodically deletes the keys of expired leases.
    async fn run_lease_expiry(self: Arc<Self>) {
        loop {
            sleep(LEASE_CHECK_INTERVAL).await;
            self.expire_leases();
        }
    }

    fn expire_leases(&self) {
        if self.state().store.expire_leases(Instant::now().into_std()) {
            self.key_changes.send_replace(());
        }
    }

    /// Serves a connection until it is closed, by the caller or by a fault.
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        // Nagle's algorithm would delay a response until the previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        let caller_domain = CallerDomain::default();
        let service = service_fn(|request| self.handle_request(request, &caller_domain));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = connection => {}
            () = self.wait_for_cut(&caller_domain) => {}
        }
    }

    /// Waits until a fault cuts off the failure domain of the caller.
    async fn wait_for_cut(&self, caller_domain: &CallerDomain) {
        let mut changes = self.fault_changes.subscribe();
        while changes.changed().await.is_ok() {
            let domain = caller_domain.lock().unwrap_or_else(PoisonError::into_inner).clone();
            if domain.is_some_and(|domain| self.fails(&domain)) {
                return;
            }
        }
    }

    /// Handles a request. An error closes the connection without a response.
    async fn handle_request(
        self: &Arc<Self>,
        request: Request<Incoming>,
        caller_domain: &CallerDomain,
    ) -> Result<Response<Full<Bytes>>> {
        let domain = failure_domain(&request);
        let call = read_call(request).await;
        let counted = call.as_ref().map_or(Some("malformed"), Call::kind);
        *caller_domain.lock().unwrap_or_else(PoisonError::into_inner) =
            counted.is_some().then(|| domain.clone());
        match self.handle_call(call, &domain).await {
            Ok(body) => Ok(response(200, &body)),
            Err(Error::Fault) => Err(Error::Fault),
            Err(error) => Ok(response(error.status(), &error.body())),
        }
    }

    async fn handle_call(self: &Arc<Self>, call: Result<Call>, domain: &str) -> Result<Value> {
        let call = match call {
            Ok(call) => call,
            Err(_) if self.fails(domain) => return Err(Error::Fault),
            Err(error) => return Err(error),
        };
        let Some(kind) = call.kind() else { return Ok(self.apply_control(call)) };
        let delay = self.begin_call(kind, domain)?;
        match call {
            Call::Watch(watch) => {
                sleep(delay).await;
                self.wait_for_change(&watch).await
            }
            call if delay.is_zero() => self.apply(call),
            call => self.apply_delayed(call, delay).await,
        }
    }

    /// Counts a call and returns its injected delay.
    fn begin_call(&self, kind: &'static str, domain: &str) -> Result<Duration> {
        let mut state = self.state();
        state.counts.add(kind);
        if state.faults.fails(domain) { Err(Error::Fault) } else { Ok(state.faults.delay()) }
    }

    /// Applies a call after a delay, even if the caller closes its connection in the meantime.
    async fn apply_delayed(self: &Arc<Self>, call: Call, delay: Duration) -> Result<Value> {
        let shared = Arc::clone(self);
        let delayed = tokio::spawn(async move {
            sleep(delay).await;
            if shared.fails("") { Err(Error::Fault) } else { shared.apply(call) }
        });
        delayed.await.unwrap_or(Err(Error::Fault))
    }

    async fn wait_for_change(&self, watch: &Watch) -> Result<Value> {
        let end = Instant::now() + watch.wait;
        let mut changes = self.key_changes.subscribe();
        loop {
            changes.mark_unchanged();
            if let Some(response) = self.poll_watch(watch, Instant::now() >= end) {
                return Ok(response);
            }
            // The next iteration distinguishes a change from the timeout.
            let _ = timeout_at(end, changes.changed()).await;
        }
    }

    /// Returns the response of a watch if there are changes or the wait has ended.
    fn poll_watch(&self, watch: &Watch, ended: bool) -> Option<Value> {
        let state = self.state();
        let changes = state.store.changes(&watch.prefix, watch.after);
        let done = ended || !changes.is_empty();
        done.then(|| json!({ "revision": state.store.revision(), "changes": changes }))
    }

    fn apply(&self, call: Call) -> Result<Value> {
        self.expire_leases();
        let now = Instant::now().into_std();
        let mut state = self.state();
        match call {
            Call::Get(key) => Ok(json!(state.store.get(&key)?)),
            Call::Put(put) => {
                let revision = state.store.put(put)?;
                self.key_changes.send_replace(());
                if state.faults.lose_response() {
                    return Err(Error::Fault);
                }
                Ok(json!({ "revision": revision }))
            }
            Call::LeaseCreate(ttl) => Ok(json!({ "lease": state.store.create_lease(ttl, now) })),
            Call::LeaseRenew(id) => {
                state.store.renew_lease(id, now)?;
                Ok(json!({ "lease": id }))
            }
            Call::InstanceList => Ok(json!(state.list.read(now, state.faults.list_lag()))),
            Call::Watch(_) | Call::InstancePut(_) | Call::Counts | Call::Fault(_) => {
                Ok(Value::Null)
            }
        }
    }

    /// Applies a control call, which no fault affects.
    fn apply_control(&self, call: Call) -> Value {
        let mut state = self.state();
        match call {
            Call::InstancePut(instance) => {
                state.list.put(instance, Instant::now().into_std());
                json!({})
            }
            Call::Counts => json!(state.counts.all()),
            Call::Fault(change) => {
                state.faults.apply(change);
                self.fault_changes.send_replace(());
                json!({})
            }
            Call::Get(_)
            | Call::Put(_)
            | Call::Watch(_)
            | Call::LeaseCreate(_)
            | Call::LeaseRenew(_)
            | Call::InstanceList => Value::Null,
        }
    }
}

fn failure_domain(request: &Request<Incoming>) -> String {
    let header = request.headers().get(DOMAIN_HEADER);
    header.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

async fn read_call(request: Request<Incoming>) -> Result<Call> {
    let (head, body) = request.into_parts();
    let url = head.uri.path_and_query().map_or("", |url| url.as_str());
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() {
            Error::TooLarge(MAX_BODY_BYTES)
        } else {
            Error::Malformed(format!("cannot read the body: {error}"))
        }
    })?;
    Call::try_new(head.method.as_str(), url, &body.to_bytes())
}

fn response(status: u16, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_string()));
    if let Ok(status) = status.try_into() {
        *response.status_mut() = status;
    }
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
