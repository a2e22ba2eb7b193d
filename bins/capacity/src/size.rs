//! Environment sizes and the documents generated for them.

use serde::Serialize;
use serde_json::json;

use caraway_document::schema::Document;

use crate::errors::Error;
use crate::errors::Result;

/// Length of the number in the prefix of a padding route.
const PADDING_BYTES: usize = 200;

/// Size of an environment and of its load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of entry instances in each failure domain.
    pub instances: usize,
    /// Number of keyed services.
    pub services: usize,
    /// Number of targets of each service in each failure domain.
    pub targets: usize,
    /// Number of shards of each service.
    pub shards: u32,
    /// Number of padding routes, which only increase the length of the document.
    pub padding: usize,
    /// Number of idle caller connections.
    pub idle: usize,
    /// Repeatable requests per second under load.
    pub rate: f64,
    /// Orders per second under load.
    pub orders: f64,
    /// Promotions of the document per second under load.
    pub changes: u32,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            domains: 1,
            instances: 2,
            services: 1,
            targets: 4,
            shards: 256,
            padding: 0,
            idle: 0,
            rate: 300.0,
            orders: 0.0,
            changes: 0,
        }
    }
}

impl Size {
    /// Returns the number of processes of the environment: the platform, the entry instances and the targets.
    pub fn processes(&self) -> usize {
        1 + self.domains * (self.instances + self.services * self.targets)
    }

    /// Generates the document. The environment replaces the addresses of the targets when it starts.
    pub fn document(&self) -> Result<Document> {
        let domains: Vec<String> = (1..=self.domains).map(|n| format!("d{n}")).collect();
        let mut number = 0;
        let mut services = Vec::new();
        let mut routes = Vec::new();
        for service in 1..=self.services {
            let mut targets = Vec::new();
            for domain in &domains {
                for n in 1..=self.targets {
                    number += 1;
                    targets.push(json!({ "name": format!("s{service}-{domain}-{n}"),
                        "failure_domain": domain, "address": address(number) }));
                }
            }
            services.push(json!({ "name": format!("s{service}"), "division": "keyed",
                "shards": self.shards, "fencing": "checked", "slots": 4, "connections": 64,
                "queue": 64, "warmup_ms": 0, "targets": targets }));
            for (method, class) in [("GET", "reading"), ("PUT", "order")] {
                routes.push(json!({ "method": method, "prefix": format!("/s{service}/"),
                    "service": format!("s{service}"), "class": class }));
            }
        }
        for n in 0..self.padding {
            let prefix = format!("/padding/{n:0>PADDING_BYTES$}/");
            routes.push(json!({ "method": "DELETE", "prefix": prefix, "service": "s1",
                "class": "reading" }));
        }
        let class = |name: &str, repeatable: bool, attempts: u32| {
            json!({ "name": name, "patience_ms": 3000, "repeatable": repeatable,
                "urgency": "normal", "attempts": attempts })
        };
        let document = json!({
            "format": 1, "environment": "capacity", "failure_domains": domains, "tenants": [],
            "classes": [class("reading", true, 2), class("order", false, 1)],
            "services": services, "routes": routes,
            "limits": { "buffered_body_bytes": 65536, "body_bytes": 1_048_576,
                "header_bytes": 16384, "idle_ms": 600_000 },
        });
        caraway_document::check::parse(&document.to_string())
            .map_err(|error| Error::Document(error.to_string()))
    }
}

/// Returns a unique loopback address for a target number.
fn address(number: usize) -> String {
    format!("127.{}.{}.{}:8000", number / 62_500 + 1, number / 250 % 250, number % 250 + 1)
}
