//! The platform's store, processes of `caraway-edge`, and registrations of servers.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use caraway_production::store::Store;

use crate::client::Client;
use crate::record::Record;

/// Program of the deploy file, relative to the root of the repository.
const PROGRAM: &str = "target/release/caraway-edge";

/// Interval between the registrations of a server.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// Host of all routes.
pub const HOST: &str = "bose65.example";

/// Ports of an instance: callers, readiness, and a range for other instances.
const FIRST_PORT: u16 = 21_640;

/// An entry instance.
pub struct Edge {
    child: Option<Child>,
    directory: PathBuf,
    root: PathBuf,
    /// Name of the instance.
    pub name: String,
    /// Address for clients.
    pub frontend: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness: SocketAddr,
}

impl Edge {
    fn start(number: u8, count: u8, store: SocketAddr) -> Result<Self, String> {
        // Cases that run at the same time have addresses of their own.
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip = Ipv4Addr::new(127, 100 + high % 100, low, number + 1);
        let port = (FIRST_PORT..60_000)
            .step_by(20)
            .find(|port| (0..8).all(|offset| TcpListener::bind((ip, port + offset)).is_ok()))
            .ok_or("no free ports")?;
        let zones = ["andina-med", "andina-bog"];
        let zone = zones[usize::from(number) % zones.len()];
        let name = format!("edge-{zone}-{}", number / 2 + 1);
        let directory =
            std::env::temp_dir().join(format!("review-3-{}-{name}", std::process::id()));
        fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let (readiness, first, last) = (port + 1, port + 2, port + 7);
        let settings = format!(
            "grants=api_call\nself.node_name={name}\nself.role=edge\nself.machine_class=edge\n\
             self.serves=edge\nself.ip={ip}\nself.zone={zone}\nself.region=andina\n\
             self.in_tolerance=false\nself.bootstrap=true\nself.limits.cpu_share=0.14\n\
             self.limits.cpu_cores=1\nself.limits.memory_mb=182\nself.limits.max_fds=2870\n\
             self.limits.link_mbps=700.0\nself.limits.disk_mb=0\n\
             network.bind_addresses.frontend={ip}:{port}\n\
             network.bind_addresses.readiness={ip}:{readiness}\n\
             network.internal_ports={first},{last}\nnetwork.seed_nodes=\n\
             network.zones.andina-med=andina\nnetwork.zones.andina-bog=andina\n\
             platform.discovery=platform\nplatform.entry_mode=vip\nplatform.heartbeat_ms=870\n\
             platform.platform.address={store}\nplatform.platform.form=kv\n\
             platform.platform.writes_per_s=400\nplatform.platform.reads_per_s=2000\n\
             platform.platform.history_s=20\nplatform.platform.value_bytes=1048576\n\
             platform.platform.ttl_min_ms=1000\n\
             terms.contracts=base,drain,config,cost,retry,recover,own,platform\n\
             terms.fault_tolerance.machines={count}\nterms.fault_tolerance.zones=1\n\
             terms.fault_tolerance.regions=0\nterms.bounds.seed_lag_s=3\n\
             terms.bounds.addr_reuse_s=2\nterms.bounds.contact_ms=3000\n\
             terms.bounds.ack_ms=4000\nterms.bounds.catch_up_s=4\nterms.bounds.drain_ms=2000\n\
             terms.bounds.grace_s=6\nterms.bounds.loss_slack_ms=200\n\
             terms.bounds.config_apply_ms=2000\nterms.bounds.back_ms=250\n\
             terms.bounds.max_stretch_ms=5000\nterms.bounds.retry_budget_ratio=0.2\n\
             terms.bounds.budget_window_s=10\nterms.bounds.budget_slack=122\n\
             terms.bounds.recovery_s=15\nterms.bounds.hold_max_ms=10000\n\
             terms.bounds.thaw_ms=300\n"
        );
        fs::write(directory.join("boot.conf"), settings).map_err(|error| error.to_string())?;
        let root = std::env::current_dir().map_err(|error| error.to_string())?;
        let mut edge = Self {
            child: None,
            directory,
            root,
            name,
            frontend: (ip, port).into(),
            readiness: (ip, readiness).into(),
        };
        edge.spawn()?;
        Ok(edge)
    }

    /// Starts the process, also again after it was killed.
    pub fn spawn(&mut self) -> Result<(), String> {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.directory.join("out"));
        let child = Command::new(self.root.join(PROGRAM))
            .current_dir(&self.root)
            .env("CARAWAYSCALE_CONFIG", self.directory.join("boot.conf"))
            .stdin(Stdio::null())
            .stdout(log.map_err(|error| error.to_string())?)
            .stderr(Stdio::inherit())
            .spawn();
        self.child = Some(child.map_err(|error| format!("{PROGRAM}: {error}"))?);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process runs.
    fn is_running(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        matches!(status, Some(Ok(None)))
    }

