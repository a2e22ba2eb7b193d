//! Stand-in for a server, as the platform's pages describe it: slots and a short queue, keys by
//! fenced grants, releases that wait for running work.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use caraway_production::http;
use caraway_production::http::Request;

use crate::record::Record;

/// Requests that a server processes concurrently, and those that may wait.
const SLOTS: usize = 4;
const QUEUE: usize = 8;

/// Size of a piece of a response without an end.
const PIECE_BYTES: usize = 16 << 10;

/// Keys that a server holds.
#[derive(Clone, Debug)]
pub struct Hold {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub from: Instant,
    pub until: Instant,
}

/// A request that a server executed, or is executing.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub attempt: String,
    pub key: Option<u16>,
    pub from: Instant,
    pub until: Option<Instant>,
}

/// Faults of a server.
#[derive(Debug, Default)]
pub struct Faults {
    /// Answers every call with a body that does not end, at this many bytes a second; zero: off.
    pub endless_rate: AtomicU64,
    /// Follows one in this many answers with a second copy, sent when the next response on the
    /// connection is expected; zero: off.
    pub extra_every: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: usize,
    answers: u64,
    holds: Vec<Hold>,
    /// Highest tokens seen, each with its keys.
    fences: Vec<(u16, u16, u64)>,
}

/// What all servers of a run did.
#[derive(Debug, Default)]
pub struct Journal {
    pub runs: Mutex<Vec<Run>>,
    /// Grants that were accepted: server, keys, token and time of arrival.
    pub grants: Mutex<Vec<(String, Hold)>>,
}

#[derive(Debug)]
struct Shared {
    id: String,
    keyed: bool,
    record: Arc<Record>,
    journal: Arc<Journal>,
    faults: Faults,
    state: Mutex<State>,
    changed: Condvar,
    stopped: AtomicBool,
}

/// A running server.
#[derive(Clone, Debug)]
pub struct Server {
    shared: Arc<Shared>,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    born: u64,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        keyed: bool,
        record: &Arc<Record>,
        journal: &Arc<Journal>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            keyed,
            record: record.clone(),
            journal: journal.clone(),
            faults: Faults::default(),
            state: Mutex::default(),
            changed: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let shared = serving.clone();
                thread::spawn(move || {
                    // Clients may close a connection at any time.
                    let _ = serve(&shared, stream);
                });
            }
        });
        let (service, zone) = (service.to_owned(), zone.to_owned());
        Ok(Self { shared, address, service, zone, born: 1_780_000_000_000 })
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Returns the entry in the store, with the state `ready` or `draining`.
    pub fn entry(&self, state: &str) -> Value {
        json!({
            "address": self.address.to_string(),
            "info": {
                "service": self.service, "version": "v1", "zone": self.zone, "capacity": SLOTS,
            },
            "status": { "state": state, "sequence": 1, "warmup_left_ms": 0 },
            "born": self.born,
        })
    }

    pub fn entry_key(&self) -> String {
        format!("servers/{}", self.shared.id)
    }

    /// Ends the server: it takes no more connections, and closes an open one at its next request.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Wakes the accept loop, which then closes the listener.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream.try_clone()?);
    // Second copy of the latest answer, which is still to be sent.
    let mut extra: Option<Vec<u8>> = None;
    while let Some(request) = http::read(&mut input)? {
        if shared.stopped.load(Ordering::SeqCst) {
            return stream.shutdown(Shutdown::Both);
        }
        let rate = shared.faults.endless_rate.load(Ordering::SeqCst);
        if rate > 0 {
            shared.record.line(&format!("{} answers {} without an end", shared.id, request.path));
            return send_endless(&mut output, rate);
        }
        if let Some(copy) = extra.take() {
            shared.record.line(&format!(
                "{} sends a second copy of an earlier answer before the answer to {}",
                shared.id, request.path
            ));
            output.write_all(&copy)?;
        }
        let response = match request.path.as_str() {
            "/v1/grant" => grant(shared, &request),
            "/v1/release" => release(shared, &request),
            _ => {
                let (response, answered) = execute(shared, &request);
                let every = shared.faults.extra_every.load(Ordering::SeqCst);
                if answered && every > 0 {
                    let mut state = lock(&shared.state);
                    state.answers += 1;
                    if state.answers.is_multiple_of(every) {
                        extra = Some(response.clone());
                    }
                }
                response
            }
        };
        output.write_all(&response)?;
    }
    Ok(())
}

