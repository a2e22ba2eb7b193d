//! Errors of this crate.

use caraway_core::outcome::Reason;

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a body or a listener failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An HTTP exchange failed.
    #[error("HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// A socket operation failed.
    #[error("socket operation failed: {0}")]
    Io(#[from] std::io::Error),
    /// The time allowed for the request ended while a body was passed on.
    #[error("the time allowed for the request ended")]
    Deadline,
    /// A body is longer than the document allows.
    #[error("the body is longer than {0} bytes")]
    BodyTooLarge(u64),
    /// The request is refused before it is dispatched.
    #[error("the request is refused: {0}")]
    Refused(Reason),
}
