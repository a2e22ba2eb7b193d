//! A router with scripted targets on loopback.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, clippy::indexing_slicing, reason = "a panic fails the test")]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_admission::controller::Controller;
use caraway_admission::controller::Options as AdmissionOptions;
use caraway_admission::controller::State;
use caraway_call::ledger::Ledger;
use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Clock;
use caraway_core::token::Token;
use caraway_document::check;
use caraway_document::plan::Plan;
use caraway_relay::directory::Coordinator;
use caraway_relay::directory::Local;
use caraway_relay::directory::Snapshot;
use caraway_relay::observe::Observer;
use caraway_relay::replication::Job;
use caraway_relay::report::Event;
use caraway_relay::router::Channels;
use caraway_relay::router::Options;
use caraway_relay::router::Router;
use caraway_relay::server;
use caraway_relay::server::Side;

/// Reaction of a scripted target to a request.
pub enum Action {
    /// Writes bytes and keeps the connection open.
    Write(Vec<u8>),
    /// Writes bytes and closes the connection.
    WriteClose(Vec<u8>),
    /// Writes bytes after a delay, even if the connection has been closed by then.
    Late(Duration, Vec<u8>),
    /// Resets the connection, as a crash does.
    Crash,
    /// Writes nothing and waits until the other side closes the connection.
    Hang,
}

/// A request as received by a target.
#[derive(Clone, Debug)]
pub struct Received {
    pub connection: usize,
    pub head: String,
    pub body: usize,
}

impl Received {
    pub fn field(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(&prefix))
    }

    pub fn id(&self) -> &str {
        self.field("caraway-request-id").unwrap_or("")
    }
}

/// Returns a complete response to a request.
pub fn ok(received: &Received, body: &str) -> Vec<u8> {
    let (id, length) = (received.id(), body.len());
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/plain";
    format!("{head}\r\ncaraway-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}").into()
}

/// Returns a refusal by a target.
pub fn refusal(received: &Received, status: u16, reason: &str) -> Vec<u8> {
    let id = received.id();
    format!(
        "HTTP/1.1 {status} No\r\ncaraway-refused: {reason}\r\ncaraway-request-id: {id}\r\n\
         content-length: 0\r\n\r\n"
    )
    .into()
}

type Script = Arc<dyn Fn(&Received, usize) -> Action + Send + Sync>;

/// A target that follows a script, which receives each request with its number, starting from 0.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<Received>>>,
    /// Number of connections that the other side closed before a response.
    pub cancelled: Arc<AtomicUsize>,
}

impl Target {
    pub async fn start(
        script: impl Fn(&Received, usize) -> Action + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Self { address, received: Arc::default(), cancelled: Arc::default() };
        let (served, script) = (target.clone(), Arc::new(script) as Script);
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().connection(stream, connection, script.clone()));
                connection += 1;
            }
        });
        target
    }

    pub fn count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    async fn connection(self, mut stream: TcpStream, connection: usize, script: Script) {
        let mut buffer = Vec::new();
        while let Some(received) = read(&mut stream, &mut buffer, connection).await {
            let number = {
                let mut all = self.received.lock().unwrap();
                all.push(received.clone());
                all.len() - 1
            };
            match script(&received, number) {
                Action::Write(bytes) => stream.write_all(&bytes).await.unwrap(),
                Action::WriteClose(bytes) => {
                    stream.write_all(&bytes).await.unwrap();
                    return;
                }
                Action::Late(time, bytes) => {
                    sleep(time).await;
                    let _ = stream.write_all(&bytes).await;
                }
                Action::Crash => {
                    stream.set_zero_linger().unwrap();
                    return;
                }
                Action::Hang => {
                    let _ = stream.read(&mut [0; 1]).await;
                    self.cancelled.fetch_add(1, Ordering::SeqCst);
                    return;
                }
            }
        }
    }
}

