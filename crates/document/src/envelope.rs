//! The stored form of a document: the document together with the ID of the write that stored it.

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use caraway_core::finding::Report;

use crate::check;
use crate::errors::Error;
use crate::errors::Result;
use crate::schema::Document;

/// Maximum length of a write ID in bytes.
const MAX_WRITE_ID_BYTES: usize = 64;

/// A document as stored under its key.
///
/// A writer that lost the response to its write compares the write ID to find out whether the
/// stored value is its own.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// ID of the write, unique among all writes.
    pub write_id: String,
    /// The document.
    pub document: Document,
}

impl Envelope {
    /// Parses the stored text and checks the document like [`check::parse`].
    ///
    /// # Errors
    ///
    /// The text is not JSON, is not an envelope, or its document has findings. Places of findings
    /// in the document are relative to the document, not to the envelope.
    pub fn parse(text: &str) -> Result<Self> {
        let mut found: Value = serde_json::from_str(text).map_err(check::syntax_error)?;
        let mut report = Report::new();
        let Some(object) = found.as_object_mut() else {
            report.add("", "not an object", "an object with the fields write_id, document");
            return Err(Error::Invalid(report));
        };
        let write_id = match object.remove("write_id") {
            Some(Value::String(id)) if (1..=MAX_WRITE_ID_BYTES).contains(&id.len()) => Some(id),
            _ => None,
        };
        let document = object.remove("document");
        for name in object.keys() {
            report.add("", &format!("unknown field {name:?}"), "the fields write_id, document");
        }
        if let (Some(write_id), Some(document), true) = (write_id, document, report.is_empty()) {
            return Ok(Self { write_id, document: check::deserialize(document)? });
        }
        let allowed = format!("write_id, a text of 1 to {MAX_WRITE_ID_BYTES} bytes, and document");
        report.add("", "write_id or document is absent or not valid", &allowed);
        Err(Error::Invalid(report))
    }

    /// Serializes the envelope to the text to store.
    pub fn to_text(&self) -> String {
        json!(self).to_string()
    }
}
