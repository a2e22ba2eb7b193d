//! Numbered log events, logger setup and metrics.
//!
//! [`event::emit`] logs an event of the catalog [`event::Event`]; `docs/events.md` describes every
//! event for operators. [`metric::Metrics`] holds the metrics that `/metrics` serves.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod background;
pub mod errors;
pub mod event;
pub mod field;
pub mod limit;
pub mod line;
pub mod logger;
pub mod metric;
