//! Store, configuration and heartbeats of a small deployment.

use std::io;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use caraway_production::store::Store;

/// Interval of the heartbeats, as in the settings of the instances.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
}

/// Returns a configuration. The services in `keyed` are divided by key.
pub fn configuration(routes: &[Route], services: &[&str], keyed: &[&str]) -> Value {
    let service = |name: &&str| {
        let mut service = json!({
            "name": name, "health_path": "/healthz", "max_connections": 232, "protocol": "h1", "tls": false,
        });
        if keyed.contains(name) {
            service["sharded"] = json!(true);
            service["warm_s"] = json!(3.0);
            service["grants"] = json!("api_call");
        }
        service
    };
    let path = |route: &Route| {
        json!({
            "name": route.name, "prefix": route.prefix, "route_type": route.kind,
            "timeout_ms": route.timeout_ms, "target_latency_ms": route.objective_ms, "priority": 1,
            "service": route.service, "max_attempts": 2,
        })
    };
    json!({
        "version": 7,
        "services": services.iter().map(service).collect::<Vec<_>>(),
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 67_108_864, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "virtual_hosts": [
            { "hostname": "here.example", "paths": routes.iter().map(path).collect::<Vec<_>>() },
        ],
    })
}

/// Starts a store that contains a configuration.
pub fn store(configuration: &Value) -> io::Result<Store> {
    let store = Store::start()?;
    store.put("op/config", configuration);
    Ok(store)
}

/// Writes entries at each heartbeat until the process exits. `entries` gets the number of the heartbeat.
pub fn start_heartbeats(
    store: &Store,
    entries: impl Fn(u64) -> Vec<(String, Value)> + Send + 'static,
) {
    let store = store.clone();
    let beat = move |sequence| {
        for (key, entry) in entries(sequence) {
            store.put(&key, &entry);
        }
    };
    beat(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(HEARTBEAT);
            beat(sequence);
        }
    });
}
