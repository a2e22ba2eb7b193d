//! Errors of this crate.

use caraway_core::finding::Report;

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a text is not a valid document.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not JSON.
    #[error("not JSON: {message}")]
    Syntax {
        /// Line of the error, starting at 1.
        line: usize,
        /// Column of the error, starting at 1.
        column: usize,
        /// Message of the parser, including line and column.
        message: String,
    },
    /// The text is JSON but not a valid document.
    #[error("the document has {} findings:\n{}", .0.findings().len(), .0.to_string().trim_end())]
    Invalid(Report),
}

impl Error {
    /// Returns all findings. A syntax error becomes a single finding at the root.
    pub fn report(&self) -> Report {
        match self {
            Self::Invalid(report) => report.clone(),
            Self::Syntax { message, .. } => {
                let mut report = Report::new();
                report.add("", &format!("not JSON: {message}"), "a JSON object");
                report
            }
        }
    }
}
