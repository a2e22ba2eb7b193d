//! The environment document: parsing, checks, differences and the plan derived from it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod plan;
