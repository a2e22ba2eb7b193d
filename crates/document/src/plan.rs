//! The plan: the tables that the data path and the control plane look up, derived from a document.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::shard::Shard;

/// How the keys of a service are divided among its targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Division {
    /// Every key has one owning target.
    Keyed,
    /// Any target may run any request.
    Pooled,
}

/// Whether the targets of a service check the fencing token of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// Targets refuse a request with a stale token.
    Checked,
    /// Targets run a request from any sender.
    Unchecked,
}

/// A target of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
}

/// A group: up to 16 targets of one service in one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Group {
    /// Name of the form `service/domain/n`.
    pub name: name::Group,
    /// Service of the group.
    pub service: Arc<Service>,
    /// Failure domain of the group's targets and of its coordinator.
    pub domain: name::Domain,
    /// Shards of the group, a contiguous range.
    pub shards: Range<u32>,
    /// Targets in document order.
    pub targets: Vec<Target>,
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// How its keys are divided.
    pub division: Division,
    /// Whether its targets check tokens.
    pub fencing: Fencing,
    /// Number of shards, at least one.
    pub shards: u32,
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Requests that may wait in the queue of a group, for each of its targets.
    pub queue: usize,
    /// Time over which a cold target ramps up.
    pub warmup: Duration,
}

/// A call class.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: name::Class,
    /// Longest time from arrival to answer.
    pub patience: Duration,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Urgency in queues.
    pub urgency: Urgency,
    /// Attempts of a repeatable request, at least one.
    pub attempts: u32,
}

/// A route from method and path prefix to service and class.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// HTTP method.
    pub method: Arc<str>,
    /// Path prefix that ends with `/`; the next path segment is the key.
    pub prefix: Arc<str>,
    /// Service that serves the route.
    pub service: Arc<Service>,
    /// Class of its requests.
    pub class: Arc<Class>,
}

/// Limits of the data path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest body, in bytes, that is buffered so that a request can be retried.
    pub buffered_body_bytes: u64,
    /// Longest accepted body in bytes.
    pub body_bytes: u64,
    /// Longest accepted header section in bytes.
    pub header_bytes: usize,
    /// Time after which an idle caller connection is closed.
    pub idle: Duration,
}

/// The plan of one document version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Version of the document, the revision of its key in the store.
    pub version: u64,
    /// Name of the environment.
    pub environment: Arc<str>,
    /// Failure domains in document order.
    pub domains: Vec<name::Domain>,
    /// Tenants that get metrics of their own.
    pub tenants: Vec<name::Tenant>,
    /// Routes, longest prefix first.
    pub routes: Vec<Route>,
    /// Groups in document order.
    pub groups: Vec<Arc<Group>>,
    /// Limits of the data path.
    pub limits: Limits,
}

impl Plan {
    /// Returns the route of a request and its key, if a route matches and the key is not empty.
    pub fn route<'a>(&self, method: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        self.routes.iter().filter(|route| &*route.method == method).find_map(|route| {
            let rest = path.strip_prefix(&*route.prefix)?;
            let key = rest.split('/').next().unwrap_or(rest);
            (!key.is_empty()).then_some((route, key))
        })
    }

    /// Returns the group that holds a shard of a service.
    pub fn group_of(&self, service: &name::Service, shard: Shard) -> Option<&Arc<Group>> {
        self.groups
            .iter()
            .find(|group| group.service.name == *service && group.shards.contains(&shard.0))
    }

    /// Returns the group of a name.
    pub fn group(&self, name: &name::Group) -> Option<&Arc<Group>> {
        self.groups.iter().find(|group| group.name == *name)
    }
}
