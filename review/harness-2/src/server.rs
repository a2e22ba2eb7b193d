//! Sound server of a service without keys. The path of a request says how long it works and how large its
//! answer is: `/.../w340/k20/...` is 340 ms and 20 KB.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

/// Interval at which a server that works checks whether its caller is still connected.
const CHECK: Duration = Duration::from_millis(5);

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// Id of the attempt.
    pub attempt: String,
    /// Path of the request.
    pub path: String,
    /// Start of the work.
    pub started: Instant,
    /// End of the work, once it has ended.
    pub ended: Option<Instant>,
    /// Whether the work ended early because the connection was closed.
    pub dropped: bool,
}

/// What all servers ran.
#[derive(Clone, Debug, Default)]
pub struct Journal(Arc<Mutex<Vec<Run>>>);

impl Journal {
    fn begin(&self, run: Run) -> usize {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, index: usize, dropped: bool) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(index) {
            (run.ended, run.dropped) = (Some(Instant::now()), dropped);
        }
    }

    /// Returns the runs so far in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Slots of a server. A request waits for one before it runs.
#[derive(Debug, Default)]
struct Slots {
    taken: Mutex<u32>,
    freed: Condvar,
}

impl Slots {
    fn take(&self, most: u32) -> Slot<'_> {
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        while *taken >= most {
            taken = self.freed.wait(taken).unwrap_or_else(PoisonError::into_inner);
        }
        *taken += 1;
        Slot(self)
    }
}

/// A taken slot, which is freed on drop.
struct Slot<'a>(&'a Slots);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        *self.0.taken.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        self.0.freed.notify_one();
    }
}

/// A running server. Its threads run until the process exits.
#[derive(Clone, Debug)]
pub struct Server {
    /// Id of the server.
    pub id: String,
    /// Service of the server.
    pub service: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Number of requests that it runs at a time.
    capacity: u32,
    slots: Arc<Slots>,
    born: u64,
    journal: Journal,
}

impl Server {
    /// Starts a server on a free loopback port.
    pub fn start(id: &str, service: &str, capacity: u32, journal: &Journal) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = since_epoch.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0));
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            capacity,
            slots: Arc::default(),
            born,
            journal: journal.clone(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                // Broken connections are handled by the client.
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        Ok(server)
    }

    /// Returns the key of the entry in the platform's store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the entry that the server writes at a heartbeat.
    pub fn entry(&self, sequence: u64) -> Value {
        json!({
            "address": self.address.to_string(),
            "born": self.born,
            "info": {
                "service": self.service, "version": "v1", "zone": "zone-1", "capacity": self.capacity,
            },
            "status": { "state": "ready", "sequence": sequence, "warmup_left_ms": 0 },
        })
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        loop {
            let Some(request) = Request::read(&mut input)? else { return Ok(()) };
            let Some(answer) = self.answer(&request, &output)? else { return Ok(()) };
            output.write_all(&answer)?;
        }
    }

    /// Runs a request. Returns `None` if its connection was closed meanwhile.
    fn answer(&self, request: &Request, stream: &TcpStream) -> io::Result<Option<Vec<u8>>> {
        let attempt = request.field("carawayscale-attempt-id").unwrap_or_default();
        if request.field("carawayscale-target-instance").is_some_and(|id| id != self.id) {
            let more = format!("carawayscale-instance-id: {}\r\n", self.id);
            return Ok(Some(encode("421 Misdirected Request", &attempt, &more, &[])));
        }
        let _slot = self.slots.take(self.capacity);
        if is_closed(stream)? {
            return Ok(None);
        }
        let started = Instant::now();
        let index = self.journal.begin(Run {
            server: self.id.clone(),
            service: self.service.clone(),
            attempt: attempt.clone(),
            path: request.path.clone(),
            started,
            ended: None,
            dropped: false,
        });
        let work = Duration::from_millis(request.number('w').unwrap_or(0));
        while started.elapsed() < work {
            thread::sleep(CHECK.min(work.saturating_sub(started.elapsed())));
            if is_closed(stream)? {
                self.journal.end(index, true);
                return Ok(None);
            }
        }
        self.journal.end(index, false);
        let size = usize::try_from(request.number('k').unwrap_or(0) * 1024).unwrap_or(0);
        let mut body = format!("{} {attempt}\n", self.id).into_bytes();
        body.resize(body.len().max(size), b'.');
        let more = format!("carawayscale-response-signature: {}.{attempt}\r\n", self.id);
        Ok(Some(encode("200 OK", &attempt, &more, &body)))
    }
}

fn encode(status: &str, attempt: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\ncarawayscale-attempt-id: {attempt}\r\n{more}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns whether the other side has closed or reset a connection.
fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0; 1]);
    stream.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(size) => size == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    })
}

/// A request as a server reads it.
struct Request {
    path: String,
    fields: Vec<(String, String)>,
}

impl Request {
    fn read(input: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let mut fields = Vec::new();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let Some((name, value)) = line.trim_end().split_once(": ") else { break };
            fields.push((name.to_ascii_lowercase(), value.to_owned()));
        }
        let request = Self { path, fields };
        let length = request.field("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        input.read_exact(&mut body)?;
        Ok(Some(request))
    }

    fn field(&self, name: &str) -> Option<String> {
        let mut matching = self.fields.iter().filter(|(field, _)| field == name);
        matching.next().map(|(_, value)| value.clone())
    }

    /// Returns the number in the part of the path that begins with a letter.
    fn number(&self, letter: char) -> Option<u64> {
        self.path.split('/').find_map(|part| part.strip_prefix(letter)?.parse().ok())
    }
}
