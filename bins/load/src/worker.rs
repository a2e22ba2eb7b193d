//! Workers: each takes the next request of the run, submits it and records a sample per submission.

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

/// Pause after a request that was not answered, so that a closed loop does not spin on refusals.
const FAILURE_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum number of descriptions of invalid responses in a record.
const MAX_DETAILS: usize = 20;
/// Pause before the first resubmission of a non-repeatable request. It grows linearly with each resubmission.
const RESEND_BACKOFF: Duration = Duration::from_millis(100);

/// State that the workers of a run share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) profile: Profile,
    pub(crate) generator: Generator,
    pub(crate) addresses: Addresses,
    pub(crate) started: Instant,
    /// Arrival times of an open loop in microseconds; empty in a closed loop.
    pub(crate) arrival_times: Vec<u64>,
    pub(crate) next: AtomicU64,
    pub(crate) stop: AtomicBool,
    pub(crate) incarnations: Mutex<Vec<String>>,
    pub(crate) details: Mutex<Vec<String>>,
}

impl Shared {
    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn end_us(&self) -> u64 {
        u64::try_from(Duration::from_secs_f64(self.profile.seconds).as_micros()).unwrap_or(0)
    }

    /// Returns the number and the intended start of the next request, or `None` at the end of the run.
    ///
    /// In an open loop, the intended start is the arrival time if the worker was busy then. An idle worker
    /// waits for the arrival time and uses the time of its wake-up instead, because a late timer is not
    /// latency of the servers.
    async fn next_request(&self) -> Option<(u64, u64)> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        if number >= self.profile.requests || self.stop.load(Ordering::Relaxed) {
            return None;
        }
        let mut intended_us = self.now_us();
        if !self.arrival_times.is_empty() {
            let arrival = usize::try_from(number).ok().and_then(|n| self.arrival_times.get(n))?;
            if *arrival > intended_us {
                let arrival_at = self.started + Duration::from_micros(*arrival);
                tokio::time::sleep_until(arrival_at.into()).await;
                intended_us = self.now_us();
            } else {
                intended_us = *arrival;
            }
        }
        let ended = intended_us >= self.end_us() || self.stop.load(Ordering::Relaxed);
        (!ended).then_some((number, intended_us))
    }
}

/// Runs a worker until the end of the run and returns its samples.
pub(crate) async fn run_worker(shared: Arc<Shared>, index: usize) -> Vec<Sample> {
    let mut worker = Worker {
        client: Client::new(index % shared.addresses.len().max(1)),
        samples: Vec::new(),
        incarnations: HashMap::new(),
        shared,
    };
    while let Some((number, intended_us)) = worker.shared.next_request().await {
        let spec = worker.shared.generator.generate(number);
        let verdict = worker.request(&spec, intended_us).await;
        if !verdict.answered() {
            tokio::time::sleep(FAILURE_BACKOFF).await;
        }
    }
    worker.samples
}

struct Worker {
    shared: Arc<Shared>,
    client: Client,
    samples: Vec<Sample>,
    incarnations: HashMap<String, u32>,
}

impl Worker {
    /// Submits a request. A request with an idempotency key is resubmitted while its outcome is unknown.
    async fn request(&mut self, spec: &Spec, intended_us: u64) -> Verdict {
        let run = self.shared.profile.run.clone();
        let mut ids = vec![request::request_id(&run, spec.number, 0)];
        let mut verdict = self.submit(spec, 0, intended_us, &ids).await;
        let resubmittable = self.has_idempotency_key(spec);
        let mut submission = 0;
        while resubmittable
            && outcome_unknown(verdict, submission)
            && submission < self.shared.profile.resends
        {
            submission += 1;
            tokio::time::sleep(RESEND_BACKOFF * u32::from(submission)).await;
            self.client.rotate(&self.shared.addresses);
            ids.push(request::request_id(&run, spec.number, submission));
            let now = self.shared.now_us();
            verdict = self.submit(spec, submission, now, &ids).await;
        }
        verdict
    }

    fn has_idempotency_key(&self, spec: &Spec) -> bool {
        self.shared.profile.kinds.get(spec.kind).is_some_and(|kind| kind.idempotency_key)
    }

    async fn submit(
        &mut self,
        spec: &Spec,
        submission: u8,
        intended_us: u64,
        ids: &[String],
    ) -> Verdict {
        let shared = Arc::clone(&self.shared);
        let profile = &shared.profile;
        let exchange = match request::build(profile, spec, submission) {
            Ok(request) => {
                let bytes = profile.kinds.get(spec.kind).and_then(|kind| kind.answer_bytes);
                let timeout = Duration::from_millis(profile.timeout_ms);
                let addresses = &shared.addresses;
                self.client.submit(addresses, request, ids, bytes, profile.direct, timeout).await
            }
            Err(_) => Exchange::unanswered(Verdict::Unreachable, 0),
        };
        if let Some(detail) = exchange.detail {
            let mut details = lock(&shared.details);
            if details.len() < MAX_DETAILS {
                details.push(detail);
            }
        }
        let incarnation = exchange.incarnation.map(|name| self.incarnation_index(name));
        self.samples.push(Sample {
            number: spec.number,
            submission,
            kind: u16::try_from(spec.kind).unwrap_or(u16::MAX),
            key: spec.key,
            entry: u16::try_from(exchange.entry).unwrap_or(u16::MAX),
            incarnation,
            intended_us,
            ended_us: shared.now_us(),
            verdict: exchange.verdict,
        });
        exchange.verdict
    }

    /// Returns the index of an incarnation in the record of the run. Adds the incarnation if it is new.
    fn incarnation_index(&mut self, incarnation: String) -> u32 {
        if let Some(index) = self.incarnations.get(&incarnation) {
            return *index;
        }
        let mut names = lock(&self.shared.incarnations);
        let position = names.iter().position(|name| *name == incarnation).unwrap_or_else(|| {
            names.push(incarnation.clone());
            names.len() - 1
        });
        drop(names);
        let index = u32::try_from(position).unwrap_or(u32::MAX);
        self.incarnations.insert(incarnation, index);
        index
    }
}

/// Locks a list. A poisoned list is still consistent, because every change is a single push.
pub(crate) fn lock(list: &Mutex<Vec<String>>) -> MutexGuard<'_, Vec<String>> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns true if the request may have run or if an earlier submission may still be running.
fn outcome_unknown(verdict: Verdict, submission: u8) -> bool {
    match verdict {
        Verdict::Unknown(_) | Verdict::Lost | Verdict::Broken | Verdict::TimedOut => true,
        Verdict::Refused(_) | Verdict::Unreachable => submission > 0,
        Verdict::Answered(_) | Verdict::Truncated | Verdict::Wrong | Verdict::Malformed => false,
    }
}
