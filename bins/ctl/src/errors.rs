//! Errors of the tool.

use std::path::PathBuf;

use caraway_core::finding::Report;
use caraway_document::errors::Error as Invalid;

/// Result of an operation of the tool.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The arguments are invalid.
    #[error("{0}")]
    Usage(String),
    /// A file could not be read.
    #[error("{path:?} cannot be read: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A document is not valid.
    #[error("{name}: {source}")]
    Document {
        /// File or store key of the document.
        name: String,
        /// Reason why it is not valid.
        source: Invalid,
    },
    /// A valid document must not replace the current one.
    #[error("the change is refused with {} findings:\n{}", .0.findings().len(), .0)]
    ChangeRejected(Report),
    /// A store key has no value.
    #[error("the store has no value under {0}; store a document with `caraway-ctl put` first")]
    NotFound(String),
    /// The store does not respond or responds with an error.
    #[error("the store did not respond: {call}: {problem}")]
    Store {
        /// Call that failed.
        call: String,
        /// Reason of the failure.
        problem: String,
    },
    /// The store rejected a value.
    #[error("the store refused the value of {key}: {problem}")]
    ValueRejected {
        /// Key of the value.
        key: String,
        /// Reason of the rejection.
        problem: String,
    },
    /// Another write was accepted first.
    #[error(
        "lost the race: {key} was changed by another writer; {winner} won. This write had no effect"
    )]
    Conflict {
        /// Key of the value.
        key: String,
        /// Version and write ID of the accepted write.
        winner: String,
    },
    /// The key has another value after the response to a write of this tool was lost.
    #[error(
        "{key} now holds {winner}. The response to write {write_id} was lost, so it may have been \
         accepted before and replaced"
    )]
    Replaced {
        /// Key of the value.
        key: String,
        /// Version and write ID of the current value.
        winner: String,
        /// ID of this tool's write.
        write_id: String,
    },
    /// Every attempt conflicted with another writer.
    #[error(
        "{0} was changed concurrently by other writers; no write of this tool is known to be accepted. List it and try again"
    )]
    Contention(String),
    /// It is not known whether a write was accepted.
    #[error(
        "it is not known whether write {write_id} to {key} was accepted: {problem}. \
         Read the key again when the store responds: the write was accepted if it holds this write ID"
    )]
    UnknownOutcome {
        /// Key of the value.
        key: String,
        /// ID of this tool's write.
        write_id: String,
        /// Last failure.
        problem: String,
    },
    /// No instance sent a usable response.
    #[error("{query}: no usable response from any instance\n{failures}")]
    NoResponse {
        /// Query that was sent.
        query: String,
        /// One line for each address with the reason.
        failures: String,
    },
}

impl Error {
    /// Returns the exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::File { .. } => 2,
            Self::Document { .. }
            | Self::ChangeRejected(_)
            | Self::NotFound(_)
            | Self::Store { .. }
            | Self::ValueRejected { .. }
            | Self::Conflict { .. }
            | Self::Replaced { .. }
            | Self::Contention(_)
            | Self::UnknownOutcome { .. }
            | Self::NoResponse { .. } => 1,
        }
    }
}
