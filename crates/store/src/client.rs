//! Calls to the platform.

use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use ureq::Agent;

use crate::errors::Error;
use crate::errors::Result;

/// Header that names the failure domain of the caller.
const DOMAIN: &str = "platform-domain";

/// Largest answer that is read; a value holds at most a megabyte, a change list some of them.
const ANSWER_BYTES: u64 = 16 << 20;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL of the platform.
    pub base: String,
    /// Failure domain of the caller.
    pub domain: String,
    /// Longest time for a call, and for the wait beyond it in the case of a watch.
    pub timeout: Duration,
}

/// A stored value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Value {
    /// Key of the value.
    pub key: String,
    /// The value; none if the key was deleted.
    pub value: Option<String>,
    /// Revision of the latest write.
    pub revision: u64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Put {
    /// The value was written with this revision.
    Written(u64),
    /// The key has this revision instead of the expected one.
    Conflict(u64),
}

/// Changes since a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    pub revision: u64,
    /// The changed values.
    pub changes: Vec<Value>,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Instance {
    /// Name of the instance or target.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// `starting`, `live`, `leaving` or `gone`.
    pub state: String,
}

#[derive(Deserialize)]
struct Revision {
    revision: u64,
}

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    options: Options,
}

impl Client {
    /// Makes a client. It keeps no connections: a request on a connection that the other side has
    /// closed could be sent a second time by the HTTP library.
    pub fn new(options: Options) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(0)
            .timeout_connect(Some(options.timeout))
            .build();
        Self { agent: config.into(), options }
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer or the answer is not valid.
    pub fn get(&self, key: &str) -> Result<Option<Value>> {
        let (status, text) = self.read(&format!("/v1/kv/{key}"), Duration::ZERO)?;
        match status {
            200 => parse(&text).map(Some),
            404 => Ok(None),
            _ => Err(Error::Status(status)),
        }
    }

    /// Writes a value if the key has the expected revision; zero stands for absent.
    ///
    /// # Errors
    ///
    /// After [`Error::NoAnswer`] the write may or may not have taken effect.
    pub fn put(&self, key: &str, value: &str, expect: u64) -> Result<Put> {
        let url = format!("{}/v1/kv/{key}", self.options.base);
        let body = json!({ "value": value, "expect": expect }).to_string();
        let request = self.agent.put(&url).header(DOMAIN, &self.options.domain);
        let request = request.header("content-type", "application/json");
        let request = request.config().timeout_global(Some(self.options.timeout)).build();
        let mut response = request.send(body).map_err(no_answer)?;
        let text = response.body_mut().read_to_string().map_err(no_answer)?;
        match response.status().as_u16() {
            200 => parse::<Revision>(&text).map(|answer| Put::Written(answer.revision)),
            409 => parse::<Revision>(&text).map(|answer| Put::Conflict(answer.revision)),
            status => Err(Error::Status(status)),
        }
    }

    /// Waits for changes of keys with a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer or the answer is not valid.
    pub fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes> {
        let path = format!("/v1/watch/{prefix}?after={after}&wait_ms={}", wait.as_millis());
        let (status, text) = self.read(&path, wait)?;
        if status == 200 { parse(&text) } else { Err(Error::Status(status)) }
    }

    /// Reads the platform's instance list.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer or the answer is not valid.
    pub fn instances(&self) -> Result<Vec<Instance>> {
        let (status, text) = self.read("/v1/instances", Duration::ZERO)?;
        if status == 200 { parse(&text) } else { Err(Error::Status(status)) }
    }

    fn read(&self, path: &str, wait: Duration) -> Result<(u16, String)> {
        let url = format!("{}{path}", self.options.base);
        let request = self.agent.get(&url).header(DOMAIN, &self.options.domain);
        let limit = self.options.timeout + wait;
        let request = request.config().timeout_global(Some(limit)).build();
        let mut response = request.call().map_err(no_answer)?;
        let body = response.body_mut().with_config().limit(ANSWER_BYTES);
        let text = body.read_to_string().map_err(no_answer)?;
        Ok((response.status().as_u16(), text))
    }
}

fn no_answer(error: ureq::Error) -> Error {
    Error::NoAnswer(error.to_string())
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| Error::Invalid(error.to_string()))
}
