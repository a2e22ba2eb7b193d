//! Starts a whole environment on loopback.

#![forbid(unsafe_code)]

fn main() {}
