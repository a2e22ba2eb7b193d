//! Fault schedules.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use caraway_production::proxy::Link;
use caraway_production::store::Mode;

/// Time before the first fault, in which every key is assigned an owner.
const WARMUP: Duration = Duration::from_millis(500);

/// Mean time between the starts of two faults: short enough that faults overlap.
const MEAN_INTERVAL: Duration = Duration::from_millis(450);

/// Fraction of a run, at its start, in which only maintenance is scheduled. The invariants of
/// maintenance are not enforced while other faults are active.
const MAINTENANCE_SHARE: f64 = 0.4;

/// Shortest time from the draining notice of a target to its end: longer than the drain time in
/// which it may still receive requests.
const LEAVE_NOTICE: Duration = Duration::from_millis(3000);

/// Shortest duration of a fault.
const MIN_DURATION: Duration = Duration::from_millis(300);
/// Longest duration of a fault.
const MAX_DURATION: Duration = Duration::from_millis(4000);

/// Numbers of processes and targets in a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of entry instances.
    pub instances: usize,
    /// Number of targets of the keyed service.
    pub keyed: usize,
    /// Number of targets of the service without keys.
    pub pooled: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self { instances: 4, keyed: 4, pooled: 3 }
    }
}

/// A fault or a maintenance operation. Instances and targets are identified by their index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kills an instance, and restarts it at the end.
    Kill(usize),
    /// Suspends an instance, and resumes it at the end.
    Pause(usize),
    /// Stops an instance gracefully, and restarts it once it has exited.
    Stop(usize),
    /// Makes an instance reload its settings.
    Reload(usize),
    /// Changes the link from an instance to the store.
    StoreLink(usize, Link),
    /// Changes the mode of the store.
    Store(Mode),
    /// Compacts the history of the store.
    Compact,
    /// Crashes a target, and starts a new incarnation at the end.
    Crash(usize),
    /// Announces that a target is draining, and replaces it by a new incarnation at the end.
    Leave(usize),
    /// Removes the registration of a running target, and restores it at the end.
    Unlist(usize),
    /// Changes the link from the instances to a target.
    TargetLink(usize, Link),
    /// Writes this many new configuration versions in quick succession.
    Configure(u64),
    /// Writes a malformed configuration, and a valid one at the end.
    Malformed,
    /// Makes a target say in its responses only that it is leaving, and replaces it by a new
    /// incarnation at the end.
    Announce(usize),
    /// Makes a target refuse all requests and ask for pauses.
    Refuse(usize),
    /// Writes an odd entry, of the given shape, beside those of the targets.
    OddEntry(usize),
    /// Crashes a target, and starts a new incarnation at the end that is cold.
    Cold(usize),
    /// Evacuates a failure domain, and restores it at the end.
    Evacuate(usize),
}

/// Number of failure domains in a run with additional faults.
pub const DOMAINS: usize = 2;

/// Shortest duration of an evacuation: longer than the bound after which no requests may arrive.
const MIN_EVACUATION: Duration = Duration::from_millis(5500);
/// Longest duration of an evacuation.
const MAX_EVACUATION: Duration = Duration::from_millis(8000);

/// One in this many additional faults is an evacuation.
const EVACUATION_PERIOD: u32 = 8;

/// Mean time between the starts of two faults of targets in trouble.
const MEAN_TROUBLE_INTERVAL: Duration = Duration::from_millis(1500);

/// Distinguishes the random numbers of targets in trouble from those of the other faults, so that the
/// other faults of a seed stay the same.
const TROUBLE_SEED: u64 = 0x7a11;

/// Mean time between the starts of two additional faults.
const MEAN_ADDITION_INTERVAL: Duration = Duration::from_millis(1000);

/// Distinguishes the random numbers of the additional faults from those of the others, so that the
/// other faults of a seed stay the same.
const ADDITION_SEED: u64 = 0xc01d;

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Start, as time since the start of the run.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
    /// Time after which the fault is cleared; without effect on faults that are instantaneous.
    pub duration: Duration,
}

/// Returns the fault schedule of a run, in order of start. All faults end by `limit`.
pub fn schedule(seed: u64, size: &Size, limit: Duration) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = WARMUP;
    while at + MIN_DURATION < limit {
        let longest = MAX_DURATION.min(limit - at);
        let duration =
            MIN_DURATION + (longest - MIN_DURATION).mul_f64(random.random::<f64>().powi(2));
        let maintenance = at < limit.mul_f64(MAINTENANCE_SHARE);
        let fault = if maintenance {
            random_maintenance(&mut random, size)
        } else {
            random_fault(&mut random, size)
        };
        let duration = match fault {
            Fault::Leave(_) => duration.max(LEAVE_NOTICE).min(limit - at),
            _ => duration,
        };
        steps.push(Step { at, fault, duration });
        at += MEAN_INTERVAL.mul_f64(-random.random::<f64>().max(1e-9).ln());
    }
    steps.extend(troubles(seed, size, limit));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns the fault schedule of a run with additional faults, in order of start. Its other steps are
