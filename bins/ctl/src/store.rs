//! Calls to the platform's store, with errors converted to those of the tool.

use std::time::Duration;

use caraway_document::envelope::Envelope;
use caraway_store::client::Client;
use caraway_store::client::Options;
use caraway_store::errors::Error as StoreError;
use caraway_store::swap;
use caraway_store::swap::Limits;
use caraway_store::swap::Swap;
use caraway_store::swap::Write;

use crate::errors::Error;
use crate::errors::Result;
use crate::flag::Stage;
use crate::http;

/// Timeout of a whole call. Values of the store have at most 1 MB, so a longer call means that the store
/// is stuck.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// Text of the value.
    pub text: String,
    /// Revision of the value.
    pub revision: u64,
}

/// Creates a client for the store at an address.
pub fn client(address: &str) -> Client {
    let domain = String::new();
    Client::new(Options { base_url: http::base(address), domain, timeout: CALL_TIMEOUT })
}

/// Returns the key of a stage of an environment.
pub fn key(environment: &str, stage: Stage) -> String {
    format!("environments/{}/{stage}", http::segment(environment))
}

/// Reads a key.
///
/// # Errors
///
/// The store does not respond, or responds with an error or an invalid body.
pub fn get(client: &Client, key: &str) -> Result<Option<Stored>> {
    let found = client.get(key).map_err(|error| call_error("GET", &client.url(key), &error))?;
    let stored = found.and_then(|found| Some((found.value?, found.revision)));
    Ok(stored.map(|(text, revision)| Stored { text, revision }))
}

/// Stores an envelope if the key has the expected revision, and returns the new revision.
///
/// # Errors
///
/// Another write was accepted, the store rejects the value or does not respond, or it is unknown whether
/// the write was accepted.
pub fn write(client: &Client, key: &str, envelope: &Envelope, expect: u64) -> Result<u64> {
    let text = envelope.to_text();
    let write = Write { key, text: &text, write_id: &envelope.write_id, expect };
    let result = swap::write(client, &write, Limits::default());
    let key = key.to_owned();
    match result.map_err(|error| write_error(client, &key, &error))? {
        Swap::Written(revision) => Ok(revision),
        Swap::Lost(found) => Err(Error::Conflict { key, winner: found.to_string() }),
        Swap::Replaced(found) => {
            let write_id = envelope.write_id.clone();
            Err(Error::Replaced { key, winner: found.to_string(), write_id })
        }
        Swap::Unknown(problem) => {
            Err(Error::UnknownOutcome { key, write_id: envelope.write_id.clone(), problem })
        }
    }
}

/// Converts the error of a write without effect.
fn write_error(client: &Client, key: &str, error: &StoreError) -> Error {
    match error {
        StoreError::Status(status) => {
            let problem = match status {
                413 => "it is larger than 1 MB".to_owned(),
                status => format!("status {status}"),
            };
            Error::ValueRejected { key: key.to_owned(), problem }
        }
        StoreError::NotSent(_) | StoreError::NoAnswer(_) | StoreError::Invalid(_) => {
            call_error("PUT", &client.url(key), error)
        }
    }
}

/// Converts the error of a call.
pub fn call_error(method: &str, url: &str, error: &StoreError) -> Error {
    let problem = match error {
        StoreError::NotSent(problem)
        | StoreError::NoAnswer(problem)
        | StoreError::Invalid(problem) => problem.clone(),
        StoreError::Status(status) => format!("unexpected answer with status {status}"),
    };
    Error::Store { call: format!("{method} {url}"), problem }
}
