//! Measures the unavailability of keys after faults and pairs of faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;

use crate::builder::Builder;
use crate::environment::Environment;
use crate::environment::Kind;
use crate::errors::Error;
use crate::errors::Result;
use crate::fault::Action;
use crate::fixture;
use crate::session::UNAVAILABLE_LATENCY_MS;
use crate::traffic;
use caraway_load::outage;
use caraway_load::outage::Window;
use caraway_load::profile::Arrival;
use caraway_load::report::Report;
use caraway_load::run::Run;

/// Duration of the load before the fault.
const BASELINE_DURATION: Duration = Duration::from_millis(1200);
/// Duration of the load after the fault.
const OBSERVATION_DURATION: Duration = Duration::from_millis(4000);
/// Timeout until the groups are balanced across the instances.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of keys of the probed route. At [`PROBES_PER_SECOND`], each key is probed about every 50 ms.
const PROBED_KEYS: u32 = 32;
/// Rate of the probes over all keys.
const PROBES_PER_SECOND: f64 = 600.0;

/// A scenario: faults that affect the coordinator or the targets of the first group.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name in the results.
    pub name: &'static str,
    /// Returns the changes before the start of the load and the changes of the measured fault, both
    /// applied without a pause.
    actions: fn(&Roles) -> (Vec<Action>, Vec<Action>),
}

/// The processes and the failure domain that scenarios affect.
#[derive(Clone, Debug)]
struct Roles {
    /// Coordinator of the probed group.
    coordinator: String,
    /// Another entry instance of the same failure domain.
    peer: String,
    /// Failure domain of the group.
    domain: String,
    /// Target of the probed group.
    target: String,
    /// Another target of the probed group.
    second_target: String,
}

/// Returns all scenarios.
pub fn scenarios() -> Vec<Scenario> {
    use Action::Drain;
    use Action::DropResponses;
    use Action::Freeze;
    use Action::Kill;
    use Action::Partition;
    use Action::Promote;
    use Action::Stop;
    use Action::StoreDelay;
    use Action::StoreDown;
    let scenario = |name, actions| Scenario { name, actions };
    vec![
        scenario("none, for comparison", |_| (vec![], vec![])),
        scenario("target killed", |r| (vec![], vec![Kill(r.target.clone())])),
        scenario("target frozen", |r| (vec![], vec![Freeze(r.target.clone())])),
        scenario("target told to leave", |r| (vec![], vec![Drain(r.target.clone())])),
        scenario("coordinator killed", |r| (vec![], vec![Kill(r.coordinator.clone())])),
        scenario("coordinator frozen", |r| (vec![], vec![Freeze(r.coordinator.clone())])),
        scenario("planned stop of the coordinator", |r| {
            (vec![], vec![Stop(r.coordinator.clone())])
        }),
        scenario("store down", |_| (vec![], vec![StoreDown(true)])),
        scenario("document promoted again", |_| (vec![], vec![Promote])),
        scenario("coordinator and target killed", |r| {
            (vec![], vec![Kill(r.coordinator.clone()), Kill(r.target.clone())])
        }),
        scenario("coordinator killed, target frozen", |r| {
            (vec![], vec![Kill(r.coordinator.clone()), Freeze(r.target.clone())])
        }),
        scenario("coordinator frozen, target killed", |r| {
            (vec![], vec![Freeze(r.coordinator.clone()), Kill(r.target.clone())])
        }),
        scenario("two targets killed", |r| {
            (vec![], vec![Kill(r.target.clone()), Kill(r.second_target.clone())])
        }),
        scenario("coordinator and a peer killed", |r| {
            (vec![], vec![Kill(r.coordinator.clone()), Kill(r.peer.clone())])
        }),
        scenario("target killed while the store is down", |r| {
            (vec![StoreDown(true)], vec![Kill(r.target.clone())])
        }),
        scenario("target frozen while the store is down", |r| {
            (vec![StoreDown(true)], vec![Freeze(r.target.clone())])
        }),
        scenario("coordinator killed while the store is down", |r| {
            (vec![StoreDown(true)], vec![Kill(r.coordinator.clone())])
        }),
        scenario("coordinator killed, domain cut off from the platform", |r| {
            (vec![Partition(vec![r.domain.clone()])], vec![Kill(r.coordinator.clone())])
        }),
        scenario("coordinator killed, store 500 ms slow", |r| {
            (vec![StoreDelay(500)], vec![Kill(r.coordinator.clone())])
        }),
        scenario("coordinator killed, store loses 2 answers", |r| {
            (vec![], vec![DropResponses(2), Kill(r.coordinator.clone())])
        }),
        scenario("planned stop of the coordinator, target killed", |r| {
            (vec![], vec![Stop(r.coordinator.clone()), Kill(r.target.clone())])
        }),
    ]
}

