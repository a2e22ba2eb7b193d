//! What must hold whatever happens, from what callers sent and got and what targets ran.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;

use caraway_production::target::Hold;
use caraway_production::target::Run;

/// Time from a target's notice up to which requests may reach it, as the settings of the instances state.
const DRAIN: Duration = Duration::from_millis(2000);

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It may run more than once.
    Read,
    /// It may run once.
    Order,
    /// It may run more than once, at the owner of its key.
    Key,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A response came. `own` is whether it is the whole response of a target to this very request.
    Answered {
        /// Status.
        status: u16,
        /// Whether it is whole and bears the target's proof and the request's id.
        own: bool,
    },
    /// The connection ended before a response.
    Cut,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the attempt.
    pub attempt: String,
    /// Kind.
    pub kind: Kind,
    /// Instance that it was sent to.
    pub instance: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// A target's notice that it leaves, which the store and every instance could hear.
#[derive(Clone, Debug)]
pub struct Notice {
    /// Id of the target.
    pub target: String,
    /// When the store had it.
    pub at: Instant,
    /// When the target ended, or other faults that excuse late requests began.
    pub until: Instant,
}

/// A planned stop of an instance during which nothing else happened to it or to the targets.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// The instance.
    pub instance: usize,
    /// When it was told to stop.
    pub from: Instant,
    /// When it had ended, or another fault began.
    pub until: Instant,
}

/// Version of the configuration that an instance had.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// The instance.
    pub instance: usize,
    /// Number of its process.
    pub process: u32,
    /// The version.
    pub version: u64,
}

/// Everything that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests of callers.
    pub calls: Vec<Call>,
    /// Requests that targets ran.
    pub runs: Vec<Run>,
    /// Holds of the same keys by two targets.
    pub conflicts: Vec<(Hold, Hold)>,
    /// Notices of leaving targets.
    pub notices: Vec<Notice>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Versions in the order in which they were seen.
    pub versions: Vec<Version>,
    /// What was not served after the last fault had ended.
    pub unserved: Vec<String>,
}

/// A promise that was not kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

/// Returns the promises that were not kept.
pub fn findings(record: &Record) -> Vec<Finding> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &record.runs {
        runs.entry(run.attempt.as_str()).or_default().push(run);
    }
    let mut findings = Vec::new();
    let mut add = |promise, detail: &dyn Debug| {
        findings.push(Finding { promise, detail: format!("{detail:?}") });
    };
    for conflict in &record.conflicts {
        add("a key has one owner", conflict);
    }
    for call in &record.calls {
        let ran = runs.get(call.attempt.as_str()).map_or(0, Vec::len);
        if call.kind == Kind::Order && ran > 1 {
            add("an order runs at most once", &(call, ran));
        }
        match call.end {
            End::Answered { status: 408 | 421 | 429 | 503, .. } if ran > 0 => {
                add("a request that was refused has not run", &(call, ran));
            }
            End::Answered { status: 200, own: false } => {
                add("a success is the whole answer to the request", call);
            }
            End::Answered { .. } => {}
            End::Cut => {
                let during = |stop: &&Stop| {
                    stop.instance == call.instance
                        && stop.from <= call.ended
                        && call.ended <= stop.until
                };
                if let Some(stop) = record.stops.iter().find(during)
                    && ran > 0
                {
                    add("a planned stop cuts no request that a target runs", &(call, stop));
                }
            }
        }
    }
    let sent: HashSet<&str> = record.calls.iter().map(|call| call.attempt.as_str()).collect();
    for run in record.runs.iter().filter(|run| !sent.contains(run.attempt.as_str())) {
        add("a target runs what a caller sent", run);
    }
    for notice in &record.notices {
        let late = |run: &&Run| {
            run.target == notice.target && run.at > notice.at + DRAIN && run.at < notice.until
        };
        if let Some(run) = record.runs.iter().find(late) {
            add("a leaving target gets no requests after its notice", &(notice, run));
        }
    }
    let mut latest: HashMap<(usize, u32), u64> = HashMap::new();
    for seen in &record.versions {
        let highest = latest.entry((seen.instance, seen.process)).or_default();
        if seen.version < *highest {
            add("a configuration never goes back", &(seen, *highest));
        }
        *highest = seen.version.max(*highest);
    }
    for what in &record.unserved {
        add("everything is served again after the last fault", what);
    }
    findings
}
