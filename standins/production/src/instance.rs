//! Entry instances as child processes, each with its own loopback address.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

static NEXT_NUMBER: AtomicU16 = AtomicU16::new(0);

/// Number of instances of a test process with addresses of their own. Later ones share an address and
/// have ports of their own.
const ADDRESSES: u16 = 254;

/// First port, distance of the ports of instances that share an address, and largest multiple of it.
const FIRST_PORT: u16 = 20_000;
const PORTS_PER_GROUP: u16 = 1_000;
const MAX_GROUPS: u16 = 30;

/// An entry instance that runs as a child process. It is killed on drop.
#[derive(Debug)]
pub struct Instance {
    child: Child,
    program: PathBuf,
    /// Directory that contains the settings and the log.
    pub directory: PathBuf,
    /// Instance name, as in its settings.
    pub name: String,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness_address: SocketAddr,
    /// Address for messages of other instances.
    pub instance_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: SocketAddr,
}

/// Returns the text of a settings file. The instance uses four consecutive ports that begin at `port`.
pub fn settings(name: &str, domain: &str, ip: Ipv4Addr, port: u16, store: SocketAddr) -> String {
    let last = port + 3;
    format!(
        "grants=api_call\nself.node_name={name}\nself.zone={domain}\nself.ip={ip}\n\
         self.limits.cpu_share=0.5\nself.bootstrap=true\n\
         network.bind_addresses.frontend={ip}:{port}\n\
         network.bind_addresses.readiness={ip}:{}\n\
         network.internal_ports={},{last}\n\
         platform.heartbeat_ms=500\nplatform.platform.address={store}\n\
         terms.bounds.hold_max_ms=10000\nterms.bounds.grace_s=6\n\
         terms.bounds.drain_ms=2000\nterms.bounds.retry_budget_ratio=0.2\n\
         terms.bounds.budget_slack=100\nterms.bounds.budget_window_s=10\n\
         terms.bounds.warmup_overshoot=1.5\nterms.bounds.warmup_slack=2\n\
         terms.bounds.evacuate_ms=4000\n",
        port + 1,
        port + 2
    )
}

impl Instance {
    /// Starts an instance of `program` in the failure domain `domain`.
    ///
    /// # Errors
    ///
    /// Fails if no ports are free or the process cannot be started.
    pub fn start(program: &Path, domain: &str, store: SocketAddr) -> io::Result<Self> {
        Self::start_with(program, domain, store, "")
    }

    /// Starts an instance whose settings file has additional lines.
    ///
    /// # Errors
    ///
    /// Fails if no ports are free or the process cannot be started.
    pub fn start_with(
        program: &Path,
        domain: &str,
        store: SocketAddr,
        more: &str,
    ) -> io::Result<Self> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let process = std::process::id().to_le_bytes();
        // Separate addresses or ports for each test process and instance prevent conflicts between
        // tests: a port that is free now may be taken before the instance listens on it.
        let host = u8::try_from(number % ADDRESSES + 1).unwrap_or(1);
        let ip = Ipv4Addr::new(127, process[0].max(1), process[1], host);
        let first = FIRST_PORT + (number / ADDRESSES).min(MAX_GROUPS) * PORTS_PER_GROUP;
        let port = (first..60_000)
            .step_by(8)
            .find(|port| (0..4).all(|offset| TcpListener::bind((ip, port + offset)).is_ok()))
            .ok_or_else(|| io::Error::other("no free ports"))?;
        let name = format!("edge-{number}");
        let directory = std::env::temp_dir().join(format!("caraway-{}-{name}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let settings = settings(&name, domain, ip, port, store);
        fs::write(directory.join("settings"), settings + more)?;
        let child = spawn(program, &directory)?;
        Ok(Self {
            child,
            program: program.to_owned(),
            directory,
            name,
            caller_address: (ip, port).into(),
            readiness_address: (ip, port + 1).into(),
            instance_address: (ip, port + 2).into(),
            metrics_address: (ip, port + 3).into(),
        })
    }

    /// Starts the process again after it has exited, with the same settings and log.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.directory)?;
        Ok(())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the peak memory of the process in KiB, or zero if it cannot be read.
    pub fn peak_memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Returns the number of open descriptors of the process, or zero if it cannot be read.
    pub fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }

    /// Returns the processor time that the process has used, in clock ticks of the system, or zero
    /// if it cannot be read.
    pub fn processor_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        // The name of the program, in parentheses, may contain spaces.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let times = fields.split_whitespace().skip(11).take(2);
        times.filter_map(|text| text.parse::<u64>().ok()).sum()
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let number = format!("-{name}");
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([number, id]).status();
    }

    /// Returns the status of the process if it has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process exits; returns `None` if it is still running after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Returns the log of all runs of the process, or an empty string if it cannot be read.
    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

fn spawn(program: &Path, directory: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(directory.join("log"))?;
    Command::new(program)
        .arg("--settings")
        .arg(directory.join("settings"))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::inherit())
        .spawn()
}
