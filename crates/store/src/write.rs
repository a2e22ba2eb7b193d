//! Changes of stored records by compare-and-swap.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::Client;
use crate::client::Value;
use crate::errors::Error;
use crate::errors::Result;
use crate::record;
use crate::swap;
use crate::swap::Limits;
use crate::swap::Swap;
use crate::swap::Write;

/// Conflicts after which a change is given up; its caller decides anew on the current record.
const ATTEMPTS: usize = 8;

/// A record with the identity of the write that stored it.
pub trait Record: Default + Serialize + DeserializeOwned {
    /// Sets the identity of the write.
    fn set_write_id(&mut self, write_id: String);

    /// Returns true if this version understands the form of the record.
    fn is_supported(&self) -> bool {
        true
    }
}

impl Record for record::Domain {
    fn set_write_id(&mut self, write_id: String) {
        self.write_id = write_id;
    }

    fn is_supported(&self) -> bool {
        self.format == record::FORMAT
    }
}

/// Result of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome<T = record::Domain> {
    /// The record was written.
    Written {
        /// Its revision.
        revision: u64,
        /// The record.
        record: T,
    },
    /// Nothing was written: the change does not apply to the current record.
    Unchanged {
        /// Revision of the current record, zero if there is none.
        revision: u64,
        /// The current record.
        record: T,
    },
    /// Others won every attempt, or wrote after an attempt without an answer.
    Lost,
}

/// Reads a domain record; an absent one is empty and has revision zero.
///
/// # Errors
///
/// Fails if the store does not answer or the record is not valid.
pub fn read(client: &Client, key: &str) -> Result<(u64, record::Domain)> {
    read_record(client, key)
}

/// Changes a domain record. `change` returns false if nothing is to be written.
///
/// A write without an answer is read back, and its identity in the record decides whether it took effect. Until
/// then the caller must not act on it. A read without an answer ends the change, because a claim that is late by
/// several calls is of no use.
///
/// `known` is the record with its revision as it was last seen, which saves a read. If it is out of date, the store
/// refuses the write and the change is tried on the current record.
///
/// # Errors
///
/// Fails if the store does not answer. A write may have taken effect then: the caller must read the record before
/// it decides anything.
pub fn change(
    client: &Client,
    key: &str,
    known: Option<(u64, record::Domain)>,
    write_id: &mut dyn FnMut() -> String,
    change: &mut dyn FnMut(&mut record::Domain) -> bool,
) -> Result<Outcome> {
    let limits = Limits { max_failed_reads: 1, ..Limits::default() };
    change_record(client, key, known, limits, write_id, change)
}

/// Reads a record of any kind, as [`read`] does.
pub(crate) fn read_record<T: Record>(client: &Client, key: &str) -> Result<(u64, T)> {
    decode(client.get(key)?.as_ref())
}

/// Changes a record of any kind, as [`change`] does.
pub(crate) fn change_record<T: Record>(
    client: &Client,
    key: &str,
    known: Option<(u64, T)>,
    limits: Limits,
    write_id: &mut dyn FnMut() -> String,
    change: &mut dyn FnMut(&mut T) -> bool,
) -> Result<Outcome<T>> {
    let mut current = match known {
        Some(known) => known,
        None => read_record(client, key)?,
    };
    for _ in 0..ATTEMPTS {
        let (revision, mut record) = current;
        if !change(&mut record) {
            return Ok(Outcome::Unchanged { revision, record });
        }
        let write_id = write_id();
        record.set_write_id(write_id.clone());
        let text =
            serde_json::to_string(&record).map_err(|error| Error::Invalid(error.to_string()))?;
        let write = Write { key, text: &text, write_id: &write_id, expect: revision };
        match swap::write(client, &write, limits)? {
            Swap::Written(revision) => return Ok(Outcome::Written { revision, record }),
            Swap::Lost(winner) => current = decode(winner.0.as_ref())?,
            Swap::Replaced(_) => return Ok(Outcome::Lost),
            Swap::Unknown(problem) => return Err(Error::NoAnswer(problem)),
        }
    }
    Ok(Outcome::Lost)
}

fn decode<T: Record>(found: Option<&Value>) -> Result<(u64, T)> {
    let Some(value) = found else { return Ok((0, T::default())) };
    let text = value.value.as_deref().unwrap_or_default();
    let record: T =
        serde_json::from_str(text).map_err(|error| Error::Invalid(error.to_string()))?;
    if !record.is_supported() {
        // A newer version has written it; a write in the old form would lose what it added.
        return Err(Error::Invalid("the record has a form of another version".to_owned()));
    }
    Ok((value.revision, record))
}
