//! Decision logic of a single call: deadline, retries, and the records that prevent a request from
//! running twice or from crashing one target after another.
//!
//! This crate does no I/O and reads no clock; the current time is an argument.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attempt;
pub mod budget;
pub mod history;
pub mod ledger;
pub mod quarantine;
pub mod suspicion;
pub mod timeout;
