//! Decisions of a fleet of entry instances that send requests straight to targets.
//!
//! Nothing in this crate reads a clock, opens a connection or knows a wire format: every function
//! receives the current moment and what was observed, and returns what to do.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod balance;
pub mod configuration;
pub mod coordinator;
pub mod demand;
pub mod election;
pub mod load;
pub mod membership;
pub mod ownership;
pub mod plan;
pub mod reports;
pub mod unowned;
pub mod view;
