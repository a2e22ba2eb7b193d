//! Fault schedules.

use std::time::Duration;

use crate::environment::Environment;
use crate::environment::Kind;
use crate::fault::Action;
use caraway_load::random::Random;

/// Time from the start of the load to the first fault.
const FIRST_FAULT_DELAY: Duration = Duration::from_millis(1500);
/// Number of fault combinations in [`fault_actions`].
const FAULT_COUNT: u64 = 10;
/// Time between two faults of the demo. Each fault is reverted within this time.
const DEMO_FAULT_INTERVAL: Duration = Duration::from_millis(2800);
/// Time without new faults at the end of a run, in which all keys must be served again.
const FINAL_RECOVERY: Duration = Duration::from_millis(3500);

/// A change that is applied at a given time of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// Time since the start of the load.
    pub at: Duration,
    /// The change.
    pub action: Action,
}

/// The processes and failure domains from which a schedule selects.
#[derive(Clone, Debug)]
pub struct Candidates {
    /// Names of the entry instances.
    pub entries: Vec<String>,
    /// Names of the targets.
    pub targets: Vec<String>,
    /// Names of the failure domains.
    pub domains: Vec<String>,
}

impl Candidates {
    /// Returns all processes and failure domains of an environment.
    pub fn new(environment: &Environment) -> Self {
        Self {
            entries: environment.names(Kind::Entry),
            targets: environment.names(Kind::Target),
            domains: environment.plan().domains.iter().map(ToString::to_string).collect(),
        }
    }
}

/// Returns the schedule of the demo: all faults in a fixed order, with victims selected by the seed.
pub fn demo(candidates: &Candidates, seed: u64, duration: Duration) -> Vec<Step> {
    let mut random = Random::new(seed, 1);
    let mut steps = Vec::new();
    let mut at = FIRST_FAULT_DELAY;
    let mut number = 0;
    while at + FINAL_RECOVERY <= duration {
        let faults = fault_actions(candidates, number, &mut random);
        faults.into_iter().for_each(|action| add_steps(&mut steps, at, action));
        at += DEMO_FAULT_INTERVAL;
        number += 1;
    }
    sorted(steps)
}

/// Returns a random schedule of single faults and pairs of faults. The seed determines faults, victims
/// and times.
pub fn random(candidates: &Candidates, seed: u64, duration: Duration) -> Vec<Step> {
    let mut random = Random::new(seed, 2);
    let mut steps = Vec::new();
    let mut at = FIRST_FAULT_DELAY;
    while at + FINAL_RECOVERY <= duration {
        let number = random.below(FAULT_COUNT);
        let mut faults = fault_actions(candidates, number, &mut random);
        if random.below(3) == 0 {
            let number = random.below(FAULT_COUNT);
            faults.extend(fault_actions(candidates, number, &mut random));
        }
        for action in faults {
            let offset = Duration::from_millis(random.below(400));
            add_steps(&mut steps, at + offset, action);
        }
        at += Duration::from_millis(1500 + random.below(2500));
    }
    sorted(steps)
}

/// Returns the actions of a fault, with victims selected at random.
fn fault_actions(candidates: &Candidates, number: u64, random: &mut Random) -> Vec<Action> {
    let mut entry = || select(&candidates.entries, random);
    match number % FAULT_COUNT {
        0 => vec![Action::Kill(entry())],
        2 => vec![Action::Freeze(entry())],
        6 => vec![Action::Stop(entry())],
        7 => vec![Action::DropResponses(2), Action::Kill(entry())],
        1 => vec![Action::Kill(select(&candidates.targets, random))],
        3 => vec![Action::Freeze(select(&candidates.targets, random))],
        4 => vec![Action::StoreDown(true), Action::Kill(select(&candidates.targets, random))],
        5 => vec![Action::StoreDelay(800), Action::Kill(select(&candidates.entries, random))],
        8 => vec![
            Action::Partition(vec![select(&candidates.domains, random)]),
            Action::Kill(select(&candidates.entries, random)),
        ],
        _ => vec![Action::Promote, Action::Drain(select(&candidates.targets, random))],
    }
}

fn select(names: &[String], random: &mut Random) -> String {
    let count = u64::try_from(names.len()).unwrap_or(0);
    let index = usize::try_from(random.below(count)).unwrap_or(0);
    names.get(index).cloned().unwrap_or_default()
}

/// Adds a change and the change that reverts it.
fn add_steps(steps: &mut Vec<Step>, at: Duration, action: Action) {
    if let Some((delay, revert)) = action.revert() {
        steps.push(Step { at: at + delay, action: revert });
    }
    steps.push(Step { at, action });
}

fn sorted(mut steps: Vec<Step>) -> Vec<Step> {
    steps.sort_by_key(|step| step.at);
    steps
}
