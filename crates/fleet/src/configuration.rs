//! The operator's configuration: routes, services and the limits of callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Routes, services and limits of one version.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host name in lower case, those with the longest prefix first.
    pub hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Limits of what a caller may send.
    pub limits: Limits,
}

/// Where requests of one host with one path prefix go.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub latency_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Services that share the requests, by weight.
    pub splits: Vec<Split>,
    /// Largest number of targets to which one request is sent.
    pub max_attempts: u32,
}

/// A service's share of a route.
#[derive(Clone, Debug)]
pub struct Split {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share, relative to the sum of the route's weights.
    pub weight: u64,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Whether each key is owned by one target.
    pub keyed: bool,
    /// Rank of the least urgent route that leads to it.
    pub least_urgent_rank: u32,
    /// Connections that a target accepts from all callers together.
    pub max_connections: usize,
}

/// Limits of what a caller may send and how long it may be idle.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: u64,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits before the first configuration is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// Returns the route of a host and a path. The port of the host does not count.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let path = path.split('?').next().unwrap_or(path);
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}

/// Divides the requests of a route among its parts.
///
/// Each request goes to the part that is furthest behind its share, so the shares hold over any
/// longer run of requests and not only on average.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    credit: Vec<i64>,
}

impl Splitter {
    /// Returns the index of the part that gets the next request.
    pub fn next(&mut self, parts: &[Split]) -> usize {
        if self.credit.len() != parts.len() {
            self.credit = vec![0; parts.len()];
        }
        let weight = |part: &Split| i64::try_from(part.weight).unwrap_or(i64::MAX >> 16);
        let total: i64 = parts.iter().map(weight).sum();
        let mut best = None;
        for (index, (credit, part)) in self.credit.iter_mut().zip(parts).enumerate() {
            *credit += weight(part);
            if part.weight > 0 && best.is_none_or(|(_, highest)| *credit > highest) {
                best = Some((index, *credit));
            }
        }
        let index = best.map_or(0, |(index, _)| index);
        if let Some(credit) = self.credit.get_mut(index) {
            *credit -= total;
        }
        index
    }
}
