//! Decision logic of a single call.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
