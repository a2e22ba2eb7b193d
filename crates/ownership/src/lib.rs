//! State machines of exclusive ownership.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
