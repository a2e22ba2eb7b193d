//! Call counts.

use std::collections::BTreeMap;

/// Number of calls by kind since the start of the process.
#[derive(Debug, Default)]
pub struct Counts(BTreeMap<&'static str, u64>);

impl Counts {
    /// Counts a call. A watch is counted once, on arrival.
    pub fn add(&mut self, kind: &'static str) {
        *self.0.entry(kind).or_default() += 1;
    }

    /// Returns the number of calls by kind.
    pub fn all(&self) -> &BTreeMap<&'static str, u64> {
        &self.0
    }
}
