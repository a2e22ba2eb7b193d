//! Shared types of carawayscale: names, fencing tokens, shards, time, findings and outcomes.
//!
//! Every other crate of the workspace depends on this one. It performs no I/O except for
//! [`time::Clock`], the only reader of the system clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod class;
pub mod errors;
pub mod finding;
pub mod header;
pub mod name;
pub mod outcome;
pub mod shard;
pub mod time;
pub mod token;
