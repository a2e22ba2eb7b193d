//! The profile of a load run.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;

/// Largest key space. A Zipf distribution holds 8 bytes for each key.
const MAX_KEYS: u32 = 10_000_000;
/// Largest number of requests of a run. A sample takes 56 bytes.
const MAX_REQUESTS: u64 = 20_000_000;
/// Longest run.
const MAX_SECONDS: f64 = 3600.0;
/// Largest number of connections of a run.
const MAX_CONNECTIONS: usize = 10_000;

/// A load run: where requests go, which requests, how many and for how long.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Addresses to which requests are sent: entry instances, or targets in a direct run.
    pub entries: Vec<SocketAddr>,
    /// Prefix of the run's request ids and idempotency keys.
    #[serde(default = "default_run")]
    pub run: String,
    /// Seed of kinds, keys and arrival times.
    #[serde(default)]
    pub seed: u64,
    /// Request kinds.
    pub kinds: Vec<Kind>,
    /// Arrival of requests.
    pub arrival: Arrival,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Largest number of requests, not counting resubmissions.
    #[serde(default = "default_requests")]
    pub requests: u64,
    /// Time in milliseconds after which the caller gives up on an answer.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Times that a non-repeatable request with an unknown outcome is submitted again.
    #[serde(default)]
    pub resends: u8,
    /// True if requests go to targets directly, which send no outcome header.
    #[serde(default)]
    pub direct: bool,
    /// Targets whose journals are compared with the answers.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// Threads of the load generator.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// A target whose journal is read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target.
    pub name: String,
    /// Address of its listener.
    pub address: SocketAddr,
    /// True if each key of its service has one owner.
    pub keyed: bool,
    /// Name of its service.
    pub service: String,
}

/// A request kind.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name in the report.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path; `{key}` is replaced by the key.
    pub path: String,
    /// Number of keys.
    #[serde(default = "default_keys")]
    pub keys: u32,
    /// Distribution of requests over the keys.
    #[serde(default)]
    pub distribution: Distribution,
    /// Value of the tenant header.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Size of the request body in bytes.
    #[serde(default)]
    pub body_bytes: u64,
    /// True if requests carry an idempotency key.
    #[serde(default)]
    pub idempotency_key: bool,
    /// Size of the answer body in bytes that the target is asked for.
    #[serde(default)]
    pub answer_bytes: Option<u64>,
    /// Service time in milliseconds that the target is asked for.
    #[serde(default)]
    pub service_ms: Option<u64>,
    /// Value of the patience header.
    #[serde(default)]
    pub patience_ms: Option<u64>,
    /// Further request headers.
    #[serde(default)]
    pub headers: Vec<(String, String)>,
    /// Share of the kind among all requests, relative to the other kinds.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Distribution of requests over a key space.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Distribution {
    /// All keys are equally frequent.
    #[default]
    Uniform,
    /// The frequency of a key is its rank to the power of minus `exponent`.
    Zipf {
        /// Exponent.
        exponent: f64,
    },
    /// The first `keys` keys get the additional share `share` of all requests.
    Hot {
        /// Number of hot keys.
        keys: u32,
        /// Share of the requests, from 0 to 1.
        share: f64,
    },
}

/// Arrival of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Arrival {
    /// Each connection sends a request when the answer to the previous one has arrived.
    Closed {
        /// Number of connections.
        connections: usize,
    },
    /// Requests arrive at a given rate, whether or not earlier ones were answered.
    Open {
        /// Requests per second.
        rate: f64,
        /// Largest number of connections. A request waits while all are in use.
        connections: usize,
        /// True for exponential gaps between arrivals, false for equal gaps.
        #[serde(default)]
        poisson: bool,
    },
}

impl Arrival {
    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        match self {
            Self::Closed { connections } | Self::Open { connections, .. } => *connections,
        }
    }
}

impl Profile {
    /// Reads and checks a profile file.
    pub fn read(path: &Path) -> Result<Self> {
        let profile: Self = serde_json::from_slice(&std::fs::read(path)?)?;
        profile.check()?;
        Ok(profile)
    }

    /// Checks that the profile can be run and is bounded.
    pub fn check(&self) -> Result<()> {
        let connections = self.arrival.connections();
        let rate_valid = match self.arrival {
            Arrival::Closed { .. } => true,
            Arrival::Open { rate, .. } => rate.is_finite() && rate > 0.0,
        };
        let weights: u64 = self.kinds.iter().map(|kind| u64::from(kind.weight)).sum();
        let problems = [
            (self.entries.is_empty(), "`entries` is empty"),
            (self.kinds.is_empty() || weights == 0, "`kinds` has no kind with a weight"),
            (
                connections == 0 || connections > MAX_CONNECTIONS,
                "`connections` is not in 1..=10000",
            ),
            (!rate_valid, "`rate` is not a positive number"),
            (!(self.seconds > 0.0 && self.seconds <= MAX_SECONDS), "`seconds` is not in 0..=3600"),
            (self.requests > MAX_REQUESTS, "`requests` is over 20000000"),
            (self.timeout_ms == 0, "`timeout_ms` is 0"),
            (self.threads == 0 || self.threads > 64, "`threads` is not in 1..=64"),
            (
                self.kinds.iter().any(|kind| kind.keys == 0 || kind.keys > MAX_KEYS),
                "`keys` is not in 1..=10000000",
            ),
            (self.run.is_empty() || self.run.contains('-'), "`run` is empty or contains '-'"),
        ];
        match problems.iter().find(|(found, _)| *found) {
            Some((_, problem)) => Err(Error::Profile((*problem).to_owned())),
            None => Ok(()),
        }
    }
}

fn default_run() -> String {
    "load".to_owned()
}

fn default_requests() -> u64 {
    1_000_000
}

fn default_timeout() -> u64 {
    10_000
}

fn default_threads() -> usize {
    2
}

fn default_keys() -> u32 {
    1
}

fn default_weight() -> u32 {
    1
}
