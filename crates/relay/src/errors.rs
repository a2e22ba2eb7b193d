//! Errors of this crate.

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why relaying a body failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An HTTP exchange failed.
    #[error("HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The deadline of the request passed while a body was relayed.
    #[error("the deadline of the request passed")]
    Deadline,
    /// A body exceeds the limit of the document.
    #[error("the body exceeds {0} bytes")]
    BodyTooLarge(u64),
}
