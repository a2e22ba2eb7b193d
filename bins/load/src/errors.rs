//! Error types.

use std::io;

/// Result with the error of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure of a load run or a benchmark.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A profile is not valid JSON or a field is missing.
    #[error("profile is not valid: {0}")]
    Json(#[from] serde_json::Error),
    /// A profile is well formed but its values are not usable.
    #[error("profile cannot be run: {0}")]
    Profile(String),
    /// A file operation failed, or the runtime or a thread could not be started.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A thread of the run panicked.
    #[error("a thread of the load run panicked")]
    Thread,
    /// A control request failed.
    #[error("control request to {address} failed: {problem}")]
    Control {
        /// Address and path of the request.
        address: String,
        /// Cause of the failure.
        problem: String,
    },
}
