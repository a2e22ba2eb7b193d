//! Schedules of faults.

use std::time::Duration;

use crate::environment::Environment;
use crate::environment::Kind;
use crate::fault::Action;
use caraway_load::random::Random;

/// Time before the first fault.
const LEAD: Duration = Duration::from_millis(1500);
/// Number of different faults.
const FAULTS: u64 = 10;
/// Time between two faults of the demo. Each fault is undone within this time.
const DEMO_GAP: Duration = Duration::from_millis(2800);
/// Time without new faults at the end of a run, so that everything is served again.
const TAIL: Duration = Duration::from_millis(3500);

/// A change at a moment of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// Time since the start of the load.
    pub at: Duration,
    /// The change.
    pub action: Action,
}

/// Returns the names of the processes that faults are chosen from.
#[derive(Clone, Debug)]
pub struct Candidates {
    /// Entry instances.
    pub entries: Vec<String>,
    /// Targets.
    pub targets: Vec<String>,
    /// Failure domains.
    pub domains: Vec<String>,
}

impl Candidates {
    /// Returns the processes of an environment.
    pub fn new(environment: &Environment) -> Self {
        Self {
            entries: environment.names(Kind::Entry),
            targets: environment.names(Kind::Target),
            domains: environment.plan().domains.iter().map(ToString::to_string).collect(),
        }
    }
}

/// Makes the schedule of the demo: every fault in turn, victims by seed.
pub fn demo(cast: &Candidates, seed: u64, length: Duration) -> Vec<Step> {
    let mut random = Random::new(seed, 1);
    let mut steps = Vec::new();
    let mut at = LEAD;
    let mut number = 0;
    while at + TAIL <= length {
        let faults = numbered(cast, number, &mut random);
        faults.into_iter().for_each(|action| add(&mut steps, at, action));
        at += DEMO_GAP;
        number += 1;
    }
    sort(steps)
}

/// Makes a random schedule: single faults and pairs at random moments, all victims by seed.
pub fn random(cast: &Candidates, seed: u64, length: Duration) -> Vec<Step> {
    let mut random = Random::new(seed, 2);
    let mut steps = Vec::new();
    let mut at = LEAD;
    while at + TAIL <= length {
        let number = random.below(FAULTS);
        let mut faults = numbered(cast, number, &mut random);
        if random.below(3) == 0 {
            let number = random.below(FAULTS);
            faults.extend(numbered(cast, number, &mut random));
        }
        for action in faults {
            let offset = Duration::from_millis(random.below(400));
            add(&mut steps, at + offset, action);
        }
        at += Duration::from_millis(1500 + random.below(2500));
    }
    sort(steps)
}

/// Returns fault number `number`, some of which are pairs.
fn numbered(cast: &Candidates, number: u64, random: &mut Random) -> Vec<Action> {
    let mut entry = || pick(&cast.entries, random);
    match number % FAULTS {
        0 => vec![Action::Kill(entry())],
        2 => vec![Action::Freeze(entry())],
        6 => vec![Action::Stop(entry())],
        7 => vec![Action::DropResponses(2), Action::Kill(entry())],
        1 => vec![Action::Kill(pick(&cast.targets, random))],
        3 => vec![Action::Freeze(pick(&cast.targets, random))],
        4 => vec![Action::StoreDown(true), Action::Kill(pick(&cast.targets, random))],
        5 => vec![Action::StoreDelay(800), Action::Kill(pick(&cast.entries, random))],
        8 => vec![
            Action::Partition(vec![pick(&cast.domains, random)]),
            Action::Kill(pick(&cast.entries, random)),
        ],
        _ => vec![Action::Promote, Action::Drain(pick(&cast.targets, random))],
    }
}

fn pick(names: &[String], random: &mut Random) -> String {
    let count = u64::try_from(names.len()).unwrap_or(0);
    let index = usize::try_from(random.below(count)).unwrap_or(0);
    names.get(index).cloned().unwrap_or_default()
}

/// Adds a change and the change that ends it.
fn add(steps: &mut Vec<Step>, at: Duration, action: Action) {
    if let Some((after, undo)) = action.undo() {
        steps.push(Step { at: at + after, action: undo });
    }
    steps.push(Step { at, action });
}

fn sort(mut steps: Vec<Step>) -> Vec<Step> {
    steps.sort_by_key(|step| step.at);
    steps
}
