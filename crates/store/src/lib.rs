//! Client of the platform's store and instance list. All calls block.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod declaration;
pub mod errors;
pub mod record;
pub mod swap;
pub mod write;
