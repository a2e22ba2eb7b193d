//! Profiles of load runs.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;

/// Maximum number of keys of a request kind. A Zipf distribution needs 8 bytes per key.
const MAX_KEYS: u32 = 10_000_000;
/// Maximum number of requests of a run. Each sample needs 56 bytes.
const MAX_REQUESTS: u64 = 20_000_000;
/// Maximum duration of a run in seconds.
const MAX_SECONDS: f64 = 3600.0;
/// Maximum number of connections of a run.
const MAX_CONNECTIONS: usize = 10_000;

/// Configuration of a load run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Addresses that receive the requests: entry instances, or targets in a direct run.
    pub entries: Vec<SocketAddr>,
    /// Prefix of the run's request ids and idempotency keys.
    #[serde(default = "default_run")]
    pub run: String,
    /// Seed for the choice of kinds, keys and arrival times.
    #[serde(default)]
    pub seed: u64,
    /// Request kinds.
    pub kinds: Vec<Kind>,
    /// Arrival process of the requests.
    pub arrival: Arrival,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Maximum number of requests, not counting resubmissions.
    #[serde(default = "default_requests")]
    pub requests: u64,
    /// Response timeout of the caller in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Maximum number of resubmissions of a non-repeatable request with an unknown outcome.
    #[serde(default)]
    pub resends: u8,
    /// True if requests are sent directly to targets, whose responses have no outcome header.
    #[serde(default)]
    pub direct: bool,
    /// Targets whose journals are compared with the responses.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// Worker threads of the load generator.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// A target with a journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target.
    pub name: String,
    /// Listening address of the target.
    pub address: SocketAddr,
    /// True if the service is keyed: each key has one owner.
    pub keyed: bool,
    /// Name of the service.
    pub service: String,
}

/// A request kind.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind in the report.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Request path, in which `{key}` is replaced by the key.
    pub path: String,
    /// Number of keys.
    #[serde(default = "default_keys")]
    pub keys: u32,
    /// Distribution of the requests over the keys.
    #[serde(default)]
    pub distribution: Distribution,
    /// Value of the tenant header, which names the client account.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Size of the request body in bytes.
    #[serde(default)]
    pub body_bytes: u64,
    /// True if requests carry an idempotency key.
    #[serde(default)]
    pub idempotency_key: bool,
    /// Requested size of the response body in bytes.
    #[serde(default)]
    pub answer_bytes: Option<u64>,
    /// Requested service time of the target in milliseconds.
    #[serde(default)]
    pub service_ms: Option<u64>,
    /// Value of the patience header: the time limit of the caller in milliseconds.
    #[serde(default)]
    pub patience_ms: Option<u64>,
    /// Additional request headers.
    #[serde(default)]
    pub headers: Vec<(String, String)>,
    /// Weight of the kind in the mix of requests.
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
    /// The frequency of a key is proportional to `rank^-exponent`.
    Zipf {
        /// Exponent of the distribution.
        exponent: f64,
    },
    /// The first `keys` keys receive `share` of all requests, in addition to their uniform part of the rest.
    Hot {
        /// Number of hot keys.
        keys: u32,
        /// Share of all requests, from 0 to 1.
        share: f64,
    },
}

/// Arrival process of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Arrival {
    /// Closed loop: each connection sends a request when the response to the previous one has arrived.
    Closed {
        /// Number of connections.
        connections: usize,
    },
    /// Open loop: requests arrive at a given rate, regardless of the responses to earlier ones.
    Open {
        /// Arrival rate in requests per second.
        rate: f64,
        /// Maximum number of connections. A request waits while all of them are in use.
        connections: usize,
        /// True for a Poisson process, false for a constant interval between arrivals.
        #[serde(default)]
        poisson: bool,
    },
}

impl Arrival {
    /// Returns the maximum number of connections.
    pub fn connections(&self) -> usize {
        match self {
            Self::Closed { connections } | Self::Open { connections, .. } => *connections,
        }
    }
}

impl Profile {
    /// Reads and validates a profile file.
    pub fn read(path: &Path) -> Result<Self> {
        let profile: Self = serde_json::from_slice(&std::fs::read(path)?)?;
        profile.check()?;
        Ok(profile)
    }

    /// Checks that all values are usable and within their limits.
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
