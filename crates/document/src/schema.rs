//! The document as it is written: serde types of its JSON form.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use caraway_core::class::Urgency;
use caraway_core::name;

use crate::plan::Division;
use crate::plan::Fencing;

/// Shards of a pooled service that does not state a number.
pub const DEFAULT_POOLED_SHARDS: u32 = 64;

/// Format number of the documents that this version reads.
pub const FORMAT_VERSION: u32 = 1;

/// An environment document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Format number, [`FORMAT_VERSION`].
    pub format: u32,
    /// Name of the environment.
    pub environment: String,
    /// Failure domains.
    pub failure_domains: Vec<name::Domain>,
    /// Tenants that get metrics of their own.
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
    /// Longest time from arrival to answer in milliseconds.
    pub patience_ms: u64,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Urgency in queues.
    pub urgency: Urgency,
    /// Attempts, 1 for a class that is not repeatable.
    pub attempts: u32,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// How its keys are divided among its targets.
    pub division: Division,
    /// Number of shards; may be absent for a pooled service, see [`DEFAULT_POOLED_SHARDS`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shards: Option<u32>,
    /// Whether its targets check fencing tokens.
    pub fencing: Fencing,
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Requests that may wait in the queue of a group, for each of its targets.
    pub queue: u32,
    /// Time over which a cold target ramps up, in milliseconds.
    pub warmup_ms: u64,
    /// Targets of the service.
    pub targets: Vec<Target>,
    /// Shards of each group; if absent, they are divided in proportion to the number of targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Vec<Placement>>,
}

impl Service {
    /// Returns the number of shards, stated or default.
    pub fn shard_count(&self) -> u32 {
        self.shards.unwrap_or(DEFAULT_POOLED_SHARDS)
    }
}

/// The shards of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Name of the group.
    pub group: name::Group,
    /// First shard.
    pub first: u32,
    /// Last shard.
    pub last: u32,
}

/// A target of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target, unique in the document.
    pub name: name::Target,
    /// Failure domain that the target runs in.
    pub failure_domain: name::Domain,
    /// Address of its HTTP listener.
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
    /// Class of its requests.
    pub class: name::Class,
}

/// Limits of the data path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Longest body, in bytes, that is buffered so that a request can be retried.
    pub buffered_body_bytes: u64,
    /// Longest accepted body in bytes.
    pub body_bytes: u64,
    /// Longest accepted header section in bytes.
    pub header_bytes: u32,
    /// Time in milliseconds after which an idle caller connection is closed.
    pub idle_ms: u64,
}
