//! Errors of this crate.

use std::path::PathBuf;

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file could not be opened for appending.
    #[error("log file {path:?} cannot be opened: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A logger is already installed in this process.
    #[error("a logger is already installed")]
    Installed,
    /// A format is neither `text` nor `json`.
    #[error("unknown log format {0:?}; allowed: text, json")]
    Format(String),
}
