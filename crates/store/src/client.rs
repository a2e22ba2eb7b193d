//! Client of the platform's HTTP interface.

use std::fmt;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use ureq::Agent;
use ureq::Timeout;

use crate::errors::Error;
use crate::errors::Result;

/// Header that names the failure domain of the caller.
const DOMAIN_HEADER: &str = "platform-domain";

/// Longest response body that is read. A value has at most 1 MB; a list of changes contains
/// several.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL of the platform.
    pub base_url: String,
    /// Failure domain of the caller; empty if the caller is outside of all failure domains.
    pub domain: String,
    /// Timeout of a call. A watch adds its wait time.
    pub timeout: Duration,
}

/// A stored value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Value {
    /// Key of the value.
    pub key: String,
    /// The value, or `None` if the key was deleted.
    pub value: Option<String>,
    /// Revision of the latest write.
    pub revision: u64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Put {
    /// The value was written; holds its revision.
    Written(u64),
    /// The key did not have the expected revision; holds its actual one.
    Conflict(u64),
}

/// Changes after a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Changes {
    /// Revision up to which the list is complete.
    pub revision: u64,
    /// Latest values of the changed keys.
    pub changes: Vec<Value>,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Instance {
    /// Name of the instance or target.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// State: `starting`, `live`, `leaving` or `gone`.
    pub state: String,
}

#[derive(Deserialize)]
struct Revision {
    revision: u64,
}

/// Kind of call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Read of a key.
    Get,
    /// Write of a key.
    Put,
    /// Watch of a prefix.
    Watch,
    /// Read of the instance list.
    Instances,
}

/// How a call completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The call succeeded.
    Done,
    /// A compare-and-swap found a different revision.
    Conflict,
    /// The call failed without effect.
    Failed,
    /// The call was not answered and may have had an effect.
    Ambiguous,
}

/// Callback that receives the completion of every call, including retried writes and the reads that
/// follow a lost response.
#[derive(Clone)]
pub struct Observer(Arc<dyn Fn(Kind, Completion) + Send + Sync>);

impl Observer {
    /// Makes an observer that calls a function.
    pub fn new(on_call: impl Fn(Kind, Completion) + Send + Sync + 'static) -> Self {
        Self(Arc::new(on_call))
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Observer")
    }
}

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    options: Options,
    observer: Option<Observer>,
}

