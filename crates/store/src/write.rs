//! Changes of the failure domain's record by compare-and-swap.

use crate::client::Client;
use crate::client::Put;
use crate::errors::Error;
use crate::errors::Result;
use crate::record;

/// Conflicts after which a change is given up; its caller decides anew on the current record.
const ATTEMPTS: usize = 8;

/// Result of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The record was written.
    Written {
        /// Its revision.
        revision: u64,
        /// The record.
        record: record::Domain,
    },
    /// Nothing was written: the change does not apply to the current record.
    Unchanged {
        /// Revision of the current record, zero if there is none.
        revision: u64,
        /// The current record.
        record: record::Domain,
    },
    /// Others won every attempt, or wrote after an attempt without an answer.
    Lost,
}

/// Reads a record; an absent one is empty and has revision zero.
///
/// # Errors
///
/// Fails if the store does not answer or the record is not valid.
pub fn read(client: &Client, key: &str) -> Result<(u64, record::Domain)> {
    let Some(value) = client.get(key)? else { return Ok((0, record::Domain::default())) };
    let text = value.value.unwrap_or_default();
    let record = serde_json::from_str(&text).map_err(|error| Error::Invalid(error.to_string()))?;
    Ok((value.revision, record))
}

/// Changes a record. `change` returns false if nothing is to be written.
///
/// A write without an answer is read back, and its identity in the record decides whether it took effect. Until
/// then the caller must not act on it.
///
/// # Errors
///
/// Fails if the store does not answer. A write may have taken effect then: the caller must read the record before
/// it decides anything.
pub fn change(
    client: &Client,
    key: &str,
    write_id: &mut dyn FnMut() -> String,
    change: &mut dyn FnMut(&mut record::Domain) -> bool,
) -> Result<Outcome> {
    for _ in 0..ATTEMPTS {
        let (revision, mut record) = read(client, key)?;
        if !change(&mut record) {
            return Ok(Outcome::Unchanged { revision, record });
        }
        record.write_id = write_id();
        let text =
            serde_json::to_string(&record).map_err(|error| Error::Invalid(error.to_string()))?;
        match client.put(key, &text, revision) {
            Ok(Put::Written(revision)) => return Ok(Outcome::Written { revision, record }),
            Ok(Put::Conflict(_)) => {}
            Err(Error::NoAnswer(_)) => return resolve(client, key, record),
            Err(error) => return Err(error),
        }
    }
    Ok(Outcome::Lost)
}

/// Finds out whether a write without an answer took effect.
fn resolve(client: &Client, key: &str, written: record::Domain) -> Result<Outcome> {
    let (revision, current) = read(client, key)?;
    if current.write_id == written.write_id {
        return Ok(Outcome::Written { revision, record: current });
    }
    Ok(Outcome::Lost)
}
