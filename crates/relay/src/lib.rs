//! The HTTP data path: it takes the requests of callers, passes them to the coordinator of their
//! group, and on the coordinator to the target that owns their key.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod body;
pub mod call;
pub mod caller;
pub mod contain;
pub mod detach;
pub mod directory;
pub mod dispatch;
pub mod errors;
pub mod exchange;
pub mod explain;
pub mod fields;
pub mod forward;
pub mod gate;
pub mod key;
pub mod observe;
pub mod peer;
pub mod pool;
pub mod replication;
pub mod report;
pub mod router;
pub mod server;
pub mod stall;
pub mod ticket;
