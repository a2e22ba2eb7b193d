//! Errors of this crate.

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a body that is passed on failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An HTTP exchange failed.
    #[error("HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The time allowed for the request ended while a body was passed on.
    #[error("the time allowed for the request ended")]
    Deadline,
    /// A body is longer than the document allows.
    #[error("the body is longer than {0} bytes")]
    BodyTooLarge(u64),
}
