//! The HTTP data path.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
