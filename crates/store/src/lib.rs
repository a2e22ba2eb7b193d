//! Client of the platform's store and instance list.
//!
//! [`client::Client`] makes single calls, and [`write::Writer`] changes a domain record by
//! compare-and-swap and finds out what became of a write whose answer was lost. The calls block;
//! callers own the threads.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod errors;
pub mod record;
pub mod write;
