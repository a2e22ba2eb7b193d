//! Stand-in for a server of a service without keys, which behaves soundly except for the trouble of its case.

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
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use caraway_production::http;
use caraway_production::http::Request;
use caraway_production::store::Store;

use crate::deployment::Registration;
use crate::deployment::unix_ms;
use crate::record::Record;

/// What a faulty server does with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It sends a refusal without an id in addition, where the response to the next request is expected.
    ExtraRefusal,
    /// It gets one byte wrong, in the name of the field with its signature.
    WrongByte,
    /// It breaks off after this many bytes of the body.
    BreakOff(usize),
}

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the server.
    pub server: String,
    /// Id of the client's attempt.
    pub attempt: String,
    /// When the run began.
    pub at: Instant,
}

/// What all servers of a case do.
#[derive(Clone)]
pub struct World {
    /// Store in which they register.
    pub store: Store,
    /// The record of the case.
    pub record: Record,
    /// Time of a run and size of its answer, by the beginning of the path.
    pub work: Vec<(&'static str, Duration, usize)>,
    /// Requests that began to run.
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Whether a request with `poison` in its path crashes the server that runs it, and after how many bytes of the
    /// answer's body.
    pub poison: Option<usize>,
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Shared {
    world: World,
    id: String,
    address: SocketAddr,
    registration: Registration,
    down: AtomicBool,
    /// Fault, and after how many answers each of its instances comes.
    fault: Mutex<Option<(Fault, u64)>>,
    answers: AtomicU64,
    streams: Mutex<HashMap<u64, TcpStream>>,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

impl Server {
    /// Starts a server on a free port and registers it.
    pub fn start(world: &World, id: &str, service: &str, zone: &str) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let registration = Registration::begin(&world.store, id, service, zone, address, unix_ms());
        let shared = Arc::new(Shared {
            world: world.clone(),
            id: id.to_owned(),
            address,
            registration,
            down: AtomicBool::new(false),
            fault: Mutex::default(),
            answers: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for (number, stream) in (0_u64..).zip(listener.incoming().flatten()) {
                if serving.down.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    lock(&serving.streams).insert(number, copy);
                }
                let shared = serving.clone();
                thread::spawn(move || {
                    // Broken connections are the business of the instance.
                    let _ = serve(&shared, stream);
                    lock(&shared.streams).remove(&number);
                });
            }
        });
        Ok(Self { shared })
    }

    /// Begins a fault that spoils one in `interval` answers, or ends it.
    pub fn set_fault(&self, fault: Option<(Fault, u64)>) {
        *lock(&self.shared.fault) = fault;
    }

    /// Returns whether the server has crashed.
    pub fn is_down(&self) -> bool {
        self.shared.down.load(Ordering::SeqCst)
    }
}

impl Shared {
    /// Ends the server as a crash of its process does: nothing listens any more, and all connections close.
    fn crash(&self) {
        if self.down.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the accept loop, which then closes the listener.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for (_, stream) in lock(&self.streams).drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.world.record.line(&format!("server {} crashes", self.id));
        self.registration.lapse();
    }

    /// Returns the fault that the next answer has.
    fn next_fault(&self) -> Option<Fault> {
        let (fault, interval) = (*lock(&self.fault))?;
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        number.is_multiple_of(interval).then_some(fault)
    }
}

fn serve(shared: &Arc<Shared>, stream: TcpStream) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream.try_clone()?);
    let world = &shared.world;
    // Bytes that come before the response to the next request.
    let mut extra: Option<Vec<u8>> = None;
    while let Some(request) = http::read(&mut input)? {
        if shared.down.load(Ordering::SeqCst) {
            return Ok(());
        }
        if request.path == "/healthz" {
            let fields = [("Carawayscale-Instance-Id", shared.id.as_str())];
            output.write_all(&http::response(200, &fields, b""))?;
            continue;
        }
        let Some(attempt) = request.header("carawayscale-attempt-id").map(str::to_owned) else {
            output.write_all(&http::response(400, &[("Carawayscale-Not-Executed", "1")], b""))?;
            continue;
        };
        let expected = request.header("carawayscale-target-instance");
        if expected.is_some_and(|id| id != shared.id) {
            let fields = [
                ("Carawayscale-Instance-Id", shared.id.as_str()),
                ("Carawayscale-Not-Executed", "1"),
                ("Carawayscale-Attempt-Id", attempt.as_str()),
            ];
            output.write_all(&http::response(421, &fields, b""))?;
            continue;
        }
        if let Some(bytes) = extra.take() {
            world.record.line(&format!(
                "server {} writes a refusal without an id on the connection on which {attempt} has just arrived",
                shared.id
            ));
            output.write_all(&bytes)?;
        }
        let fault = shared.next_fault();
        run(shared, &request, &attempt);
        let (mut answer, head) =
            answer(shared, &request, &attempt, fault == Some(Fault::WrongByte));
        if let Some(size) = world.poison.filter(|_| request.path.contains("poison")) {
            output.write_all(answer.get(..head + size).unwrap_or_default())?;
            thread::sleep(Duration::from_millis(20));
            shared.crash();
            return Ok(());
        }
        match fault {
            None => {}
            Some(Fault::WrongByte) => world.record.line(&format!(
                "server {} answers {attempt} with a wrong byte in the name of the field with its signature",
                shared.id
            )),
            Some(Fault::ExtraRefusal) => {
                extra = Some(http::response(503, &[("Carawayscale-Not-Executed", "1")], b""));
            }
            Some(Fault::BreakOff(size)) if answer.len() > head + size => {
                world
                    .record
                    .line(&format!("server {} breaks off its answer to {attempt}", shared.id));
                answer.truncate(head + size);
                output.write_all(&answer)?;
                return output.shutdown(Shutdown::Both);
            }
            Some(Fault::BreakOff(_)) => {}
        }
        output.write_all(&answer)?;
    }
    Ok(())
}

/// Records a run, and takes its time.
fn run(shared: &Shared, request: &Request, attempt: &str) {
    let world = &shared.world;
    let (server, attempt, at) = (shared.id.clone(), attempt.to_owned(), Instant::now());
    world
        .record
        .line(&format!("server {server} runs {attempt} ({} {})", request.method, request.path));
    lock(&world.runs).push(Run { server, attempt, at });
    let work = world.work.iter().find(|(prefix, ..)| request.path.starts_with(prefix));
    thread::sleep(work.map_or(Duration::from_millis(20), |(_, time, _)| *time));
}

/// Returns an answer and the length of its head.
fn answer(shared: &Shared, request: &Request, attempt: &str, wrong: bool) -> (Vec<u8>, usize) {
    let work = shared.world.work.iter().find(|(prefix, ..)| request.path.starts_with(prefix));
    let size = work.map_or(100, |(_, _, size)| *size);
    let body = vec![b'a'; size];
    let signature = format!("{}.{attempt}.{size}", shared.id);
    let mut fields = vec![
        ("Carawayscale-Attempt-Id", attempt),
        ("Carawayscale-Server-Load", "1,0,4"),
        ("Keep-Alive", "timeout=10"),
    ];
    let name =
        if wrong { "Carawayscale-Response-Xignature" } else { "Carawayscale-Response-Signature" };
    fields.push((name, signature.as_str()));
    let bytes = http::response(200, &fields, &body);
    let head = bytes.len() - size;
    (bytes, head)
}
