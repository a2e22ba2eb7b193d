//! The cases.

pub mod handover;
pub mod memory;
pub mod poison;
pub mod upload;