impl Client {
    /// Makes a client. It does not reuse connections, because the HTTP library could resend a
    /// request whose reused connection was closed by the server.
    pub fn new(options: Options) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .max_idle_connections(0)
            .proxy(None)
            .timeout_connect(Some(options.timeout))
            .build();
        Self { agent: config.into(), options, observer: None }
    }

    /// Sets the observer of the client's calls.
    pub fn with_observer(mut self, observer: Observer) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Returns the URL of a key.
    pub fn url(&self, key: &str) -> String {
        format!("{}/v1/kv/{key}", self.options.base_url)
    }

    /// Reads a value; `None` if the key is absent.
    ///
    /// # Errors
    ///
    /// Fails if the call is not answered or the response is invalid.
    pub fn get(&self, key: &str) -> Result<Option<Value>> {
        let response = self.read(&format!("/v1/kv/{key}"), Duration::ZERO);
        let result = response.and_then(|(status, text)| match status {
            200 => parse(&text).map(Some),
            404 => Ok(None),
            _ => Err(Error::Status(status)),
        });
        self.notify_read(Kind::Get, result)
    }

    /// Writes a value if the key has the expected revision; zero means that the key must be absent.
    ///
    /// # Errors
    ///
    /// After [`Error::NoAnswer`] the write may have taken effect; after any other error it has not.
    pub fn put(&self, key: &str, value: &str, expect: u64) -> Result<Put> {
        let result = self.write(key, value, expect);
        self.notify(
            Kind::Put,
            match &result {
                Ok(Put::Written(_)) => Completion::Done,
                Ok(Put::Conflict(_)) => Completion::Conflict,
                Err(Error::NoAnswer(_)) => Completion::Ambiguous,
                Err(Error::NotSent(_) | Error::Status(_) | Error::Invalid(_)) => Completion::Failed,
            },
        );
        result
    }

    fn write(&self, key: &str, value: &str, expect: u64) -> Result<Put> {
        let body = json!({ "value": value, "expect": expect }).to_string();
        let mut request = self.agent.put(self.url(key)).header("content-type", "application/json");
        if !self.options.domain.is_empty() {
            request = request.header(DOMAIN_HEADER, &self.options.domain);
        }
        let request = request.config().timeout_global(Some(self.options.timeout)).build();
        let mut response = request.send(body).map_err(|error| self.convert_error(error))?;
        let body = response.body_mut().read_to_string();
        let text = body.map_err(|error| Error::NoAnswer(self.describe(error)))?;
        let revision = parse::<Revision>(&text).map(|response| response.revision);
        match (response.status().as_u16(), revision) {
            (200, Ok(revision)) => Ok(Put::Written(revision)),
            (409, Ok(revision)) => Ok(Put::Conflict(revision)),
            (status @ 400..500, _) if status != 409 => Err(Error::Status(status)),
            (status, _) => Err(Error::NoAnswer(format!("unexpected response status {status}"))),
        }
    }

    /// Waits up to `wait` for changes of keys with a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the call is not answered or the response is invalid.
    pub fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes> {
        let path = format!("/v1/watch/{prefix}?after={after}&wait_ms={}", wait.as_millis());
        let response = self.read(&path, wait);
        self.notify_read(Kind::Watch, response.and_then(parse_ok))
    }

    /// Reads the platform's instance list.
    ///
    /// # Errors
    ///
    /// Fails if the call is not answered or the response is invalid.
    pub fn instances(&self) -> Result<Vec<Instance>> {
        let response = self.read("/v1/instances", Duration::ZERO);
        self.notify_read(Kind::Instances, response.and_then(parse_ok))
    }

    fn read(&self, path: &str, wait: Duration) -> Result<(u16, String)> {
        let url = format!("{}{path}", self.options.base_url);
        let mut request = self.agent.get(&url);
        if !self.options.domain.is_empty() {
            request = request.header(DOMAIN_HEADER, &self.options.domain);
        }
        let limit = self.options.timeout + wait;
        let request = request.config().timeout_global(Some(limit)).build();
        let mut response = request.call().map_err(|error| self.convert_error(error))?;
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_string();
        let text = body.map_err(|error| Error::NoAnswer(self.describe(error)))?;
        Ok((response.status().as_u16(), text))
    }

    fn notify_read<T>(&self, kind: Kind, result: Result<T>) -> Result<T> {
        self.notify(kind, if result.is_ok() { Completion::Done } else { Completion::Failed });
        result
    }

    fn notify(&self, kind: Kind, completion: Completion) {
        if let Some(Observer(on_call)) = &self.observer {
            on_call(kind, completion);
        }
    }

    /// Converts an HTTP error; tells calls that were never sent from those that may have been.
    fn convert_error(&self, error: ureq::Error) -> Error {
        let refused = matches!(&error, ureq::Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused);
        let not_connected = matches!(
            error,
            ureq::Error::Http(_)
                | ureq::Error::BadUri(_)
                | ureq::Error::HostNotFound
                | ureq::Error::ConnectionFailed
                | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve)
        );
        let problem = self.describe(error);
        if refused || not_connected { Error::NotSent(problem) } else { Error::NoAnswer(problem) }
    }

    fn describe(&self, error: ureq::Error) -> String {
        let limit = self.options.timeout.as_secs_f64();
        match error {
            ureq::Error::Timeout(Timeout::Connect) => format!("no connection within {limit} s"),
            ureq::Error::Timeout(_) => format!("no answer within {limit} s"),
            ureq::Error::Io(error) => error.to_string(),
            other => other.to_string(),
        }
    }
}

fn parse_ok<T: DeserializeOwned>((status, text): (u16, String)) -> Result<T> {
    if status == 200 { parse(&text) } else { Err(Error::Status(status)) }
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| Error::Invalid(error.to_string()))
}
