//! Single calls to the store.

use std::io::ErrorKind;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use ureq::Agent;
use ureq::Timeout;
use ureq::http::Request;
use ureq::http::Uri;

use crate::errors::Error;
use crate::errors::Result;
use caraway_core::name;

/// Header in which a caller names its failure domain.
const DOMAIN_HEADER: &str = "platform-domain";
/// Largest answer in bytes. A value of 1 MB may need an escape for every byte.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;

/// Time limits of the calls.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time limit of a whole call. The wait of a watch is added to it.
    pub call_timeout: Duration,
}

impl Default for Options {
    /// Returns a connect timeout of 500 ms, which covers two lost packets at the latency between
    /// failure domains, and the call timeout of 2 s that the design states for takeovers.
    fn default() -> Self {
        Self { connect_timeout: Duration::from_millis(500), call_timeout: Duration::from_secs(2) }
    }
}

/// A key at one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// JSON text.
    pub value: String,
    /// Revision of the last write.
    pub revision: u64,
}

/// A change of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// JSON text, or none if the key was deleted.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: u64,
}

/// Result of a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Changes {
    /// Revision of the store, after which the next watch continues.
    pub revision: u64,
    /// Last change of each key, in the order of the revisions; empty if the wait has ended.
    pub changes: Vec<Change>,
}

/// A lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(transparent)]
pub struct Lease(u64);

/// Kind of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An entry instance.
    Entry,
    /// A target.
    Target,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance has been created and does not serve yet.
    Starting,
    /// The instance serves.
    Live,
    /// The instance will be stopped.
    Leaving,
    /// The platform has stopped the machine, which proves that the process is gone.
    Gone,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Instance {
    /// Name of the instance.
    pub name: name::Instance,
    /// Kind of the instance.
    pub kind: Kind,
    /// Failure domain of the instance.
    pub failure_domain: name::Domain,
    /// Address of the instance.
    pub address: String,
    /// State of the instance. It may be out of date.
    pub state: State,
}

#[derive(Deserialize)]
struct Revision {
    revision: u64,
}

#[derive(Deserialize)]
struct Created {
    lease: Lease,
}

struct Answer {
    status: u16,
    text: String,
}

impl Answer {
    fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        let parsed = serde_json::from_str(&self.text);
        parsed.map_err(|error| Error::Unanswered(format!("status {}: {error}", self.status)))
    }

    /// Returns the error of an answer that has none of the expected statuses. The other statuses of
    /// the 4xx class say that the call was not applied.
    fn unexpected(self) -> Error {
        let Self { status, text } = self;
        match status {
            400..=499 => Error::Rejected { status, text },
            _ => Error::Unanswered(format!("status {status}")),
        }
    }
}

/// A client of one store.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    base: String,
    domain: name::Domain,
    options: Options,
}

impl Client {
    /// Makes a client for a store at `http://ip:port`, used from a failure domain.
    pub fn try_new(base: &str, domain: name::Domain, options: Options) -> Result<Self> {
        let invalid = |what, text: &str| Error::Invalid { what, text: text.to_owned() };
        let base = base.trim_end_matches('/');
        let uri: Uri = base.parse().map_err(|_| invalid("store address", base))?;
        let plain = uri.scheme_str() == Some("http") && uri.port().is_some() && uri.path() == "/";
        if !plain {
            return Err(invalid("store address", base));
        }
        if !domain.as_str().bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(invalid("failure domain", domain.as_str()));
        }
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(options.connect_timeout))
            .build()
            .new_agent();
        Ok(Self { agent, base: base.to_owned(), domain, options })
    }

    /// Reads a key. Returns none if it is absent.
    pub fn get(&self, key: &str) -> Result<Option<Entry>> {
        let answer = self.call("GET", &format!("kv/{}", checked(key)?), String::new())?;
        match answer.status {
            200 => answer.parse().map(Some),
            404 => Ok(None),
            _ => Err(answer.unexpected()),
        }
    }

    /// Writes a key if it has the expected revision, 0 if it must be absent. Returns the new
    /// revision. With a lease, the store deletes the key when the lease expires.
    pub fn put(&self, key: &str, value: &str, expect: u64, lease: Option<Lease>) -> Result<u64> {
        let mut body = json!({ "value": value, "expect": expect });
        if let (Some(Lease(id)), Some(fields)) = (lease, body.as_object_mut()) {
            fields.insert("lease".to_owned(), json!(id));
        }
        let answer = self.call("PUT", &format!("kv/{}", checked(key)?), body.to_string())?;
        match answer.status {
            200 => answer.parse().map(|Revision { revision }| revision),
            409 => Err(Error::Conflict { revision: answer.parse::<Revision>()?.revision }),
            _ => Err(answer.unexpected()),
        }
    }

    /// Waits until a key under a prefix changes after a revision, at most for `wait`.
    pub fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes> {
        let path = format!("watch/{}?after={after}&wait_ms={}", checked(prefix)?, wait.as_millis());
        let limit = wait.saturating_add(self.options.call_timeout);
        let answer = self.call_within("GET", &path, String::new(), limit)?;
        if answer.status == 200 { answer.parse() } else { Err(answer.unexpected()) }
    }

    /// Lists the instances. The list may be out of date.
    pub fn instances(&self) -> Result<Vec<Instance>> {
        let answer = self.call("GET", "instances", String::new())?;
        if answer.status == 200 { answer.parse() } else { Err(answer.unexpected()) }
    }

    /// Creates a lease.
    pub fn create_lease(&self, ttl: Duration) -> Result<Lease> {
        let body = json!({ "ttl_ms": u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX) });
        let answer = self.call("POST", "leases", body.to_string())?;
        match answer.status {
            200 => answer.parse().map(|Created { lease }| lease),
            _ => Err(answer.unexpected()),
        }
    }

    /// Renews a lease. Fails with [`Error::LeaseExpired`] if its keys have been deleted.
    pub fn renew_lease(&self, Lease(id): Lease) -> Result<()> {
        let answer = self.call("PUT", &format!("leases/{id}"), String::new())?;
        match answer.status {
            200 => Ok(()),
            404 => Err(Error::LeaseExpired),
            _ => Err(answer.unexpected()),
        }
    }

    fn call(&self, method: &str, path: &str, body: String) -> Result<Answer> {
        self.call_within(method, path, body, self.options.call_timeout)
    }

    fn call_within(
        &self,
        method: &str,
        path: &str,
        body: String,
        limit: Duration,
    ) -> Result<Answer> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}/v1/{path}", self.base))
            .header(DOMAIN_HEADER, self.domain.as_str())
            .body(body)
            .map_err(|error| Error::Invalid { what: "call", text: error.to_string() })?;
        let request = self.agent.configure_request(request).timeout_global(Some(limit)).build();
        let mut response = self.agent.run(request).map_err(failure)?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(ANSWER_LIMIT_BYTES);
        let text = body.read_to_string().map_err(|e| Error::Unanswered(e.to_string()))?;
        Ok(Answer { status, text })
    }
}

/// Tells a call that was not sent from one whose effect is unknown.
fn failure(error: ureq::Error) -> Error {
    let unsent = match &error {
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(phase) => matches!(phase, Timeout::Connect | Timeout::Resolve),
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        _ => false,
    };
    let text = error.to_string();
    if unsent { Error::Unreachable(text) } else { Error::Unanswered(text) }
}

fn checked(key: &str) -> Result<&str> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if key.bytes().all(plain) {
        return Ok(key);
    }
    Err(Error::Invalid { what: "key", text: key.to_owned() })
}