/// Sends a response whose body does not end until the other side closes.
fn send_endless(output: &mut TcpStream, rate: u64) -> io::Result<()> {
    output.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
    let mut piece = format!("{PIECE_BYTES:x}\r\n").into_bytes();
    piece.extend_from_slice(&vec![b'x'; PIECE_BYTES]);
    piece.extend_from_slice(b"\r\n");
    let started = Instant::now();
    let mut sent = 0_u64;
    loop {
        output.write_all(&piece)?;
        sent += PIECE_BYTES as u64;
        let due = Duration::from_secs_f64(sent as f64 / rate as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
}

fn number(body: &Value, name: &str) -> u64 {
    body.get(name).and_then(Value::as_u64).unwrap_or(0)
}

fn range(request: &Request) -> (u16, u16, u64, u64) {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let key = |name| u16::try_from(number(&body, name)).unwrap_or(0);
    (key("from"), key("target"), number(&body, "fence"), number(&body, "hold_ms"))
}

fn grant(shared: &Shared, request: &Request) -> Vec<u8> {
    let (first, last, fence, millis) = range(request);
    let mut state = lock(&shared.state);
    let newer =
        |(from, to, known): &(u16, u16, u64)| *from <= last && first <= *to && *known > fence;
    if state.fences.iter().any(newer) {
        return http::response(409, &[], b"");
    }
    let (from, until) = (Instant::now(), Instant::now() + Duration::from_millis(millis));
    let same = |hold: &Hold| (hold.first, hold.last, hold.fence) == (first, last, fence);
    let renewed = state.holds.iter().any(|hold| same(hold) && hold.until > from);
    state.fences.retain(|(a, b, known)| (*a, *b, *known) != (first, last, fence));
    state.fences.push((first, last, fence));
    state.holds.retain(|hold| hold.until > from && !same(hold));
    let hold = Hold { first, last, fence, from, until };
    state.holds.push(hold.clone());
    drop(state);
    if !renewed {
        let text = format!("{} holds {first} to {last}, token {fence}, {millis} ms", shared.id);
        shared.record.line(&text);
    }
    lock(&shared.journal.grants).push((shared.id.clone(), hold));
    http::response(200, &[], b"")
}

fn release(shared: &Shared, request: &Request) -> Vec<u8> {
    let (first, last, fence, _) = range(request);
    shared.record.line(&format!("{} is asked to release {first} to {last}", shared.id));
    let mut state = lock(&shared.state);
    state.fences.push((first, last, fence));
    let now = Instant::now();
    let mut rest = Vec::new();
    for hold in &mut state.holds {
        if hold.first > last || first > hold.last || hold.fence > fence || hold.until <= now {
            continue;
        }
        if hold.first < first {
            rest.push(Hold { last: first - 1, ..hold.clone() });
        }
        if hold.last > last {
            rest.push(Hold { first: last + 1, ..hold.clone() });
        }
        hold.until = now;
    }
    state.holds.extend(rest);
    while lock(&shared.journal.runs).iter().any(|run| {
        let concerned = run.key.is_some_and(|key| first <= key && key <= last);
        run.server == shared.id && run.until.is_none() && concerned
    }) {
        let waited = shared.changed.wait_timeout(state, Duration::from_millis(20));
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    drop(state);
    shared.record.line(&format!("{} has released {first} to {last}", shared.id));
    http::response(200, &[("carawayscale-handover", "5c0e7a21d94b36f8")], b"")
}

/// Executes a request that works for as long as its path says, such as `/key/w250`. Returns the
/// response, and whether the request was executed.
fn execute(shared: &Shared, request: &Request) -> (Vec<u8>, bool) {
    let attempt = request.header("carawayscale-attempt-id").unwrap_or_default().to_owned();
    let id = ("carawayscale-attempt-id", attempt.as_str());
    let expected = request.header("carawayscale-target-instance");
    if expected.is_some_and(|expected| expected != shared.id) {
        let response = http::response(421, &[("carawayscale-instance-id", &shared.id)], b"");
        return (response, false);
    }
    let refuse = |status| http::response(status, &[("carawayscale-not-executed", "1"), id], b"");
    let key = request.header("carawayscale-shard-key").and_then(|text| text.parse().ok());
    let held = |state: &State, now: Instant| {
        !shared.keyed
            || key.is_some_and(|key: u16| {
                let holds = |hold: &Hold| hold.first <= key && key <= hold.last && hold.until > now;
                state.holds.iter().any(holds)
            })
    };
    let mut state = lock(&shared.state);
    if !held(&state, Instant::now()) {
        return (refuse(421), false);
    }
    if state.running >= SLOTS && state.waiting >= QUEUE {
        return (refuse(503), false);
    }
    state.waiting += 1;
    while state.running >= SLOTS {
        state = shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
    }
    state.waiting -= 1;
    if !held(&state, Instant::now()) {
        return (refuse(421), false);
    }
    state.running += 1;
    let index = {
        let (server, from) = (shared.id.clone(), Instant::now());
        let mut runs = lock(&shared.journal.runs);
        runs.push(Run { server, attempt: attempt.clone(), key, from, until: None });
        runs.len() - 1
    };
    drop(state);
    shared.record.line(&format!("{} begins {attempt}, key {key:?}", shared.id));
    let work = request.path.rsplit("/w").next().and_then(|text| text.parse().ok()).unwrap_or(10);
    thread::sleep(Duration::from_millis(work));
    let mut state = lock(&shared.state);
    state.running -= 1;
    if let Some(run) = lock(&shared.journal.runs).get_mut(index) {
        run.until = Some(Instant::now());
    }
    drop(state);
    shared.changed.notify_all();
    shared.record.line(&format!("{} ends {attempt}", shared.id));
    let headers = [id, ("carawayscale-response-signature", "3e1b.07.5a2.600.0.c9f2a4d1")];
    let body = format!("{}:{attempt}", shared.id);
    (http::response(200, &headers, body.as_bytes()), true)
}
