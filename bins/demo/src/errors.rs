//! Errors of this crate.

use std::io;

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why an environment could not be started, changed or measured.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation on a file or a process failed.
    #[error("{what}: {error}")]
    Io {
        /// File or process.
        what: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The document is not valid.
    #[error("document is not valid: {0}")]
    Document(String),
    /// No free range of ports was found.
    #[error("no {0} free ports on loopback")]
    Ports(u16),
    /// A process of the environment exited unexpectedly.
    #[error("{name} exited unexpectedly: {status}; log: {log}")]
    Exited {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: String,
        /// Last lines of its log.
        log: String,
    },
    /// A condition was not met before the timeout.
    #[error("timed out after {seconds} s: {what}")]
    Timeout {
        /// Condition that was not met.
        what: String,
        /// Timeout in seconds.
        seconds: u64,
    },
    /// A process or a program was not found.
    #[error("not found: {0}")]
    NotFound(String),
    /// A request to the platform, a target or an admin interface failed.
    #[error("{url}: {problem}")]
    Http {
        /// URL of the request.
        url: String,
        /// Reason of the failure.
        problem: String,
    },
    /// The load run failed.
    #[error("load: {0}")]
    Load(#[from] caraway_load::errors::Error),
    /// JSON could not be serialized or parsed.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The user interrupted the program.
    #[error("interrupted")]
    Interrupted,
}

impl Error {
    /// Returns an [`Error::Io`] for a file or a process.
    pub fn io(what: &str, error: io::Error) -> Self {
        Self::Io { what: what.to_owned(), error }
    }
}
