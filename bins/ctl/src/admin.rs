//! Queries to the admin interfaces of entry instances, and the types of their responses.

use std::thread;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::errors::Error;
use crate::errors::Result;
use crate::http;
use crate::http::Response;

/// Maximum number of concurrent queries.
const MAX_CONCURRENT_QUERIES: usize = 16;

/// Reply of one instance.
#[derive(Clone, Debug)]
pub struct Reply<T> {
    /// Admin address of the instance.
    pub address: String,
    /// The body as received and as parsed, or the reason of the failure.
    pub result: std::result::Result<(Value, T), Problem>,
}

/// Reason why there is no usable response from an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The instance responded that the subject is unknown to it.
    Unknown,
    /// The instance did not respond, or responded in an unexpected form.
    Failed(String),
}

impl Problem {
    /// Returns the message of the problem.
    pub fn text(&self) -> &str {
        match self {
            Self::Unknown => "not known at this instance",
            Self::Failed(problem) => problem,
        }
    }
}

impl<T> Reply<T> {
    /// Returns the parsed body.
    pub fn body(&self) -> Option<&T> {
        self.result.as_ref().ok().map(|(_, body)| body)
    }

    /// Returns the reason why there is no usable response.
    pub fn problem(&self) -> Option<&Problem> {
        self.result.as_ref().err()
    }

    /// Returns the reply as JSON output.
    pub fn json(&self) -> Value {
        match &self.result {
            Ok((raw, _)) => json!({ "address": self.address, "answer": raw }),
            Err(problem) => json!({ "address": self.address, "problem": problem.text() }),
        }
    }
}

/// Queries a path of all addresses, several of them concurrently, and returns the replies in the order of
/// the addresses.
pub fn query_all<T: DeserializeOwned + Send>(addresses: &[String], path: &str) -> Vec<Reply<T>> {
    addresses
        .chunks(MAX_CONCURRENT_QUERIES)
        .flat_map(|chunk| {
            thread::scope(|scope| {
                let threads: Vec<_> = chunk
                    .iter()
                    .map(|address| (address, scope.spawn(move || query(address, path))))
                    .collect();
                let replies = threads.into_iter().map(|(address, thread)| {
                    let failed = |_| Err(Problem::Failed("the question could not be asked".into()));
                    Reply { address: address.clone(), result: thread.join().unwrap_or_else(failed) }
                });
                replies.collect::<Vec<_>>()
            })
        })
        .collect()
}

/// Queries a path of one address.
pub fn query<T: DeserializeOwned>(
    address: &str,
    path: &str,
) -> std::result::Result<(Value, T), Problem> {
    let url = format!("{}{path}", http::base(address));
    match http::get(&http::agent(), &url) {
        Err(problem) => Err(Problem::Failed(format!("GET {url}: {problem}"))),
        Ok(Response { status: 404, .. }) => Err(Problem::Unknown),
        Ok(Response { status: 200, body }) => match T::deserialize(&body) {
            Ok(parsed) => Ok((body, parsed)),
            Err(error) => Err(Problem::Failed(format!("GET {url}: unexpected answer: {error}"))),
        },
        Ok(Response { status, .. }) => Err(Problem::Failed(format!("GET {url}: status {status}"))),
    }
}

/// Requires at least one successful reply.
///
/// # Errors
///
/// No instance sent a usable response.
pub fn require_response<T>(replies: &[Reply<T>], query: &str) -> Result<()> {
    if replies.iter().any(|reply| reply.body().is_some()) {
        return Ok(());
    }
    Err(Error::NoResponse { query: query.to_owned(), failures: problems(replies) })
}

/// Returns one line for each address without a usable response.
pub fn problems<T>(replies: &[Reply<T>]) -> String {
    let line = |reply: &Reply<T>| {
        let problem = reply.problem()?;
        Some(format!("  {}: {}\n", reply.address, crate::table::escape_control(problem.text())))
    };
    replies.iter().filter_map(line).collect()
}

/// Response of `/status`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Environment of the instance.
    pub environment: String,
    /// Effective configuration version.
    pub config_version: u64,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Whether a planned stop is in progress.
    pub stopping: bool,
    /// Groups that the instance coordinates.
    pub groups: Vec<Group>,
    /// Degraded functions.
    pub degraded: Vec<Degradation>,
    /// Connectivity to the store.
    pub store: Store,
}

/// A group of a status.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Group {
    /// Name of the group.
    pub group: String,
    /// Term of the coordinator.
    pub term: u64,
    /// State of the group.
    pub state: String,
    /// Time in the current state, in milliseconds.
    pub since_ms: u64,
    /// Targets of the group.
    pub targets: Vec<Target>,
}

/// A target of a status.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Target {
    /// Name of the target.
    pub target: String,
    /// State of the target.
    pub state: String,
    /// Number of shards that the target owns.
    pub shards: u64,
    /// Number of in-flight requests.
    pub in_flight: u64,
}

/// A degraded function of an instance.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Degradation {
    /// Degraded function.
    pub what: String,
    /// Duration of the degradation in milliseconds.
    pub since_ms: u64,
    /// Condition that ends the degradation.
    pub waiting_for: String,
}

/// Connectivity of an instance to the store.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Store {
    /// Whether the last call succeeded.
    pub reachable: bool,
    /// Time since the last successful call in milliseconds.
    pub last_ok_ms: Option<u64>,
}

/// Response of `/explain/key`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Key {
    /// Shard of the key.
    pub shard: u64,
    /// Group of the shard.
    pub group: String,
    /// Coordinator of the group.
    pub coordinator: Option<String>,
    /// Admin address of the coordinator.
    pub coordinator_address: Option<String>,
    /// Term of the coordinator.
    pub term: Option<u64>,
    /// Owning target; known only to the coordinator.
    pub owner: Option<String>,
    /// Fencing token of the owner.
    pub token: Option<String>,
    /// Time since the owner acquired the key, in milliseconds.
    pub since_ms: Option<u64>,
    /// Instance that decided on the owner.
    pub decided_by: Option<String>,
    /// Reason of the decision.
    pub reason: Option<String>,
    /// Age of this information in milliseconds.
    pub age_ms: Option<u64>,
    /// Latest changes of the owner.
    pub changes: Vec<KeyChange>,
}

/// A change of the owner of a key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyChange {
    /// Time since the change in milliseconds.
    pub at_ms: u64,
    /// New owner; absent if the key lost its owner.
    pub owner: Option<String>,
    /// Fencing token of the new owner.
    pub token: Option<String>,
    /// Reason of the change.
    pub reason: Option<String>,
}

/// Response of `/explain/request`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Request {
    /// Steps in chronological order.
    pub steps: Vec<RequestStep>,
}

/// A step of a request.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RequestStep {
    /// Time since the step in milliseconds.
    pub at_ms: u64,
    /// Description of the step.
    pub text: String,
}

/// Response of `/directory`.
#[derive(Clone, Debug, Deserialize)]
pub struct Directory {
    /// One row for each known group.
    pub rows: Vec<Row>,
}

/// A row of the directory.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Row {
    /// Name of the group.
    pub group: String,
    /// Term of the coordinator.
    pub term: u64,
    /// Coordinator of the group.
    pub holder: Option<String>,
    /// Admin address of the coordinator.
    pub admin_address: Option<String>,
    /// Age of the row at the queried instance, in milliseconds.
    pub age_ms: u64,
}
