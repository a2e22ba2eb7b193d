//! An instance with low limits, and crowds of clients that send more than it can hold.

use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use caraway_production::caller::Caller;
use caraway_production::instance::Instance;
use caraway_production::store::Store;
use caraway_production::target::Journal;
use caraway_production::target::Target;

use crate::cluster::Cluster;
use crate::cluster::configuration;
use crate::cluster::wait;

/// Memory of the machine in the settings of most tests, in MB.
pub const MEMORY_MB: u64 = 48;

/// Descriptors of the machine in the settings of most tests.
pub const MAX_DESCRIPTORS: usize = 256;

/// Time without progress after which the rest of a crowd's bytes is not sent.
const STALL: Duration = Duration::from_millis(1000);

/// Receive buffer of a client, so that few unread responses fit into it.
const RECEIVE_BYTES: usize = 4 << 10;

static TURN: Mutex<()> = Mutex::new(());

/// A running instance under watch. Other tests wait until it is dropped.
pub struct Watched {
    pub cluster: Cluster,
    memory_mb: u64,
    max_descriptors: usize,
    descriptors: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    watcher: Option<JoinHandle<()>>,
    _turn: MutexGuard<'static, ()>,
}

impl Watched {
    /// Starts an instance on a machine with `memory_mb` that accepts bodies of up to `max_body_bytes`.
    pub fn start(memory_mb: u64, max_body_bytes: u64) -> Self {
        Self::start_with(memory_mb, max_body_bytes, "")
    }

    /// Starts an instance whose settings have further lines.
    pub fn start_with(memory_mb: u64, max_body_bytes: u64, more: &str) -> Self {
        Self::start_on(memory_mb, MAX_DESCRIPTORS, max_body_bytes, more)
    }

    /// Starts an instance on a machine with this memory and this many descriptors.
    pub fn start_on(
        memory_mb: u64,
        max_descriptors: usize,
        max_body_bytes: u64,
        more: &str,
    ) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let store = Store::start().unwrap();
        let mut document = configuration(1);
        document["limits"] = json!({
            "max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 5000, "idle_timeout_ms": 10_000,
        });
        for route in document["virtual_hosts"][0]["paths"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(30_000);
        }
        store.put("op/config", &document);
        let journal = Journal::default();
        let target = Target::start("p0", "pool", false, &journal).unwrap();
        store.put(&target.registration_key(), &target.registration("ready"));
        let program = Path::new(env!("CARGO_BIN_EXE_caraway-edge"));
        let limits = format!(
            "self.limits.memory_mb={memory_mb}\nself.limits.max_fds={max_descriptors}\n\
             self.limits.link_mbps=1000\n{more}"
        );
        let instance = Instance::start_with(program, "a", store.address, &limits).unwrap();
        let descriptors = Arc::new(AtomicUsize::new(0));
        let ended = Arc::new(AtomicBool::new(false));
        let cluster = Cluster { store, journal, targets: vec![target], instances: vec![instance] };
        cluster.wait_ready(0);
        let directory = format!("/proc/{}/fd", cluster.instances[0].id());
        let (peak, stop) = (descriptors.clone(), ended.clone());
        let watcher = thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let open = std::fs::read_dir(&directory).map_or(0, Iterator::count);
                peak.fetch_max(open, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(5));
            }
        });
        Self {
            cluster,
            memory_mb,
            max_descriptors,
            descriptors,
            ended,
            watcher: Some(watcher),
            _turn: turn,
        }
    }

    pub fn instance(&self) -> &Instance {
        &self.cluster.instances[0]
    }

    pub fn callers(&self) -> SocketAddr {
        self.instance().caller_address
    }

    /// Checks that an ordinary request is answered and that the limits were kept.
    pub fn check(&mut self) {
        let address = self.callers();
        wait(Duration::from_secs(20), "an ordinary request answered", || {
            let headers = [("carawayscale-deadline-ms", "2000")];
            let response = Caller::open(address)
                .and_then(|mut caller| caller.call("GET", "/read/x", "ordinary", &headers));
            response.is_ok_and(|response| response.status == 200)
        });
        assert!(self.cluster.ready(0), "the readiness check fails");
        assert!(self.cluster.instances[0].wait(Duration::from_millis(50)).is_none(), "ended");
        let peak = self.instance().peak_memory_kib() * 1024;
        // The watcher may not have run since the crowd came.
        self.descriptors.fetch_max(self.instance().open_descriptors(), Ordering::SeqCst);
        let descriptors = self.descriptors.load(Ordering::SeqCst);
        assert!(descriptors > 0, "the descriptors cannot be read");
        println!("peak memory {peak} bytes, peak descriptors {descriptors}");
        assert!(peak < self.memory_mb * 1_000_000, "peak memory {peak} bytes");
        assert!(descriptors < self.max_descriptors, "{descriptors} descriptors");
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        if let Some(watcher) = self.watcher.take() {
            let _ = watcher.join();
        }
    }
}

/// A client that sends `head` and then `body`.
struct Member {
    stream: TcpStream,
    sent: usize,
    done: bool,
}

/// Opens `count` connections and sends `head` and `body` on all of them side by side, `piece` bytes at a time,
/// until everything is sent or the server takes nothing more. Returns the open connections, of which nothing
/// was read.
pub fn send(
    address: SocketAddr,
    count: usize,
    head: &str,
    body: &[u8],
    piece: usize,
) -> Vec<TcpStream> {
    let mut members = Vec::new();
    for _ in 0..count {
        // The server may refuse a connection when it has too many.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
        if socket.connect_timeout(&address.into(), Duration::from_secs(1)).is_err() {
            continue;
        }
        let stream = TcpStream::from(socket);
        stream.set_nonblocking(true).unwrap();
        members.push(Member { stream, sent: 0, done: false });
    }
    let length = head.len() + body.len();
    let mut progress = Instant::now();
    while members.iter().any(|member| !member.done) && progress.elapsed() < STALL {
        let mut moved = false;
        for member in members.iter_mut().filter(|member| !member.done) {
            let rest = match head.as_bytes().get(member.sent..) {
                Some(rest) if !rest.is_empty() => rest,
                _ => &body[member.sent - head.len()..],
            };
            match member.stream.write(&rest[..rest.len().min(piece)]) {
                Ok(written) => {
                    member.sent += written;
                    member.done = member.sent == length;
                    moved = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                // Closing the connection of such a client is allowed.
                Err(_) => member.done = true,
            }
        }
        if moved {
            progress = Instant::now();
        } else {
            thread::sleep(Duration::from_millis(2));
        }
    }
    members.into_iter().map(|member| member.stream).collect()
}

/// Returns the head of a request with the given further header lines.
pub fn head(method: &str, path: &str, lines: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\ncarawayscale-attempt-id: crowd\r\n\
         {lines}\r\n"
    )
}