/// Results of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the scenario.
    pub name: String,
    /// Number of completed runs.
    pub runs: usize,
    /// Longest unavailability of any key in each run, in milliseconds, sorted.
    pub max_ms: Vec<f64>,
    /// Median unavailability of the affected keys in each run, in milliseconds, sorted.
    pub median_ms: Vec<f64>,
    /// Time from the fault to the first response to a later request, for the worst affected key of each
    /// run, in milliseconds, sorted.
    pub served_again_ms: Vec<f64>,
    /// Number of affected keys in each run, sorted.
    pub affected: Vec<usize>,
    /// Number of keys in each run.
    pub keys: usize,
    /// Number of keys that were not served again before the end of the run, over all runs.
    pub not_served_again: usize,
    /// Number of submissions without a successful response, by verdict, over all runs.
    pub failures: BTreeMap<String, u64>,
    /// Number of wrong, truncated and malformed responses over all runs.
    pub bad_answers: u64,
    /// Reasons of the runs that could not be completed.
    pub problems: Vec<String>,
}

/// Measures the scenarios whose name contains `filter`.
pub fn measure(runs: usize, filter: &str, interrupted: &AtomicBool) -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for scenario in scenarios().into_iter().filter(|scenario| scenario.name.contains(filter)) {
        let mut row = Row::new(scenario.name);
        for run in 0..runs {
            if interrupted.load(Ordering::Relaxed) {
                return Err(Error::Interrupted);
            }
            // Each run uses a new environment, so that a run that does not recover does not affect the
            // next one.
            match start().and_then(|mut environment| {
                measure_once(&mut environment, &scenario, run, &mut row)
            }) {
                Ok(()) => row.runs += 1,
                Err(error) => row.problems.push(error.to_string()),
            }
        }
        row.sort();
        eprintln!("{}", row.markdown());
        rows.push(row);
    }
    Ok(rows)
}

fn start() -> Result<Environment> {
    let size = fixture::Size { targets: 3, shards: 32, ..fixture::Size::default() };
    let mut builder = Builder::new(fixture::document(&size)?);
    builder.entries_per_domain = 3;
    builder.service_ms = 1;
    let mut environment = builder.start()?;
    environment.wait_until_settled(SETTLE_TIMEOUT)?;
    Ok(environment)
}

