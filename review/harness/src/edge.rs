//! Entry instances as child processes, started with the command of the deploy file.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// Command of the role in `deploy/system.toml`, relative to the root of the repository.
const PROGRAM: &str = "target/release/caraway-edge";

/// Memory of a machine in MiB, from the site sheet.
pub const MEMORY_MB: u64 = 182;

/// An entry instance. Its process is killed on drop.
#[derive(Debug)]
pub struct Edge {
    child: Option<Child>,
    root: PathBuf,
    directory: PathBuf,
    /// Name of the machine.
    pub name: String,
    /// Address for clients.
    pub frontend: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
}

/// Returns settings like those that the platform writes, with the bounds of the andina site.
fn settings(name: &str, zone: &str, ip: Ipv4Addr, port: u16, store: SocketAddr) -> String {
    let (readiness, control) = (port + 1, port + 2);
    let (first, last) = (port + 3, port + 6);
    format!(
        "grants=api_call\nself.node_name={name}\nself.role=edge\nself.machine_class=edge\n\
         self.serves=edge\nself.ip={ip}\nself.zone={zone}\nself.region=andina\n\
         self.in_tolerance=false\nself.bootstrap=true\nself.limits.cpu_share=0.14\n\
         self.limits.cpu_cores=1\nself.limits.memory_mb={MEMORY_MB}\nself.limits.max_fds=2870\n\
         self.limits.link_mbps=700.0\nself.limits.disk_mb=0\n\
         network.bind_addresses.frontend={ip}:{port}\n\
         network.bind_addresses.readiness={ip}:{readiness}\n\
         network.bind_addresses.control_plane={ip}:{control}\n\
         network.internal_ports={first},{last}\nnetwork.zones.{zone}=andina\n\
         platform.discovery=platform\nplatform.entry_mode=vip\nplatform.heartbeat_ms=870\n\
         platform.platform.address={store}\nplatform.platform.form=kv\n\
         platform.platform.writes_per_s=400\nplatform.platform.reads_per_s=2000\n\
         platform.platform.history_s=20\nplatform.platform.value_bytes=1048576\n\
         platform.platform.ttl_min_ms=1000\n\
         terms.contracts=base,drain,config,cost,retry,recover,own,platform\n\
         terms.bounds.seed_lag_s=3\nterms.bounds.addr_reuse_s=2\nterms.bounds.contact_ms=3000\n\
         terms.bounds.ack_ms=4000\nterms.bounds.catch_up_s=4\nterms.bounds.drain_ms=2000\n\
         terms.bounds.grace_s=6\nterms.bounds.loss_slack_ms=200\n\
         terms.bounds.config_apply_ms=2000\nterms.bounds.back_ms=250\n\
         terms.bounds.max_stretch_ms=5000\nterms.bounds.retry_budget_ratio=0.2\n\
         terms.bounds.budget_window_s=10\nterms.bounds.budget_slack=122\n\
         terms.bounds.recovery_s=15\nterms.bounds.hold_max_ms=10000\nterms.bounds.thaw_ms=300\n"
    )
}

impl Edge {
    /// Starts an instance on its own loopback address. `directory` receives settings and logs.
    pub fn start(
        root: &Path,
        directory: &Path,
        number: u8,
        zone: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let process = std::process::id().to_le_bytes();
        let ip = Ipv4Addr::new(127, process[0].max(1), process[1], number);
        let port = (20_000_u16..30_000)
            .step_by(8)
            .find(|port| (0..8).all(|offset| TcpListener::bind((ip, port + offset)).is_ok()))
            .ok_or_else(|| io::Error::other("no free ports"))?;
        let name = format!("edge-{zone}-{number}");
        fs::write(directory.join(&name), settings(&name, zone, ip, port, store))?;
        let mut edge = Self {
            child: None,
            root: root.to_owned(),
            directory: directory.to_owned(),
            name,
            frontend: (ip, port).into(),
            readiness: (ip, port + 1).into(),
        };
        edge.spawn()?;
        Ok(edge)
    }

    /// Starts the process, also again after it has ended.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = self.directory.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .current_dir(&self.root)
            .env_clear()
            .env("CARAWAYSCALE_CONFIG", self.directory.join(&self.name))
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the resident memory in KiB, or zero if it cannot be read.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Returns the log of all runs of the process.
    pub fn log(&self) -> String {
        let log = self.directory.join(format!("{}.log", self.name));
        fs::read_to_string(log).unwrap_or_default()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}
