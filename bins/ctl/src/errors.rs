//! Errors of the tool.

use std::path::PathBuf;

use caraway_core::finding::Report;
use caraway_document::errors::Error as Invalid;

/// Result of an operation of the tool.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The flags do not go together.
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
        /// What is wrong with it.
        source: Invalid,
    },
    /// A valid document must not replace the one in force.
    #[error("the change is refused with {} findings:\n{}", .0.findings().len(), .0)]
    Refused(Report),
    /// A store key has no value.
    #[error("the store has no value under {0}; store a document with `caraway-ctl put` first")]
    Absent(String),
    /// The store does not respond or responds with an error.
    #[error("the store did not respond: {tried}: {problem}")]
    Store {
        /// Call that was tried.
        tried: String,
        /// What happened.
        problem: String,
    },
    /// The store refused a value.
    #[error("the store refused the value of {key}: {problem}")]
    Value {
        /// Key of the value.
        key: String,
        /// Why it was refused.
        problem: String,
    },
    /// Another write was accepted.
    #[error(
        "lost the race: {key} was changed by another writer; {winner} won. This write had no effect"
    )]
    Lost {
        /// Key of the value.
        key: String,
        /// Version and write ID of the accepted write.
        winner: String,
    },
    /// Another write was accepted after one of this tool's writes had no response.
    #[error(
        "{key} now holds {winner}. The response to write {write_id} was lost, so it may have been \
         accepted before and replaced"
    )]
    Replaced {
        /// Key of the value.
        key: String,
        /// Version and write ID of the value found.
        winner: String,
        /// ID of this tool's write.
        write_id: String,
    },
    /// Other writers were faster every time.
    #[error(
        "{0} was changed by others at the same time; nothing is known to be written. List it and try again"
    )]
    Contended(String),
    /// It is not known whether a write was accepted.
    #[error(
        "it is not known whether write {write_id} to {key} was accepted: {problem}. \
         Read the key again when the store responds: the write was accepted if it holds this write ID"
    )]
    Unknown {
        /// Key of the value.
        key: String,
        /// ID of this tool's write.
        write_id: String,
        /// What happened last.
        problem: String,
    },
    /// No instance gave an answer.
    #[error("{question}: no instance could answer\n{tried}")]
    Instances {
        /// What was asked.
        question: String,
        /// One line for each address with what happened.
        tried: String,
    },
}

impl Error {
    /// Returns the exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::File { .. } => 2,
            Self::Document { .. }
            | Self::Refused(_)
            | Self::Absent(_)
            | Self::Store { .. }
            | Self::Value { .. }
            | Self::Lost { .. }
            | Self::Replaced { .. }
            | Self::Contended(_)
            | Self::Unknown { .. }
            | Self::Instances { .. } => 1,
        }
    }
}
