//! Messages between entry instances.
//!
//! The schema is `proto/caraway/peer/v1/peer.proto`. The generated code is committed;
//! `cargo run -p caraway-protogen` makes it again.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/caraway.peer.v1.rs"]
pub mod peer;
