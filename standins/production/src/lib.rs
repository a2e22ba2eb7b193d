//! Stand-ins of the production platform: its store, and targets that check who holds a key.
//!
//! They share no code with the router. A thread serves each connection.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod caller;
pub mod http;
pub mod instance;
pub mod proxy;
pub mod store;
pub mod target;
