//! The entry instance.

#![forbid(unsafe_code)]

fn main() {}
