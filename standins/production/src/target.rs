//! Stand-in for a target. With a keyed service, it accepts requests only for keys that it holds.

mod keys;

use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Request;
use crate::journal::lock;
use crate::misbehavior;

pub use crate::journal::Arrival;
pub use crate::journal::Hold;
pub use crate::journal::Journal;
pub use crate::journal::Run;

/// Start time of a target's first incarnation, in milliseconds since the Unix epoch.
pub const FIRST_INCARNATION: u64 = 1_700_000_000_000;

/// Window in which a cold target counts the requests that arrive.
const WARMUP_WINDOW: Duration = Duration::from_secs(1);

/// Warm-up of a target.
#[derive(Clone, Copy, Debug)]
struct Warmup {
    /// Time at which the target is warm.
    until: Instant,
    /// Number of requests in any second above which the target crashes.
    max_arrivals: usize,
}

#[derive(Debug)]
struct Shared {
    id: String,
    address: SocketAddr,
    born: u64,
    keyed: bool,
    journal: Journal,
    down: AtomicBool,
    /// Whether all responses say that the target is leaving.
    leaving: AtomicBool,
    /// Warm-up, if the target is cold or was.
    warmup: Mutex<Option<Warmup>>,
    /// Value of `retry-after` with which all requests are refused, if any.
    pause: Mutex<Option<String>>,
    /// Fencing tokens seen, each with its first and last key.
    fences: Mutex<Vec<(u16, u16, u64)>>,
    holds: Mutex<Vec<Hold>>,
    /// Responses that will be written once more, by the id of their connection.
    copies: Mutex<HashMap<u64, Vec<u8>>>,
    /// Keyword of the endless response to all grants and releases, if any.
    endless: Mutex<Option<String>>,
    /// Whether each response to a grant is written twice.
    doubling: AtomicBool,
    /// Time that a release takes.
    release_time: Mutex<Duration>,
    /// Open connections by id.
    streams: Mutex<HashMap<u64, TcpStream>>,
}

/// A running target.
#[derive(Clone, Debug)]
pub struct Target {
    shared: Arc<Shared>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: String,
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
}

impl Target {
    /// Starts the first incarnation of a target on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn start(id: &str, service: &str, keyed: bool, journal: &Journal) -> io::Result<Self> {
        Self::start_incarnation(id, FIRST_INCARNATION, service, keyed, journal)
    }

    /// Starts an incarnation of a target on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn start_incarnation(
        id: &str,
        born: u64,
        service: &str,
        keyed: bool,
        journal: &Journal,
    ) -> io::Result<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(address, id, born, service, keyed, journal)
    }

    /// Starts an incarnation of a target at an address, which an earlier target may have used.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub fn start_at(
        address: SocketAddr,
        id: &str,
        born: u64,
        service: &str,
        keyed: bool,
        journal: &Journal,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            address,
            born,
            keyed,
            journal: journal.clone(),
            down: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            warmup: Mutex::default(),
            pause: Mutex::default(),
            fences: Mutex::default(),
            holds: Mutex::default(),
            copies: Mutex::default(),
            endless: Mutex::default(),
            doubling: AtomicBool::new(false),
            release_time: Mutex::default(),
            streams: Mutex::default(),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for (id, stream) in (0_u64..).zip(listener.incoming().flatten()) {
                if serving.down.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    lock(&serving.streams).insert(id, copy);
                }
                let shared = serving.clone();
                thread::spawn(move || {
                    // Broken connections are handled by the client.
                    let _ = serve(&shared, stream, id);
                    lock(&shared.streams).remove(&id);
                });
            }
        });
        Ok(Self { shared, address, service: service.to_owned(), born })
    }

    /// Returns the registration to store, with the state `ready` or `draining`.
    pub fn registration(&self, state: &str) -> Value {
        self.registration_in(state, "a")
    }

    /// Returns the registration in a failure domain.
    pub fn registration_in(&self, state: &str, domain: &str) -> Value {
        json!({
            "address": self.address.to_string(),
            "info": { "service": self.service, "version": "v1", "zone": domain, "capacity": 4 },
            "status": { "state": state, "sequence": 1, "warmup_left_ms": self.shared.warmup_left_ms() },
            "born": self.born,
        })
    }

    /// Returns the store key of the registration.
    pub fn registration_key(&self) -> String {
        format!("servers/{}", self.shared.id)
    }

    /// Says in all responses from now on that the target is leaving.
    pub fn announce_departure(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Refuses all requests with this value of `retry-after`, or serves them again.
    pub fn set_pause(&self, value: Option<&str>) {
        *lock(&self.shared.pause) = value.map(str::to_owned);
    }

    /// Makes the target cold for some time. In that time it crashes if more than `max_arrivals`
    /// requests arrive within a second, and its responses state the remaining warm-up time.
    pub fn make_cold(&self, time: Duration, max_arrivals: usize) {
        let until = Instant::now() + time;
        *lock(&self.shared.warmup) = Some(Warmup { until, max_arrivals });
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self) -> bool {
        self.shared.warmup_left_ms() > 0
    }

    /// Returns whether the target has crashed.
    pub fn is_down(&self) -> bool {
        self.shared.down.load(Ordering::SeqCst)
    }

    /// Answers all grants and releases with an endless response; `keyword` is one of the keywords of
    /// [`misbehavior`](crate::misbehavior).
    pub fn answer_calls_endlessly(&self, keyword: &str) {
        *lock(&self.shared.endless) = Some(keyword.to_owned());
    }

    /// Writes each response to a grant twice from now on.
    pub fn double_grant_responses(&self) {
        self.shared.doubling.store(true, Ordering::SeqCst);
    }

    /// Makes each release take some time, as while requests for the keys complete.
    pub fn set_release_time(&self, time: Duration) {
        *lock(&self.shared.release_time) = time;
    }

    /// Crashes the target: closes its listener and connections and ends its holds.
    pub fn crash(&self) {
        self.shared.crash();
    }
}

