//! Control protocol between entry instances: gRPC client, server and messages.
//!
//! The schema is `proto/caraway/peer/v1/peer.proto`. The generated code is committed;
//! `cargo run -p caraway-protogen` regenerates it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/caraway.peer.v1.rs"]
pub mod peer;
