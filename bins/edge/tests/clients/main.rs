//! Process tests of misbehaving clients.
//!
//! They check that the process lives, that its peak memory and its open descriptors stay within the settings,
//! and that an ordinary request is answered while the crowd is still connected. They check no times and no
//! share of requests. One runs at a time, since they compete for the processor and the ports of the machine.

// The lint settings allow these in test functions only; the helpers use them as well.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

#[path = "../process/cluster.rs"]
#[allow(dead_code, reason = "other test binaries use more of the cluster")]
mod cluster;

mod bodies;
mod connections;
mod crowd;
mod heads;
mod limits;
mod readers;
mod targets;
