//! Metrics of an entry instance, served by `/metrics` in the OpenMetrics text format.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use caraway_core::name;
use caraway_core::outcome::Reason;

/// Label value shared by the tenants and classes that have no series of their own.
pub const OTHER_LABEL: &str = "other";
/// Maximum number of (tenant, class) pairs with a latency histogram. A histogram takes about 20
/// lines of a scrape, so the limit keeps a scrape below 10,000 lines.
pub const MAX_LATENCY_SERIES: usize = 512;

/// Upper bounds of the latency buckets in seconds. The range extends from less than a loopback
/// round trip to the longest allowed duration of a download.
const LATENCY_BUCKETS_SECONDS: [f64; 15] =
    [0.0005, 0.001, 0.002, 0.004, 0.008, 0.015, 0.03, 0.06, 0.12, 0.25, 0.5, 1.0, 5.0, 30.0, 120.0];
/// Upper bounds of the unavailability buckets in seconds. The expected recovery times of the fault
/// table, 0.1 s to 0.8 s, fall into separate buckets.
const UNAVAILABLE_BUCKETS_SECONDS: [f64; 12] =
    [0.05, 0.1, 0.2, 0.3, 0.5, 0.65, 0.8, 1.0, 2.0, 5.0, 30.0, 300.0];

macro_rules! labels {
    ($($(#[$doc:meta])* $name:ident { $($(#[$item_doc:meta])* $item:ident = $text:literal),+ $(,)? })+) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum $name {
            $($(#[$item_doc])* $item,)+
        }

        impl $name {
            /// Returns the label value.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$item => $text,)+ }
            }
        }
    )+};
}

labels! {
    /// Cause of an ownership change of a shard or split key.
    Cause {
        /// The shard had no owner before.
        Placed = "placed",
        /// The owner is known to have terminated.
        TargetGone = "target-gone",
        /// The grant of the owner expired.
        GrantEnded = "grant-ended",
        /// The owner is draining.
        TargetLeaving = "target-leaving",
        /// The shard was moved by the load balancing rule.
        Balance = "balance",
        /// A hot key was split or merged.
        Split = "split",
        /// The environment document changed.
        Configuration = "configuration",
    }

    /// How a group was acquired.
    Takeover {
        /// No instance had coordinated the group before.
        First = "first",
        /// By compare-and-swap in the store after the loss of the previous coordinator.
        Swap = "swap",
        /// With the reserved term, without a call to the store.
        Reserved = "reserved",
        /// By handover from a stopping coordinator.
        Handover = "handover",
    }

    /// Kind of a control message.
    Message {
        /// Heartbeat between entry instances.
        Heartbeat = "heartbeat",
        /// Replication of ledger entries.
        Record = "record",
        /// Read of a ledger.
        History = "history",
        /// Handover of a group.
        Handover = "handover",
        /// Read of the environment document.
        Document = "document",
        /// Grant or renewal of a lease on shards.
        Grant = "grant",
        /// Read of the status of a target.
        Query = "query",
    }

    /// Kind of a store call.
    Call {
        /// Read of a key.
        Get = "get",
        /// Write of a key.
        Put = "put",
        /// Watch of a prefix.
        Watch = "watch",
        /// Write or renewal of a lease.
        Lease = "lease",
        /// Read of the instance list.
        Instances = "instances",
    }

    /// Outcome of a store call.
    CallResult {
        /// The call succeeded.
        Ok = "ok",
        /// A compare-and-swap failed because the revision had changed.
        Conflict = "conflict",
        /// The call failed without effect.
        Failed = "failed",
        /// The call got no response and may have taken effect.
        Ambiguous = "ambiguous",
    }
}

type Labels<V, const N: usize> = [(&'static str, V); N];
type StaticLabels<const N: usize> = Labels<&'static str, N>;
type DynamicLabels<const N: usize> = Labels<Arc<str>, N>;
type LatencyFamily = Family<DynamicLabels<2>, Histogram, fn() -> Histogram>;

/// Tenants and classes that have latency series of their own, with their label values.
#[derive(Debug, Default)]
struct SeriesNames {
    tenants: HashMap<name::Tenant, Arc<str>>,
    classes: HashMap<name::Class, Arc<str>>,
}

/// Metrics of an entry instance.
///
/// The cardinality of every label is bounded: causes, kinds, results and reasons are enumerations,
/// services and groups come from the environment document, and (tenant, class) pairs are limited by
/// [`MAX_LATENCY_SERIES`].
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    other: Arc<str>,
    names: RwLock<SeriesNames>,
    ownership_changes: Family<StaticLabels<1>, Counter>,
    unavailable: Histogram,
    imbalance: Family<DynamicLabels<1>, Gauge<f64, AtomicU64>>,
    groups_held: Gauge,
    takeovers: Family<StaticLabels<1>, Counter>,
    control_messages: Family<StaticLabels<1>, Counter>,
    control_bytes: Family<StaticLabels<1>, Counter>,
    store_calls: Family<StaticLabels<2>, Counter>,
    config_version: Gauge<u64, AtomicU64>,
    latency: LatencyFamily,
    refusals: Family<StaticLabels<1>, Counter>,
    retries: Counter,
    queue_depth: Family<DynamicLabels<1>, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let latency: fn() -> Histogram = || Histogram::new(LATENCY_BUCKETS_SECONDS);
        let mut metrics = Self {
            registry: Registry::with_prefix("caraway"),
            other: Arc::from(OTHER_LABEL),
            names: RwLock::default(),
            ownership_changes: Family::default(),
            unavailable: Histogram::new(UNAVAILABLE_BUCKETS_SECONDS),
            imbalance: Family::default(),
            groups_held: Gauge::default(),
            takeovers: Family::default(),
            control_messages: Family::default(),
            control_bytes: Family::default(),
            store_calls: Family::default(),
            config_version: Gauge::default(),
            latency: Family::new_with_constructor(latency),
            refusals: Family::default(),
            retries: Counter::default(),
            queue_depth: Family::default(),
        };
        metrics.register_control();
        metrics.register_data();
        metrics
    }

    fn register_control(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "ownership_changes",
            "Shards and split keys that changed owner",
            self.ownership_changes.clone(),
        );
        registry.register_with_unit(
            "unavailable",
            "Time without service of a group or shard, from the last moment it was served",
            Unit::Seconds,
            self.unavailable.clone(),
        );
        registry.register(
            "imbalance",
            "Load of the busiest target over the mean of the service",
            self.imbalance.clone(),
        );
        registry.register(
            "groups_held",
            "Groups that this instance coordinates",
            self.groups_held.clone(),
        );
        registry.register("takeovers", "Groups acquired", self.takeovers.clone());
        registry.register(
            "control_messages",
            "Control messages sent",
            self.control_messages.clone(),
        );
        registry.register_with_unit(
            "control_sent",
            "Bytes of control messages sent",
            Unit::Bytes,
            self.control_bytes.clone(),
        );
        registry.register("store_calls", "Calls to the platform's store", self.store_calls.clone());
        registry.register(
            "config_version",
            "Configuration version in force",
            self.config_version.clone(),
        );
    }

    fn register_data(&mut self) {
        let registry = &mut self.registry;
        registry.register_with_unit(
            "request_latency",
            "Time from arrival to the end of the response",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register(
            "refusals",
            "Requests that were refused and did not run",
            self.refusals.clone(),
        );
        registry.register(
            "retries",
            "Further attempts of repeatable requests",
            self.retries.clone(),
        );
        registry.register(
            "queue_depth",
            "Requests that wait in a group's queue",
            self.queue_depth.clone(),
        );
    }

    /// Sets the tenants and classes of the environment document and removes the series of all
    /// others. Tenants and classes beyond [`MAX_LATENCY_SERIES`] pairs share the label
    /// [`OTHER_LABEL`].
    pub fn set_names(&self, tenants: &[name::Tenant], classes: &[name::Class]) {
        let classes: HashMap<_, _> = classes
            .iter()
            .take(MAX_LATENCY_SERIES / 2 - 1)
            .map(|class| (class.clone(), Arc::from(class.as_str())))
            .collect();
        // One tenant and one class are reserved for the label "other".
        let max_tenants = MAX_LATENCY_SERIES / (classes.len() + 1) - 1;
        let tenants = tenants
            .iter()
            .take(max_tenants)
            .map(|tenant| (tenant.clone(), Arc::from(tenant.as_str())))
            .collect();
        let new = SeriesNames { tenants, classes };
        let mut names = self.names.write().unwrap_or_else(PoisonError::into_inner);
        self.remove_latency_series(&names, &new);
        *names = new;
    }

    fn remove_latency_series(&self, old: &SeriesNames, new: &SeriesNames) {
        for (tenant, tenant_label) in old.tenant_labels(&self.other) {
            for (class, class_label) in old.class_labels(&self.other) {
                let tenant_kept = tenant.is_none_or(|name| new.tenants.contains_key(name));
                let class_kept = class.is_none_or(|name| new.classes.contains_key(name));
                if !(tenant_kept && class_kept) {
                    let labels = latency_labels(tenant_label, class_label);
                    self.latency.remove(&labels);
                }
            }
        }
    }

    /// Counts shards or split keys whose owner changed.
    pub fn record_ownership_changes(&self, cause: Cause, count: u64) {
        self.ownership_changes.get_or_create(&[("cause", cause.as_str())]).inc_by(count);
    }

    /// Records for how long a group or shard was unavailable.
    pub fn record_unavailability(&self, duration: Duration) {
        self.unavailable.observe(duration.as_secs_f64());
    }

    /// Sets the load of the busiest target divided by the mean load of the service's targets.
    pub fn set_imbalance(&self, service: &name::Service, ratio: f64) {
        self.imbalance.get_or_create(&[("service", Arc::from(service.as_str()))]).set(ratio);
    }

    /// Removes the series of a service that is no longer in the environment document.
    pub fn remove_service(&self, service: &name::Service) {
        self.imbalance.remove(&[("service", Arc::from(service.as_str()))]);
    }

    /// Sets the number of groups that the instance coordinates.
    pub fn set_groups_held(&self, groups: usize) {
        self.groups_held.set(i64::try_from(groups).unwrap_or(i64::MAX));
    }

    /// Counts a group that the instance acquired.
    pub fn record_takeover(&self, how: Takeover) {
        self.takeovers.get_or_create(&[("how", how.as_str())]).inc();
    }

    /// Counts a control message and its size in bytes. Every entry instance counts the messages
    /// that it sends. Targets count none, so an instance counts both the request to a target and
    /// its response.
    pub fn record_control_message(&self, message: Message, bytes: u64) {
        let labels = [("kind", message.as_str())];
        self.control_messages.get_or_create(&labels).inc();
        self.control_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Counts a store call by kind and outcome.
    pub fn record_store_call(&self, call: Call, result: CallResult) {
        let labels = [("kind", call.as_str()), ("result", result.as_str())];
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Sets the configuration version in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.set(version);
    }

    /// Records the latency of an answered request.
    pub fn record_latency(&self, tenant: &name::Tenant, class: &name::Class, latency: Duration) {
        // The read lock is held until the series is written. Otherwise a concurrent `set_names`
        // could remove the series first, and this call would create it again and leak it.
        let names = self.names.read().unwrap_or_else(PoisonError::into_inner);
        let tenant = names.tenants.get(tenant).unwrap_or(&self.other);
        let class = names.classes.get(class).unwrap_or(&self.other);
        let labels = latency_labels(tenant, class);
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    }

    /// Counts a refused request.
    pub fn record_refusal(&self, reason: Reason) {
        self.refusals.get_or_create(&[("reason", reason.as_str())]).inc();
    }

    /// Counts a retry of a repeatable request.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Sets the queue depth of a group.
    pub fn set_queue_depth(&self, group: &name::Group, depth: usize) {
        let depth = i64::try_from(depth).unwrap_or(i64::MAX);
        self.queue_depth.get_or_create(&[("group", Arc::from(group.as_str()))]).set(depth);
    }

    /// Removes the series of a group that the instance no longer coordinates.
    pub fn remove_group(&self, group: &name::Group) {
        self.queue_depth.remove(&[("group", Arc::from(group.as_str()))]);
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string is infallible.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}

impl SeriesNames {
    fn tenant_labels<'a>(
        &'a self,
        other: &'a Arc<str>,
    ) -> impl Iterator<Item = (Option<&'a name::Tenant>, &'a Arc<str>)> {
        let named = self.tenants.iter().map(|(name, label)| (Some(name), label));
        named.chain([(None, other)])
    }

    fn class_labels<'a>(
        &'a self,
        other: &'a Arc<str>,
    ) -> impl Iterator<Item = (Option<&'a name::Class>, &'a Arc<str>)> {
        let named = self.classes.iter().map(|(name, label)| (Some(name), label));
        named.chain([(None, other)])
    }
}

fn latency_labels(tenant: &Arc<str>, class: &Arc<str>) -> DynamicLabels<2> {
    [("tenant", Arc::clone(tenant)), ("class", Arc::clone(class))]
}