impl Shared {
    /// Returns the remaining warm-up time in milliseconds.
    fn warmup_left_ms(&self) -> u64 {
        let warmup = *lock(&self.warmup);
        let left = warmup.map_or(Duration::ZERO, |warmup| {
            warmup.until.saturating_duration_since(Instant::now())
        });
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns whether the target is cold and got more requests in a second than it tolerates.
    fn is_overwhelmed(&self) -> bool {
        let Some(warmup) = *lock(&self.warmup) else { return false };
        if warmup.until <= Instant::now() {
            return false;
        }
        let arrivals = lock(&self.journal.arrivals);
        // A new process knows nothing of what arrived at the one before it.
        let recent = |arrival: &&Arrival| {
            (&arrival.target, arrival.born) == (&self.id, self.born)
                && arrival.at.elapsed() < WARMUP_WINDOW
        };
        arrivals.iter().filter(recent).count() > warmup.max_arrivals
    }

    fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        // Wakes the accept loop so that it closes the listener before the connections are closed. A
        // client that sees a connection close and opens another one is refused, as by a process
        // that has ended.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for (_, stream) in lock(&self.streams).drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let now = Instant::now();
        let mut holds = lock(&self.journal.holds);
        let belongs = |hold: &&mut Hold| hold.target == self.id && hold.born == self.born;
        for hold in holds.iter_mut().filter(belongs) {
            hold.until = hold.until.min(now);
        }
    }
}

