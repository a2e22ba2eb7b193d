//! Placement of shards and split keys on the targets of a group.
//!
//! [`rule::Rule`] is the policy of the coordinator, and [`baseline`] contains policies for
//! comparison. A policy gets the coordinator's counts of one window and returns a few changes.
//! [`trace`] generates load traces and [`measure`] runs policies on them. See `docs/balance.md` for
//! the results.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baseline;
pub mod load;
pub mod measure;
pub mod rule;
pub mod trace;
pub mod window;
