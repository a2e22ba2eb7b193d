//! Invariants that hold under every fault, checked against the calls of callers and the executions of
//! targets.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;

use caraway_production::target::Arrival;
use caraway_production::target::Hold;
use caraway_production::target::Run;

/// Time after a target's draining notice in which it may still receive requests; equals `drain_ms` in the
/// settings of the instances.
const DRAIN_TIME: Duration = Duration::from_millis(2000);

/// Time after the start of an evacuation in which requests may still arrive at the targets of the failure
/// domain; equals `evacuate_ms` in the settings of the instances.
const EVACUATION_TIME: Duration = Duration::from_millis(4000);

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Idempotent request, which may execute more than once.
    Read,
    /// Non-idempotent request, which executes at most once.
    Order,
    /// Idempotent request for a key, which only the owner of the key executes.
    Key,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A response was received.
    Answered {
        /// Status code.
        status: u16,
        /// Whether it is a complete response of a target, with its signature, to this request.
        own: bool,
    },
    /// The instance responded that it stops before the target has answered.
    BrokenOff,
    /// The connection failed before a complete response was received.
    Cut,
}

/// A request of a caller and its result.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the attempt.
    pub attempt: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the instance that it was sent to.
    pub instance: usize,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time of its response or failure.
    pub ended: Instant,
    /// Result of the call.
    pub end: End,
}

/// A target's draining notice that the store and every instance could receive.
#[derive(Clone, Debug)]
pub struct Notice {
    /// Id of the target.
    pub target: String,
    /// Time at which it was written to the store.
    pub at: Instant,
    /// Time at which the target ended, or an unplanned fault began that excuses late requests.
    pub until: Instant,
}

/// An evacuation of a failure domain that an instance could learn of.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// Name of the failure domain.
    pub domain: &'static str,
    /// Ids of the targets of the failure domain.
    pub targets: Vec<String>,
    /// Time at which it was written to the store.
    pub at: Instant,
    /// Time at which it was removed.
    pub until: Instant,
}

/// A graceful stop of an instance with no unplanned fault at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Index of the instance.
    pub instance: usize,
    /// Time at which the stop was requested.
    pub from: Instant,
    /// Time at which the process had exited, or an unplanned fault began.
    pub until: Instant,
}

/// A configuration version that an instance applied.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Index of the instance.
    pub instance: usize,
    /// Number of the instance's process, from 1, counting its restarts.
    pub process: u32,
    /// Version that was applied.
    pub version: u64,
}

/// Observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests of callers.
    pub calls: Vec<Call>,
    /// Executions by targets.
    pub runs: Vec<Run>,
    /// Arrivals of requests at targets, except for those answered 421.
    pub arrivals: Vec<Arrival>,
    /// Pairs of conflicting holds of the same keys.
    pub conflicts: Vec<(Hold, Hold)>,
    /// Draining notices of targets.
    pub notices: Vec<Notice>,
    /// Evacuations of failure domains.
    pub evacuations: Vec<Evacuation>,
    /// Graceful stops of instances.
    pub stops: Vec<Stop>,
    /// Descriptions of cold targets that crashed because they got too many requests.
    pub crashes: Vec<String>,
    /// Descriptions of instances whose process ended without being stopped or killed.
    pub exits: Vec<String>,
    /// Applied configuration versions, in log order for each instance.
    pub versions: Vec<Version>,
    /// Descriptions of requests that were not served, and instances with an old configuration,
    /// after the last fault was cleared.
    pub unserved: Vec<String>,
}

/// A violation of an invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Invariant that was violated.
    pub promise: &'static str,
    /// Observations that violate it.
    pub detail: String,
}

/// Returns the graceful stop of the instance in which a call ended, if any.
fn stop_of<'a>(record: &'a Record, call: &Call) -> Option<&'a Stop> {
    record.stops.iter().find(|stop| {
        stop.instance == call.instance && stop.from <= call.ended && call.ended <= stop.until
    })
}

/// Returns all violations of the invariants.
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
        let executions = runs.get(call.attempt.as_str()).map_or(0, Vec::len);
        if call.kind == Kind::Order && executions > 1 {
            add("an order runs at most once", &(call, executions));
        }
        match call.end {
            End::Answered { status: 408 | 421 | 429 | 503, .. } if executions > 0 => {
                add("a request that was refused has not run", &(call, executions));
            }
            End::Answered { status: 200, own: false } => {
                add("a success is the whole answer to the request", call);
            }
            End::BrokenOff => {
                let stop = stop_of(record, call).filter(|stop| stop.from <= call.sent);
                if let Some(stop) = stop
                    && executions > 0
                {
                    add("a planned stop breaks off no request that it took", &(call, stop));
                }
            }
            End::Answered { .. } => {}
            End::Cut => {
                if let Some(stop) = stop_of(record, call)
                    && executions > 0
                {
                    add("a planned stop cuts no request that a target runs", &(call, stop));
                }
            }
        }
    }
    let sent_attempts: HashSet<&str> =
        record.calls.iter().map(|call| call.attempt.as_str()).collect();
    for run in record.runs.iter().filter(|run| !sent_attempts.contains(run.attempt.as_str())) {
        add("a target runs what a caller sent", run);
    }
    for notice in &record.notices {
        let late = |run: &&Run| {
            run.target == notice.target && run.at > notice.at + DRAIN_TIME && run.at < notice.until
        };
        if let Some(run) = record.runs.iter().find(late) {
            add("a leaving target gets no requests after its notice", &(notice, run));
        }
    }
    for evacuation in &record.evacuations {
        let late = |arrival: &&Arrival| {
            evacuation.targets.contains(&arrival.target)
                && arrival.at > evacuation.at + EVACUATION_TIME
                && arrival.at < evacuation.until
        };
        if let Some(arrival) = record.arrivals.iter().find(late) {
            add("an evacuated domain gets no requests after the bound", &(evacuation, arrival));
        }
    }
    let mut highest_versions: HashMap<(usize, u32), u64> = HashMap::new();
    for applied in &record.versions {
        let highest = highest_versions.entry((applied.instance, applied.process)).or_default();
        if applied.version < *highest {
            add("a configuration never goes back", &(applied, *highest));
        }
        *highest = applied.version.max(*highest);
    }
    for description in &record.crashes {
        add("a cold target gets no more requests than it tolerates", description);
    }
    for description in &record.exits {
        add("a process ends only when it is stopped", description);
    }
    for description in &record.unserved {
        add("everything is served again after the last fault", description);
    }
    findings
}
