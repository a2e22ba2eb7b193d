//! One worker: takes requests in order of number, submits them and keeps a sample of each submission.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::client::Addresses;
use crate::client::Client;
use crate::client::Exchange;
use crate::profile::Profile;
use crate::request;
use crate::request::Generator;
use crate::request::Spec;
use crate::sample::Sample;
use crate::sample::Verdict;

/// Pause after an answer other than "answered", so that a closed loop does not spin on refusals.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(5);
/// Descriptions of bad answers that are kept.
const MAX_DETAILS: usize = 20;
/// Pause before a non-repeatable request is submitted again.
const PAUSE_BEFORE_RESEND: Duration = Duration::from_millis(100);

/// What the workers of a run share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) profile: Profile,
    pub(crate) source: Generator,
    pub(crate) addresses: Addresses,
    pub(crate) started: Instant,
    /// Arrival times in microseconds of an open loop; empty in a closed loop.
    pub(crate) arrivals: Vec<u64>,
    pub(crate) next: AtomicU64,
    pub(crate) stop: AtomicBool,
    pub(crate) sources: Mutex<Vec<String>>,
    pub(crate) details: Mutex<Vec<String>>,
}

impl Shared {
    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn limit_us(&self) -> u64 {
        u64::try_from(Duration::from_secs_f64(self.profile.seconds).as_micros()).unwrap_or(0)
    }

    /// Takes the next request: its number and its intended start, if the run goes on.
    ///
    /// In an open loop the intended start is the arrival time if the worker was busy at that time.
    /// A worker that was idle waits for the arrival time; a late wake-up of its timer is no latency of
    /// the servers, so the intended start is then the moment of the wake-up.
    async fn take(&self) -> Option<(u64, u64)> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        if number >= self.profile.requests || self.stop.load(Ordering::Relaxed) {
            return None;
        }
        let mut intended = self.now_us();
        if !self.arrivals.is_empty() {
            let arrival = usize::try_from(number).ok().and_then(|n| self.arrivals.get(n))?;
            if *arrival > intended {
                let moment = self.started + Duration::from_micros(*arrival);
                tokio::time::sleep_until(moment.into()).await;
                intended = self.now_us();
            } else {
                intended = *arrival;
            }
        }
        let ended = intended >= self.limit_us() || self.stop.load(Ordering::Relaxed);
        (!ended).then_some((number, intended))
    }
}

/// Runs a worker until the run ends.
pub(crate) async fn work(shared: Arc<Shared>, index: usize) -> Vec<Sample> {
    let mut worker = Worker {
        client: Client::new(index % shared.addresses.len().max(1)),
        samples: Vec::new(),
        sources: HashMap::new(),
        shared,
    };
    while let Some((number, intended)) = worker.shared.take().await {
        let draft = worker.shared.source.generate(number);
        let verdict = worker.request(&draft, intended).await;
        if !verdict.answered() {
            tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
        }
    }
    worker.samples
}

struct Worker {
    shared: Arc<Shared>,
    client: Client,
    samples: Vec<Sample>,
    sources: HashMap<String, u32>,
}

impl Worker {
    /// Submits a request, and again while it is non-repeatable and its outcome is not known.
    async fn request(&mut self, draft: &Spec, intended: u64) -> Verdict {
        let run = self.shared.profile.run.clone();
        let mut ids = vec![request::request_id(&run, draft.number, 0)];
        let mut verdict = self.submit(draft, 0, intended, &ids).await;
        let keyed = self.kind_has_key(draft);
        let mut submission = 0;
        while keyed && open(verdict, submission) && submission < self.shared.profile.resends {
            submission += 1;
            tokio::time::sleep(PAUSE_BEFORE_RESEND * u32::from(submission)).await;
            self.client.rotate(&self.shared.addresses);
            ids.push(request::request_id(&run, draft.number, submission));
            let now = self.shared.now_us();
            verdict = self.submit(draft, submission, now, &ids).await;
        }
        verdict
    }

    fn kind_has_key(&self, draft: &Spec) -> bool {
        self.shared.profile.kinds.get(draft.kind).is_some_and(|kind| kind.idempotency_key)
    }

    async fn submit(&mut self, draft: &Spec, n: u8, intended_us: u64, ids: &[String]) -> Verdict {
        let shared = Arc::clone(&self.shared);
        let profile = &shared.profile;
        let exchange = match request::build(profile, draft, n) {
            Ok(request) => {
                let bytes = profile.kinds.get(draft.kind).and_then(|kind| kind.answer_bytes);
                let limit = Duration::from_millis(profile.timeout_ms);
                let addresses = &shared.addresses;
                self.client.submit(addresses, request, ids, bytes, profile.direct, limit).await
            }
            Err(_) => Exchange::unanswered(Verdict::Unreachable, 0),
        };
        if let Some(detail) = exchange.detail {
            let mut details = locked(&shared.details);
            if details.len() < MAX_DETAILS {
                details.push(detail);
            }
        }
        let source = exchange.incarnation.map(|source| self.intern(source));
        self.samples.push(Sample {
            number: draft.number,
            submission: n,
            kind: u16::try_from(draft.kind).unwrap_or(u16::MAX),
            key: draft.key,
            entry: u16::try_from(exchange.entry).unwrap_or(u16::MAX),
            incarnation: source,
            intended_us,
            ended_us: shared.now_us(),
            verdict: exchange.verdict,
        });
        exchange.verdict
    }

    /// Returns the number of a source within the run.
    fn intern(&mut self, source: String) -> u32 {
        if let Some(index) = self.sources.get(&source) {
            return *index;
        }
        let mut list = locked(&self.shared.sources);
        let position = list.iter().position(|known| *known == source).unwrap_or_else(|| {
            list.push(source.clone());
            list.len() - 1
        });
        drop(list);
        let index = u32::try_from(position).unwrap_or(u32::MAX);
        self.sources.insert(source, index);
        index
    }
}

/// Locks a list. A list whose holder panicked is still whole, because each change is one push.
pub(crate) fn locked(list: &Mutex<Vec<String>>) -> MutexGuard<'_, Vec<String>> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns true if the request may have run, or if an earlier submission of it may still be running.
fn open(verdict: Verdict, submission: u8) -> bool {
    match verdict {
        Verdict::Unknown(_) | Verdict::Lost | Verdict::Broken | Verdict::TimedOut => true,
        Verdict::Refused(_) | Verdict::Unreachable => submission > 0,
        Verdict::Answered(_) | Verdict::Truncated | Verdict::Wrong | Verdict::Malformed => false,
    }
}
