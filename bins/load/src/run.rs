//! A load run on a thread of its own.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use tokio::runtime::Builder;

use crate::client::Addresses;
use crate::errors::Error;
use crate::errors::Result;
use crate::profile::Arrival;
use crate::profile::Profile;
use crate::random::Random;
use crate::request::Generator;
use crate::sample::Record;
use crate::sample::Sample;
use crate::worker;
use crate::worker::Shared;

/// Stream of the random numbers of arrival times; request numbers use the streams below it.
const ARRIVAL_STREAM: u64 = u64::MAX;

/// A load run in progress. Dropping it stops the run and waits for it.
#[derive(Debug)]
pub struct Run {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<Result<Vec<Sample>>>>,
}

impl Run {
    /// Starts a run.
    pub fn start(profile: Profile) -> Result<Self> {
        profile.check()?;
        let started = Instant::now();
        let shared = Arc::new(Shared {
            source: Generator::new(&profile),
            addresses: Addresses::new(started, &profile.entries),
            started,
            arrivals: arrivals(&profile),
            next: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            sources: Mutex::new(Vec::new()),
            details: Mutex::new(Vec::new()),
            profile,
        });
        let moved = Arc::clone(&shared);
        let thread =
            std::thread::Builder::new().name("load".to_owned()).spawn(move || drive(&moved))?;
        Ok(Self { shared, thread: Some(thread) })
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Returns the moment in microseconds, on the scale of the samples.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns true if the run has ended by itself or after [`Run::stop`].
    pub fn finished(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Lets requests in flight finish and starts no new ones.
    pub fn stop(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }

    /// Waits for the end of the run and returns what it kept.
    pub fn finish(mut self) -> Result<Record> {
        let thread = self.thread.take().ok_or(Error::Thread)?;
        let mut samples = thread.join().map_err(|_| Error::Thread)??;
        samples.sort_by_key(|sample| (sample.intended_us, sample.number, sample.submission));
        let sources = worker::locked(&self.shared.sources).clone();
        let details = worker::locked(&self.shared.details).clone();
        let last = samples.iter().map(|sample| sample.ended_us).max().unwrap_or(0);
        let addresses = &self.shared.addresses;
        Ok(Record {
            samples,
            incarnations: sources,
            details,
            duration_us: last,
            connect_failures: addresses.connect_failures.load(Ordering::Relaxed),
            connections: addresses.connections.load(Ordering::Relaxed),
        })
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.stop();
        if let Some(thread) = self.thread.take() {
            // The result is lost on purpose: the owner dropped the run without asking for it.
            drop(thread.join());
        }
    }
}

/// Runs a profile to its end.
pub fn run_to_completion(profile: Profile) -> Result<Record> {
    Run::start(profile)?.finish()
}

fn drive(shared: &Arc<Shared>) -> Result<Vec<Sample>> {
    let threads = shared.profile.threads;
    let runtime = Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    let samples = runtime.block_on(async {
        let count = shared.profile.arrival.connections();
        let tasks: Vec<_> =
            (0..count).map(|index| tokio::spawn(worker::work(Arc::clone(shared), index))).collect();
        let mut samples = Vec::new();
        for task in tasks {
            samples.extend(task.await.map_err(|_| Error::Thread)?);
        }
        Ok(samples)
    });
    runtime.shutdown_timeout(Duration::from_secs(1));
    samples
}

/// Returns the arrival times of an open loop in microseconds.
fn arrivals(profile: &Profile) -> Vec<u64> {
    let Arrival::Open { rate, poisson, .. } = profile.arrival else { return Vec::new() };
    let mut random = Random::new(profile.seed, ARRIVAL_STREAM);
    let mut moment = 0.0;
    let mut list = Vec::new();
    let limit = usize::try_from(profile.requests).unwrap_or(usize::MAX);
    while moment < profile.seconds && list.len() < limit {
        let micros = Duration::try_from_secs_f64(moment).unwrap_or_default().as_micros();
        list.push(u64::try_from(micros).unwrap_or(u64::MAX));
        moment += if poisson { -(1.0 - random.next_f64()).ln() / rate } else { 1.0 / rate };
    }
    list
}
