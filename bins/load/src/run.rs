//! Load runs on a background thread.

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

/// Random stream of the arrival times. The lower streams belong to the requests, by number.
const ARRIVAL_STREAM: u64 = u64::MAX;

/// A load run in progress. Dropping it stops the run and waits for its end.
#[derive(Debug)]
pub struct Run {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<Result<Vec<Sample>>>>,
}

impl Run {
    /// Starts a run.
    ///
    /// # Errors
    ///
    /// The profile is not valid, or the thread could not be started.
    pub fn start(profile: Profile) -> Result<Self> {
        profile.check()?;
        let started = Instant::now();
        let shared = Arc::new(Shared {
            generator: Generator::new(&profile),
            addresses: Addresses::new(started, &profile.entries),
            started,
            arrival_times: arrival_times(&profile),
            next: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            incarnations: Mutex::new(Vec::new()),
            details: Mutex::new(Vec::new()),
            profile,
        });
        let worker_shared = Arc::clone(&shared);
        let thread = std::thread::Builder::new()
            .name("load".to_owned())
            .spawn(move || run_workers(&worker_shared))?;
        Ok(Self { shared, thread: Some(thread) })
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Returns the time since the start of the run in microseconds, the time scale of the samples.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns true if the run has ended, on its own or after [`Run::stop`].
    pub fn finished(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Stops sending new requests. Requests in flight are completed.
    pub fn stop(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }

    /// Waits for the end of the run and returns its record.
    pub fn finish(mut self) -> Result<Record> {
        let thread = self.thread.take().ok_or(Error::Thread)?;
        let mut samples = thread.join().map_err(|_| Error::Thread)??;
        samples.sort_by_key(|sample| (sample.intended_us, sample.number, sample.submission));
        let incarnations = worker::lock(&self.shared.incarnations).clone();
        let details = worker::lock(&self.shared.details).clone();
        let last_end_us = samples.iter().map(|sample| sample.ended_us).max().unwrap_or(0);
        let addresses = &self.shared.addresses;
        Ok(Record {
            samples,
            incarnations,
            details,
            duration_us: last_end_us,
            connect_failures: addresses.connect_failures.load(Ordering::Relaxed),
            connections: addresses.connections.load(Ordering::Relaxed),
        })
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.stop();
        if let Some(thread) = self.thread.take() {
            // Dropping the run discards its result.
            drop(thread.join());
        }
    }
}

/// Runs a profile and blocks until the run has ended.
pub fn run_to_completion(profile: Profile) -> Result<Record> {
    Run::start(profile)?.finish()
}

fn run_workers(shared: &Arc<Shared>) -> Result<Vec<Sample>> {
    let threads = shared.profile.threads;
    let runtime = Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    let samples = runtime.block_on(async {
        let count = shared.profile.arrival.connections();
        let tasks: Vec<_> = (0..count)
            .map(|index| tokio::spawn(worker::run_worker(Arc::clone(shared), index)))
            .collect();
        let mut samples = Vec::new();
        for task in tasks {
            samples.extend(task.await.map_err(|_| Error::Thread)?);
        }
        Ok(samples)
    });
    runtime.shutdown_timeout(Duration::from_secs(1));
    samples
}

/// Returns the arrival times of an open loop in microseconds, or an empty list for a closed loop.
fn arrival_times(profile: &Profile) -> Vec<u64> {
    let Arrival::Open { rate, poisson, .. } = profile.arrival else { return Vec::new() };
    let mut random = Random::new(profile.seed, ARRIVAL_STREAM);
    let mut arrival_s = 0.0;
    let mut arrivals_us = Vec::new();
    let limit = usize::try_from(profile.requests).unwrap_or(usize::MAX);
    while arrival_s < profile.seconds && arrivals_us.len() < limit {
        let arrival_us = Duration::try_from_secs_f64(arrival_s).unwrap_or_default().as_micros();
        arrivals_us.push(u64::try_from(arrival_us).unwrap_or(u64::MAX));
        arrival_s += if poisson { -(1.0 - random.next_f64()).ln() / rate } else { 1.0 / rate };
    }
    arrivals_us
}
