//! Admission of requests to the targets of one group.
//!
//! [`scheduler::Scheduler`] makes every decision as a pure function of its state, an event and the
//! time. [`controller::Controller`] shares a scheduler between the control plane and the data path
//! and wakes waiting requests.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod controller;
pub mod counts;
pub mod queue;
pub mod scheduler;
pub mod scope;
pub mod sketch;
pub mod slots;
pub mod target;
