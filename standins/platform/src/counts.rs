//! Counts of calls by kind.

use std::collections::BTreeMap;

/// Number of calls of each kind since the start of the process.
#[derive(Debug, Default)]
pub struct Counts(BTreeMap<&'static str, u64>);

impl Counts {
    /// Counts one call. A watch is counted once, when it arrives.
    pub fn add(&mut self, kind: &'static str) {
        *self.0.entry(kind).or_default() += 1;
    }

    /// Returns the counts.
    pub fn all(&self) -> &BTreeMap<&'static str, u64> {
        &self.0
    }
}