async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>, connection: usize) -> Option<Received> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut received = Received { connection, head, body: 0 };
    if received.field("transfer-encoding") == Some("chunked") {
        while !buffer.ends_with(b"0\r\n\r\n") {
            if stream.read_buf(buffer).await.ok()? == 0 {
                return None;
            }
        }
        received.body = buffer.len();
        buffer.clear();
    }
    let length: usize = received.field("content-length").map_or(0, |text| text.parse().unwrap());
    while received.body < length {
        if buffer.is_empty() && stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
        let taken = buffer.len().min(length - received.body);
        buffer.drain(..taken);
        received.body += taken;
    }
    Some(received)
}

/// A response as received by a caller.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    /// Body, or the number of bytes that arrived before it was cut off.
    pub body: Result<Bytes, usize>,
}

impl Response {
    pub fn field(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }

    pub fn outcome(&self) -> (&str, &str) {
        (self.field("caraway-outcome"), self.field("caraway-reason"))
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(self.body.as_ref().unwrap()).unwrap()
    }
}

/// Sends a request on a new connection. Returns `None` if no response head arrives.
pub async fn fetch(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Response> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, driver) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
    let driver = tokio::spawn(driver);
    let response = sender.send_request(request).await.ok()?;
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Err(_) => whole = false,
        }
    }
    driver.abort();
    let body = if whole { Ok(Bytes::from(bytes)) } else { Err(bytes.len()) };
    Some(Response { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// Sends bytes and returns what arrives within a second or until the connection ends.
pub async fn send_raw(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let _ = timeout(Duration::from_secs(1), stream.read_to_end(&mut bytes)).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Makes a request.
pub fn request(
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    let builder = Request::builder().method(method).uri(path).header("host", "entry");
    let builder =
        fields.iter().fold(builder, |builder, (name, value)| builder.header(*name, *value));
    builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap()
}

/// A router with one keyed service `lectura` and one pooled service `ordenes`.
pub struct Entry {
    pub router: Arc<Router>,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub plan: Arc<Plan>,
    pub stop: watch::Sender<bool>,
    pub reports: mpsc::Receiver<Event>,
    pub jobs: mpsc::UnboundedReceiver<caraway_call::ledger::Entry>,
    pub servers: Vec<JoinHandle<()>>,
}

pub const KEYED: &str = "lectura/med/0";
pub const POOLED: &str = "ordenes/med/0";

/// Patience of every class.
pub const PATIENCE: Duration = Duration::from_millis(1500);

fn plan() -> Arc<Plan> {
    let service = |name: &str, division: &str, port: u16| {
        serde_json::json!({
            "name": name, "division": division, "shards": 16, "fencing": "checked",
            "slots": 4, "connections": 8, "queue": 64, "warmup_ms": 0,
            "targets": [{
                "name": format!("{name}-01"),
                "failure_domain": "med",
                "address": format!("127.0.0.1:{port}"),
            }],
        })
    };
    let class = |name: &str, repeatable: bool, attempts: u32| {
        serde_json::json!({
            "name": name, "patience_ms": PATIENCE.as_millis() as u64,
            "repeatable": repeatable, "urgency": "normal", "attempts": attempts,
        })
    };
    let route = |method: &str, service: &str, class: &str| {
        serde_json::json!({
            "method": method, "prefix": format!("/{service}/"),
            "service": service, "class": class,
        })
    };
    let document = serde_json::json!({
        "format": 1,
        "environment": "test",
        "failure_domains": ["med"],
        "tenants": ["acme"],
        "classes": [class("reading", true, 3), class("order", false, 1)],
        "services": [service("lectura", "keyed", 4001), service("ordenes", "pooled", 4002)],
        "routes": [
            route("GET", "lectura", "reading"),
            route("PUT", "lectura", "reading"),
            route("POST", "lectura", "order"),
            route("GET", "ordenes", "reading"),
            route("POST", "ordenes", "order"),
        ],
        "limits": {
            "buffered_body_bytes": 65536, "body_bytes": 134_217_728,
            "header_bytes": 16384, "idle_ms": 5000,
        },
    });
    let document = check::parse(&document.to_string()).unwrap();
    Arc::new(Plan::try_new(&document, 1).unwrap())
}

impl Entry {
    /// Starts a router that knows no coordinators.
    pub async fn start(instance: &str) -> Self {
        let (report_sender, reports) = mpsc::channel(1000);
        let (replication, mut queue) = mpsc::channel::<Job>(1000);
        let (job_sender, jobs) = mpsc::unbounded_channel();
        let options =
            Options { instance: instance.into(), domain: "med".into(), ..Options::default() };
        let channels = Channels { reports: report_sender, replication };
        let router = Router::new(options, Clock, channels, Observer::new());
        let (stop, stopped) = watch::channel(false);
        let mut servers = vec![tokio::spawn(async move {
            while let Some(job) = queue.recv().await {
                let _ = job_sender.send(job.entry);
                let _ = job.done.send(true);
            }
        })];
        let mut addresses = Vec::new();
        for side in [Side::Caller, Side::Peer] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            addresses.push(listener.local_addr().unwrap());
            let stall_timeout = Duration::from_millis(500);
            let options = server::Options { side, stall_timeout, ..server::Options::default() };
            let serving = server::serve(listener, router.clone(), options, stopped.clone());
            servers.push(tokio::spawn(serving));
        }
        let (caller, peer) = (addresses[0], addresses[1]);
        Self { router, caller, peer, plan: plan(), stop, reports, jobs, servers }
    }

    /// Starts a router that coordinates both groups on the given targets.
    pub async fn with_targets(targets: &[&Target]) -> Self {
        let entry = Self::start("entry-1").await;
        let assignments = [entry.local(KEYED, targets), entry.local(POOLED, targets)];
        entry.replace(assignments.into());
        entry
    }

    /// Returns a group with its local coordinator on the given targets. The first target owns all
    /// shards.
    pub fn local(&self, group: &str, targets: &[&Target]) -> (name::Group, Coordinator) {
        let group: name::Group = group.into();
        let pooled = group.as_str() == POOLED;
        let options = AdmissionOptions {
            group: group.clone(),
            pooled,
            slots: 4,
            queue_per_target: 64,
            warmup: Duration::ZERO,
        };
        let admission = Controller::new(options);
        let token = Token::new(2, 1);
        for (number, target) in targets.iter().enumerate() {
            let name = target_name(number);
            admission.set_target(&name, target.address, State::Live);
            admission.set_token(&name, token);
            admission.allow_until(&name, Clock.now() + Duration::from_secs(60));
        }
        if !pooled {
            (0..16).for_each(|shard| admission.assign(Shard(shard), &target_name(0), token));
        }
        let ledger = Arc::new(Mutex::new(Ledger::new(Default::default(), 2)));
        (group, Coordinator::Local(Local { admission, term: 2, ledger }))
    }

    pub fn replace(&self, assignments: HashMap<name::Group, Coordinator>) {
        self.router.directory.replace(Arc::new(Snapshot::new(self.plan.clone(), assignments)));
    }

    pub fn admission(&self, group: &str) -> Arc<Controller> {
        match self.router.directory.current().unwrap().coordinator(&group.into()) {
            Coordinator::Local(local) => local.admission.clone(),
            Coordinator::Remote(_) | Coordinator::Unknown => panic!("{group} is not local"),
        }
    }

    pub async fn get(&self, path: &str, fields: &[(&str, &str)]) -> Response {
        fetch(self.caller, request("GET", path, fields, "")).await.unwrap()
    }

    pub async fn post(&self, path: &str, key: &str, body: &str) -> Response {
        let fields = [("idempotency-key", key)];
        fetch(self.caller, request("POST", path, &fields, body)).await.unwrap()
    }
}

pub fn target_name(number: usize) -> name::Target {
    name::Target::new(&format!("target-{number}"))
}

/// Waits until a condition holds; panics after 5 s.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} did not happen within 5 s");
}