fn serve(shared: &Arc<Shared>, stream: TcpStream, id: u64) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some(request) = http::read(&mut input)? {
        if shared.down.load(Ordering::SeqCst) {
            return Ok(());
        }
        match request.path.as_str() {
            "/healthz" => {
                let id = ("carawayscale-instance-id", shared.id.as_str());
                output.write_all(&http::response(200, &[id], b""))?;
            }
            "/v1/grant" | "/v1/release" if !shared.keyed => {
                output.write_all(&http::response(400, &[], b""))?;
            }
            "/v1/grant" | "/v1/release" => {
                if !control(shared, &request, id, &mut output)? {
                    return Ok(());
                }
            }
            _ => {
                if !execute(shared, &request, &stream, id, &mut output)? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Carries out a grant or a release. Returns whether the connection stays open.
fn control(
    shared: &Shared,
    request: &Request,
    connection: u64,
    output: &mut TcpStream,
) -> io::Result<bool> {
    let endless = lock(&shared.endless).clone();
    if let Some(keyword) = endless {
        return match misbehavior::send_unended(&keyword, "", output) {
            Some(result) => result.map(|()| false),
            None => Ok(false),
        };
    }
    if let Some(copy) = lock(&shared.copies).remove(&connection) {
        output.write_all(&copy)?;
    }
    if request.path == "/v1/release" {
        output.write_all(&keys::release(shared, request))?;
        return Ok(true);
    }
    let response = keys::grant(shared, request);
    output.write_all(&response)?;
    if shared.doubling.load(Ordering::SeqCst) {
        output.write_all(&response)?;
    }
    Ok(true)
}

/// Returns the number that follows a keyword in a path.
fn number_after(path: &str, keyword: &str) -> Option<u64> {
    let text = path.split(keyword).nth(1)?;
    let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
    Some(digits.parse().unwrap_or(0))
}

/// Executes a request and responds as the keywords in its path specify. Returns whether the
/// connection, which has the given id, stays open.
fn execute(
    shared: &Arc<Shared>,
    request: &Request,
    stream: &TcpStream,
    connection: u64,
    output: &mut TcpStream,
) -> io::Result<bool> {
    let attempt = request.header("carawayscale-attempt-id").unwrap_or_default().to_owned();
    let key: Option<u16> =
        request.header("carawayscale-shard-key").and_then(|text| text.parse().ok());
    let not_run = [("carawayscale-not-executed", "1")];
    let expected = request.header("carawayscale-target-instance");
    if expected.is_some_and(|id| id != shared.id) {
        output.write_all(&http::response(421, &not_run, b""))?;
        return Ok(true);
    }
    if shared.keyed {
        let now = Instant::now();
        let holds = lock(&shared.holds);
        let held = key.is_some_and(|key| {
            holds.iter().any(|hold| hold.first <= key && key <= hold.last && hold.until > now)
        });
        drop(holds);
        if !held {
            output.write_all(&http::response(421, &not_run, b""))?;
            return Ok(true);
        }
    }
    let arrival = Arrival {
        target: shared.id.clone(),
        born: shared.born,
        attempt: attempt.clone(),
        at: Instant::now(),
    };
    let arrived_before = {
        let mut arrivals = lock(&shared.journal.arrivals);
        arrivals.push(arrival);
        arrivals.iter().filter(|a| a.target == shared.id && a.attempt == attempt).count() > 1
    };
    if shared.is_overwhelmed() {
        shared.crash();
        return Ok(false);
    }
    let warmup_left = shared.warmup_left_ms().to_string();
    let refusal = |more: &[(&str, &str)]| {
        let id = ("carawayscale-attempt-id", attempt.as_str());
        let mut headers = vec![not_run[0], id];
        headers.extend_from_slice(more);
        if shared.leaving.load(Ordering::SeqCst) {
            headers.push(("server-leaving", "1"));
        }
        http::response(503, &headers, b"")
    };
    let pause = lock(&shared.pause).clone();
    if let Some(value) = pause {
        output.write_all(&refusal(&[("retry-after", &value)]))?;
        return Ok(true);
    }
    let has = |keyword: &str| request.path.contains(keyword);
    if has("shed-always") {
        output.write_all(&http::response(503, &not_run, b""))?;
        return Ok(true);
    }
    if has("shed-once") && !arrived_before {
        let refusal = refusal(&[]);
        lock(&shared.copies).insert(connection, refusal.clone());
        output.write_all(&refusal)?;
        return Ok(true);
    }
    // A faulty target writes its earlier response once more and executes the next request.
    if let Some(copy) = lock(&shared.copies).remove(&connection) {
        output.write_all(&copy)?;
    }
    let mut run = Run {
        target: shared.id.clone(),
        attempt: attempt.clone(),
        path: request.path.clone(),
        key,
        headers: request.headers.clone(),
        body: request.body.clone(),
        at: Instant::now(),
        heard: true,
    };
    let index = {
        let mut runs = lock(&shared.journal.runs);
        runs.push(run.clone());
        runs.len() - 1
    };
    if let Some(time) = number_after(&request.path, "wait-") {
        thread::sleep(Duration::from_millis(time));
        stream.set_nonblocking(true)?;
        let gone = matches!(stream.peek(&mut [0; 1]), Ok(0) | Err(_))
            && !matches!(stream.peek(&mut [0; 1]), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        stream.set_nonblocking(false)?;
        run.heard = !gone;
        if let Some(known) = lock(&shared.journal.runs).get_mut(index) {
            known.heard = !gone;
        }
    }
    if request.path.split("hang-at-").nth(1).is_some_and(|id| id.starts_with(&shared.id)) {
        // Longer than the deadline of any caller of the tests that use it.
        thread::sleep(Duration::from_secs(8));
        return Ok(false);
    }
    let mut body = format!("{}:{attempt}", shared.id);
    if let Some(kilobytes) = number_after(&request.path, "large-") {
        body.push_str(&".".repeat(usize::try_from(kilobytes).unwrap_or(0) * 1000));
    }
    let at_this = |keyword: &str| {
        request.path.split(keyword).nth(1).is_some_and(|id| id.starts_with(&shared.id))
    };
    // A faulty target gets one byte of its response wrong, or leaves the signature out.
    let signature = match () {
        () if at_this("misspelled-at-") => ("carawayscale-response-xignature", "proof"),
        () if at_this("unsigned-at-") => ("carawayscale-response-signature", ""),
        () => ("carawayscale-response-signature", "proof"),
    };
    let mut headers = vec![
        ("carawayscale-attempt-id", attempt.as_str()),
        signature,
        ("carawayscale-server-load", "1,0,4"),
        ("carawayscale-warmup-ms", warmup_left.as_str()),
    ];
    if shared.leaving.load(Ordering::SeqCst) {
        headers.push(("server-leaving", "1"));
    }
    let failing = at_this("fail-at-");
    let status = if failing { 500 } else { 200 };
    if has("fail-at-") && !failing {
        // Delays successful responses, because failures are often faster.
        thread::sleep(Duration::from_millis(20));
    }
    let encoded = http::response(status, &headers, body.as_bytes());
    if let Some(text) = request.path.split("status-").nth(1) {
        // A target in trouble sends a status line that is not valid, and stays connected.
        let text = format!(
            "HTTP/1.1 {text} Status\r\ncarawayscale-attempt-id: {attempt}\r\n\
             carawayscale-response-signature: proof\r\ncontent-length: 0\r\n\r\n"
        );
        output.write_all(text.as_bytes())?;
        return Ok(true);
    }
    if has("crash") || request.header("x-crash").is_some() {
        let sent = match () {
            () if has("crash-midway") => encoded.len() - 3,
            () if has("crash-after") => encoded.len(),
            () => 0,
        };
        output.write_all(encoded.get(..sent).unwrap_or_default())?;
        if sent > 0 {
            // The sender reads the bytes before its connection closes.
            thread::sleep(Duration::from_millis(30));
        }
        shared.crash();
        return Ok(false);
    }
    if has("break-before") {
        stream.shutdown(Shutdown::Both)?;
        return Ok(false);
    }
    if has("break-midway") {
        output.write_all(encoded.get(..encoded.len() - 3).unwrap_or_default())?;
        stream.shutdown(Shutdown::Both)?;
        return Ok(false);
    }
    if let Some(size) = number_after(&request.path, "head-cut-") {
        let head = match has("no-length") {
            true => format!("HTTP/1.1 200 OK\r\ncarawayscale-attempt-id: {attempt}\r\n\r\n")
                .into_bytes(),
            false => encoded,
        };
        output.write_all(head.get(..usize::try_from(size).unwrap_or(0)).unwrap_or_default())?;
        stream.shutdown(Shutdown::Both)?;
        return Ok(false);
    }
    if has("unframed") {
        let mut text = format!(
            "HTTP/1.1 200 OK\r\ncarawayscale-attempt-id: {attempt}\r\n\
             carawayscale-response-signature: proof\r\n\r\n"
        );
        text.push_str(&body);
        output.write_all(text.as_bytes())?;
        stream.shutdown(Shutdown::Both)?;
        return Ok(false);
    }
    if let Some(result) = misbehavior::send_unended(&request.path, &attempt, output) {
        return result.map(|()| false);
    }
    output.write_all(&encoded)?;
    if has("twice") {
        // Sends surplus bytes after the response: a second response to the same request.
        output.write_all(&encoded)?;
    }
    if has("stray-refusal") {
        // Comes in place of the response to the next request on the connection.
        lock(&shared.copies).insert(connection, http::response(503, &not_run, b""));
    }
    if has("repeat-later") {
        lock(&shared.copies).insert(connection, encoded.clone());
    }
    if has("late-second") {
        let mut copy = output.try_clone()?;
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(30));
            drop(copy.write_all(&encoded));
        });
    }
    Ok(true)
}
