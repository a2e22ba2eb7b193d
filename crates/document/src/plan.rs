//! The plan: lookup tables for the data path and the control plane, derived from a document.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::shard::Shard;

use crate::check;
use crate::envelope::Envelope;
use crate::errors::Result;
use crate::index;
use crate::index::Index;
use crate::schema;
use crate::schema::Document;

/// How the keys of a service are divided among its targets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Division {
    /// Each key is owned by exactly one target.
    Keyed,
    /// Any target may execute any request.
    Pooled,
}

/// Whether the targets of a service check the fencing token of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// Targets reject requests with a stale token.
    Checked,
    /// Targets execute requests from any sender.
    Unchecked,
}

/// A target of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// Address of the HTTP listener.
    pub address: SocketAddr,
}

/// A group: up to 16 targets of one service in one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Group {
    /// Name of the form `service/domain/n`.
    pub name: name::Group,
    /// Service of the group.
    pub service: Arc<Service>,
    /// Failure domain of the targets and the coordinator.
    pub domain: name::Domain,
    /// Contiguous range of shards; empty if an explicit placement does not list the group.
    pub shards: Range<u32>,
    /// Targets in document order.
    pub targets: Vec<Target>,
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// How keys are divided among the targets.
    pub division: Division,
    /// Whether the targets check fencing tokens.
    pub fencing: Fencing,
    /// Number of shards, at least one.
    pub shards: u32,
    /// Requests that a target executes concurrently.
    pub slots: u32,
    /// Maximum number of connections that a target accepts.
    pub max_connections: u32,
    /// Queue capacity of a group per target, in requests.
    pub queue_per_target: usize,
    /// Ramp-up time of a cold target.
    pub warmup: Duration,
}

/// A call class.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: name::Class,
    /// Maximum time from the arrival of a request to its response.
    pub patience: Duration,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Priority in queues.
    pub urgency: Urgency,
    /// Maximum number of attempts, including the first; at least 1.
    pub max_attempts: u32,
}

/// A route that maps a method and a path prefix to a service and a class.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// HTTP method.
    pub method: Arc<str>,
    /// Path prefix that ends with `/`; the next path segment is the key.
    pub prefix: Arc<str>,
    /// Service that serves the route.
    pub service: Arc<Service>,
    /// Class of the requests.
    pub class: Arc<Class>,
}

/// Limits of the data path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size in bytes of a body that is buffered for retries.
    pub max_buffered_body_bytes: u64,
    /// Maximum size of a body in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a header section in bytes.
    pub max_header_bytes: usize,
    /// Idle timeout of caller connections.
    pub idle_timeout: Duration,
}

/// The plan of one document version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Version of the document: the revision of its key in the store.
    pub version: u64,
    /// Name of the environment.
    pub environment: Arc<str>,
    /// Failure domains in document order.
    pub domains: Vec<name::Domain>,
    /// Tenants with separate metrics.
    pub tenants: Vec<name::Tenant>,
    /// Routes, longest prefix first.
    pub routes: Vec<Route>,
    /// Groups in document order.
    pub groups: Vec<Arc<Group>>,
    /// Limits of the data path.
    pub limits: Limits,
    index: Index,
}

impl Plan {
    /// Checks a document and derives its plan.
    ///
    /// # Errors
    ///
    /// The document has findings.
    pub fn try_new(document: &Document, version: u64) -> Result<Self> {
        check::document(document)?;
        Ok(Self::from_checked(document, version))
    }

    /// Parses the stored text of a document and derives its plan. The document is checked only
    /// once.
    ///
    /// # Errors
    ///
    /// The text is not an envelope or its document has findings, as for [`Envelope::parse`].
    pub fn parse_stored(text: &str, version: u64) -> Result<Self> {
        let envelope = Envelope::parse(text)?;
        Ok(Self::from_checked(&envelope.document, version))
    }

