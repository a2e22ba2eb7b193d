//! State machines of exclusive ownership.
//!
//! All decisions are pure functions of state, event and time: [`group::Machine`] decides which
//! target owns which shard of a group, [`claim`] decides when an instance may claim the term of a
//! group. The control plane of the entry instance executes the effects.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod claim;
pub mod errors;
pub mod event;
pub mod grant;
pub mod group;
pub mod roster;
pub mod table;
