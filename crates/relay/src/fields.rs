//! Header fields: which ones are forwarded, and how those of the protocol are read and written.

use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use caraway_core::header as names;
use caraway_core::outcome::Reason;

/// Fields that apply to one connection (RFC 9110, section 7.6.1), and `expect`, which each hop
/// handles itself.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Hop-by-hop fields without a constant in the HTTP library.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Fields that only instances and targets may set; those of callers are removed.
const INTERNAL: [&str; 13] = [
    names::OUTCOME,
    names::REASON,
    names::GROUP,
    names::TERM,
    names::SHARD,
    names::KEY,
    names::CLASS,
    names::DEADLINE,
    names::HOPS,
    names::CONFIG,
    names::TOKEN,
    names::REFUSED,
    names::INCARNATION,
];

/// Fields between instances that are not forwarded to targets or callers.
const BETWEEN_INSTANCES: [&str; 5] =
    [names::GROUP, names::TERM, names::CLASS, names::HOPS, names::CONFIG];

/// Longest request ID, idempotency key or tenant in bytes; bounds the memory of the tables that
/// hold them.
const MAX_NAME_BYTES: usize = 200;

/// Removes the hop-by-hop fields, including those listed in the `connection` field.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_str(name.trim()).ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
}

/// Removes the fields that a caller may not set.
pub fn remove_internal(headers: &mut HeaderMap) {
    for name in INTERNAL {
        headers.remove(name);
    }
}

/// Removes the fields between instances from a request or response that leaves the system.
pub fn remove_between_instances(headers: &mut HeaderMap) {
    for name in BETWEEN_INSTANCES {
        headers.remove(name);
    }
}

/// Returns the text of a field, or `None` if it is absent or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a field.
pub fn parsed<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// Parses a field that holds milliseconds.
pub fn millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    parsed(headers, name).map(Duration::from_millis)
}

/// Returns a field that holds a name chosen by the caller, if it is present.
///
/// # Errors
///
/// Fails if the field is empty, repeated, too long or contains characters other than visible ASCII.
pub fn name<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Reason> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Reason::BadRequest);
    }
    let text = value.to_str().map_err(|_| Reason::BadRequest)?;
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !visible {
        return Err(Reason::BadRequest);
    }
    Ok(Some(text))
}

/// Sets a field. If the text is not a valid field value, removes the field.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(_) => {
            headers.remove(name);
        }
    }
}

/// Returns true if a request has contradictory framing or asks for a protocol upgrade.
pub fn is_unacceptable(headers: &HeaderMap) -> bool {
    let both = headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH);
    both || headers.contains_key(header::UPGRADE)
}