/// those of [`schedule`]. All faults end by `limit`.
pub fn extended_schedule(seed: u64, size: &Size, limit: Duration) -> Vec<Step> {
    let mut steps = schedule(seed, size, limit);
    steps.extend(additions(seed, size, limit));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns the additional faults, which begin after the maintenance.
fn additions(seed: u64, size: &Size, limit: Duration) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed ^ ADDITION_SEED);
    let mut steps = Vec::new();
    let mut at = limit.mul_f64(MAINTENANCE_SHARE);
    loop {
        at += MEAN_ADDITION_INTERVAL.mul_f64(-random.random::<f64>().max(1e-9).ln());
        if at + MIN_DURATION >= limit {
            return steps;
        }
        let fault = match random.random_range(0..EVACUATION_PERIOD) {
            0 => Fault::Evacuate(random.random_range(0..DOMAINS)),
            _ => Fault::Cold(random.random_range(0..size.keyed + size.pooled)),
        };
        let (shortest, longest) = match fault {
            Fault::Evacuate(_) => (MIN_EVACUATION, MAX_EVACUATION),
            _ => (MIN_DURATION, MAX_DURATION),
        };
        let (shortest, longest) = (shortest.min(limit - at), longest.min(limit - at));
        let duration = shortest + (longest - shortest).mul_f64(random.random::<f64>());
        steps.push(Step { at, fault, duration });
    }
}

/// Returns the faults of targets in trouble, which begin after the maintenance.
fn troubles(seed: u64, size: &Size, limit: Duration) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed ^ TROUBLE_SEED);
    let mut steps = Vec::new();
    let mut at = limit.mul_f64(MAINTENANCE_SHARE);
    loop {
        at += MEAN_TROUBLE_INTERVAL.mul_f64(-random.random::<f64>().max(1e-9).ln());
        if at + MIN_DURATION >= limit {
            return steps;
        }
        let target = random.random_range(0..size.keyed + size.pooled);
        let fault = match random.random_range(0..3) {
            0 => Fault::Announce(target),
            1 => Fault::Refuse(target),
            _ => Fault::OddEntry(random.random_range(0..usize::MAX)),
        };
        let longest = MAX_DURATION.min(limit - at);
        let duration = match fault {
            Fault::Announce(_) => LEAVE_NOTICE.min(longest),
            _ => MIN_DURATION + (longest - MIN_DURATION).mul_f64(random.random()),
        };
        steps.push(Step { at, fault, duration });
    }
}

/// Returns a random maintenance operation.
fn random_maintenance(random: &mut StdRng, size: &Size) -> Fault {
    match random.random_range(0..6) {
        0 | 1 => Fault::Stop(random.random_range(0..size.instances)),
        2 => Fault::Reload(random.random_range(0..size.instances)),
        3 | 4 => Fault::Leave(random.random_range(0..size.keyed + size.pooled)),
        _ => Fault::Configure(random.random_range(1..6)),
    }
}

/// Returns a random fault or maintenance operation.
fn random_fault(random: &mut StdRng, size: &Size) -> Fault {
    let instance = random.random_range(0..size.instances);
    let target = random.random_range(0..size.keyed + size.pooled);
    match random.random_range(0..20) {
        0 | 1 => Fault::Kill(instance),
        2 | 3 => Fault::Pause(instance),
        4..7 => random_maintenance(random, size),
        7 | 8 => Fault::StoreLink(instance, random_link(random)),
        9 => Fault::Store(Mode::Busy),
        10 => Fault::Store(if random.random() { Mode::Silent } else { Mode::Lossy }),
        11 => Fault::Store(Mode::Deaf),
        12 => Fault::Compact,
        13..16 => Fault::Crash(target),
        16 => Fault::Unlist(target),
        17 | 18 => Fault::TargetLink(target, random_link(random)),
        _ => Fault::Malformed,
    }
}

fn random_link(random: &mut StdRng) -> Link {
    match random.random_range(0..4) {
        0 => Link::Slow(Duration::from_millis(random.random_range(5..300))),
        1 => Link::Silent,
        2 => Link::OneWay,
        _ => Link::Reset,
    }
}
