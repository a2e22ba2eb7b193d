//! Calls to the platform and their parsing from HTTP requests.

use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde::de::IgnoredAny;

use crate::errors::Error;
use crate::errors::Result;
use crate::fault::Change;
use crate::list::Instance;
use crate::list::State;

/// Maximum length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum length of a request body in bytes. JSON may escape each byte of a value with up to six bytes.
pub const MAX_BODY_BYTES: usize = 7 * MAX_VALUE_BYTES;
/// Maximum wait of a watch in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Maximum time to live of a lease in milliseconds.
const MAX_TTL_MS: u64 = 3_600_000;
/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 512;

/// A call to the platform.
#[derive(Debug)]
pub enum Call {
    /// Reads an entry.
    Get(String),
    /// Writes an entry if it has the expected revision.
    Put(Put),
    /// Waits for changes of entries whose keys have a prefix.
    Watch(Watch),
    /// Creates a lease.
    LeaseCreate(Duration),
    /// Renews a lease.
    LeaseRenew(u64),
    /// Lists the instances.
    InstanceList,
    /// Writes an instance. This is a control call.
    InstancePut(Instance),
    /// Reads the call counts. This is a control call.
    Counts,
    /// Changes the injected faults. This is a control call.
    Fault(Change),
}

/// A compare-and-swap of one entry.
#[derive(Debug)]
pub struct Put {
    pub key: String,
    /// JSON text to write.
    pub value: String,
    /// Expected revision of the entry; 0 if the key must not exist.
    pub expect: u64,
    /// Lease to which the entry is attached.
    pub lease: Option<u64>,
}

/// A long poll for changes.
#[derive(Debug)]
pub struct Watch {
    /// Prefix of the watched keys.
    pub prefix: String,
    /// Revision after which changes are returned.
    pub after: u64,
    /// Maximum time to wait for a change.
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
    /// Parses a call from the method, the path with the query, and the body of a request.
    pub fn try_new(method: &str, url: &str, body: &[u8]) -> Result<Self> {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let route = path.strip_prefix("/v1/").ok_or(Error::Missing("path"))?;
        let (resource, rest) = route.split_once('/').unwrap_or((route, ""));
        match (resource, rest.is_empty(), method) {
            ("kv", _, "GET") => Ok(Self::Get(parse_key(rest)?)),
            ("kv", _, "PUT") => parse_put(rest, body),
            ("watch", _, "GET") => parse_watch(rest, query),
            ("leases", true, "POST") => parse_lease(body),
            ("leases", false, "PUT") => Ok(Self::LeaseRenew(parse_number("lease", rest)?)),
            ("instances", true, "GET") => Ok(Self::InstanceList),
            ("instances", false, "PUT") => parse_instance(rest, body),
            ("counts", true, "GET") => Ok(Self::Counts),
            ("fault", true, "POST") => Ok(Self::Fault(parse_json(body)?)),
            ("kv" | "watch" | "leases" | "instances" | "counts" | "fault", _, _) => {
                Err(Error::Method)
            }
            _ => Err(Error::Missing("path")),
        }
    }

    /// Returns the kind in the call counts. Control calls are not counted and have none.
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

fn parse_put(path: &str, body: &[u8]) -> Result<Call> {
    let key = parse_key(path)?;
    let PutBody { value, expect, lease } = parse_json(body)?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(Error::TooLarge(MAX_VALUE_BYTES));
    }
    serde_json::from_str::<IgnoredAny>(&value)
        .map_err(|error| Error::Malformed(format!("value is not JSON text: {error}")))?;
    Ok(Call::Put(Put { key, value, expect, lease }))
}

fn parse_watch(path: &str, query: &str) -> Result<Call> {
    if !path.is_empty() {
        parse_key(path)?;
    }
    let mut watch = Watch { prefix: path.to_owned(), after: 0, wait: Duration::ZERO };
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            Some(("after", text)) => watch.after = parse_number("after", text)?,
            Some(("wait_ms", text)) => {
                let wait_ms = parse_number("wait_ms", text)?.min(MAX_WAIT_MS);
                watch.wait = Duration::from_millis(wait_ms);
            }
            _ => return Err(Error::Malformed(format!("unknown parameter {pair:?}"))),
        }
    }
    Ok(Call::Watch(watch))
}

fn parse_lease(body: &[u8]) -> Result<Call> {
    let LeaseBody { ttl_ms } = parse_json(body)?;
    if !(1..=MAX_TTL_MS).contains(&ttl_ms) {
        return Err(Error::Malformed(format!("ttl_ms is not between 1 and {MAX_TTL_MS}")));
    }
    Ok(Call::LeaseCreate(Duration::from_millis(ttl_ms)))
}

fn parse_instance(path: &str, body: &[u8]) -> Result<Call> {
    let name = parse_key(path)?;
    let InstanceBody { name: body_name, kind, failure_domain, address, state } = parse_json(body)?;
    if body_name.is_some_and(|body_name| body_name != name) {
        return Err(Error::Malformed("name differs from the path".to_owned()));
    }
    Ok(Call::InstancePut(Instance { name, kind, failure_domain, address, state }))
}

fn parse_key(text: &str) -> Result<String> {
    let is_key_char = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !text.chars().all(is_key_char) {
        return Err(Error::Malformed(format!(
            "a key has 1 to {MAX_KEY_BYTES} letters, digits or -_./"
        )));
    }
    Ok(text.to_owned())
}

fn parse_number(name: &str, text: &str) -> Result<u64> {
    text.parse().map_err(|_| Error::Malformed(format!("{name} is not an unsigned integer")))
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}
