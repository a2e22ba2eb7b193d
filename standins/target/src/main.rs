//! Stand-in of a target.

#![forbid(unsafe_code)]

fn main() {}
