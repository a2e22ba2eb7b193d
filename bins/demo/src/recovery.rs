//! Measures unavailable times after faults and pairs of faults.

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

/// Load before the fault.
const BEFORE: Duration = Duration::from_millis(1200);
/// Load after the fault.
const AFTER: Duration = Duration::from_millis(4000);
/// Time allowed until the groups are spread over the instances.
const SETTLE: Duration = Duration::from_secs(20);
/// Keys of the probed route. With [`RATE`] each key is probed about every 50 ms.
const KEYS: u32 = 32;
/// Probes per second.
const RATE: f64 = 600.0;

/// A scenario: what is done to the coordinator and the targets of the first group.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name in the table.
    pub name: &'static str,
    /// Makes the changes, applied one right after the other. Changes of the first list are applied
    /// before the load starts.
    steps: fn(&Roles) -> (Vec<Action>, Vec<Action>),
}

/// The processes that scenarios act on.
#[derive(Clone, Debug)]
struct Roles {
    /// Coordinator of the probed group.
    coordinator: String,
    /// Another entry instance of the same failure domain.
    peer: String,
    /// Failure domain of the group.
    domain: String,
    /// Targets of the probed group.
    target: String,
    second: String,
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
    let scenario = |name, steps| Scenario { name, steps };
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
            (vec![], vec![Kill(r.target.clone()), Kill(r.second.clone())])
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

/// Result of one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the scenario.
    pub name: String,
    /// Runs that were measured.
    pub runs: usize,
    /// Longest unavailable time of any key in each run, in milliseconds, sorted.
    pub max_ms: Vec<f64>,
    /// Unavailable time of the median affected key in each run, in milliseconds, sorted.
    pub median_ms: Vec<f64>,
    /// Time from the fault to the first answer to a later request of the worst affected key in each run,
    /// in milliseconds, sorted.
    pub served_again_ms: Vec<f64>,
    /// Affected keys in each run, sorted.
    pub affected: Vec<usize>,
    /// Keys in each run.
    pub keys: usize,
    /// Keys that were not served again within the time of observation, over all runs.
    pub not_served_again: usize,
    /// Submissions that were not answered, by verdict, over all runs.
    pub failures: BTreeMap<String, u64>,
    /// Wrong, truncated and malformed answers over all runs.
    pub bad_answers: u64,
    /// Runs that could not be measured, with the reason.
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
            // Each run has an environment of its own, so that a run that does not recover spoils
            // no other one.
            match start().and_then(|mut one| measure_once(&mut one, &scenario, run, &mut row)) {
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
    environment.wait_until_settled(SETTLE)?;
    Ok(environment)
}

fn measure_once(
    environment: &mut Environment,
    scenario: &Scenario,
    run: usize,
    row: &mut Row,
) -> Result<()> {
    let roles = Roles::new(environment)?;
    let (before, fault) = (scenario.steps)(&roles);
    before.iter().try_for_each(|action| action.apply(environment))?;
    let options = traffic::Options {
        run: format!("r{run}"),
        seconds: (BEFORE + AFTER).as_secs_f64(),
        seed: u64::try_from(run).unwrap_or(0),
        arrival: Arrival::Open { rate: RATE, connections: 400, poisson: false },
        keys: KEYS,
        // Callers of a lost entry instance fail whatever the router does, so no probe goes through
        // the instances that scenarios stop.
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
    std::thread::sleep(BEFORE);
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
            .ok_or_else(|| Error::Unknown("peer".to_owned()))?;
        let target = |index: usize| {
            let target = group.targets.get(index).map(|target| target.name.to_string());
            target.ok_or_else(|| Error::Unknown("target".to_owned()))
        };
        Ok(Self { coordinator, peer, domain, target: target(0)?, second: target(1)? })
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
        let middle = |list: &[f64]| list.get(list.len() / 2).copied().unwrap_or(0.0);
        let largest = self.max_ms.last().copied().unwrap_or(0.0);
        let keys = self.affected.last().copied().unwrap_or(0);
        let failures: Vec<String> =
            self.failures.iter().map(|(name, count)| format!("{name} {count}")).collect();
        let mut line = String::new();
        // Writing to a string cannot fail.
        let _ = write!(
            line,
            "| {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {} of {} | {} | {} |",
            self.name,
            self.runs,
            middle(&self.median_ms),
            middle(&self.max_ms),
            largest,
            self.served_again_ms.last().copied().unwrap_or(0.0),
            keys,
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
