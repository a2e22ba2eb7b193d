//! Placement of shards and split keys on the targets of one group.
//!
//! [`rule::Rule`] is the policy of the coordinator, [`baseline`] has the policies it is compared
//! with. A policy sees the coordinator's own counts of one window and answers with a few changes.
//! [`trace`] and [`measure`] run policies on generated loads; `docs/balance.md` has the figures.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baseline;
pub mod load;
pub mod measure;
pub mod rule;
pub mod trace;
pub mod window;
