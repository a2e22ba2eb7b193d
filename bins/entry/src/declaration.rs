//! What this instance has read of the operators' declarations about its failure domain.

use std::collections::BTreeMap;

use caraway_store::declaration::Declarations;
use caraway_store::declaration::Gone;

/// The declarations of the last successful read.
#[derive(Debug, Default)]
pub struct Known {
    gone: BTreeMap<String, Gone>,
}

impl Known {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what was read and returns the declarations that were not there at the read before.
    pub fn take(&mut self, read: Declarations) -> Vec<Gone> {
        let before = std::mem::take(&mut self.gone);
        let mut added = Vec::new();
        for gone in read.gone {
            if !before.contains_key(&gone.name) && !self.gone.contains_key(&gone.name) {
                added.push(gone.clone());
            }
            self.gone.insert(gone.name.clone(), gone);
        }
        added
    }

    /// Returns the declared names.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.gone.keys()
    }
}
