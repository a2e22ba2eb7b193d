//! Errors of the entry instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use caraway_core::finding::Report;

/// Result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error that prevents the start of the entry instance.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file cannot be read or parsed.
    #[error("settings file {path:?}: {problem}")]
    SettingsFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        problem: String,
    },
    /// The settings are invalid.
    #[error("invalid settings:\n{0}")]
    Settings(Report),
    /// A listener cannot be opened.
    #[error("cannot listen on {address}: {problem}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        problem: String,
    },
    /// The logger cannot be installed.
    #[error("cannot open the log: {0}")]
    Log(String),
    /// A thread or the runtime cannot be started.
    #[error("cannot start {what}: {problem}")]
    Start {
        /// Name of the thread or runtime.
        what: &'static str,
        /// Error of the operating system.
        problem: String,
    },
}
