//! Errors of this crate.

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a size could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The environment could not be started or asked.
    #[error("environment: {0}")]
    Environment(#[from] caraway_demo::errors::Error),
    /// The load could not be run.
    #[error("load: {0}")]
    Load(#[from] caraway_load::errors::Error),
    /// A document is not valid.
    #[error("document: {0}")]
    Document(String),
    /// A process ended or its usage cannot be read.
    #[error("no usage of {0}")]
    Usage(String),
    /// A connection of an idle caller could not be opened or used.
    #[error("idle caller: {0}")]
    Idle(std::io::Error),
    /// Groups changed their coordinator, or shards their owner, until the time was over.
    #[error("not calm within {0} s")]
    NotCalm(u64),
    /// A value could not be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}
