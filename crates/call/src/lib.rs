//! Decision logic of a single call: time limit, retries, and the records that keep a request from
//! running twice or from crashing one target after another.
//!
//! Nothing here reads a clock or does input or output; the current moment is an argument.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attempt;
pub mod budget;
pub mod history;
pub mod ledger;
pub mod quarantine;
pub mod suspicion;
pub mod timeout;
