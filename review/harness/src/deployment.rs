//! A small deployment: a store, servers, entry instances and clients.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use caraway_production::caller::Caller;
use caraway_production::store::Store;

use crate::edge::Edge;
use crate::record::Record;
use crate::server::Journal;
use crate::server::Server;
use crate::server::lock;

/// Name of the keyed service, and of the one without keys.
pub const KEYED: &str = "keyed";
pub const POOL: &str = "pool";

/// Time that a client waits for an answer.
const DEADLINE_MS: u64 = 1500;

/// Result of a client's request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub attempt: String,
    pub edge: String,
    /// Status, or zero if the connection closed without a complete answer.
    pub status: u16,
}

/// The deployment. Entry instances are killed and the directory is removed on drop.
pub struct Deployment {
    pub record: Arc<Record>,
    pub journal: Arc<Journal>,
    pub store: Store,
    pub servers: Vec<Server>,
    pub edges: Vec<Arc<Mutex<Edge>>>,
    pub answers: Arc<Mutex<Vec<Answer>>>,
    root: PathBuf,
    directory: PathBuf,
    ending: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    next_attempt: Arc<AtomicU64>,
}

/// Returns a configuration with one route to each service, and one for orders.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "prefix": prefix, "route_type": kind, "timeout_ms": DEADLINE_MS,
            "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2,
        })
    };
    json!({
        "version": version,
        "services": [
            { "name": KEYED, "health_path": "/healthz", "max_connections": 232, "protocol": "h1",
              "tls": false, "sharded": true, "warm_s": 3.0, "grants": "api_call" },
            { "name": POOL, "health_path": "/healthz", "max_connections": 232, "protocol": "h1",
              "tls": false },
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 67_108_864,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
        },
        "virtual_hosts": [{ "hostname": "shop.example", "paths": [
            route("key", "/key/", "idempotent", KEYED),
            route("read", "/read/", "idempotent", POOL),
            route("order", "/order/", "non_idempotent", POOL),
        ]}],
    })
}

