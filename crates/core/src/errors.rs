//! Errors of this crate.

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a value could not be parsed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A token is not of the form `term.seq` with two unsigned integers.
    #[error("token {0:?} is not of the form term.seq")]
    Token(String),
    /// The text is not a reason in [`crate::outcome::Reason`].
    #[error("unknown reason {0:?}")]
    Reason(String),
}
