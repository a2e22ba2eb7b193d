//! Integration tests of the target binary.

mod common;
mod execution;
mod grant;
mod load;
