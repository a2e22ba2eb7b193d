//! Numbered log events, log set-up and metrics.
//!
//! [`event::emit`] logs one event of the closed list in [`event::Event`]; `docs/events.md` describes
//! every event for operators. [`metric::Metrics`] holds what `/metrics` serves.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod errors;
pub mod event;
pub mod field;
pub mod limit;
pub mod line;
pub mod logger;
pub mod metric;
pub mod pipe;
