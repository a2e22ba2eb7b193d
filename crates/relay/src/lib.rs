//! The HTTP data path. An instance accepts requests from callers and forwards each to the
//! coordinator of its group; the coordinator dispatches it to the target that owns the key.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod body;
pub mod call;
pub mod caller;
pub mod detach;
pub mod directory;
pub mod dispatch;
pub mod errors;
pub mod exchange;
pub mod explain;
pub mod fields;
pub mod forward;
pub mod gate;
pub mod intent;
pub mod isolation;
pub mod key;
pub mod observe;
pub mod peer;
pub mod pool;
pub mod replication;
pub mod report;
pub mod response;
pub mod router;
pub mod server;
pub mod stall;
