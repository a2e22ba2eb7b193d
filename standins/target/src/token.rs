//! Fencing tokens.

use std::fmt;
use std::str::FromStr;

use crate::errors::Error;

/// A fencing token, ordered by term and then by sequence.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Token {
    /// Term of the coordinator.
    pub term: u64,
    /// Sequence within the term.
    pub seq: u64,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.seq)
    }
}

impl FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parts = text.split_once('.');
        let token = parts.and_then(|(term, seq)| {
            Some(Self { term: term.parse().ok()?, seq: seq.parse().ok()? })
        });
        token.ok_or_else(|| Error::Malformed(format!("{text:?} is not a token")))
    }
}
