//! Operators' declarations about one failure domain.
//!
//! An operator who has stopped a process declares it gone where the platform's list does not say so.

use serde::Deserialize;
use serde::Serialize;

use crate::client::Client;
use crate::errors::Result;
use crate::swap;
use crate::swap::Limits;
use crate::write;
use crate::write::Outcome;
use crate::write::Record;

/// Declarations about a failure domain, as they are stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Declarations {
    /// Identity of the write that produced this value.
    pub write_id: String,
    /// Processes that are declared gone, in the order of their declaration.
    pub gone: Vec<Gone>,
}

/// An instance or target that is declared gone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gone {
    /// Name of the instance or target.
    pub name: String,
    /// Why the operator knows that it does not run.
    pub reason: String,
    /// Who declared it.
    pub source: String,
}

impl Record for Declarations {
    fn set_write_id(&mut self, write_id: String) {
        self.write_id = write_id;
    }
}

impl Declarations {
    /// Returns the declaration about a name.
    pub fn find(&self, name: &str) -> Option<&Gone> {
        self.gone.iter().find(|gone| gone.name == name)
    }

    /// Adds a declaration; returns false if there is one about the name.
    pub fn declare(&mut self, gone: Gone) -> bool {
        if self.find(&gone.name).is_some() {
            return false;
        }
        self.gone.push(gone);
        true
    }

    /// Removes the declaration about a name; returns false if there is none.
    pub fn withdraw(&mut self, name: &str) -> bool {
        let before = self.gone.len();
        self.gone.retain(|gone| gone.name != name);
        self.gone.len() != before
    }
}

/// Returns the prefix of the keys of an environment's declarations; the rest of a key is the failure domain.
pub fn prefix(environment: &str) -> String {
    format!("declarations/{environment}/")
}

/// Returns the key of a failure domain's declarations.
pub fn key(environment: &str, domain: &str) -> String {
    format!("{}{domain}", prefix(environment))
}

/// Reads declarations; absent ones are empty and have revision zero.
///
/// # Errors
///
/// Fails if the store does not answer or the stored value is not valid.
pub fn read(client: &Client, key: &str) -> Result<(u64, Declarations)> {
    write::read_record(client, key)
}

/// Changes declarations. `change` returns false if nothing is to be written.
///
/// # Errors
///
/// Fails if the store does not answer. A write may have taken effect then.
pub fn change(
    client: &Client,
    key: &str,
    change: &mut dyn FnMut(&mut Declarations) -> bool,
) -> Result<Outcome<Declarations>> {
    write::change_record(client, key, None, Limits::default(), &mut swap::write_id, change)
}
