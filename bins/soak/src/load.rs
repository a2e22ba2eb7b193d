//! Callers that use their connections until they end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::check::Call;
use crate::check::End;
use crate::check::Kind;
use caraway_production::caller::Caller;
use caraway_production::caller::Response;

/// Longest pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(24);

/// Pause of a caller that found no instance.
const AWAY: Duration = Duration::from_millis(50);

/// Deadline that callers state, in milliseconds, with the name of its header.
const DEADLINE: (&str, &str) = ("carawayscale-deadline-ms", "2000");

/// One request in so many is for the same key.
const HOT: u32 = 10;

/// What a target does with a request, by words of its path; most are answered as they should be.
const MANNERS: [&str; 6] = ["twice", "late-second", "unframed", "break-before", "break-midway", ""];

/// One request in so many meets such a target.
const ODD: u32 = 8;

/// Callers under way.
#[derive(Debug)]
pub struct Load {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Load {
    /// Starts callers, each on a thread of its own.
    pub fn start(seed: u64, callers: usize, instances: &[SocketAddr]) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let start = |number: usize| {
            let (stopping, calls) = (stopping.clone(), calls.clone());
            let instances = instances.to_vec();
            let mut caller = Sender {
                random: StdRng::seed_from_u64(seed ^ (number as u64 + 1)),
                number,
                count: 0,
                connection: None,
            };
            thread::spawn(move || {
                while !stopping.load(Ordering::SeqCst) {
                    caller.step(&instances, &calls);
                }
            })
        };
        let threads = (0..callers).map(start).collect();
        Self { stopping, threads, calls }
    }

    /// Ends the callers and returns what they sent.
    pub fn finish(self) -> Vec<Call> {
        self.stopping.store(true, Ordering::SeqCst);
        for thread in self.threads {
            // A caller that panicked has left its calls behind.
            let _ = thread.join();
        }
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

struct Sender {
    random: StdRng,
    number: usize,
    count: u64,
    connection: Option<(usize, Caller)>,
}

impl Sender {
    fn step(&mut self, instances: &[SocketAddr], calls: &Mutex<Vec<Call>>) {
        let Some((instance, mut connection)) = self.connection.take().or_else(|| {
            let instance = self.random.random_range(0..instances.len());
            Some((instance, Caller::open(*instances.get(instance)?).ok()?))
        }) else {
            thread::sleep(AWAY);
            return;
        };
        self.count += 1;
        let attempt = format!("s{}-{}", self.number, self.count);
        let kind = match self.random.random_range(0..4) {
            0 => Kind::Read,
            1 => Kind::Order,
            _ => Kind::Key,
        };
        let wait = self.random.random_range(0..30);
        let key = if self.random.random_range(0..HOT) == 0 { 7 } else { self.random.random() };
        let key: u16 = key;
        let odd = self.random.random_range(0..ODD) == 0;
        let index = if odd { self.random.random_range(0..MANNERS.len()) } else { MANNERS.len() };
        let manner = MANNERS.get(index).copied().unwrap_or_default();
        let sent = Instant::now();
        let response = call(&mut connection, kind, &attempt, &format!("{manner}-wait-{wait}"), key);
        let ended = Instant::now();
        let (end, keep) = match response {
            Ok(response) => {
                let keep = response.header("connection") != Some("close");
                (End::Answered { status: response.status, own: own(&response, &attempt) }, keep)
            }
            Err(_) => (End::Cut, false),
        };
        let call = Call { attempt, kind, instance, sent, ended, end };
        calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
        if keep {
            self.connection = Some((instance, connection));
        }
        thread::sleep(PAUSE.mul_f64(self.random.random()));
    }
}

/// Sends a request of a kind. The words tell the target what to do with it.
///
/// # Errors
///
/// Fails if the connection ends before the response does.
pub fn call(
    connection: &mut Caller,
    kind: Kind,
    attempt: &str,
    words: &str,
    key: u16,
) -> std::io::Result<Response> {
    let key = key.to_string();
    match kind {
        Kind::Read => connection.call("GET", &format!("/read/{words}"), attempt, &[DEADLINE]),
        Kind::Order => connection.call("POST", &format!("/order/{words}"), attempt, &[DEADLINE]),
        Kind::Key => {
            let headers = [DEADLINE, ("carawayscale-shard-key", key.as_str())];
            connection.call("GET", &format!("/key/{words}"), attempt, &headers)
        }
    }
}

/// Returns whether a response is a target's whole response to an attempt.
fn own(response: &Response, attempt: &str) -> bool {
    response.header("carawayscale-response-signature").is_some()
        && response.body.split_once(':').is_some_and(|(_, id)| id == attempt)
}
