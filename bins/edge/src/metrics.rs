//! Metrics of the process.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets in seconds, from a fast response within the failure domain
/// to the longest deadlines of callers.
const LATENCY_BUCKETS: [f64; 9] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

type Labels = [(&'static str, String); 1];

/// Metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that were refused without being executed, by reason.
    pub refused: Family<Labels, Counter>,
    /// Requests that failed and may have been executed, by reason.
    pub failed: Family<Labels, Counter>,
    /// Responses of targets that were forwarded, by service.
    pub answered: Family<Labels, Counter>,
    /// Time from the head of a request to the head of its response, by service.
    pub latency: Family<Labels, Histogram>,
    /// Requests that were refused for lack of room, by service.
    pub refused_for_room: Family<Labels, Counter>,
    /// Requests in flight relative to the places of this instance, by service, in percent.
    pub share_percent: Family<Labels, Gauge>,
    /// Mean of the usual service times of the targets, by service, in milliseconds.
    pub service_ms: Family<Labels, Gauge>,
    /// Targets that are slower than usual or silent, by service.
    pub slow_targets: Family<Labels, Gauge>,
    /// Retries, by service.
    pub retries: Family<Labels, Counter>,
    /// Calls to the store, by kind and result.
    pub store_calls: Family<Labels, Counter>,
    /// Grant and release calls to targets, by result.
    pub grant_calls: Family<Labels, Counter>,
    /// Messages other than reports to other instances, by path and result.
    pub messages: Family<Labels, Counter>,
    /// Bytes sent to other instances in the bodies of messages, by kind: the path of a message, or
    /// the field of the response to a report.
    pub message_bytes: Family<Labels, Counter>,
    /// Announcements of targets that they are leaving, by service.
    pub departures: Family<Labels, Counter>,
    /// Pauses that targets asked for, by service.
    pub pauses: Family<Labels, Counter>,
    /// Requests sent to cold targets by service.
    pub cold_requests: Family<Labels, Counter>,
    /// Connections, by listener.
    pub connections: Family<Labels, Gauge>,
    /// Connections that were closed because of a limit, by reason.
    pub connections_closed: Family<Labels, Counter>,
    /// Times at which a connection had as many requests in flight as it may have.
    pub read_ahead_reached: Counter,
    /// Request heads that were refused, by reason.
    pub heads_refused: Family<Labels, Counter>,
    /// Request bodies that were not received, by reason.
    pub bodies_refused: Family<Labels, Counter>,
    /// Memory that requests and responses in flight use, in bytes.
    pub memory_used: Gauge,
    /// Entries of the store that were ignored because they cannot be read.
    pub ignored_entries: Counter,
    /// Holdings that moved to another owner.
    pub holdings_moved: Counter,
    /// Configuration version in force.
    pub config_version: Gauge,
    /// Latest era of the store that was seen.
    pub store_era: Gauge,
    /// Time since the store last responded, in milliseconds.
    pub store_silence_ms: Gauge,
    /// Time since the store, or an instance that is up to date with it, was last heard from, in
    /// milliseconds.
    pub view_age_ms: Gauge,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Log lines dropped since the start.
    pub dropped_lines: Gauge,
    /// 1 if this instance is the coordinator, else 0.
    pub coordinator: Gauge,
    /// Number of evacuated failure domains.
    pub evacuated_domains: Gauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("caraway");
        let histogram: fn() -> Histogram = || Histogram::new(LATENCY_BUCKETS);
        let metrics = Self {
            refused: Family::default(),
            failed: Family::default(),
            answered: Family::default(),
            latency: Family::new_with_constructor(histogram),
            refused_for_room: Family::default(),
            share_percent: Family::default(),
            service_ms: Family::default(),
            slow_targets: Family::default(),
            retries: Family::default(),
            store_calls: Family::default(),
            grant_calls: Family::default(),
            messages: Family::default(),
            message_bytes: Family::default(),
            departures: Family::default(),
            pauses: Family::default(),
            cold_requests: Family::default(),
            connections: Family::default(),
            connections_closed: Family::default(),
            read_ahead_reached: Counter::default(),
            heads_refused: Family::default(),
            bodies_refused: Family::default(),
            memory_used: Gauge::default(),
            ignored_entries: Counter::default(),
            holdings_moved: Counter::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
            store_silence_ms: Gauge::default(),
            view_age_ms: Gauge::default(),
            in_flight: Gauge::default(),
            dropped_lines: Gauge::default(),
            coordinator: Gauge::default(),
            evacuated_domains: Gauge::default(),
            registry: Registry::default(),
        };
        let m = &metrics;
        registry.register("refused", "Requests refused, not run", m.refused.clone());
        registry.register("failed", "Requests failed, may have run", m.failed.clone());
        registry.register("answered", "Answers passed on", m.answered.clone());
        registry.register("latency_seconds", "Time to the answer", m.latency.clone());
        let refused = m.refused_for_room.clone();
        registry.register("refused_for_room", "Requests refused for lack of room", refused);
        registry.register("share_percent", "Use of the share", m.share_percent.clone());
        registry.register("service_ms", "Usual service time", m.service_ms.clone());
        registry.register("slow_targets", "Slow or silent targets", m.slow_targets.clone());
        registry.register("repeated", "Requests sent once more", m.retries.clone());
        registry.register("store_calls", "Calls to the store", m.store_calls.clone());
        registry.register("grant_calls", "Calls about keys", m.grant_calls.clone());
        registry.register("messages", "Messages to instances", m.messages.clone());
        registry.register("message_bytes", "Bytes to instances", m.message_bytes.clone());
        registry.register("targets_leaving", "Announced departures", m.departures.clone());
        registry.register("target_pauses", "Pauses of targets", m.pauses.clone());
        registry.register("cold_requests", "Requests to cold targets", m.cold_requests.clone());
        registry.register("connections", "Open connections", m.connections.clone());
        let closed = m.connections_closed.clone();
        registry.register("connections_closed", "Connections closed by a limit", closed);
        let reached = m.read_ahead_reached.clone();
        registry.register("read_ahead_reached", "Connections at the bound", reached);
        registry.register("heads_refused", "Request heads refused", m.heads_refused.clone());
        registry.register("bodies_refused", "Bodies not received", m.bodies_refused.clone());
        registry.register("memory_used", "Bytes of requests in flight", m.memory_used.clone());
        registry.register("ignored_entries", "Unreadable entries", m.ignored_entries.clone());
        registry.register("holdings_moved", "Holdings with a new owner", m.holdings_moved.clone());
        let evacuated = m.evacuated_domains.clone();
        registry.register("evacuated_domains", "Evacuated failure domains", evacuated);
        registry.register("config_version", "Configuration in force", m.config_version.clone());
        registry.register("store_era", "Era of the store", m.store_era.clone());
        registry.register(
            "store_silence_ms",
            "Time since the store answered",
            m.store_silence_ms.clone(),
        );
        registry.register("view_age_ms", "Age of the view of the store", m.view_age_ms.clone());
        registry.register("running", "Requests being served", m.in_flight.clone());
        registry.register("dropped_lines", "Log lines dropped", m.dropped_lines.clone());
        registry.register("coordinator", "Whether it coordinates", m.coordinator.clone());
        Self { registry, ..metrics }
    }

    /// Increments the counter of a family with one label.
    pub fn count(family: &Family<Labels, Counter>, name: &'static str, value: &str) {
        family.get_or_create(&[(name, value.to_owned())]).inc();
    }

    /// Counts bytes that are sent to another instance.
    pub fn count_bytes(&self, kind: &str, bytes: usize) {
        let count = self.message_bytes.get_or_create(&[("kind", kind.to_owned())]);
        count.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Encodes the metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Encoding into a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
