//! Measures what an environment costs per process, in sizes that differ in one factor at a time.
//!
//! [`series`] lists the factors and sizes, [`trial`] starts and measures one size, [`fit`] computes slopes
//! and [`report`] prints them. [`parse`] measures the cost of a document without an environment.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod errors;
pub mod exposition;
pub mod fit;
pub mod parse;
pub mod reading;
pub mod report;
pub mod series;
pub mod size;
pub mod trial;
