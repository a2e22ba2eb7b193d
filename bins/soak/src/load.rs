//! Load generator: callers that reuse each connection until it closes.

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
use crate::crowd;
use caraway_production::caller::Caller;
use caraway_production::caller::Response;

/// Longest pause of a caller between two requests.
const MAX_PAUSE: Duration = Duration::from_millis(24);

/// Delay of a caller after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Header field with the deadline of each request, in milliseconds.
const DEADLINE: (&str, &str) = ("carawayscale-deadline-ms", "2000");

/// Beginning of the body with which an instance answers a request that it breaks off at the end of a stop.
const BROKEN_OFF: &str = "this instance stops before the target has answered";

/// One in this many callers goes on using its connection after a response that closes it.
const REUSE_PERIOD: usize = 4;

/// One in this many requests takes most of its deadline.
const SLOW_PERIOD: u32 = 16;

/// Longest work of other requests, and of slow ones, in milliseconds.
const MAX_WORK_MS: u32 = 30;
const MAX_SLOW_WORK_MS: u32 = 1800;

/// One in this many requests is for the hot key.
const HOT_KEY_PERIOD: u32 = 10;

/// Path keywords that select a misbehavior of the target; the empty one selects none.
const MISBEHAVIORS: [&str; 9] = [
    "twice",
    "late-second",
    "unframed",
    "break-before",
    "break-midway",
    "",
    "shed-once",
    "endless-interim",
    "endless-fields",
];

/// One in this many requests selects a random entry of [`MISBEHAVIORS`].
const MISBEHAVIOR_PERIOD: u32 = 8;

/// Running callers.
#[derive(Debug)]
pub struct Load {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Load {
    /// Starts callers and misbehaving clients, each on its own thread.
    pub fn start(seed: u64, callers: usize, misbehaving: usize, instances: &[SocketAddr]) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let start = |number: usize| {
            let (stopping, calls) = (stopping.clone(), calls.clone());
            let instances = instances.to_vec();
            let mut sender = Sender {
                random: StdRng::seed_from_u64(seed ^ (number as u64 + 1)),
                number,
                count: 0,
                connection: None,
            };
            thread::spawn(move || {
                while !stopping.load(Ordering::SeqCst) {
                    sender.step(&instances, &calls);
                }
            })
        };
        let start_misbehaving = |number: usize| {
            let (stopping, instances) = (stopping.clone(), instances.to_vec());
            let seed = seed ^ (callers + number + 1) as u64;
            thread::spawn(move || crowd::run(seed, &instances, &stopping))
        };
        let threads =
            (0..callers).map(start).chain((0..misbehaving).map(start_misbehaving)).collect();
        Self { stopping, threads, calls }
    }

    /// Stops the callers and returns their calls.
    pub fn finish(self) -> Vec<Call> {
        self.stopping.store(true, Ordering::SeqCst);
        for thread in self.threads {
            // The calls of a caller that panicked are already recorded.
            let _ = thread.join();
        }
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// State of one caller.
struct Sender {
    random: StdRng,
    number: usize,
    count: u64,
    connection: Option<(usize, Caller)>,
}

impl Sender {
    /// Sends one request, records the call and pauses. Opens a connection if there is none.
    fn step(&mut self, instances: &[SocketAddr], calls: &Mutex<Vec<Call>>) {
        let Some((instance, mut connection)) = self.connection.take().or_else(|| {
            let instance = self.random.random_range(0..instances.len());
            Some((instance, Caller::open(*instances.get(instance)?).ok()?))
        }) else {
            thread::sleep(RECONNECT_DELAY);
            return;
        };
        self.count += 1;
        let attempt = format!("s{}-{}", self.number, self.count);
        let kind = match self.random.random_range(0..4) {
            0 => Kind::Read,
            1 => Kind::Order,
            _ => Kind::Key,
        };
        let slow = self.random.random_range(0..SLOW_PERIOD) == 0;
        let longest = if slow { MAX_SLOW_WORK_MS } else { MAX_WORK_MS };
        let wait = self.random.random_range(0..longest);
        let key =
            if self.random.random_range(0..HOT_KEY_PERIOD) == 0 { 7 } else { self.random.random() };
        let key: u16 = key;
        let misbehaves = self.random.random_range(0..MISBEHAVIOR_PERIOD) == 0;
        let index = if misbehaves {
            self.random.random_range(0..MISBEHAVIORS.len())
        } else {
            MISBEHAVIORS.len()
        };
        let misbehavior = MISBEHAVIORS.get(index).copied().unwrap_or_default();
        let sent = Instant::now();
        let response =
            call(&mut connection, kind, &attempt, &format!("{misbehavior}-wait-{wait}"), key);
        let ended = Instant::now();
        let (end, keep) = match response {
            Ok(response) => {
                let closes = response.header("connection") == Some("close");
                let keep = !closes || self.number.is_multiple_of(REUSE_PERIOD);
                (end(&response, &attempt), keep)
            }
            Err(_) => (End::Cut, false),
        };
        let call = Call { attempt, kind, instance, sent, ended, end };
        calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
        if keep {
            self.connection = Some((instance, connection));
        }
        thread::sleep(MAX_PAUSE.mul_f64(self.random.random()));
    }
}

/// Sends a request and reads its response. `keywords` are part of the path and select the target's
/// behavior.
///
/// # Errors
///
/// Fails if the connection closes before the response is complete.
pub fn call(
    connection: &mut Caller,
    kind: Kind,
    attempt: &str,
    keywords: &str,
    key: u16,
) -> std::io::Result<Response> {
    let key = key.to_string();
    match kind {
        Kind::Read => connection.call("GET", &format!("/read/{keywords}"), attempt, &[DEADLINE]),
        Kind::Order => connection.call("POST", &format!("/order/{keywords}"), attempt, &[DEADLINE]),
        Kind::Key => {
            let headers = [DEADLINE, ("carawayscale-shard-key", key.as_str())];
            connection.call("GET", &format!("/key/{keywords}"), attempt, &headers)
        }
    }
}

/// Returns how a call ended that got a response.
fn end(response: &Response, attempt: &str) -> End {
    let own = belongs_to(response, attempt);
    if response.status == 502 && !own && response.body.starts_with(BROKEN_OFF) {
        return End::BrokenOff;
    }
    End::Answered { status: response.status, own }
}

/// Returns whether a response is a target's complete response to an attempt.
fn belongs_to(response: &Response, attempt: &str) -> bool {
    response.header("carawayscale-response-signature").is_some()
        && response.body.split_once(':').is_some_and(|(_, id)| id == attempt)
}
