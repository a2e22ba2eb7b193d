//! Operator configuration: routes, services and the limits of callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// One version of the operator configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version of the configuration; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host name in lower case, ordered from the longest to the shortest prefix.
    pub hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Limits for callers.
    pub limits: Limits,
}

/// Destination of the requests for one host and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Whether the responses are large.
    pub large: bool,
    /// Longest time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency up to which a response has its full value.
    pub latency_objective: Duration,
    /// Priority; 0 is the most urgent.
    pub rank: u32,
    /// Weighted services that share the requests.
    pub splits: Vec<Split>,
    /// Largest number of targets to which one request is sent.
    pub max_attempts: u32,
}

/// Share of a route's requests that one service gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the sum of the weights of the route.
    pub weight: u64,
}

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Whether each key of the service is owned by one target.
    pub keyed: bool,
    /// Path at which its targets report their health and state their ids.
    pub health_path: Option<Arc<str>>,
    /// Rank of the least urgent route to the service.
    pub least_urgent_rank: u32,
    /// Number of connections that a target accepts from all callers together.
    pub max_connections: usize,
    /// Time for which a target is cold after its start.
    pub warmup_time: Duration,
    /// Requests per second that a cold target tolerates; zero means no limit.
    pub warmup_rate: f64,
}

/// Limits for the requests and idle connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// Longest time from the first to the last byte of a request head.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Limits {
    /// Limits that apply before the first configuration is loaded.
    pub const DEFAULT: Self = Self {
        max_head_bytes: 16 << 10,
        max_body_bytes: 64 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
}

impl Default for Limits {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl Configuration {
    /// Returns the route of a host and a path. A port in the host is ignored.
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

/// Distributes the requests of a route over its services by smooth weighted round robin.
///
/// Each request goes to the service that is furthest behind its share, so the shares hold over
/// short runs of requests and not only on average. A request that its service refuses counts like
/// any other: it is not moved to another service, which would get more than its share.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Splits for which the credits count.
    splits: Vec<Split>,
    /// For each split, how far its service is behind its share, in requests times the total weight.
    credit: Vec<i64>,
}

/// Returns the weight of a split, limited so that sums do not overflow.
fn weight(split: &Split) -> i64 {
    i64::try_from(split.weight).unwrap_or(i64::MAX).min(i64::MAX >> 16)
}

fn total_weight(splits: &[Split]) -> i64 {
    splits.iter().map(weight).sum()
}

impl Splitter {
    /// Returns the index of the split that gets the next request.
    pub fn next(&mut self, splits: &[Split]) -> usize {
        if self.splits != splits {
            self.adopt(splits);
        }
        let total = total_weight(splits);
        let mut best = None;
        for (index, (credit, split)) in self.credit.iter_mut().zip(splits).enumerate() {
            *credit += weight(split);
            if split.weight > 0 && best.is_none_or(|(_, highest)| *credit > highest) {
                best = Some((index, *credit));
            }
        }
        let index = best.map_or(0, |(index, _)| index);
        if let Some(credit) = self.credit.get_mut(index) {
            *credit -= total;
        }
        index
    }

    /// Adopts other splits. Each service keeps its credit, at most one request. Credits in the old
    /// weights would send long runs of requests to one service if the new ones are smaller, and
    /// without credits a service with a small share would get nothing while changes are frequent.
    fn adopt(&mut self, splits: &[Split]) {
        let before = i128::from(total_weight(&self.splits).max(1));
        let total = total_weight(splits);
        let credit = |split: &Split| {
            let known = self.splits.iter().position(|known| known.service == split.service);
            let credit = known.and_then(|index| self.credit.get(index)).copied().unwrap_or(0);
            let scaled = i128::from(credit) * i128::from(total) / before;
            i64::try_from(scaled).unwrap_or(0).clamp(-total, total)
        };
        self.credit = splits.iter().map(credit).collect();
        self.splits = splits.to_vec();
    }
}
