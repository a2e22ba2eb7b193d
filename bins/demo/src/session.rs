//! Load and faults on a running environment, and what came of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;

use crate::environment::Environment;
use crate::errors::Error;
use crate::errors::Result;
use crate::fault::Action;
use crate::schedule::Step;
use caraway_load::journal;
use caraway_load::outage::Window;
use caraway_load::profile::Profile;
use caraway_load::report::Report;
use caraway_load::run::Run;

/// Interval at which due changes are looked for.
const TICK: Duration = Duration::from_millis(10);
/// Latency in milliseconds from which a key counts as unavailable.
pub const UNAVAILABLE_LATENCY_MS: u64 = 100;

/// What happened at one moment of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Time since the start of the load in milliseconds.
    pub at_ms: u64,
    /// What was done.
    pub what: String,
    /// Error, if it could not be done.
    pub problem: Option<String>,
    /// Groups that changed their coordinator until the next event, as `group: old -> new`.
    pub takeovers: Vec<String>,
}

/// The outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What the callers saw.
    pub report: Report,
    /// What was done to the environment.
    pub events: Vec<Event>,
}

impl Outcome {
    /// Returns true if no invariant was violated as far as the run can tell.
    pub fn clean(&self) -> bool {
        self.report.clean()
    }
}

/// Runs load on an environment while the steps of a schedule are applied.
///
/// # Errors
///
/// `interrupted` was set, or the load could not be run. A step that fails becomes an event with a
/// problem, and the run goes on.
pub fn run(
    environment: &mut Environment,
    profile: &Profile,
    steps: &[Step],
    interrupted: &AtomicBool,
) -> Result<Outcome> {
    let load = Run::start(profile.clone())?;
    let mut events: Vec<Event> = Vec::new();
    let mut windows: Vec<Window> = Vec::new();
    let mut holders = environment.coordinators();
    let mut away = BTreeSet::new();
    let mut due = steps.iter().peekable();
    while !load.finished() {
        if interrupted.load(Ordering::Relaxed) {
            return Err(Error::Interrupted);
        }
        while let Some(step) = due.next_if(|step| step.at <= load.elapsed()) {
            note_takeovers(environment, &mut holders, &mut events);
            close(&mut windows, load.now_us());
            let what = step.action.to_string();
            let from_us = load.now_us();
            note_away(environment, profile, &step.action, &mut away);
            let (label, except) = (what.clone(), away.clone());
            windows.push(Window { label, from_us, to_us: u64::MAX, except });
            let problem = step.action.apply(environment).err().map(|error| error.to_string());
            events.push(Event { at_ms: from_us / 1000, what, problem, takeovers: Vec::new() });
        }
        std::thread::sleep(TICK);
    }
    note_takeovers(environment, &mut holders, &mut events);
    let end = load.now_us();
    close(&mut windows, end);
    let record = load.finish()?;
    let findings = journal::compare(profile, &record, &environment.journals()?);
    let report = Report::new(profile, &record, &windows, UNAVAILABLE_LATENCY_MS, Some(findings));
    Ok(Outcome { report, events })
}

fn close(windows: &mut [Window], moment: u64) {
    if let Some(window) = windows.last_mut() {
        window.to_us = window.to_us.min(moment);
    }
}

/// Keeps the indices of the entry instances that do not answer their own callers.
fn note_away(
    environment: &Environment,
    profile: &Profile,
    action: &Action,
    away: &mut BTreeSet<u16>,
) {
    let Some(address) =
        action.process().and_then(|name| Some(environment.node(name).ok()?.address))
    else {
        return;
    };
    let position = profile.entries.iter().position(|entry| *entry == address);
    let Some(index) = position.and_then(|index| u16::try_from(index).ok()) else { return };
    if action.undo().is_some() {
        away.insert(index);
    } else {
        away.remove(&index);
    }
}

/// Adds the changes of coordinators since the last event to that event.
fn note_takeovers(
    environment: &Environment,
    holders: &mut BTreeMap<String, String>,
    events: &mut [Event],
) {
    let now = environment.coordinators();
    let Some(event) = events.last_mut() else { return };
    for (group, holder) in &now {
        let old = holders.get(group).map_or("nobody", String::as_str);
        if old != holder {
            event.takeovers.push(format!("{group}: {old} -> {holder}"));
        }
    }
    // A group without a known holder keeps its old one until a new one appears.
    holders.extend(now);
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.report)?;
        for event in &self.events {
            writeln!(f, "{:>8} ms  {}", event.at_ms, event.what)?;
            if let Some(problem) = &event.problem {
                writeln!(f, "             could not be done: {problem}")?;
            }
            for takeover in &event.takeovers {
                writeln!(f, "             {takeover}")?;
            }
        }
        Ok(())
    }
}
