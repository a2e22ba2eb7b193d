//! Error types.

/// Result with the error of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure of a measurement.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The environment could not be started or queried.
    #[error("environment: {0}")]
    Environment(#[from] caraway_demo::errors::Error),
    /// The load run failed.
    #[error("load: {0}")]
    Load(#[from] caraway_load::errors::Error),
    /// A generated document is not valid.
    #[error("document: {0}")]
    Document(String),
    /// A process has exited or its resource usage cannot be read.
    #[error("cannot read the resource usage of {0}")]
    Usage(String),
    /// An idle caller connection could not be opened, or its request failed.
    #[error("idle caller: {0}")]
    Idle(std::io::Error),
    /// Coordinators, shard owners or stored records were still changing at the end of the time limit, given
    /// in seconds.
    #[error("environment did not settle within {0} s")]
    NotSettled(u64),
    /// A report could not be serialized.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}
