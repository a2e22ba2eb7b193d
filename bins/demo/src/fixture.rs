//! Small documents for tests and measurements, and the assignment of target addresses.

use serde_json::json;

use crate::errors::Error;
use crate::errors::Result;
use crate::port::Range;
use caraway_document::schema::Document;

/// Size of a small environment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of targets of each service in each failure domain.
    pub targets: usize,
    /// Number of shards of the keyed service.
    pub shards: u32,
    /// Patience of repeatable requests in milliseconds.
    pub patience_ms: u64,
}

impl Default for Size {
    fn default() -> Self {
        Self { domains: 2, targets: 2, shards: 32, patience_ms: 1000 }
    }
}

/// Builds a document with a keyed service `libro`, a pooled service `orden` and a pooled service `caja`
/// whose targets do not check tokens.
pub fn document(size: &Size) -> Result<Document> {
    let domains: Vec<String> = (1..=size.domains).map(|n| format!("d{n}")).collect();
    // Placeholder addresses. The ports of the services differ, because addresses must be unique.
    let targets = |service: &str, first: usize| -> Vec<_> {
        let pairs = domains.iter().flat_map(|domain| (1..=size.targets).map(move |n| (domain, n)));
        pairs
            .enumerate()
            .map(|(index, (domain, n))| {
                let port = 21_000 + first + index;
                json!({ "name": format!("{service}-{domain}-{n}"), "failure_domain": domain,
                    "address": format!("127.0.0.1:{port}") })
            })
            .collect()
    };
    let service = |name: &str, first: usize, division: &str, fencing: &str, shards: u32| {
        json!({ "name": name, "division": division, "shards": shards, "fencing": fencing,
            "slots": 4, "connections": 64, "queue": 64, "warmup_ms": 300, "targets": targets(name, first) })
    };
    let class = |name: &str, patience_ms: u64, repeatable: bool, attempts: u32| {
        json!({ "name": name, "patience_ms": patience_ms, "repeatable": repeatable,
            "urgency": "normal", "attempts": attempts })
    };
    let route = |method: &str, prefix: &str, service: &str, class: &str| json!({ "method": method, "prefix": prefix, "service": service, "class": class });
    let value = json!({
        "format": 1, "environment": "test", "failure_domains": domains, "tenants": ["uno", "dos"],
        "classes": [
            class("reading", size.patience_ms, true, 3),
            class("order", 3000, false, 1),
            class("download", 20_000, true, 2),
        ],
        "services": [
            service("libro", 0, "keyed", "checked", size.shards),
            service("orden", 100, "pooled", "checked", 16),
            service("caja", 200, "pooled", "unchecked", 16),
        ],
        "routes": [
            route("GET", "/libro/", "libro", "reading"),
            route("PUT", "/libro/", "libro", "order"),
            route("POST", "/orden/", "orden", "order"),
            route("GET", "/caja/", "caja", "download"),
        ],
        "limits": { "buffered_body_bytes": 65536, "body_bytes": 134_217_728, "header_bytes": 16384,
            "idle_ms": 30000 },
    });
    parse(&value.to_string())
}

/// Parses and checks a document.
pub fn parse(text: &str) -> Result<Document> {
    caraway_document::check::parse(text).map_err(|error| Error::Document(error.to_string()))
}

/// Assigns an address of a port range to every target, starting at index `first`. Returns the next free
/// index.
pub fn assign_addresses(document: &mut Document, range: &Range, first: u16) -> u16 {
    let mut index = first;
    for target in document.services.iter_mut().flat_map(|service| &mut service.targets) {
        target.address = range.address(index);
        index += 1;
    }
    index
}
