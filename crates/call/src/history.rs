//! Whether the ledger entries that a new coordinator has collected can have gaps.
//!
//! A coordinator gives every other instance of its failure domain a full copy of its ledger, and records each intent at
//! [`MAX_REPLICAS`] instances with such a copy before it sends the request. An instance that has started since has no copy,
//! whatever it answers.

use std::collections::BTreeMap;

use caraway_core::name;

/// Most other instances that hold each intent.
pub const MAX_REPLICAS: usize = 2;

/// Returns at how many instances an intent must be recorded, given how many others are not proved gone.
///
/// An instance that is merely out of reach counts: it may take the group over, and must then find the intent. With two others, one is
/// enough, so that a frozen one stops no orders; a new coordinator then needs the answers of both. Zero means
/// that no other process is left that could take over.
pub fn required_replicas(others: usize) -> usize {
    others.div_ceil(2).min(MAX_REPLICAS)
}

/// Answers of the instances that may hold ledger entries, the own one included.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Term of the full copy that the instance holds, zero if it holds none; nothing if it has not answered.
    answers: BTreeMap<name::Instance, Option<u64>>,
}

impl History {
    /// Makes the history of a group whose former coordinator may have recorded entries at these instances.
    pub fn new(instances: impl IntoIterator<Item = name::Instance>) -> Self {
        Self { answers: instances.into_iter().map(|name| (name, None)).collect() }
    }

    /// Records the answer of an instance, with the term of the full copy that it holds.
    pub fn record_answer(&mut self, from: &name::Instance, copy_term: u64) {
        if let Some(answer) = self.answers.get_mut(from) {
            *answer = Some(copy_term);
        }
    }

    /// Returns the instances that have not answered.
    pub fn missing(&self) -> Vec<&name::Instance> {
        self.answers.iter().filter(|(_, answer)| answer.is_none()).map(|(name, _)| name).collect()
    }

    /// Returns true if no entry can be missing.
    ///
    /// Each intent of the last coordinator that sent requests is at [`required_replicas`] instances with a full copy of its
    /// term, so fewer than that may be without such a copy. The last term is the highest of which there is a copy: without
    /// copies, a coordinator sends nothing.
    pub fn is_complete(&self) -> bool {
        if self.answers.is_empty() {
            return true;
        }
        let last = self.answers.values().filter_map(|answer| *answer).max().unwrap_or(0);
        let copies = self.answers.values().filter(|answer| **answer == Some(last)).count();
        let without = self.answers.len() - copies;
        last > 0 && without < required_replicas(self.answers.len())
    }
}
