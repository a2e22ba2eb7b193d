//! Operator declarations about the processes of one failure domain.
//!
//! An operator who has stopped a process declares it gone if the platform's instance list does not
//! show that.

use serde::Deserialize;
use serde::Serialize;

use crate::client::Client;
use crate::errors::Result;
use crate::swap;
use crate::swap::Limits;
use crate::write;
use crate::write::Outcome;
use crate::write::Record;

/// Stored declarations of a failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Declarations {
    /// ID of the write that stored this value.
    pub write_id: String,
    /// Processes that are declared gone, in order of declaration.
    pub gone: Vec<Gone>,
}

/// An instance or target that is declared gone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gone {
    /// Name of the instance or target.
    pub name: String,
    /// Evidence that the process does not run.
    pub reason: String,
    /// Author of the declaration.
    pub source: String,
}

impl Record for Declarations {
    fn set_write_id(&mut self, write_id: String) {
        self.write_id = write_id;
    }
}

impl Declarations {
    /// Returns the declaration about an instance or target.
    pub fn find(&self, name: &str) -> Option<&Gone> {
        self.gone.iter().find(|gone| gone.name == name)
    }

    /// Adds a declaration. Returns false if the process is already declared gone.
    pub fn declare(&mut self, gone: Gone) -> bool {
        if self.find(&gone.name).is_some() {
            return false;
        }
        self.gone.push(gone);
        true
    }

    /// Removes the declaration about an instance or target. Returns false if there is none.
    pub fn withdraw(&mut self, name: &str) -> bool {
        let before = self.gone.len();
        self.gone.retain(|gone| gone.name != name);
        self.gone.len() != before
    }
}

/// Returns the common prefix of the declaration keys of an environment; the failure domain follows
/// it.
pub fn prefix(environment: &str) -> String {
    format!("declarations/{environment}/")
}

/// Returns the key of the declarations of a failure domain.
pub fn key(environment: &str, domain: &str) -> String {
    format!("{}{domain}", prefix(environment))
}

/// Reads declarations with their revision. If there are none, the result is empty and the revision
/// is zero.
///
/// # Errors
///
/// Fails if the store does not respond or the stored value is invalid.
pub fn read(client: &Client, key: &str) -> Result<(u64, Declarations)> {
    write::read_record(client, key)
}

/// Changes declarations. `change` returns false to write nothing.
///
/// # Errors
///
/// Fails if the store does not respond; a write may have taken effect in that case.
pub fn change(
    client: &Client,
    key: &str,
    change: &mut dyn FnMut(&mut Declarations) -> bool,
) -> Result<Outcome<Declarations>> {
    write::change_record(client, key, None, Limits::default(), &mut swap::write_id, change)
}
