//! Errors of the telemetry crate.

use std::path::PathBuf;

/// Result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error of the logger setup.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file could not be opened for appending.
    #[error("cannot open log file {path:?}: {source}")]
    File {
        /// Path of the log file.
        path: PathBuf,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// A logger is already installed in this process.
    #[error("a logger is already installed")]
    Installed,
    /// The log format is neither `text` nor `json`.
    #[error("unknown log format {0:?}; allowed: text, json")]
    Format(String),
}
