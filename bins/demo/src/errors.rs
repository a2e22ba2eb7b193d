//! Errors of this crate.

use std::io;

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an environment could not be started, changed or measured.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or a process could not be handled.
    #[error("{what}: {error}")]
    Io {
        /// File or process.
        what: String,
        /// Error of the system.
        error: io::Error,
    },
    /// The document is not valid.
    #[error("document is not valid: {0}")]
    Document(String),
    /// No free range of ports was found.
    #[error("no {0} free ports on loopback")]
    Ports(u16),
    /// A process of the environment ended during the start.
    #[error("{name} ended during the start: {status}; log: {log}")]
    Ended {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: String,
        /// Last lines of its log.
        log: String,
    },
    /// A condition was not met in time.
    #[error("not within {seconds} s: {what}")]
    Timeout {
        /// What was waited for.
        what: String,
        /// Time that was allowed.
        seconds: u64,
    },
    /// A process name is not known.
    #[error("no process is named {0}")]
    Unknown(String),
    /// A request to the platform, a target or an admin interface failed.
    #[error("{url}: {problem}")]
    Http {
        /// URL of the request.
        url: String,
        /// What went wrong.
        problem: String,
    },
    /// The load run failed.
    #[error("load: {0}")]
    Load(#[from] caraway_load::errors::Error),
    /// A value could not be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The user interrupted the program.
    #[error("interrupted")]
    Interrupted,
}

impl Error {
    /// Makes the error of a file or a process.
    pub fn io(what: &str, error: io::Error) -> Self {
        Self::Io { what: what.to_owned(), error }
    }
}