fn measure_once(
    environment: &mut Environment,
    scenario: &Scenario,
    run: usize,
    row: &mut Row,
) -> Result<()> {
    let roles = Roles::new(environment)?;
    let (preparation, fault) = (scenario.actions)(&roles);
    preparation.iter().try_for_each(|action| action.apply(environment))?;
    let options = traffic::Options {
        run: format!("r{run}"),
        seconds: (BASELINE_DURATION + OBSERVATION_DURATION).as_secs_f64(),
        seed: u64::try_from(run).unwrap_or(0),
        arrival: Arrival::Open { rate: PROBES_PER_SECOND, connections: 400, poisson: false },
        keys: PROBED_KEYS,
        // Requests through a stopped entry instance fail regardless of the recovery, so no probes go
        // through the instances that scenarios affect.
        excluded_entries: vec![roles.coordinator.clone(), roles.peer.clone()],
        ..traffic::Options::default()
    };
    let mut profile = traffic::profile(environment, &options);
    profile.kinds.truncate(1);
    profile
        .kinds
        .iter_mut()
        .for_each(|kind| kind.distribution = caraway_load::profile::Distribution::Uniform);
    let load = Run::start(profile.clone())?;
    std::thread::sleep(BASELINE_DURATION);
    let from_us = load.now_us();
    fault.iter().try_for_each(|action| action.apply(environment))?;
    let record = load.finish()?;
    let to_us = record.duration_us;
    let except = BTreeSet::new();
    let window = Window { label: scenario.name.to_owned(), from_us, to_us, except };
    let summary = outage::summarize(&record.samples, &window, UNAVAILABLE_LATENCY_MS * 1000);
    let report = Report::new(&profile, &record, &[], UNAVAILABLE_LATENCY_MS, None);
    row.max_ms.push(summary.max_ms);
    row.median_ms.push(summary.median_ms);
    row.served_again_ms.push(summary.served_again_ms);
    row.affected.push(summary.affected);
    row.keys = summary.keys;
    row.not_served_again += summary.not_served_again;
    row.bad_answers += report.wrong + report.truncated + report.malformed;
    for (name, count) in
        report.outcomes.into_iter().filter(|(name, _)| !name.starts_with("answered"))
    {
        *row.failures.entry(name).or_default() += count;
    }
    Ok(())
}

impl Roles {
    fn new(environment: &Environment) -> Result<Self> {
        let group = environment.plan().groups.first();
        let group = group.ok_or_else(|| Error::Document("no group".to_owned()))?;
        let coordinator = environment.coordinator(group.name.as_str())?;
        let domain = environment.node(&coordinator)?.domain.clone();
        let peer = environment
            .responsive(Kind::Entry)
            .into_iter()
            .find(|(name, node)| **name != coordinator && node.domain == domain)
            .map(|(name, _)| name.clone())
            .ok_or_else(|| Error::NotFound("peer".to_owned()))?;
        let target = |index: usize| {
            let target = group.targets.get(index).map(|target| target.name.to_string());
            target.ok_or_else(|| Error::NotFound("target".to_owned()))
        };
        Ok(Self { coordinator, peer, domain, target: target(0)?, second_target: target(1)? })
    }
}

impl Row {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            runs: 0,
            max_ms: Vec::new(),
            median_ms: Vec::new(),
            served_again_ms: Vec::new(),
            affected: Vec::new(),
            keys: 0,
            not_served_again: 0,
            failures: BTreeMap::new(),
            bad_answers: 0,
            problems: Vec::new(),
        }
    }

    fn sort(&mut self) {
        self.max_ms.sort_by(f64::total_cmp);
        self.median_ms.sort_by(f64::total_cmp);
        self.served_again_ms.sort_by(f64::total_cmp);
        self.affected.sort_unstable();
    }

    /// Returns the row as a line of a Markdown table.
    pub fn markdown(&self) -> String {
        let median = |list: &[f64]| list.get(list.len() / 2).copied().unwrap_or(0.0);
        let worst_max_ms = self.max_ms.last().copied().unwrap_or(0.0);
        let max_affected = self.affected.last().copied().unwrap_or(0);
        let failures: Vec<String> =
            self.failures.iter().map(|(name, count)| format!("{name} {count}")).collect();
        let mut line = String::new();
        // Writing to a string cannot fail.
        let _ = write!(
            line,
            "| {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {} of {} | {} | {} |",
            self.name,
            self.runs,
            median(&self.median_ms),
            median(&self.max_ms),
            worst_max_ms,
            self.served_again_ms.last().copied().unwrap_or(0.0),
            max_affected,
            self.keys,
            self.not_served_again,
            if failures.is_empty() { "none".to_owned() } else { failures.join(", ") }
        );
        line
    }
}

/// Returns the Markdown table of the results.
pub fn table(rows: &[Row]) -> String {
    let mut table = String::from(
        "| Fault | Runs | Median key, median run (ms) | Worst key, median run (ms) | Worst key, worst run (ms) | First answer, worst key, worst run (ms) \
         | Affected keys, most | Not served again | Requests not answered |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        table.push_str(&row.markdown());
        table.push('\n');
    }
    table
}
