//! The cases.

pub mod handover;
pub mod memory;
pub mod upload;
