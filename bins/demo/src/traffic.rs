//! Load profiles derived from the routes of a document.

use std::net::SocketAddr;

use crate::environment::Environment;
use caraway_document::schema::Class;
use caraway_document::schema::Document;
use caraway_document::schema::Route;
use caraway_load::profile::Arrival;
use caraway_load::profile::Distribution;
use caraway_load::profile::Kind;
use caraway_load::profile::Profile;

/// Margin in milliseconds between the longest patience and the timeout of a caller.
const CALLER_TIMEOUT_MARGIN_MS: u64 = 2000;
/// Body size of PUT and POST requests in bytes.
const UPLOAD_BODY_BYTES: u64 = 300;

/// Options of the load.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the run, used as the prefix of its request IDs.
    pub run: String,
    /// Seed for the selection of request kinds and keys.
    pub seed: u64,
    /// Maximum duration in seconds.
    pub seconds: f64,
    /// Arrival process of requests.
    pub arrival: Arrival,
    /// Number of keys of each route.
    pub keys: u32,
    /// Service time in milliseconds that requests specify; the default of the targets if absent.
    pub service_ms: Option<u64>,
    /// Size of response bodies in bytes.
    pub answer_bytes: u64,
    /// Names of the entry instances to which callers open no connections.
    pub excluded_entries: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            run: "demo".to_owned(),
            seed: 1,
            seconds: 20.0,
            arrival: Arrival::Open { rate: 400.0, connections: 128, poisson: true },
            keys: 64,
            service_ms: None,
            answer_bytes: 600,
            excluded_entries: Vec::new(),
        }
    }
}

/// Returns a profile for an environment with one request kind per route.
pub fn profile(environment: &Environment, options: &Options) -> Profile {
    let excluded: Vec<&str> = options.excluded_entries.iter().map(String::as_str).collect();
    let entries = environment.entry_addresses(&excluded);
    let mut profile = for_document(environment.document(), entries, options);
    profile.targets = environment.journal_targets();
    profile
}

/// Returns a profile for a document with one request kind per route, without targets for the comparison
/// of journals.
pub fn for_document(document: &Document, entries: Vec<SocketAddr>, options: &Options) -> Profile {
    let class = |route: &Route| document.classes.iter().find(|class| class.name == route.class);
    let pairs = document.routes.iter().filter_map(|route| Some((route, class(route)?)));
    let kinds: Vec<Kind> = pairs
        .enumerate()
        .map(|(index, (route, class))| request_kind(document, index, route, class, options))
        .collect();
    let patience = |kind: &Kind| kind.patience_ms.unwrap_or(0);
    Profile {
        entries,
        run: options.run.clone(),
        seed: options.seed,
        timeout_ms: kinds.iter().map(patience).max().unwrap_or(0) + CALLER_TIMEOUT_MARGIN_MS,
        kinds,
        arrival: options.arrival.clone(),
        seconds: options.seconds,
        requests: 1_000_000,
        resends: 3,
        direct: false,
        targets: Vec::new(),
        threads: 2,
    }
}

fn request_kind(
    document: &Document,
    index: usize,
    route: &Route,
    class: &Class,
    options: &Options,
) -> Kind {
    let upload = matches!(route.method.as_str(), "PUT" | "POST");
    let tenant = document.tenants.get(index % document.tenants.len().max(1));
    Kind {
        name: format!("{} {}", route.method, route.prefix),
        method: route.method.clone(),
        path: format!("{}{{key}}", route.prefix),
        keys: options.keys,
        distribution: Distribution::Zipf { exponent: 0.6 },
        tenant: tenant.map(ToString::to_string),
        body_bytes: if upload { UPLOAD_BODY_BYTES } else { 0 },
        idempotency_key: !class.repeatable,
        answer_bytes: Some(options.answer_bytes),
        service_ms: options.service_ms,
        // Limits the patience, so that a run ends soon after its last request.
        patience_ms: Some(class.patience_ms.min(5000)),
        headers: Vec::new(),
        weight: if class.repeatable { 3 } else { 2 },
    }
}
