//! The environment document: parsing, validation, comparison and the plan derived from it.
//!
//! [`check::parse`] reads a document and reports all findings at once, [`plan::Plan::try_new`]
//! derives the lookup tables of the data path, and [`diff::compare`] lists the changes between two
//! documents.

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
