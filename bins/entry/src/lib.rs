//! The modules of the entry instance that make no network calls and start no threads: settings,
//! scheduler, directory, ledger copies, and the changes of the failure domain's record.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod declaration;
pub mod directory;
pub mod domain;
pub mod errors;
pub mod ledgers;
pub mod settings;
pub mod timer;
