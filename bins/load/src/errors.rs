//! Errors of this crate.

use std::io;

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a load run or a benchmark failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A profile is not valid JSON or lacks a field.
    #[error("profile is not valid: {0}")]
    Json(#[from] serde_json::Error),
    /// A profile is well formed but cannot be run.
    #[error("profile cannot be run: {0}")]
    Profile(String),
    /// A file, the runtime or a thread failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A thread of the run panicked.
    #[error("a thread of the load run panicked")]
    Thread,
    /// A request for a journal or another control request failed.
    #[error("control request to {address} failed: {problem}")]
    Control {
        /// Address of the target.
        address: String,
        /// What went wrong.
        problem: String,
    },
}