    /// Returns whether the instance reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let response = Client::open(self.readiness)
            .and_then(|mut client| client.call("GET", "/v1/readyz", "", &[], b""));
        response.is_ok_and(|response| response.status == 200)
    }

    /// Returns the lines of the log that contain one of some texts.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        let log = fs::read_to_string(self.directory.join("out")).unwrap_or_default();
        let matching = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
        matching.map(str::to_owned).collect()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// The store, the instances, and the registered servers.
pub struct Deployment {
    /// Stand-in for the platform's store.
    pub store: Store,
    /// Entry instances.
    pub edges: Vec<Edge>,
}

impl Deployment {
    /// Starts the store with a configuration, and instances.
    pub fn start(configuration: &Value, edges: u8) -> Result<Self, String> {
        let store = Store::start().map_err(|error| error.to_string())?;
        store.put("op/config", configuration);
        let started: Result<Vec<Edge>, String> =
            (0..edges).map(|number| Edge::start(number, edges, store.address)).collect();
        Ok(Self { store, edges: started? })
    }

    /// Waits until all instances are ready.
    pub fn wait_ready(&mut self, limit: Duration) -> Result<(), String> {
        wait(limit, "the instances are not ready", || self.edges.iter().all(Edge::is_ready))?;
        let running = self.edges.iter_mut().all(Edge::is_running);
        if running { Ok(()) } else { Err("an instance has ended".to_owned()) }
    }
}

/// Waits until a condition holds.
pub fn wait(limit: Duration, problem: &str, holds: impl Fn() -> bool) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() > end {
            return Err(problem.to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// A server's entry in the store, written at every heartbeat until it ends.
#[derive(Clone)]
pub struct Registration {
    store: Store,
    key: String,
    entry: Arc<Mutex<Value>>,
    ended: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
}

impl Registration {
    /// Begins to register a server that is ready.
    pub fn begin(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        born: u64,
    ) -> Self {
        let entry = json!({
            "address": address.to_string(),
            "info": { "service": service, "version": "v1", "zone": zone, "capacity": 4 },
            "status": { "state": "ready", "sequence": 0, "warmup_left_ms": 0 },
            "born": born,
        });
        let registration = Self {
            store: store.clone(),
            key: format!("servers/{id}"),
            entry: Arc::new(Mutex::new(entry)),
            ended: Arc::default(),
            sequence: Arc::default(),
        };
        let beating = registration.clone();
        thread::spawn(move || {
            while beating.write() {
                thread::sleep(HEARTBEAT);
            }
        });
        registration
    }

    fn write(&self) -> bool {
        let Ok(mut entry) = self.entry.lock() else { return false };
        if self.ended.load(Ordering::SeqCst) {
            return false;
        }
        entry["status"]["sequence"] = json!(self.sequence.fetch_add(1, Ordering::SeqCst) + 1);
        self.store.put(&self.key, &entry);
        true
    }

    /// Ends the heartbeats of a server that has crashed. Its entry is removed after three intervals of silence.
    pub fn lapse(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let lapsed = self.clone();
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            lapsed.remove();
        });
    }

    /// Removes the entry of a server that leaves without a notice.
    pub fn remove(&self) {
        if let Ok(_entry) = self.entry.lock() {
            self.ended.store(true, Ordering::SeqCst);
            self.store.remove(&self.key);
        }
    }
}

/// Returns a configuration with routes, each with its name, prefix, kind, service and timeout.
pub fn configuration(services: &[(&str, bool)], routes: &[(&str, &str, &str, &str, u64)]) -> Value {
    let services: Vec<Value> = services
        .iter()
        .map(|(name, sharded)| {
            json!({
                "name": name, "max_connections": 232, "sharded": sharded, "warm_s": 3.0,
                "health_path": "/healthz",
            })
        })
        .collect();
    let paths: Vec<Value> = routes
        .iter()
        .map(|(name, prefix, kind, service, timeout)| {
            json!({
                "name": name, "prefix": prefix, "route_type": kind, "timeout_ms": timeout,
                "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2,
            })
        })
        .collect();
    json!({
        "version": 7,
        "services": services,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 10000,
        },
        "virtual_hosts": [{ "hostname": HOST, "paths": paths }],
    })
}

/// Writes the lines of all instances that explain what was seen.
pub fn record_logs(record: &Record, deployment: &Deployment, texts: &[&str]) {
    for edge in &deployment.edges {
        for line in edge.log_lines(texts) {
            record.line(&format!("log of {}: {line}", edge.name));
        }
    }
}
