//! The HTTP server.
//!
//! The server uses `hyper`, because `tiny_http` cannot meet two requirements. It cannot close a
//! connection without an answer. And it may leave a connection unserved while others are open: if
//! two connections arrive before an idle thread of its pool wakes up, the second one waits until
//! another connection ends. With 24 concurrent kept connections to one server, 150 of 1,200
//! requests had no answer within 1 s.

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

use crate::call::BODY_LIMIT_BYTES;
use crate::call::Call;
use crate::call::Watch;
use crate::counts::Counts;
use crate::errors::Error;
use crate::errors::Result;
use crate::fault::Faults;
use crate::list::List;
use crate::store::Store;

/// Time between two checks for expired leases.
const LEASE_TICK: Duration = Duration::from_millis(10);
/// Wait after a failed accept, which happens when the process has no free file descriptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Header in which a caller names its failure domain.
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
    /// Signals that keys have changed.
    keys: watch::Sender<()>,
    /// Signals that the faults have changed.
    faults: watch::Sender<()>,
}

/// The failure domain of the last call on a connection, or none for a control call. The domain is
/// empty if the caller does not name it.
type Label = Mutex<Option<String>>;

/// Serves the platform on a listener until `stop` changes. Waiting calls then lose their connection.
pub async fn serve(listener: TcpListener, mut stop: watch::Receiver<()>) {
    let shared = Arc::new(Shared {
        state: Mutex::default(),
        keys: watch::Sender::new(()),
        faults: watch::Sender::new(()),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&shared).expire());
    loop {
        let accepted = tokio::select! {
            _ = stop.changed() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => drop(tasks.spawn(Arc::clone(&shared).connection(stream))),
            Err(_) => sleep(ACCEPT_RETRY).await,
        }
        while tasks.try_join_next().is_some() {}
    }
    tasks.shutdown().await;
}

/// Listens on an address.
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

    /// Deletes the keys of expired leases.
    async fn expire(self: Arc<Self>) {
        loop {
            sleep(LEASE_TICK).await;
            self.expire_now();
        }
    }

    fn expire_now(&self) {
        if self.state().store.expire(Instant::now().into_std()) {
            self.keys.send_replace(());
        }
    }

    /// Serves one connection until it ends or a fault closes it.
    async fn connection(self: Arc<Self>, stream: TcpStream) {
        // Without this option an answer may wait for the acknowledgement of an earlier one.
        let _ = stream.set_nodelay(true);
        let label = Label::default();
        let service = service_fn(|request| self.answer(request, &label));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = connection => {}
            () = self.cut(&label) => {}
        }
    }

    /// Waits until a fault closes a connection.
    async fn cut(&self, label: &Label) {
        let mut faults = self.faults.subscribe();
        while faults.changed().await.is_ok() {
            let domain = label.lock().unwrap_or_else(PoisonError::into_inner).clone();
            if domain.is_some_and(|domain| self.fails(&domain)) {
                return;
            }
        }
    }

    /// Answers a request. An error closes the connection without an answer.
    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
        label: &Label,
    ) -> Result<Response<Full<Bytes>>> {
        let domain = domain(&request);
        let call = read(request).await;
        let counted = call.as_ref().map_or(Some("malformed"), Call::kind);
        *label.lock().unwrap_or_else(PoisonError::into_inner) =
            counted.is_some().then(|| domain.clone());
        match self.run(call, &domain).await {
            Ok(body) => Ok(response(200, &body)),
            Err(Error::Fault) => Err(Error::Fault),
            Err(error) => Ok(response(error.status(), &error.body())),
        }
    }

    async fn run(self: &Arc<Self>, call: Result<Call>, domain: &str) -> Result<Value> {
        let call = match call {
            Ok(call) => call,
            Err(_) if self.fails(domain) => return Err(Error::Fault),
            Err(error) => return Err(error),
        };
        let Some(kind) = call.kind() else { return Ok(self.control(call)) };
        let delay = self.admit(kind, domain)?;
        match call {
            Call::Watch(watch) => {
                sleep(delay).await;
                self.watch(&watch).await
            }
            call if delay.is_zero() => self.apply(call),
            call => self.apply_late(call, delay).await,
        }
    }

    /// Counts a call and returns its delay.
    fn admit(&self, kind: &'static str, domain: &str) -> Result<Duration> {
        let mut state = self.state();
        state.counts.add(kind);
        if state.faults.fails(domain) { Err(Error::Fault) } else { Ok(state.faults.delay()) }
    }

    /// Applies a call after a delay, even if the caller closes its connection meanwhile.
    async fn apply_late(self: &Arc<Self>, call: Call, delay: Duration) -> Result<Value> {
        let shared = Arc::clone(self);
        let late = tokio::spawn(async move {
            sleep(delay).await;
            if shared.fails("") { Err(Error::Fault) } else { shared.apply(call) }
        });
        late.await.unwrap_or(Err(Error::Fault))
    }

    async fn watch(&self, watch: &Watch) -> Result<Value> {
        let end = Instant::now() + watch.wait;
        let mut keys = self.keys.subscribe();
        loop {
            keys.mark_unchanged();
            if let Some(answer) = self.poll(watch, Instant::now() >= end) {
                return Ok(answer);
            }
            // The loop tells a change and the end of the wait apart.
            let _ = timeout_at(end, keys.changed()).await;
        }
    }

    /// Returns the answer of a watch if there is a change or the wait has ended.
    fn poll(&self, watch: &Watch, ended: bool) -> Option<Value> {
        let state = self.state();
        let changes = state.store.changes(&watch.prefix, watch.after);
        let due = ended || !changes.is_empty();
        due.then(|| json!({ "revision": state.store.revision(), "changes": changes }))
    }

    fn apply(&self, call: Call) -> Result<Value> {
        self.expire_now();
        let now = Instant::now().into_std();
        let mut state = self.state();
        match call {
            Call::Get(key) => Ok(json!(state.store.get(&key)?)),
            Call::Put(put) => {
                let revision = state.store.put(put)?;
                self.keys.send_replace(());
                if state.faults.lose_answer() {
                    return Err(Error::Fault);
                }
                Ok(json!({ "revision": revision }))
            }
            Call::LeaseCreate(ttl) => Ok(json!({ "lease": state.store.lease(ttl, now) })),
            Call::LeaseRenew(id) => {
                state.store.renew(id, now)?;
                Ok(json!({ "lease": id }))
            }
            Call::InstanceList => Ok(json!(state.list.read(now, state.faults.list_lag()))),
            Call::Watch(_) | Call::InstancePut(_) | Call::Counts | Call::Fault(_) => {
                Ok(Value::Null)
            }
        }
    }

    /// Applies a call of whoever controls the stand-in, which no fault affects.
    fn control(&self, call: Call) -> Value {
        let mut state = self.state();
        match call {
            Call::InstancePut(instance) => {
                state.list.put(instance, Instant::now().into_std());
                json!({})
            }
            Call::Counts => json!(state.counts.all()),
            Call::Fault(change) => {
                state.faults.apply(change);
                self.faults.send_replace(());
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

fn domain(request: &Request<Incoming>) -> String {
    let header = request.headers().get(DOMAIN_HEADER);
    header.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

async fn read(request: Request<Incoming>) -> Result<Call> {
    let (head, body) = request.into_parts();
    let url = head.uri.path_and_query().map_or("", |url| url.as_str());
    let body = Limited::new(body, BODY_LIMIT_BYTES).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() {
            Error::TooLarge(BODY_LIMIT_BYTES)
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
