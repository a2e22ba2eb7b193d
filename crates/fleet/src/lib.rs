//! Decision logic of a fleet of entry instances that send requests directly to targets.
//!
//! Nothing in this crate reads a clock, opens a connection or depends on a wire format. Every
//! function gets the current time and the observations, and returns the actions to take.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod allowance;
pub mod backoff;
pub mod balance;
pub mod changelog;
pub mod classes;
pub mod configuration;
pub mod coordinator;
pub mod demand;
pub mod descriptors;
pub mod election;
pub mod era;
pub mod evacuation;
pub mod following;
pub mod holds;
pub mod load;
pub mod membership;
pub mod memory;
pub mod ownership;
pub mod pause;
pub mod plan;
pub mod proof;
pub mod refusal;
pub mod rendezvous;
pub mod reports;
pub mod share;
pub mod speed;
pub mod stop;
pub mod unowned;
pub mod view;
pub mod warmup;
