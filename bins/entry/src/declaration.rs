//! Operators' declarations about the failure domain of this instance, as last read.

use std::collections::BTreeMap;

use caraway_store::declaration::Declarations;
use caraway_store::declaration::Gone;

/// The declarations of the last successful read.
#[derive(Debug, Default)]
pub struct Snapshot {
    gone: BTreeMap<String, Gone>,
}

impl Snapshot {
    /// Creates an empty snapshot.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the declarations and returns those that are new since the previous read.
    pub fn replace(&mut self, read: Declarations) -> Vec<Gone> {
        let previous = std::mem::take(&mut self.gone);
        let mut added = Vec::new();
        for gone in read.gone {
            if !previous.contains_key(&gone.name) && !self.gone.contains_key(&gone.name) {
                added.push(gone.clone());
            }
            self.gone.insert(gone.name.clone(), gone);
        }
        added
    }

    /// Returns the names that are declared gone.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.gone.keys()
    }
}
