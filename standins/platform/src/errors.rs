//! Errors of this program.

use serde_json::Value;
use serde_json::json;

/// Result of an operation of this program.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call failed or the program could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call is malformed.
    #[error("{0}")]
    Malformed(String),
    /// The value or the body is larger than the limit.
    #[error("larger than the limit of {0} bytes")]
    TooLarge(usize),
    /// The key, lease or path does not exist.
    #[error("no such {0}")]
    Missing(&'static str),
    /// The path exists, but not for this method.
    #[error("method not allowed")]
    Method,
    /// The key has another revision than the caller expects.
    #[error("the key is at revision {0}")]
    Conflict(u64),
    /// The address cannot be listened on, or signals cannot be received.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A fault closes the connection without an answer.
    #[error("a fault suppresses the answer")]
    Fault,
}

impl Error {
    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::Malformed(_) => 400,
            Self::Missing(_) => 404,
            Self::Method => 405,
            Self::Conflict(_) => 409,
            Self::TooLarge(_) => 413,
            Self::Io(_) | Self::Fault => 500,
        }
    }

    /// Returns the JSON body of the answer.
    pub fn body(&self) -> Value {
        match self {
            Self::Conflict(revision) => json!({ "revision": revision }),
            other => json!({ "error": other.to_string() }),
        }
    }
}
