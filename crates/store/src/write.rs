//! Read-modify-write of stored records by compare-and-swap.

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

/// Number of lost attempts after which a change is abandoned; the caller decides again on the
/// current record.
const MAX_ATTEMPTS: usize = 8;

/// A stored record that contains the ID of the write that stored it.
pub trait Record: Default + Serialize + DeserializeOwned {
    /// Sets the write ID.
    fn set_write_id(&mut self, write_id: String);

    /// Returns true if this version supports the format of the record.
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
        /// Revision of the written record.
        revision: u64,
        /// Written record.
        record: T,
    },
    /// Nothing was written, because the change does not apply to the current record.
    Unchanged {
        /// Revision of the current record; zero if there is none.
        revision: u64,
        /// Current record.
        record: T,
    },
    /// Every attempt lost to another write, or another write followed an attempt without a
    /// response.
    Lost,
}

/// Reads a domain record with its revision. If there is none, the result is empty and the revision
/// is zero.
///
/// # Errors
///
/// Fails if the store does not respond or the record is invalid.
pub fn read(client: &Client, key: &str) -> Result<(u64, record::Domain)> {
    read_record(client, key)
}

/// Changes a domain record. `change` returns false to write nothing.
///
/// A write without a response is read back; the write ID in the record tells whether it took
/// effect. Until then the caller must not act on the change. A read without a response ends the
/// change, because a claim that is late by several calls is useless.
///
/// `known` is the latest known record with its revision, which saves a read. If it is out of date,
/// the store rejects the write and the change is applied to the current record.
///
/// # Errors
///
/// Fails if the store does not respond. A write may have taken effect in that case: the caller must
/// read the record before it makes any decision.
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

/// Reads any kind of record; see [`read`].
pub(crate) fn read_record<T: Record>(client: &Client, key: &str) -> Result<(u64, T)> {
    decode(client.get(key)?.as_ref())
}

/// Changes any kind of record; see [`change`].
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
    for _ in 0..MAX_ATTEMPTS {
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
        // A newer version wrote the record; rewriting it in this format would lose fields.
        return Err(Error::Invalid("unsupported record format".to_owned()));
    }
    Ok((value.revision, record))
}
