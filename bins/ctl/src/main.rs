//! The operator's tool.

#![forbid(unsafe_code)]

fn main() {}
