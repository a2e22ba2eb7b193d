//! The stored form of a document: the document with the ID of the write that stored it.

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use caraway_core::finding::Report;

use crate::check;
use crate::errors::Error;
use crate::errors::Result;
use crate::schema::Document;

/// Longest write ID in bytes.
const WRITE_ID_BYTES: usize = 64;

/// A document as it is stored.
///
/// The write ID tells a writer whose response was lost whether the stored value is its own.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// ID of the write, unique among all writes.
    pub write_id: String,
    /// The document.
    pub document: Document,
}

impl Envelope {
    /// Reads the stored text. The document is checked as [`check::parse`] does.
    ///
    /// # Errors
    ///
    /// The text is not JSON, is not an envelope, or its document has findings, whose places then start
    /// at the document.
    pub fn parse(text: &str) -> Result<Self> {
        let mut found: Value = serde_json::from_str(text).map_err(check::syntax)?;
        let mut report = Report::new();
        let Some(object) = found.as_object_mut() else {
            report.add("", "not an object", "an object with the fields write_id, document");
            return Err(Error::Invalid(report));
        };
        let write_id = match object.remove("write_id") {
            Some(Value::String(id)) if (1..=WRITE_ID_BYTES).contains(&id.len()) => Some(id),
            _ => None,
        };
        let document = object.remove("document");
        for name in object.keys() {
            report.add("", &format!("unknown field {name:?}"), "the fields write_id, document");
        }
        if let (Some(write_id), Some(document), true) = (write_id, document, report.is_empty()) {
            return Ok(Self { write_id, document: check::read(document)? });
        }
        let allowed = format!("write_id, a text of 1 to {WRITE_ID_BYTES} bytes, and document");
        report.add("", "write_id or document is absent or not valid", &allowed);
        Err(Error::Invalid(report))
    }

    /// Returns the text to store.
    pub fn to_text(&self) -> String {
        json!(self).to_string()
    }
}
