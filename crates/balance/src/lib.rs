//! Placement policy for shards under load.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
