//! Error types.

use serde_json::Value;
use serde_json::json;

/// Result with the error of this program.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure of a call or of the program.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call is malformed.
    #[error("{0}")]
    Malformed(String),
    /// The value or the body exceeds the limit, given in bytes.
    #[error("larger than the limit of {0} bytes")]
    TooLarge(usize),
    /// The key, lease or path does not exist.
    #[error("no such {0}")]
    Missing(&'static str),
    /// The path does not support the method.
    #[error("method not allowed")]
    Method,
    /// The revision of the key differs from the expected one.
    #[error("the key is at revision {0}")]
    Conflict(u64),
    /// Listening on the address or registering the signal handlers failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// An injected fault closes the connection without a response.
    #[error("an injected fault suppresses the response")]
    Fault,
}

impl Error {
    /// Returns the HTTP status of the response.
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

    /// Returns the JSON body of the response.
    pub fn body(&self) -> Value {
        match self {
            Self::Conflict(revision) => json!({ "revision": revision }),
            other => json!({ "error": other.to_string() }),
        }
    }
}
