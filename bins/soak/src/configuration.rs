//! The configuration of a run, and the versions of it that instances apply.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::check::Version;
use caraway_production::caller::Caller;
use caraway_production::instance::Instance;

/// Time in which a cold target is cold.
pub const COLD_TIME: Duration = Duration::from_secs(3);

/// Requests per second that a cold target tolerates.
pub const COLD_RATE: f64 = 4.0;

/// Returns a configuration with a keyed service and one without keys. If it is `extended`, it limits
/// the requests to their cold targets.
pub fn configuration(version: u64, extended: bool) -> Value {
    let (warmup_time, warmup_rate) =
        if extended { (COLD_TIME.as_secs_f64(), COLD_RATE) } else { (0.0, 0.0) };
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "prefix": format!("/{name}/"), "route_type": kind, "timeout_ms": 2000,
            "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2,
        })
    };
    json!({
        "version": version,
        "services": [
            {
                "name": "keyed", "health_path": "/healthz", "max_connections": 200, "sharded": true, "warm_s": 1.0,
                "warmup_s": warmup_time, "warmup_per_s": warmup_rate,
            },
            {
                "name": "pooled", "health_path": "/healthz", "max_connections": 200,
                "warmup_s": warmup_time, "warmup_per_s": warmup_rate,
            },
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 1000, "idle_timeout_ms": 3000,
        },
        "virtual_hosts": [{ "hostname": "shop.example", "paths": [
            route("read", "idempotent", "pooled"),
            route("order", "non_idempotent", "pooled"),
            route("key", "idempotent", "keyed"),
        ]}],
    })
}

/// Returns the configuration versions that the processes of an instance applied, from its log.
pub fn applied_versions(instance: usize, log: &str) -> Vec<Version> {
    let mut process = 0;
    let mut versions = Vec::new();
    for line in log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
        match line.get("name").and_then(Value::as_str) {
            Some("edge-started") => process += 1,
            Some("configuration-applied") => {
                let version = line.get("version").and_then(Value::as_u64).unwrap_or(0);
                versions.push(Version { instance, process, version });
            }
            _ => {}
        }
    }
    versions
}

/// Returns the configuration version in an instance's metrics, or `None` if they cannot be read.
pub fn reported_version(instance: &Instance) -> Option<u64> {
    let mut caller = Caller::open(instance.metrics_address).ok()?;
    let response = caller.call("GET", "/metrics", "metrics", &[]).ok()?;
    let mut lines = response.body.lines();
    let value = lines.find_map(|line| line.strip_prefix("caraway_config_version "))?;
    value.trim().parse().ok()
}
