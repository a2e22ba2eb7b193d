//! Fencing tokens.

use std::fmt;
use std::str::FromStr;

use crate::errors::Error;

/// A fencing token, ordered by term and then by sequence number.
///
/// The term is allocated by the store; the sequence number is assigned by the coordinator that
/// holds the term.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token {
    /// Term of the coordinator. The store issues terms in fixed steps; the terms between
    /// two steps are reserved.
    pub term: u64,
    /// Sequence number within the term.
    pub seq: u64,
}

impl Token {
    /// Makes a token.
    pub fn new(term: u64, seq: u64) -> Self {
        Self { term, seq }
    }

    /// Returns the next token of the same term.
    pub fn next(self) -> Self {
        Self { term: self.term, seq: self.seq + 1 }
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.seq)
    }
}

impl FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::Token(text.to_owned());
        let (term, seq) = text.split_once('.').ok_or_else(bad)?;
        let term = term.parse().map_err(|_| bad())?;
        let seq = seq.parse().map_err(|_| bad())?;
        Ok(Self { term, seq })
    }
}
