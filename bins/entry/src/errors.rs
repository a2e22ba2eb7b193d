//! Errors of the entry instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use caraway_core::finding::Report;

/// Result of an operation of the entry instance.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the entry instance cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file cannot be read or parsed.
    #[error("settings file {path:?}: {problem}")]
    SettingsFile {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong with it.
        problem: String,
    },
    /// The settings have findings.
    #[error("settings are not valid:\n{0}")]
    Settings(Report),
    /// A listener cannot be opened.
    #[error("cannot listen on {address}: {problem}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system answered.
        problem: String,
    },
    /// The log cannot be opened.
    #[error("cannot open the log: {0}")]
    Log(String),
    /// A thread or the runtime cannot be started.
    #[error("cannot start {what}: {problem}")]
    Start {
        /// What was to be started.
        what: &'static str,
        /// What the system answered.
        problem: String,
    },
}
