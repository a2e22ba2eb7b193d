//! Tests of the metrics.

use std::time::Duration;

use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_telemetry::metric::Call;
use caraway_telemetry::metric::CallResult;
use caraway_telemetry::metric::Cause;
use caraway_telemetry::metric::MAX_LATENCY_SERIES;
use caraway_telemetry::metric::Message;
use caraway_telemetry::metric::Metrics;
use caraway_telemetry::metric::Takeover;

fn tenants(count: usize) -> Vec<name::Tenant> {
    (0..count).map(|n| name::Tenant::new(&format!("t{n}"))).collect()
}

fn classes(count: usize) -> Vec<name::Class> {
    (0..count).map(|n| name::Class::new(&format!("c{n}"))).collect()
}

fn latency_series(metrics: &Metrics) -> usize {
    let text = metrics.render();
    text.lines().filter(|line| line.starts_with("caraway_request_latency_seconds_count")).count()
}

/// Guards against a renamed or unregistered metric, which would leave dashboards empty.
#[test]
fn every_metric_is_rendered_under_its_name() {
    let metrics = Metrics::new();
    metrics.set_names(&tenants(1), &classes(1));
    metrics.record_ownership_changes(Cause::TargetGone, 3);
    metrics.record_unavailability(Duration::from_millis(120));
    metrics.set_imbalance(&name::Service::new("lectura"), 1.25);
    metrics.set_groups_held(4);
    metrics.record_takeover(Takeover::Reserved);
    metrics.record_control_message(Message::Heartbeat, 700);
    metrics.record_store_call(Call::Put, CallResult::Conflict);
    metrics.set_config_version(42);
    metrics.record_latency(&tenants(1)[0], &classes(1)[0], Duration::from_millis(3));
    metrics.record_refusal(Reason::Overloaded);
    metrics.record_retry();
    metrics.set_queue_depth(&name::Group::new("lectura/med/0"), 9);
    let text = metrics.render();
    for line in [
        "caraway_ownership_changes_total{cause=\"target-gone\"} 3",
        "caraway_unavailable_seconds_bucket{le=\"0.2\"} 1",
        "caraway_imbalance{service=\"lectura\"} 1.25",
        "caraway_groups_held 4",
        "caraway_takeovers_total{how=\"reserved\"} 1",
        "caraway_control_messages_total{kind=\"heartbeat\"} 1",
        "caraway_control_sent_bytes_total{kind=\"heartbeat\"} 700",
        "caraway_store_calls_total{kind=\"put\",result=\"conflict\"} 1",
        "caraway_config_version 42",
        "caraway_request_latency_seconds_bucket{le=\"0.004\",tenant=\"t0\",class=\"c0\"} 1",
        "caraway_refusals_total{reason=\"overloaded\"} 1",
        "caraway_retries_total 1",
        "caraway_queue_depth{group=\"lectura/med/0\"} 9",
    ] {
        assert!(text.lines().any(|rendered| rendered == line), "{line} is missing from\n{text}");
    }
}

/// Guards against unbounded memory when a caller sends invented tenant names.
#[test]
fn unknown_tenants_share_one_series() {
    let metrics = Metrics::new();
    metrics.set_names(&tenants(2), &classes(2));
    for tenant in tenants(1000) {
        metrics.record_latency(&tenant, &classes(1)[0], Duration::ZERO);
    }
    assert_eq!(latency_series(&metrics), 3);
}

/// Guards against a document whose tenants and classes exceed the series limit.
#[yare::parameterized(
    many_tenants = { 1000, 8 },
    many_classes = { 4, 1000 },
    both = { 64, 32 },
    no_classes = { 1000, 0 },
)]
fn the_number_of_series_is_bounded(tenant_count: usize, class_count: usize) {
    let metrics = Metrics::new();
    metrics.set_names(&tenants(tenant_count), &classes(class_count));
    for tenant in tenants(tenant_count + 1) {
        for class in classes(class_count + 1) {
            metrics.record_latency(&tenant, &class, Duration::ZERO);
        }
    }
    assert!(latency_series(&metrics) <= MAX_LATENCY_SERIES, "{}", latency_series(&metrics));
}

/// Guards against series that accumulate over successive versions of the document.
#[test]
fn names_removed_from_the_document_lose_their_series() {
    let metrics = Metrics::new();
    metrics.set_names(&tenants(3), &classes(2));
    for tenant in tenants(4) {
        for class in classes(3) {
            metrics.record_latency(&tenant, &class, Duration::ZERO);
        }
    }
    assert_eq!(latency_series(&metrics), 12);
    metrics.set_names(&tenants(1), &classes(2));
    assert_eq!(latency_series(&metrics), 6);
    metrics.set_names(&tenants(1), &classes(1));
    assert_eq!(latency_series(&metrics), 4);
}
