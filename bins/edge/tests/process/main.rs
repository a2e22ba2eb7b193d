//! Tests of the entry instance as a process, against stand-ins of the production platform.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

mod answers;
mod cluster;
mod configuration;
mod lifecycle;
mod ownership;
