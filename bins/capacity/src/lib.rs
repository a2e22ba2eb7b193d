//! Measures the resource usage per process of environments whose sizes differ in one factor at a time.
//!
//! [`series`] defines the factors and sizes, [`trial`] starts and measures an environment of one size, [`fit`]
//! computes slopes and [`report`] formats them. [`parse`] measures the cost of reading a document without an
//! environment.

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
