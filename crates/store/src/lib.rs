//! Blocking client of the platform's store and instance list.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod declaration;
pub mod errors;
pub mod record;
pub mod swap;
pub mod write;
