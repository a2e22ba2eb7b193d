//! Process tests of the entry instance, against stand-ins of the production platform.

// The lint settings allow these in test functions only; the helpers use them as well.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

mod capacity;
mod cluster;
mod configuration;
mod control;
mod era;
mod evacuation;
mod explain;
mod following;
mod lifecycle;
mod ownership;
mod pipelining;
mod responses;
mod stop;
mod trouble;
mod warmup;
