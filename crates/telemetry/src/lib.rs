//! Numbered log events, log set-up and metrics.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
