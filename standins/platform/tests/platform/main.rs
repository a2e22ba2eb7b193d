//! Integration tests of the platform binary.

mod common;
mod faults;
mod store;
