//! Stand-in of the platform's store and instance list.

#![forbid(unsafe_code)]

fn main() {}
