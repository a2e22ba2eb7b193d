//! State machines of exclusive ownership.
//!
//! Everything here is a pure function of state, event and time: [`group::Machine`] decides which
//! target owns which shard of a group, [`claim`] decides when an instance may take a group's term.
//! The control plane of the entry instance carries the effects out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod claim;
pub mod errors;
pub mod event;
pub mod grant;
pub mod group;
pub mod roster;
pub mod table;
