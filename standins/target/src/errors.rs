//! Error types.

/// Result with the error of this program.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure of a request or of the program.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was refused and did not run.
    #[error("refused: {}", .0.name())]
    Refused(Refusal),
    /// The request is malformed and did not run.
    #[error("{0}")]
    Malformed(String),
    /// The control call does not exist.
    #[error("no such control call")]
    Missing,
    /// An injected fault refuses control calls.
    #[error("control calls are refused")]
    ControlRefused,
    /// The request body is incomplete.
    #[error("the request body ended early")]
    Truncated,
    /// Listening on the address or registering the signal handlers failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::Malformed(_) | Self::Truncated => 400,
            Self::Missing => 404,
            Self::Refused(Refusal::StaleToken | Refusal::NotOwner | Refusal::GrantExpired) => 409,
            Self::Refused(Refusal::Shed | Refusal::Draining) | Self::ControlRefused => 503,
            Self::Refused(Refusal::Deadline) => 504,
            Self::Io(_) => 500,
        }
    }
}

/// Reason why a request was refused without running.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// The token is older than the token that granted the shard, or has another term.
    StaleToken,
    /// The shard or key is not granted to this target.
    NotOwner,
    /// The grant has expired by the clock of this target.
    GrantExpired,
    /// All slots are busy and the queue is full.
    Shed,
    /// The target is draining.
    Draining,
    /// The deadline passed before the request started.
    Deadline,
}

impl Refusal {
    /// Returns the value of the header `caraway-refused`.
    pub fn name(self) -> &'static str {
        match self {
            Self::StaleToken => "stale-token",
            Self::NotOwner => "not-owner",
            Self::GrantExpired => "grant-expired",
            Self::Shed => "shed",
            Self::Draining => "draining",
            Self::Deadline => "deadline",
        }
    }
}
