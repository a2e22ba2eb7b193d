//! Calls to the platform, parsed from HTTP requests.

use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde::de::IgnoredAny;

use crate::errors::Error;
use crate::errors::Result;
use crate::fault::Change;
use crate::list::Instance;
use crate::list::State;

/// Largest value of a key in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;
/// Largest request body in bytes. A value of the largest size may need an escape for every byte.
pub const BODY_LIMIT_BYTES: usize = 7 * VALUE_LIMIT_BYTES;
/// Longest wait of a watch.
const WAIT_LIMIT_MS: u64 = 60_000;
/// Longest time to live of a lease.
const TTL_LIMIT_MS: u64 = 3_600_000;
/// Longest key in bytes.
const KEY_LIMIT_BYTES: usize = 512;

/// One call.
#[derive(Debug)]
pub enum Call {
    /// Reads a key.
    Get(String),
    /// Writes a key if it has the expected revision.
    Put(Put),
    /// Waits for changes under a prefix.
    Watch(Watch),
    /// Creates a lease.
    LeaseCreate(Duration),
    /// Renews a lease.
    LeaseRenew(u64),
    /// Lists the instances.
    InstanceList,
    /// Writes one instance.
    InstancePut(Instance),
    /// Reads the call counts.
    Counts,
    /// Changes the faults.
    Fault(Change),
}

/// A compare-and-swap of one key.
#[derive(Debug)]
pub struct Put {
    /// Key to write.
    pub key: String,
    /// JSON text to store.
    pub value: String,
    /// Revision that the key must have; 0 if it must be absent.
    pub expect: u64,
    /// Lease that the key is bound to.
    pub lease: Option<u64>,
}

/// A wait for changes.
#[derive(Debug)]
pub struct Watch {
    /// Prefix of the watched keys.
    pub prefix: String,
    /// Only changes with a higher revision are returned.
    pub after: u64,
    /// Time after which the watch returns without changes.
    pub wait: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PutBody {
    value: String,
    expect: u64,
    #[serde(default)]
    lease: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaseBody {
    ttl_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InstanceBody {
    #[serde(default)]
    name: Option<String>,
    kind: crate::list::Kind,
    failure_domain: String,
    address: String,
    state: State,
}

impl Call {
    /// Parses a call from the method, the path with its query, and the body of a request.
    pub fn try_new(method: &str, url: &str, body: &[u8]) -> Result<Self> {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let route = path.strip_prefix("/v1/").ok_or(Error::Missing("path"))?;
        let (area, rest) = route.split_once('/').unwrap_or((route, ""));
        match (area, rest.is_empty(), method) {
            ("kv", _, "GET") => Ok(Self::Get(key(rest)?)),
            ("kv", _, "PUT") => put(rest, body),
            ("watch", _, "GET") => watch(rest, query),
            ("leases", true, "POST") => lease(body),
            ("leases", false, "PUT") => Ok(Self::LeaseRenew(number("lease", rest)?)),
            ("instances", true, "GET") => Ok(Self::InstanceList),
            ("instances", false, "PUT") => instance(rest, body),
            ("counts", true, "GET") => Ok(Self::Counts),
            ("fault", true, "POST") => Ok(Self::Fault(json(body)?)),
            ("kv" | "watch" | "leases" | "instances" | "counts" | "fault", _, _) => {
                Err(Error::Method)
            }
            _ => Err(Error::Missing("path")),
        }
    }

    /// Returns the kind under which the call is counted. Control calls are not counted.
    pub fn kind(&self) -> Option<&'static str> {
        match self {
            Self::Get(_) => Some("get"),
            Self::Put(_) => Some("put"),
            Self::Watch(_) => Some("watch"),
            Self::LeaseCreate(_) => Some("lease_create"),
            Self::LeaseRenew(_) => Some("lease_renew"),
            Self::InstanceList => Some("instance_list"),
            Self::InstancePut(_) | Self::Counts | Self::Fault(_) => None,
        }
    }
}

fn put(path: &str, body: &[u8]) -> Result<Call> {
    let key = key(path)?;
    let PutBody { value, expect, lease } = json(body)?;
    if value.len() > VALUE_LIMIT_BYTES {
        return Err(Error::TooLarge(VALUE_LIMIT_BYTES));
    }
    serde_json::from_str::<IgnoredAny>(&value)
        .map_err(|error| Error::Malformed(format!("value is not JSON text: {error}")))?;
    Ok(Call::Put(Put { key, value, expect, lease }))
}

fn watch(path: &str, query: &str) -> Result<Call> {
    if !path.is_empty() {
        key(path)?;
    }
    let mut watch = Watch { prefix: path.to_owned(), after: 0, wait: Duration::ZERO };
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            Some(("after", text)) => watch.after = number("after", text)?,
            Some(("wait_ms", text)) => {
                let wait_ms = number("wait_ms", text)?.min(WAIT_LIMIT_MS);
                watch.wait = Duration::from_millis(wait_ms);
            }
            _ => return Err(Error::Malformed(format!("unknown parameter {pair:?}"))),
        }
    }
    Ok(Call::Watch(watch))
}

fn lease(body: &[u8]) -> Result<Call> {
    let LeaseBody { ttl_ms } = json(body)?;
    if !(1..=TTL_LIMIT_MS).contains(&ttl_ms) {
        return Err(Error::Malformed(format!("ttl_ms is not between 1 and {TTL_LIMIT_MS}")));
    }
    Ok(Call::LeaseCreate(Duration::from_millis(ttl_ms)))
}

fn instance(path: &str, body: &[u8]) -> Result<Call> {
    let name = key(path)?;
    let InstanceBody { name: given, kind, failure_domain, address, state } = json(body)?;
    if given.is_some_and(|given| given != name) {
        return Err(Error::Malformed("name differs from the path".to_owned()));
    }
    Ok(Call::InstancePut(Instance { name, kind, failure_domain, address, state }))
}

fn key(text: &str) -> Result<String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    if text.is_empty() || text.len() > KEY_LIMIT_BYTES || !text.chars().all(plain) {
        return Err(Error::Malformed(format!(
            "a key has 1 to {KEY_LIMIT_BYTES} letters, digits or -_./"
        )));
    }
    Ok(text.to_owned())
}

fn number(name: &str, text: &str) -> Result<u64> {
    text.parse().map_err(|_| Error::Malformed(format!("{name} is not an unsigned integer")))
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}