impl Deployment {
    /// Starts a store with a configuration, and servers. The record is written to the file `record`.
    pub fn start(root: &Path, record: &Path, keyed: usize, pool: usize) -> io::Result<Self> {
        let directory = std::env::temp_dir().join(format!("caraway-review-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let record = Arc::new(Record::create(record)?);
        let store = Store::start()?;
        store.put("op/config", &configuration(1));
        let mut deployment = Self {
            record,
            journal: Arc::default(),
            store,
            servers: Vec::new(),
            edges: Vec::new(),
            answers: Arc::default(),
            root: root.to_owned(),
            directory,
            ending: Arc::default(),
            clients: Vec::new(),
            next_attempt: Arc::default(),
        };
        for index in 0..keyed {
            deployment.add_server(&format!("k{index}"), KEYED)?;
        }
        for index in 0..pool {
            deployment.add_server(&format!("p{index}"), POOL)?;
        }
        Ok(deployment)
    }

    /// Starts a server and registers it.
    pub fn add_server(&mut self, id: &str, service: &str) -> io::Result<Server> {
        let keyed = service == KEYED;
        let server = Server::start(id, service, "a", keyed, &self.record, &self.journal)?;
        self.store.put(&server.entry_key(), &server.entry("ready"));
        self.servers.push(server.clone());
        Ok(server)
    }

    /// Starts an entry instance that reaches the store at an address.
    pub fn add_edge(&mut self, store: SocketAddr) -> io::Result<()> {
        let number = u8::try_from(self.edges.len() + 1).unwrap_or(u8::MAX);
        let edge = Edge::start(&self.root, &self.directory, number, "a", store)?;
        self.edges.push(Arc::new(Mutex::new(edge)));
        Ok(())
    }

    /// Waits until all entry instances are ready and serve keys from the whole range.
    pub fn wait_served(&self) -> Result<(), String> {
        for edge in &self.edges {
            let (readiness, frontend) = {
                let edge = lock(edge);
                (edge.readiness, edge.frontend)
            };
            let ready = || {
                let mut caller = Caller::open(readiness)?;
                caller.call("GET", "/v1/readyz", "", &[])
            };
            wait_for("an entry instance is ready", || ready().is_ok_and(|r| r.status == 200))?;
            for key in (0..=u16::MAX).step_by(4096).map(|key| key.to_string()) {
                let headers = [
                    ("carawayscale-deadline-ms", "1500"),
                    ("carawayscale-shard-key", key.as_str()),
                ];
                let served = || Caller::open(frontend)?.call("GET", "/key/w1", "start", &headers);
                wait_for("keys are served", || served().is_ok_and(|r| r.status == 200))?;
            }
        }
        Ok(())
    }

    /// Starts a client that sends requests to an entry instance, one after the other on a kept
    /// connection, until the deployment ends. `next` returns the method, path and key of a request.
    pub fn add_client(
        &mut self,
        edge: usize,
        pause: Duration,
        next: impl Fn(u64) -> (&'static str, String, Option<u16>) + Send + 'static,
    ) {
        let Some(edge) = self.edges.get(edge) else { return };
        let (name, frontend) = {
            let edge = lock(edge);
            (edge.name.clone(), edge.frontend)
        };
        let (record, answers) = (self.record.clone(), self.answers.clone());
        let (ending, numbers) = (self.ending.clone(), self.next_attempt.clone());
        self.clients.push(thread::spawn(move || {
            let mut connection: Option<Caller> = None;
            while !ending.load(Ordering::SeqCst) {
                let number = numbers.fetch_add(1, Ordering::SeqCst);
                let attempt = format!("a{number:06}");
                let (method, path, key) = next(number);
                let key = key.map(|key| key.to_string());
                let deadline = DEADLINE_MS.to_string();
                let mut headers = vec![("carawayscale-deadline-ms", deadline.as_str())];
                if let Some(key) = &key {
                    headers.push(("carawayscale-shard-key", key));
                }
                let mut caller = match connection.take() {
                    Some(caller) => caller,
                    None => match Caller::open(frontend) {
                        Ok(caller) => caller,
                        Err(_) => {
                            thread::sleep(Duration::from_millis(100));
                            continue;
                        }
                    },
                };
                record.line(&format!("client sends {attempt} to {name}: {method} {path} {key:?}"));
                let response = caller.call(method, &path, &attempt, &headers);
                let status = response.as_ref().map_or(0, |response| response.status);
                record.line(&format!("client gets {status} for {attempt}"));
                lock(&answers).push(Answer { attempt, edge: name.clone(), status });
                let closes = response.as_ref().is_ok_and(|response| {
                    response.header("connection").is_some_and(|value| value == "close")
                });
                if status != 0 && !closes {
                    connection = Some(caller);
                }
                thread::sleep(pause);
            }
        }));
    }

    /// Ends the clients and waits for them.
    pub fn end_clients(&mut self) {
        self.ending.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            // A panic of a client ends only its requests.
            let _ = client.join();
        }
    }

    /// Records how many requests of the clients ended in which way.
    pub fn count_answers(&self) {
        let answers = lock(&self.answers);
        let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
        for answer in answers.iter() {
            *counts.entry(answer.status).or_default() += 1;
        }
        let total = answers.len();
        self.record.announce(&format!("{total} requests by status (0: no answer): {counts:?}"));
    }

    /// Returns how many requests were executed by a sound server, and lost their connection without
    /// an answer. All clients keep their connections.
    pub fn count_lost(&self, is_sound: impl Fn(&str) -> bool) -> usize {
        let (answers, runs) = (lock(&self.answers), lock(&self.journal.runs));
        let passed_on =
            |attempt: &str| runs.iter().any(|run| run.attempt == attempt && is_sound(&run.server));
        let lost = answers.iter().filter(|answer| answer.status == 0);
        let lost: Vec<_> = lost.filter(|answer| passed_on(&answer.attempt)).collect();
        for answer in &lost {
            self.record.line(&format!("{} of {} is lost", answer.attempt, answer.edge));
        }
        self.record.announce(&format!("{} requests at sound servers were lost", lost.len()));
        lost.len()
    }

    /// Copies the logs of the entry instances to a folder, if one is named in the environment.
    pub fn keep_logs(&self) {
        let Ok(folder) = std::env::var("REVIEW_LOGS") else { return };
        for edge in &self.edges {
            let edge = lock(edge);
            let path = Path::new(&folder).join(format!("{}.log", edge.name));
            let _ = fs::write(path, edge.log());
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end_clients();
        self.keep_logs();
        for edge in &self.edges {
            lock(edge).kill();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Waits up to 20 seconds until something holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        if Instant::now() > end {
            return Err(format!("waited in vain until {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
