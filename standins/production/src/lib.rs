//! Stand-ins for the production platform: its store, and targets that verify key ownership.
//!
//! They share no code with the entry instance. Each connection is served by its own thread.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod caller;
pub mod http;
pub mod instance;
pub mod journal;
pub mod misbehavior;
pub mod proxy;
pub mod store;
pub mod target;
