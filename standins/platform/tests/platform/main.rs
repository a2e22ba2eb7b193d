//! Tests of the built platform.

mod common;
mod faults;
mod store;
