//! Injects random faults into real processes of the entry instance, and checks invariants on what callers
//! and targets observe.
//!
//! A seed determines the schedule of faults: kind, time, place and duration. It does not determine the
//! scheduling of processes and threads by the operating system, so repeating a seed makes the same outcome
//! likely but does not guarantee it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod cluster;
pub mod configuration;
pub mod crowd;
pub mod load;
pub mod plan;
pub mod run;
