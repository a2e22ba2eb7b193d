//! The environment document: parsing, checks, differences and the plan derived from it.
//!
//! [`check::parse`] reads a document and reports all findings together, [`plan::Plan::try_new`]
//! derives the tables of the data path, and [`diff::compare`] lists what a new document changes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod diff;
pub mod envelope;
pub mod errors;
mod index;
mod placement;
pub mod plan;
mod relation;
pub mod rule;
pub mod schema;
