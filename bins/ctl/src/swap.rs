//! Compare-and-swap of a document with a known result: an ambiguous answer is read back, and the same
//! write is sent again until it is known whether it was accepted.

use std::hash::BuildHasher;
use std::hash::Hasher;
use std::hash::RandomState;

use serde_json::Value;

use caraway_document::envelope::Envelope;

use crate::errors::Error;
use crate::errors::Result;
use crate::store::Client;
use crate::store::Stored;
use crate::store::Swap;

/// Writes and reads tried before the result is reported as unknown. With the time limits of a call
/// this takes at most 12 s, and less than 1 s if the store refuses connections.
const ROUNDS: usize = 3;

/// What a key tells about a write.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Verdict {
    /// The write was accepted with this revision.
    Accepted(u64),
    /// The key still has the expected revision: the write has had no effect so far, and the same write
    /// can be sent again, because at most one of the two can be accepted.
    Open,
    /// Another write was accepted.
    Other(String),
}

/// Stores an envelope if the key has the expected revision, and returns the new one.
///
/// # Errors
///
/// Another write was accepted, the store refuses the value or does not respond, or it is not known
/// whether the write was accepted.
pub fn write(client: &Client, key: &str, envelope: &Envelope, expect: u64) -> Result<u64> {
    let text = envelope.to_text();
    let write_id = envelope.write_id.as_str();
    let mut ambiguous = false;
    let mut problem = String::new();
    for _ in 0..ROUNDS {
        match client.swap(key, &text, expect) {
            Swap::Accepted(revision) => return Ok(revision),
            Swap::Conflict => {}
            Swap::Refused(problem) => {
                return Err(Error::Value { key: key.to_owned(), problem });
            }
            Swap::NotSent(reason) if !ambiguous => {
                return Err(Error::Store { tried: format!("PUT {key}"), problem: reason });
            }
            Swap::NotSent(reason) => problem = reason,
            Swap::Ambiguous(reason) => {
                ambiguous = true;
                problem = reason;
            }
        }
        // A conflict is read back too: it may be the trace of this write, accepted earlier.
        match client.get(key).map(|found| judge(found.as_ref(), write_id, expect)) {
            Ok(Verdict::Accepted(revision)) => return Ok(revision),
            Ok(Verdict::Other(winner)) if ambiguous => {
                let (key, write_id) = (key.to_owned(), write_id.to_owned());
                return Err(Error::Replaced { key, winner, write_id });
            }
            Ok(Verdict::Other(winner)) => {
                return Err(Error::Lost { key: key.to_owned(), winner });
            }
            Ok(Verdict::Open) => {}
            Err(error) => problem = error.to_string(),
        }
    }
    Err(Error::Unknown { key: key.to_owned(), write_id: write_id.to_owned(), problem })
}

fn judge(found: Option<&Stored>, write_id: &str, expect: u64) -> Verdict {
    let revision = found.map_or(0, |found| found.revision);
    let holds = found.and_then(|found| stored_write_id(&found.text));
    match holds {
        Some(holds) if holds == write_id => Verdict::Accepted(revision),
        _ if revision == expect => Verdict::Open,
        Some(holds) => Verdict::Other(format!("version {revision} with write ID {holds}")),
        None => Verdict::Other(format!("version {revision}")),
    }
}

/// Returns the write ID of a stored text, whether or not its document is valid.
fn stored_write_id(text: &str) -> Option<String> {
    let value: Value = serde_json::from_str(text).ok()?;
    value.get("write_id")?.as_str().map(str::to_owned)
}

/// Returns a new write ID: 128 bits from the random keys of the standard library's hash maps.
pub fn write_id() -> String {
    let bits = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", bits(), bits())
}
