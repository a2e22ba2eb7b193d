//! Schedules of faults.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use caraway_production::proxy::Link;
use caraway_production::store::Mode;

/// Time before the first fault, in which every key gets its owner.
const LEAD: Duration = Duration::from_millis(500);

/// Mean time between two faults, so that several overlap.
const GAP: Duration = Duration::from_millis(450);

/// Part of a run at its start in which there is only planned work: what it may not break is excused beside
/// other faults.
const PLANNED: f64 = 0.4;

/// Shortest time from the notice of a target that leaves to its end: longer than requests may reach it.
const NOTICE: Duration = Duration::from_millis(3000);

/// Shortest and longest time for which a fault lasts.
const SHORTEST: Duration = Duration::from_millis(300);
const LONGEST: Duration = Duration::from_millis(4000);

/// Processes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entry instances.
    pub instances: usize,
    /// Targets of the keyed service.
    pub keyed: usize,
    /// Targets of the other service.
    pub pooled: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self { instances: 4, keyed: 4, pooled: 3 }
    }
}

/// A fault, or planned work. Instances and targets are named by their number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An instance is killed and started again.
    Kill(usize),
    /// An instance is paused, and goes on.
    Pause(usize),
    /// An instance is told to stop, and started again when it has ended.
    Stop(usize),
    /// An instance is told to read its settings again.
    Reload(usize),
    /// The way from an instance to the store.
    StoreLink(usize, Link),
    /// The store.
    Store(Mode),
    /// The store forgets its history.
    Compact,
    /// A target crashes and starts again under its id.
    Crash(usize),
    /// A target says that it leaves, ends, and starts again under its id.
    Leave(usize),
    /// The entry of a target vanishes while it lives, and comes back.
    Unlist(usize),
    /// The way to a target.
    TargetLink(usize, Link),
    /// So many new versions of the configuration in quick succession.
    Configure(u64),
    /// A configuration that cannot be read.
    Malformed,
}

/// A fault at a moment of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Time since the start.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
    /// How long it lasts, where it lasts.
    pub duration: Duration,
}

/// Returns the faults of a run. The last one ends before `limit`.
pub fn schedule(seed: u64, size: &Size, limit: Duration) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = LEAD;
    while at + SHORTEST < limit {
        let longest = LONGEST.min(limit - at);
        let duration = SHORTEST + (longest - SHORTEST).mul_f64(random.random::<f64>().powi(2));
        let planned = at < limit.mul_f64(PLANNED);
        let fault = if planned { work(&mut random, size) } else { fault(&mut random, size) };
        let duration = match fault {
            Fault::Leave(_) => duration.max(NOTICE).min(limit - at),
            _ => duration,
        };
        steps.push(Step { at, fault, duration });
        at += GAP.mul_f64(-random.random::<f64>().max(1e-9).ln());
    }
    steps
}

/// Returns planned work.
fn work(random: &mut StdRng, size: &Size) -> Fault {
    match random.random_range(0..6) {
        0 | 1 => Fault::Stop(random.random_range(0..size.instances)),
        2 => Fault::Reload(random.random_range(0..size.instances)),
        3 | 4 => Fault::Leave(random.random_range(0..size.keyed + size.pooled)),
        _ => Fault::Configure(random.random_range(1..6)),
    }
}

/// Returns any fault, or planned work.
fn fault(random: &mut StdRng, size: &Size) -> Fault {
    let instance = random.random_range(0..size.instances);
    let target = random.random_range(0..size.keyed + size.pooled);
    match random.random_range(0..20) {
        0 | 1 => Fault::Kill(instance),
        2 | 3 => Fault::Pause(instance),
        4..7 => work(random, size),
        7 | 8 => Fault::StoreLink(instance, link(random)),
        9 => Fault::Store(Mode::Busy),
        10 => Fault::Store(if random.random() { Mode::Silent } else { Mode::Lossy }),
        11 => Fault::Store(Mode::Deaf),
        12 => Fault::Compact,
        13..16 => Fault::Crash(target),
        16 => Fault::Unlist(target),
        17 | 18 => Fault::TargetLink(target, link(random)),
        _ => Fault::Malformed,
    }
}

fn link(random: &mut StdRng) -> Link {
    match random.random_range(0..4) {
        0 => Link::Slow(Duration::from_millis(random.random_range(5..300))),
        1 => Link::Silent,
        2 => Link::OneWay,
        _ => Link::Reset,
    }
}