    fn from_checked(document: &Document, version: u64) -> Self {
        let services: Vec<_> =
            document.services.iter().map(|service| Arc::new(Service::from(service))).collect();
        let classes: Vec<_> =
            document.classes.iter().map(|class| Arc::new(Class::from(class))).collect();
        let groups: Vec<_> = services
            .iter()
            .zip(&document.services)
            .flat_map(|(service, source)| {
                index::form_groups(service, source, &document.failure_domains)
            })
            .collect();
        let routes = resolve_routes(document, &services, &classes);
        let index = Index::new(&groups, &routes);
        Self {
            version,
            environment: Arc::from(document.environment.as_str()),
            domains: document.failure_domains.clone(),
            tenants: document.tenants.clone(),
            routes,
            groups,
            limits: Limits::from(&document.limits),
            index,
        }
    }

    /// Returns the route and the key of a request, if a route matches and the key is not empty.
    ///
    /// Costs one hash lookup for each `/` within the length of the longest prefix.
    pub fn route<'a>(&self, method: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let (position, key) = self.index.route(method, path)?;
        Some((self.routes.get(position)?, key))
    }

    /// Returns the group that contains a shard of a service.
    ///
    /// Costs one hash lookup and a binary search over the groups of the service.
    pub fn group_for_shard(&self, service: &name::Service, shard: Shard) -> Option<&Arc<Group>> {
        let position = self.index.group_for_shard(&self.groups, service, shard)?;
        self.groups.get(position)
    }

    /// Returns the effective placement of a service: the groups with shards, in shard order.
    pub fn placement(&self, service: &name::Service) -> Vec<schema::Placement> {
        let groups = self.groups.iter().filter(|group| group.service.name == *service);
        let mut rows: Vec<_> = groups
            .filter(|group| !group.shards.is_empty())
            .map(|group| schema::Placement {
                group: group.name.clone(),
                first: group.shards.start,
                last: group.shards.end - 1,
            })
            .collect();
        rows.sort_by_key(|row| row.first);
        rows
    }

    /// Returns the group with the given name.
    pub fn group(&self, name: &name::Group) -> Option<&Arc<Group>> {
        self.groups.get(self.index.group(name)?)
    }
}

/// Returns the routes, longest prefix first; routes with prefixes of equal length stay in document
/// order.
fn resolve_routes(
    document: &Document,
    services: &[Arc<Service>],
    classes: &[Arc<Class>],
) -> Vec<Route> {
    let mut routes: Vec<_> = document
        .routes
        .iter()
        .filter_map(|route| {
            Some(Route {
                method: Arc::from(route.method.as_str()),
                prefix: Arc::from(route.prefix.as_str()),
                service: Arc::clone(services.iter().find(|s| s.name == route.service)?),
                class: Arc::clone(classes.iter().find(|c| c.name == route.class)?),
            })
        })
        .collect();
    routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    routes
}

impl From<&schema::Service> for Service {
    fn from(source: &schema::Service) -> Self {
        Self {
            name: source.name.clone(),
            division: source.division,
            fencing: source.fencing,
            shards: source.shard_count(),
            slots: source.slots,
            max_connections: source.connections,
            queue_per_target: usize::try_from(source.queue).unwrap_or(usize::MAX),
            warmup: Duration::from_millis(source.warmup_ms),
        }
    }
}

impl From<&schema::Class> for Class {
    fn from(source: &schema::Class) -> Self {
        Self {
            name: source.name.clone(),
            patience: Duration::from_millis(source.patience_ms),
            repeatable: source.repeatable,
            urgency: source.urgency,
            max_attempts: source.attempts,
        }
    }
}

impl From<&schema::Limits> for Limits {
    fn from(source: &schema::Limits) -> Self {
        Self {
            max_buffered_body_bytes: source.buffered_body_bytes,
            max_body_bytes: source.body_bytes,
            max_header_bytes: usize::try_from(source.header_bytes).unwrap_or(usize::MAX),
            idle_timeout: Duration::from_millis(source.idle_ms),
        }
    }
}
