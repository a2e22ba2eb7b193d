//! Load generator and verifier.
//!
//! The library sends requests that a [`profile::Profile`] describes, checks every answer and keeps one
//! [`sample::Sample`] per submission. [`journal`] compares the samples with what the targets executed,
//! [`outage`] derives unavailable times, and [`report`] presents the result.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
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
pub mod run;
pub mod sample;
mod worker;
