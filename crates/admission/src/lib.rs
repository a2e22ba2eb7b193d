//! Admission of requests to the targets of one group.
//!
//! [`table::Table`] takes every decision as a pure function of its state, an event and the time.
//! [`controller::Controller`] shares a table between the control plane and the data path and wakes waiting
//! requests.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod controller;
pub mod queue;
pub mod rates;
pub mod scope;
pub mod sketch;
pub mod slots;
pub mod table;
pub mod target;
