//! Client of the platform's store and instance list.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
