//! Request metrics.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use caraway_core::outcome::Outcome;
use caraway_core::time::Stamp;

/// Upper bounds of the histogram buckets in seconds. The latency objective is 15 ms at the 99th
/// percentile.
const BUCKET_BOUNDS_SECONDS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.004, 0.008, 0.015, 0.03, 0.06, 0.125, 0.25, 0.5, 1.0, 4.0, 16.0];

/// Label of tenants that the document does not list.
const OTHER_TENANT: &str = "other";

/// How a request ended from the caller's point of view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The request ended with an outcome.
    Outcome(Outcome),
    /// The caller disconnected first.
    Cancelled,
    /// The response was cut off after its head was relayed.
    Truncated,
}

/// Measurement of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Tenant, or `other` if the document does not list it.
    pub tenant: Arc<str>,
    /// Call class, empty if no route matched.
    pub class: Arc<str>,
    /// How the request ended.
    pub end: End,
    /// Time from arrival to the end of the response.
    pub duration: Duration,
    /// Time in queues of groups that this instance coordinates.
    pub queue_wait: Duration,
    /// Number of times that this instance sent the request to a target or another instance.
    pub attempts: u32,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RequestLabels {
    tenant: Arc<str>,
    class: Arc<str>,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ClassLabels {
    tenant: Arc<str>,
    class: Arc<str>,
}

/// Metrics of the data path.
#[derive(Clone, Debug)]
pub struct Observer {
    requests: Family<RequestLabels, Counter>,
    attempts: Family<ClassLabels, Counter>,
    duration: Family<ClassLabels, Histogram>,
    queue_wait: Family<ClassLabels, Histogram>,
}

impl Default for Observer {
    fn default() -> Self {
        let histogram = || Histogram::new(BUCKET_BOUNDS_SECONDS);
        Self {
            requests: Family::default(),
            attempts: Family::default(),
            duration: Family::new_with_constructor(histogram),
            queue_wait: Family::new_with_constructor(histogram),
        }
    }
}

impl Observer {
    /// Makes an observer whose metrics are in no registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let requests = "Requests of callers by tenant, class, outcome and reason";
        registry.register("caraway_requests", requests, self.requests.clone());
        let attempts = "Requests sent to targets or other instances";
        registry.register("caraway_attempts", attempts, self.attempts.clone());
        let duration = "Time from arrival to the end of the answer";
        registry.register("caraway_request_seconds", duration, self.duration.clone());
        let wait = "Time in the queue of a group of this instance";
        registry.register("caraway_queue_seconds", wait, self.queue_wait.clone());
    }

    /// Adds a sample to the metrics.
    pub fn observe(&self, sample: Sample) {
        let class_labels = ClassLabels { tenant: sample.tenant, class: sample.class };
        let (outcome, reason) = labels(sample.end);
        let (tenant, class) = (class_labels.tenant.clone(), class_labels.class.clone());
        self.requests.get_or_create(&RequestLabels { tenant, class, outcome, reason }).inc();
        self.attempts.get_or_create(&class_labels).inc_by(u64::from(sample.attempts));
        self.queue_wait.get_or_create(&class_labels).observe(sample.queue_wait.as_secs_f64());
        self.duration.get_or_create(&class_labels).observe(sample.duration.as_secs_f64());
    }
}

/// Returns the metrics label of a tenant: its name if the document lists it, otherwise `other`.
pub fn tenant_label(name: &str, known: &HashSet<Arc<str>>) -> Arc<str> {
    known.get(name).cloned().unwrap_or_else(|| Arc::from(OTHER_TENANT))
}

fn labels(end: End) -> (&'static str, &'static str) {
    match end {
        End::Outcome(Outcome::Answered) => ("answered", ""),
        End::Outcome(Outcome::Refused(reason)) => ("refused", reason.as_str()),
        End::Outcome(Outcome::Unknown(reason)) => ("unknown", reason.as_str()),
        End::Cancelled => ("cancelled", ""),
        End::Truncated => ("truncated", ""),
    }
}

/// Measures one request and records a sample when it ends. A meter that is dropped records a
/// cancelled request.
#[derive(Debug)]
pub struct Meter {
    observer: Arc<Observer>,
    clock: caraway_core::time::Clock,
    arrived: Stamp,
    sample: Option<Sample>,
}

impl Meter {
    /// Starts the measurement of a request.
    pub fn new(observer: Arc<Observer>, clock: caraway_core::time::Clock, arrived: Stamp) -> Self {
        let sample = Sample {
            tenant: Arc::from(OTHER_TENANT),
            class: Arc::from(""),
            end: End::Cancelled,
            duration: Duration::ZERO,
            queue_wait: Duration::ZERO,
            attempts: 0,
        };
        Self { observer, clock, arrived, sample: Some(sample) }
    }

    /// Sets the labels of the request.
    pub fn label(&mut self, tenant: Arc<str>, class: Arc<str>) {
        if let Some(sample) = &mut self.sample {
            sample.tenant = tenant;
            sample.class = class;
        }
    }

    /// Adds time spent in a queue.
    pub fn add_queue_wait(&mut self, time: Duration) {
        if let Some(sample) = &mut self.sample {
            sample.queue_wait += time;
        }
    }

    /// Counts an attempt.
    pub fn count_attempt(&mut self) {
        if let Some(sample) = &mut self.sample {
            sample.attempts += 1;
        }
    }

    /// Ends the measurement and records the sample.
    pub fn end(mut self, end: End) {
        self.record(end);
    }

    fn record(&mut self, end: End) {
        if let Some(sample) = self.sample.take() {
            let duration = self.clock.now().since(self.arrived);
            self.observer.observe(Sample { end, duration, ..sample });
        }
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.record(End::Cancelled);
    }
}
