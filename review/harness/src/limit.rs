//! Memory limit of the machines: a process above it is killed and starts again, as on the platform.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::edge;
use crate::edge::Edge;
use crate::record::Record;
use crate::server::lock;

/// Interval between checks of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Requests that may be lost. More break the rule.
pub const MAX_LOST: usize = 3;

/// The watched processes of a deployment.
pub struct Limit {
    record: Arc<Record>,
    ending: Arc<AtomicBool>,
    /// Each returns the number of ends and the peak memory in KiB.
    watches: Vec<JoinHandle<(usize, u64)>>,
}

impl Limit {
    /// Starts to watch all entry instances of a deployment.
    pub fn start(deployment: &Deployment) -> Self {
        let (record, ending) = (deployment.record.clone(), Arc::new(AtomicBool::new(false)));
        let watch_edge = |edge: &Arc<Mutex<Edge>>| {
            let (edge, record, ending) = (edge.clone(), record.clone(), ending.clone());
            thread::spawn(move || watch(&edge, &record, &ending))
        };
        let watches = deployment.edges.iter().map(watch_edge).collect();
        Self { record, ending, watches }
    }

    /// Ends the watches, and records how often each process ended.
    pub fn end(self) -> Result<(), String> {
        self.ending.store(true, Ordering::SeqCst);
        for (index, watch) in self.watches.into_iter().enumerate() {
            let (ends, peak) = watch.join().map_err(|_| "a watch has failed".to_owned())?;
            let text = format!("machine {}: {ends} ends, peak memory {peak} KiB", index + 1);
            self.record.announce(&text);
        }
        Ok(())
    }
}

/// Kills and restarts the process when it exceeds the memory of its machine. Returns how often it
/// did, and its peak memory in KiB.
fn watch(edge: &Mutex<Edge>, record: &Record, ending: &AtomicBool) -> (usize, u64) {
    let (mut ends, mut peak) = (0, 0);
    while !ending.load(Ordering::SeqCst) {
        let mut process = lock(edge);
        let memory = process.memory_kib();
        peak = peak.max(memory);
        let exceeded = memory > edge::MEMORY_MB << 10;
        if exceeded || process.has_ended() {
            ends += 1;
            let name = process.name.clone();
            record.announce(&format!("{name} ends with {memory} KiB of memory, end {ends}"));
            process.kill();
            thread::sleep(RESTART_DELAY);
            if let Err(error) = process.spawn() {
                record.announce(&format!("{name} does not start: {error}"));
            }
        }
        drop(process);
        thread::sleep(CHECK_INTERVAL);
    }
    (ends, peak)
}
