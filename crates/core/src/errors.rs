//! Errors of this crate.

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a value could not be read from its text form.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A token is not of the form `term.seq` with two unsigned integers.
    #[error("token {0:?} is not of the form term.seq")]
    Token(String),
    /// A reason is not in the closed list of [`crate::outcome::Reason`].
    #[error("unknown reason {0:?}")]
    Reason(String),
}
