//! Admission of requests to the targets of one group.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod lane;
