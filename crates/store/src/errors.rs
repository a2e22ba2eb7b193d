//! Errors of this crate.

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No connection was opened; the call had no effect.
    #[error("no connection to the store: {0}")]
    NotSent(String),
    /// The call was not answered, or the response does not tell its result. A write may have taken
    /// effect.
    #[error("no response from the store: {0}")]
    NoAnswer(String),
    /// The store answered with an unexpected status; the call had no effect.
    #[error("the store answered with status {0}")]
    Status(u16),
    /// The response or the stored value is invalid.
    #[error("invalid response from the store: {0}")]
    Invalid(String),
}

impl Error {
    /// Returns true if the store did not respond.
    pub fn is_unanswered(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::NoAnswer(_) => true,
            Self::Status(_) | Self::Invalid(_) => false,
        }
    }
}
