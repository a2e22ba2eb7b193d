//! Compare-and-swap with a definite result. After an ambiguous response the key is read back, and
//! the write is repeated until its result is known.
//!
//! Values contain the ID of the write that stored them in the field `write_id`, by which a writer
//! whose response was lost recognizes its own value.

use std::fmt;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::hash::RandomState;

use crate::client::Client;
use crate::client::Put;
use crate::client::Value;
use crate::errors::Error;
use crate::errors::Result;

/// A conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Write<'a> {
    /// Key to write.
    pub key: &'a str,
    /// The value, a JSON object with the field `write_id`.
    pub text: &'a str,
    /// Unique ID of the write.
    pub write_id: &'a str,
    /// Expected revision of the key; zero if it must be absent.
    pub expect: u64,
}

/// Limits on the search for a result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest number of writes.
    pub max_writes: usize,
    /// Number of failed reads after which the result is unknown.
    pub max_failed_reads: usize,
}

impl Default for Limits {
    /// With a call timeout of 2 s, the search takes at most 12 s.
    fn default() -> Self {
        Self { max_writes: 3, max_failed_reads: 3 }
    }
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was written; holds its revision.
    Written(u64),
    /// Another write was accepted; this one had no effect.
    Lost(Found),
    /// Another value is stored. This write may have been accepted earlier and replaced since.
    Replaced(Found),
    /// The result is unknown; holds the latest problem.
    Unknown(String),
}

/// Value that a key holds instead of the written one; `None` if the key is absent.
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

/// Result of reading the key back.
enum Readback {
    Accepted(u64),
    /// The key still has the expected revision. The write has had no effect so far and can be
    /// repeated, because at most one of the two can be accepted.
    Undecided,
    Other(Found),
}

/// Writes a key and determines the result.
///
/// # Errors
///
/// Fails without effect if the store rejects the value or no connection can be opened.
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
        // Conflicts are read back too: the conflicting value may be this write, accepted earlier.
        match client.get(write.key).map(|found| classify(found, write)) {
            Ok(Readback::Accepted(revision)) => return Ok(Swap::Written(revision)),
            Ok(Readback::Other(found)) if ambiguous => return Ok(Swap::Replaced(found)),
            Ok(Readback::Other(found)) => return Ok(Swap::Lost(found)),
            Ok(Readback::Undecided) => {}
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

fn classify(found: Option<Value>, write: &Write<'_>) -> Readback {
    let revision = found.as_ref().map_or(0, |found| found.revision);
    if found.as_ref().and_then(write_id_of).is_some_and(|stored| stored == write.write_id) {
        return Readback::Accepted(revision);
    }
    if revision == write.expect { Readback::Undecided } else { Readback::Other(Found(found)) }
}

/// Returns the write ID of a stored value. The other fields may be invalid.
fn write_id_of(value: &Value) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(value.value.as_deref()?).ok()?;
    value.get("write_id")?.as_str().map(str::to_owned)
}

/// Returns a new write ID of 128 bits, from the random keys of the standard library's hash maps.
pub fn write_id() -> String {
    let bits = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", bits(), bits())
}
