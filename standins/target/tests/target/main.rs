//! Tests of the built target.

mod common;
mod execution;
mod grant;
mod load;
