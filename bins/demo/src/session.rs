//! Runs load on an environment, applies a fault schedule and reports the outcome.

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

/// Interval between checks for due steps.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Latency in milliseconds above which a key counts as unavailable.
pub const UNAVAILABLE_LATENCY_MS: u64 = 100;

/// A change that was applied during a run.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Time since the start of the load in milliseconds.
    pub at_ms: u64,
    /// Description of the change.
    pub what: String,
    /// Error, if the change failed.
    pub problem: Option<String>,
    /// Coordinator changes between this event and the next one, as `group: old -> new`.
    pub takeovers: Vec<String>,
}

/// The outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Results of the load as observed by the callers.
    pub report: Report,
    /// Changes that were applied to the environment.
    pub events: Vec<Event>,
}

impl Outcome {
    /// Returns true if no violation of an invariant was detected.
    pub fn clean(&self) -> bool {
        self.report.clean()
    }
}

/// Runs load on an environment and applies the steps of a schedule.
///
/// # Errors
///
/// `interrupted` was set, or the load could not be run. A step that fails is recorded as an event with a
/// problem, and the run continues.
pub fn run(
    environment: &mut Environment,
    profile: &Profile,
    steps: &[Step],
    interrupted: &AtomicBool,
) -> Result<Outcome> {
    let load = Run::start(profile.clone())?;
    let mut events: Vec<Event> = Vec::new();
    let mut windows: Vec<Window> = Vec::new();
    let mut coordinators = environment.coordinators();
    let mut unavailable_entries = BTreeSet::new();
    let mut due = steps.iter().peekable();
    while !load.finished() {
        if interrupted.load(Ordering::Relaxed) {
            return Err(Error::Interrupted);
        }
        while let Some(step) = due.next_if(|step| step.at <= load.elapsed()) {
            record_takeovers(environment, &mut coordinators, &mut events);
            close_window(&mut windows, load.now_us());
            let what = step.action.to_string();
            let from_us = load.now_us();
            update_unavailable_entries(
                environment,
                profile,
                &step.action,
                &mut unavailable_entries,
            );
            let (label, except) = (what.clone(), unavailable_entries.clone());
            windows.push(Window { label, from_us, to_us: u64::MAX, except });
            let problem = step.action.apply(environment).err().map(|error| error.to_string());
            events.push(Event { at_ms: from_us / 1000, what, problem, takeovers: Vec::new() });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    record_takeovers(environment, &mut coordinators, &mut events);
    let end = load.now_us();
    close_window(&mut windows, end);
    let record = load.finish()?;
    let findings = journal::compare(profile, &record, &environment.journals()?);
    let report = Report::new(profile, &record, &windows, UNAVAILABLE_LATENCY_MS, Some(findings));
    Ok(Outcome { report, events })
}

fn close_window(windows: &mut [Window], end_us: u64) {
    if let Some(window) = windows.last_mut() {
        window.to_us = window.to_us.min(end_us);
    }
}

/// Adds or removes the index of an entry instance that cannot respond to its own callers.
fn update_unavailable_entries(
    environment: &Environment,
    profile: &Profile,
    action: &Action,
    unavailable: &mut BTreeSet<u16>,
) {
    let Some(address) =
        action.process().and_then(|name| Some(environment.node(name).ok()?.address))
    else {
        return;
    };
    let position = profile.entries.iter().position(|entry| *entry == address);
    let Some(index) = position.and_then(|index| u16::try_from(index).ok()) else { return };
    if action.revert().is_some() {
        unavailable.insert(index);
    } else {
        unavailable.remove(&index);
    }
}

/// Adds the coordinator changes since the last event to that event.
fn record_takeovers(
    environment: &Environment,
    coordinators: &mut BTreeMap<String, String>,
    events: &mut [Event],
) {
    let now = environment.coordinators();
    let Some(event) = events.last_mut() else { return };
    for (group, coordinator) in &now {
        let old = coordinators.get(group).map_or("nobody", String::as_str);
        if old != coordinator {
            event.takeovers.push(format!("{group}: {old} -> {coordinator}"));
        }
    }
    // A group without a known coordinator keeps its previous one until a new one is reported.
    coordinators.extend(now);
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.report)?;
        for event in &self.events {
            writeln!(f, "{:>8} ms  {}", event.at_ms, event.what)?;
            if let Some(problem) = &event.problem {
                writeln!(f, "             failed: {problem}")?;
            }
            for takeover in &event.takeovers {
                writeln!(f, "             {takeover}")?;
            }
        }
        Ok(())
    }
}
