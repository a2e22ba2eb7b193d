//! Completeness of the ledger entries that a new coordinator has collected.
//!
//! A coordinator sends every other instance of its failure domain a full copy of its ledger. Before it sends a request,
//! it replicates the intent to up to [`MAX_REPLICAS`] instances with such a copy. An instance that has started since
//! has no copy, whatever entries it reports.

use std::collections::BTreeMap;

use caraway_core::name;

/// Maximum number of other instances that each intent is replicated to.
pub const MAX_REPLICAS: usize = 2;

/// Returns the number of instances that an intent must be replicated to, given the number of others that are not
/// proved gone.
///
/// An unreachable instance counts: it may take over the group, and must then find the intent. With two others, one
/// replica is enough, so that a frozen instance does not block requests; a new coordinator then needs the answers of
/// both. Zero means that no other process could take over.
pub fn required_replicas(others: usize) -> usize {
    others.div_ceil(2).min(MAX_REPLICAS)
}

/// Answers of the instances that may hold ledger entries, including this one.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Term of the full copy that each instance holds, zero if it has none; `None` until it answers.
    answers: BTreeMap<name::Instance, Option<u64>>,
}

impl History {
    /// Creates the history of a group whose previous coordinator may have replicated entries to these instances.
    pub fn new(instances: impl IntoIterator<Item = name::Instance>) -> Self {
        Self { answers: instances.into_iter().map(|name| (name, None)).collect() }
    }

    /// Records the answer of an instance: the term of the full copy that it holds, or zero.
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
    /// Each intent of the last coordinator that sent requests is at [`required_replicas`] instances with a full copy of
    /// its term, so the history is complete if fewer instances than that lack such a copy. The last term is the highest
    /// one with a copy, because a coordinator sends no requests before its copies exist.
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
