//! Starts a complete environment on loopback: platform, targets and entry instances.
//!
//! [`environment::Environment`] owns the processes and injects faults; process tests use it directly.
//! [`session`] adds load and a schedule of faults; [`recovery`] measures the unavailability of keys.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod bench;
pub mod builder;
pub mod child;
pub mod environment;
pub mod errors;
pub mod fault;
pub mod fixture;
pub mod platform;
pub mod port;
pub mod recovery;
pub mod schedule;
pub mod session;
pub mod traffic;
