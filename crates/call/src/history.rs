//! Whether the ledger entries that a new coordinator has collected can have gaps.
//!
//! A coordinator gives every other instance of its failure domain a full copy of its ledger, and records each intent at
//! [`HOLDERS`] instances with such a copy before it sends the request. An instance that has started since has no copy,
//! whatever it answers.

use std::collections::BTreeMap;

use caraway_core::name;

/// Other instances that hold each intent.
pub const HOLDERS: usize = 2;

/// Returns at how many instances an intent must be recorded, given how many others are not proved gone.
///
/// An instance that is merely out of reach counts: it may take the group over, and must then find the intent. Zero
/// means that no other process is left that could.
pub fn holders_needed(not_gone: usize) -> usize {
    not_gone.min(HOLDERS)
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
    pub fn answer(&mut self, from: &name::Instance, copy_term: u64) {
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
    /// Each intent of the last coordinator that sent requests is at two instances with a full copy of its term, or at the only
    /// other one. So at most one instance may have no such copy, and one must have it. The last term is the
    /// highest of which there is a copy: without two copies, a coordinator sends nothing.
    pub fn is_complete(&self) -> bool {
        if self.answers.is_empty() {
            return true;
        }
        let last = self.answers.values().filter_map(|answer| *answer).max().unwrap_or(0);
        let copies = self.answers.values().filter(|answer| **answer == Some(last)).count();
        last > 0 && copies >= 1 && self.answers.len() - copies <= 1
    }
}
