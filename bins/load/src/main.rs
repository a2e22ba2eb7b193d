//! Load generator, verifier and benchmark.

#![forbid(unsafe_code)]

fn main() {}
