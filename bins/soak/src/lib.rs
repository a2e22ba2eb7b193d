//! Random faults on real processes of the entry instance, and checks of what callers and targets see.
//!
//! Everything follows from a seed: which faults come when, on whom and for how long. The processes, the
//! machine's scheduler and the callers' threads are not part of it, so a seed makes a run likely, not
//! certain.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod cluster;
pub mod load;
pub mod plan;
pub mod run;
