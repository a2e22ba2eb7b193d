//! Entry instances, started with the command of the deploy file.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use caraway_production::caller::Caller;

use crate::Failure;

/// Command of the role in `deploy/system.toml`.
const COMMAND: &str = "target/release/caraway-edge";

/// Time for an instance to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Bounds that differ between deployments.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Grace period of a stop in seconds.
    pub grace_s: u32,
    /// Drain time of a server in milliseconds.
    pub drain_ms: u32,
}

/// A running instance. It is killed on drop.
pub struct Edge {
    child: Child,
    directory: PathBuf,
    /// Address for callers.
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

fn settings(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    port: u16,
    store: SocketAddr,
    bounds: Bounds,
) -> String {
    let [readiness, control, first, last] = [1, 2, 3, 4].map(|offset| port + offset);
    let Bounds { grace_s, drain_ms } = bounds;
    format!(
        "grants=api_call\nself.node_name={name}\nself.role=edge\nself.machine_class=edge\n\
         self.serves=edge\nself.ip={ip}\nself.zone={zone}\nself.region=here\n\
         self.in_tolerance=false\nself.bootstrap=true\nself.limits.cpu_share=0.14\n\
         self.limits.cpu_cores=1\nself.limits.memory_mb=182\nself.limits.max_fds=2870\n\
         self.limits.link_mbps=700.0\nself.limits.disk_mb=0\n\
         network.bind_addresses.frontend={ip}:{port}\n\
         network.bind_addresses.readiness={ip}:{readiness}\n\
         network.bind_addresses.control_plane={ip}:{control}\n\
         network.internal_ports={first},{last}\nnetwork.zones.{zone}=here\n\
         platform.discovery=platform\nplatform.entry_mode=vip\nplatform.heartbeat_ms=870\n\
         platform.platform.address={store}\nplatform.platform.form=kv\n\
         platform.platform.writes_per_s=400\nplatform.platform.reads_per_s=2000\n\
         platform.platform.history_s=20\nplatform.platform.value_bytes=1048576\n\
         platform.platform.ttl_min_ms=1000\n\
         terms.contracts=base,drain,config,cost,retry,recover,own,platform\n\
         terms.fault_tolerance.machines=2\nterms.fault_tolerance.zones=1\n\
         terms.fault_tolerance.regions=0\nterms.bounds.seed_lag_s=3\n\
         terms.bounds.addr_reuse_s=2\nterms.bounds.contact_ms=3000\nterms.bounds.ack_ms=4000\n\
         terms.bounds.catch_up_s=4\nterms.bounds.drain_ms={drain_ms}\n\
         terms.bounds.grace_s={grace_s}\nterms.bounds.loss_slack_ms=200\n\
         terms.bounds.config_apply_ms=2000\nterms.bounds.back_ms=250\n\
         terms.bounds.max_stretch_ms=5000\nterms.bounds.retry_budget_ratio=0.2\n\
         terms.bounds.budget_window_s=10\nterms.bounds.budget_slack=122\n\
         terms.bounds.recovery_s=15\nterms.bounds.hold_max_ms=10000\nterms.bounds.thaw_ms=300\n"
    )
}

impl Edge {
    /// Starts an instance with a loopback address of its own and waits until it is ready.
    pub fn start(number: u8, store: SocketAddr, bounds: Bounds) -> Result<Self, Failure> {
        let process = std::process::id().to_le_bytes();
        let ip = Ipv4Addr::new(127, process[0].max(1), process[1], number);
        let port = (21_000..60_000_u16)
            .step_by(8)
            .find(|port| (0..5).all(|offset| TcpListener::bind((ip, port + offset)).is_ok()))
            .ok_or("no free ports")?;
        let name = format!("edge-{number}");
        let directory = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let path = directory.join("boot.conf");
        fs::write(&path, settings(&name, "zone-1", ip, port, store, bounds))?;
        let log = fs::File::create(directory.join("log"))?;
        let child = Command::new(COMMAND)
            .env("CARAWAYSCALE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        let (callers, readiness) = ((ip, port).into(), (ip, port + 1).into());
        let edge = Self { child, directory, callers, readiness };
        let end = Instant::now() + READY_LIMIT;
        while !edge.is_ready() {
            if Instant::now() > end {
                return Err(format!("{name} does not become ready").into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(edge)
    }

    /// Asks the readiness question of the platform.
    pub fn is_ready(&self) -> bool {
        let asked = Caller::open(self.readiness);
        asked.is_ok_and(|mut caller| {
            caller.call("GET", "/v1/readyz", "", &[]).is_ok_and(|answer| answer.status == 200)
        })
    }

    /// Opens a connection for callers.
    pub fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.callers, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Sends SIGTERM and returns the time before it was sent.
    pub fn terminate(&self) -> Result<Instant, Failure> {
        let at = Instant::now();
        let status = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status()?;
        if status.success() { Ok(at) } else { Err("kill failed".into()) }
    }

    /// Waits until the process exits, and kills it after `limit` as the platform does. Returns the time of
    /// its end.
    pub fn wait(&mut self, limit: Duration) -> io::Result<Instant> {
        let end = Instant::now() + limit;
        while self.child.try_wait()?.is_none() {
            if Instant::now() > end {
                self.child.kill()?;
                self.child.wait()?;
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(Instant::now())
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}
