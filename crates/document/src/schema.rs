//! Serde types of the JSON form of the document.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use caraway_core::class::Urgency;
use caraway_core::name;

use crate::plan::Division;
use crate::plan::Fencing;

/// Number of shards of a pooled service without an explicit number.
pub const DEFAULT_POOLED_SHARDS: u32 = 64;

/// Format version of the documents that this version reads.
pub const FORMAT_VERSION: u32 = 1;

/// An environment document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Format version, always [`FORMAT_VERSION`].
    pub format: u32,
    /// Name of the environment.
    pub environment: String,
    /// Failure domains.
    pub failure_domains: Vec<name::Domain>,
    /// Tenants with separate metrics.
    pub tenants: Vec<name::Tenant>,
    /// Call classes.
    pub classes: Vec<Class>,
    /// Services with their targets.
    pub services: Vec<Service>,
    /// Routes from method and path prefix to service and class.
    pub routes: Vec<Route>,
    /// Limits of the data path.
    pub limits: Limits,
}

/// A call class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: name::Class,
    /// Maximum time from the arrival of a request to its response, in milliseconds.
    pub patience_ms: u64,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Priority in queues.
    pub urgency: Urgency,
    /// Maximum number of attempts; 1 if the class is not repeatable.
    pub attempts: u32,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// How keys are divided among the targets.
    pub division: Division,
    /// Number of shards; defaults to [`DEFAULT_POOLED_SHARDS`] for a pooled service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shards: Option<u32>,
    /// Whether the targets check fencing tokens.
    pub fencing: Fencing,
    /// Requests that a target executes concurrently.
    pub slots: u32,
    /// Maximum number of connections that a target accepts.
    pub connections: u32,
    /// Queue capacity of a group per target, in requests.
    pub queue: u32,
    /// Ramp-up time of a cold target in milliseconds.
    pub warmup_ms: u64,
    /// Targets of the service.
    pub targets: Vec<Target>,
    /// Explicit shards of each group; if absent, shards are divided in proportion to the number of
    /// targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Vec<Placement>>,
}

impl Service {
    /// Returns the explicit or default number of shards.
    pub fn shard_count(&self) -> u32 {
        self.shards.unwrap_or(DEFAULT_POOLED_SHARDS)
    }
}

/// The shard range of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Name of the group.
    pub group: name::Group,
    /// First shard.
    pub first: u32,
    /// Last shard, inclusive.
    pub last: u32,
}

/// A target of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target, unique in the document.
    pub name: name::Target,
    /// Failure domain of the target.
    pub failure_domain: name::Domain,
    /// Address of the HTTP listener.
    pub address: SocketAddr,
}

/// A route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method.
    pub method: String,
    /// Path prefix that ends with `/`.
    pub prefix: String,
    /// Service that serves the route.
    pub service: name::Service,
    /// Class of the requests.
    pub class: name::Class,
}

/// Limits of the data path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size in bytes of a body that is buffered for retries.
    pub buffered_body_bytes: u64,
    /// Maximum size of a body in bytes.
    pub body_bytes: u64,
    /// Maximum size of a header section in bytes.
    pub header_bytes: u32,
    /// Idle timeout of caller connections in milliseconds.
    pub idle_ms: u64,
}
