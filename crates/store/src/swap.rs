//! Compare-and-swap with a known result: an ambiguous answer is read back, and the same write is sent again until it
//! is known whether it was accepted.
//!
//! Values carry the identity of the write that stored them in the field `write_id`, so that a writer whose response
//! was lost recognizes its own value.

use std::fmt;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::hash::RandomState;

use crate::client::Client;
use crate::client::Put;
use crate::client::Value;
use crate::errors::Error;
use crate::errors::Result;

/// A write of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Write<'a> {
    /// The key.
    pub key: &'a str,
    /// The value, a JSON object with the field `write_id`.
    pub text: &'a str,
    /// Identity of the write, unique among all writes.
    pub write_id: &'a str,
    /// Revision that the key must have, zero if it must be absent.
    pub expect: u64,
}

/// How long a result is looked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Writes sent at most.
    pub max_writes: usize,
    /// Failed reads after which the result is unknown.
    pub max_failed_reads: usize,
}

impl Default for Limits {
    /// With a call timeout of 2 s, a result takes at most 12 s.
    fn default() -> Self {
        Self { max_writes: 3, max_failed_reads: 3 }
    }
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was accepted with this revision.
    Written(u64),
    /// Another write was accepted and this one had no effect.
    Lost(Found),
    /// Another value is stored. This one may have been accepted before and replaced.
    Replaced(Found),
    /// It is not known whether the value was accepted.
    Unknown(String),
}

/// What a key holds instead of the written value; none if it is absent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Found(pub Option<Value>);

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(value) = &self.0 else { return f.write_str("no value") };
        write!(f, "version {}", value.revision)?;
        match write_id_of(value) {
            Some(write_id) => write!(f, " with write ID {write_id}"),
            None => Ok(()),
        }
    }
}

/// What a key tells about a write.
enum Verdict {
    Accepted(u64),
    /// The key still has the expected revision: the write has had no effect so far, and the same write can be sent
    /// again, because at most one of the two can be accepted.
    Open,
    Other(Found),
}

/// Writes a key.
///
/// # Errors
///
/// The store refused the value or no connection was opened; the write had no effect.
pub fn write(client: &Client, write: &Write<'_>, limits: Limits) -> Result<Swap> {
    let mut ambiguous = false;
    let mut failed_reads = 0;
    let mut problem = String::new();
    for _ in 0..limits.max_writes {
        match client.put(write.key, write.text, write.expect) {
            Ok(Put::Written(revision)) => return Ok(Swap::Written(revision)),
            Ok(Put::Conflict(_)) => {}
            Err(Error::NoAnswer(reason)) => {
                ambiguous = true;
                problem = reason;
            }
            Err(error) if !ambiguous => return Err(error),
            Err(error) => problem = error.to_string(),
        }
        // A conflict is read back too: it may be the trace of this write, accepted earlier.
        match client.get(write.key).map(|found| judge(found, write)) {
            Ok(Verdict::Accepted(revision)) => return Ok(Swap::Written(revision)),
            Ok(Verdict::Other(found)) if ambiguous => return Ok(Swap::Replaced(found)),
            Ok(Verdict::Other(found)) => return Ok(Swap::Lost(found)),
            Ok(Verdict::Open) => {}
            Err(error) => {
                failed_reads += 1;
                problem = error.to_string();
            }
        }
        if failed_reads >= limits.max_failed_reads {
            break;
        }
    }
    Ok(Swap::Unknown(problem))
}

fn judge(found: Option<Value>, write: &Write<'_>) -> Verdict {
    let revision = found.as_ref().map_or(0, |found| found.revision);
    if found.as_ref().and_then(write_id_of).is_some_and(|held| held == write.write_id) {
        return Verdict::Accepted(revision);
    }
    if revision == write.expect { Verdict::Open } else { Verdict::Other(Found(found)) }
}

/// Returns the write ID of a stored value, whether or not the rest of it is valid.
fn write_id_of(value: &Value) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(value.value.as_deref()?).ok()?;
    value.get("write_id")?.as_str().map(str::to_owned)
}

/// Returns a new write ID: 128 bits from the random keys of the standard library's hash maps.
pub fn write_id() -> String {
    let bits = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", bits(), bits())
}
