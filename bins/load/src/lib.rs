//! Load generator and response verifier.
//!
//! The library sends the requests that a [`profile::Profile`] describes, verifies every response and records
//! one [`sample::Sample`] per submission. [`journal`] compares the samples with the executions that the
//! targets recorded, [`outage`] derives unavailability times, and [`report`] formats the results.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bench;
pub mod body;
pub mod client;
pub mod control;
pub mod errors;
pub mod histogram;
pub mod journal;
pub mod outage;
pub mod process;
pub mod profile;
pub mod random;
pub mod report;
pub mod request;
pub mod response;
pub mod run;
pub mod sample;
mod worker;
