//! Questions to the admin interfaces of entry instances.

use std::thread;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::errors::Error;
use crate::errors::Result;
use crate::http;
use crate::http::Answer;

/// Instances that are asked at the same time.
const PARALLEL: usize = 16;

/// Answer of one instance.
#[derive(Clone, Debug)]
pub struct Reply<T> {
    /// Admin address that was asked.
    pub address: String,
    /// The answer as it was received and as it was read, or what happened instead.
    pub result: std::result::Result<(Value, T), Problem>,
}

/// Why an instance gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The instance answered that it knows nothing about the subject.
    Unknown,
    /// The instance did not answer, or not in the expected form.
    Failed(String),
}

impl Problem {
    /// Returns the text of the problem.
    pub fn text(&self) -> &str {
        match self {
            Self::Unknown => "not known at this instance",
            Self::Failed(problem) => problem,
        }
    }
}

impl<T> Reply<T> {
    /// Returns the answer.
    pub fn answer(&self) -> Option<&T> {
        self.result.as_ref().ok().map(|(_, answer)| answer)
    }

    /// Returns what happened instead of an answer.
    pub fn problem(&self) -> Option<&Problem> {
        self.result.as_ref().err()
    }

    /// Returns the reply for programs.
    pub fn json(&self) -> Value {
        match &self.result {
            Ok((raw, _)) => json!({ "address": self.address, "answer": raw }),
            Err(problem) => json!({ "address": self.address, "problem": problem.text() }),
        }
    }
}

/// Asks all addresses for a path, several at the same time, and returns the replies in order.
pub fn ask<T: DeserializeOwned + Send>(addresses: &[String], path: &str) -> Vec<Reply<T>> {
    addresses
        .chunks(PARALLEL)
        .flat_map(|part| {
            thread::scope(|scope| {
                let threads: Vec<_> = part
                    .iter()
                    .map(|address| (address, scope.spawn(move || ask_one(address, path))))
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

/// Asks one address for a path.
pub fn ask_one<T: DeserializeOwned>(
    address: &str,
    path: &str,
) -> std::result::Result<(Value, T), Problem> {
    let url = format!("{}{path}", http::base(address));
    match http::get(&http::agent(), &url) {
        Err(problem) => Err(Problem::Failed(format!("GET {url}: {problem}"))),
        Ok(Answer { status: 404, .. }) => Err(Problem::Unknown),
        Ok(Answer { status: 200, body }) => match T::deserialize(&body) {
            Ok(answer) => Ok((body, answer)),
            Err(error) => Err(Problem::Failed(format!("GET {url}: unexpected answer: {error}"))),
        },
        Ok(Answer { status, .. }) => Err(Problem::Failed(format!("GET {url}: status {status}"))),
    }
}

/// Returns an error if no instance answered.
///
/// # Errors
///
/// No reply has an answer.
pub fn require_answer<T>(replies: &[Reply<T>], question: &str) -> Result<()> {
    if replies.iter().any(|reply| reply.answer().is_some()) {
        return Ok(());
    }
    Err(Error::Instances { question: question.to_owned(), tried: problems(replies) })
}

/// Returns one line for each address without an answer.
pub fn problems<T>(replies: &[Reply<T>]) -> String {
    let line = |reply: &Reply<T>| {
        let problem = reply.problem()?;
        Some(format!("  {}: {}\n", reply.address, crate::table::plain(problem.text())))
    };
    replies.iter().filter_map(line).collect()
}

/// Answer of `/status`.
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
    /// Configuration version in force.
    pub config_version: u64,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// Groups that the instance coordinates.
    pub groups: Vec<Group>,
    /// What does not work as it should.
    pub degraded: Vec<Degradation>,
    /// Knowledge about the store.
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
    /// Age of the state.
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
    /// Shards that the target owns.
    pub shards: u64,
    /// Requests in flight.
    pub in_flight: u64,
}

/// Something that does not work as it should.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Degradation {
    /// What is degraded.
    pub what: String,
    /// Since when.
    pub since_ms: u64,
    /// What it waits for.
    pub waiting_for: String,
}

/// Knowledge about the store.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Store {
    /// Whether the last call succeeded.
    pub reachable: bool,
    /// Age of the last successful call.
    pub last_ok_ms: Option<u64>,
}

/// Answer of `/explain/key`.
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
    /// Owning target; known to the coordinator only.
    pub owner: Option<String>,
    /// Token under which the owner holds the key.
    pub token: Option<String>,
    /// Time since the owner got the key.
    pub since_ms: Option<u64>,
    /// Who decided.
    pub decided_by: Option<String>,
    /// Why.
    pub reason: Option<String>,
    /// Age of these facts.
    pub age_ms: Option<u64>,
    /// Last changes of the owner.
    pub changes: Vec<KeyChange>,
}

/// A change of the owner of a key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyChange {
    /// Time since the change.
    pub at_ms: u64,
    /// New owner; absent while the key has none.
    pub owner: Option<String>,
    /// Token of the new owner.
    pub token: Option<String>,
    /// Why it changed.
    pub reason: Option<String>,
}

/// Answer of `/explain/request`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Request {
    /// What happened, in the order in which it happened.
    pub steps: Vec<RequestStep>,
}

/// A step of a request.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RequestStep {
    /// Time since the step.
    pub at_ms: u64,
    /// What happened.
    pub text: String,
}

/// Answer of `/directory`.
#[derive(Clone, Debug, Deserialize)]
pub struct Directory {
    /// Rows, one for each known group.
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
    /// Coordinator.
    pub holder: Option<String>,
    /// Admin address of the coordinator.
    pub admin_address: Option<String>,
    /// Age of the row at the instance that was asked.
    pub age_ms: u64,
}
