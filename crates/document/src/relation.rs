//! Checks of the relations between fields of a document: unique names, references and limits that
//! depend on other fields.
//!
//! The checks read the JSON value and skip values of an invalid shape, so that a single run reports
//! findings about shapes and about relations.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use serde_json::Value;

use caraway_core::finding::Report;

use crate::index::MAX_GROUP_TARGETS;
use crate::placement;
use crate::schema::DEFAULT_POOLED_SHARDS;

/// Runs all checks of relations.
pub fn check(document: &Value, report: &mut Report) {
    check_unique_texts(document, "failure_domains", report);
    check_unique_texts(document, "tenants", report);
    check_unique_names(document, "classes", report);
    check_unique_names(document, "services", report);
    check_targets(document, report);
    for (index, class) in list(document, "classes") {
        check_attempts(class, &format!("/classes/{index}"), report);
    }
    for (index, service) in list(document, "services") {
        let place = format!("/services/{index}");
        check_capacities(service, &place, report);
        placement::check(service, &format!("{place}/placement"), report);
    }
    check_routes(document, report);
    check_body_limits(document, report);
}

pub(crate) fn list<'a>(value: &'a Value, name: &str) -> impl Iterator<Item = (usize, &'a Value)> {
    value.get(name).and_then(Value::as_array).into_iter().flatten().enumerate()
}

pub(crate) fn text<'a>(value: &'a Value, name: &str) -> Option<&'a str> {
    value.get(name).and_then(Value::as_str)
}

pub(crate) fn number(value: &Value, name: &str) -> Option<u64> {
    value.get(name).and_then(Value::as_u64)
}

/// First place of each value, to find duplicates.
pub(crate) struct Uniqueness(HashMap<String, String>);

impl Uniqueness {
    pub(crate) fn new() -> Self {
        Self(HashMap::new())
    }

    /// Reports the value if it was added before.
    pub(crate) fn add(&mut self, value: &str, place: &str, report: &mut Report) {
        match self.0.get(value) {
            Some(first) => {
                report.add(place, &format!("{value:?} is also at {first}"), "a unique value");
            }
            None => {
                self.0.insert(value.to_owned(), place.to_owned());
            }
        }
    }
}

fn check_unique_texts(document: &Value, name: &str, report: &mut Report) {
    let mut seen = Uniqueness::new();
    for (index, value) in list(document, name) {
        if let Some(value) = value.as_str() {
            seen.add(value, &format!("/{name}/{index}"), report);
        }
    }
}

fn check_unique_names(document: &Value, name: &str, report: &mut Report) {
    let mut seen = Uniqueness::new();
    for (index, value) in list(document, name) {
        if let Some(value) = text(value, "name") {
            seen.add(value, &format!("/{name}/{index}/name"), report);
        }
    }
}

fn check_targets(document: &Value, report: &mut Report) {
    let domains: HashSet<&str> =
        list(document, "failure_domains").filter_map(|(_, domain)| domain.as_str()).collect();
    let mut names = Uniqueness::new();
    let mut addresses = Uniqueness::new();
    for (service_index, service) in list(document, "services") {
        for (index, target) in list(service, "targets") {
            let place = format!("/services/{service_index}/targets/{index}");
            if let Some(name) = text(target, "name") {
                names.add(name, &format!("{place}/name"), report);
            }
            // Parses the address, so that different spellings of the same address are duplicates.
            if let Some(address) = text(target, "address").and_then(|text| text.parse().ok()) {
                let address: SocketAddr = address;
                addresses.add(&address.to_string(), &format!("{place}/address"), report);
            }
            check_reference(target, "failure_domain", &domains, &place, report);
        }
    }
}

fn check_reference(
    value: &Value,
    name: &str,
    known: &HashSet<&str>,
    place: &str,
    report: &mut Report,
) {
    let Some(found) = text(value, name) else { return };
    if !known.contains(found) {
        let mut allowed: Vec<_> = known.iter().copied().collect();
        allowed.sort_unstable();
        let allowed =
            if allowed.is_empty() { "none is defined".into() } else { allowed.join(", ") };
        report.add(&format!("{place}/{name}"), &format!("unknown {name} {found:?}"), &allowed);
    }
}

/// Reports retries of a class that is not repeatable: its requests must run at most once.
fn check_attempts(class: &Value, place: &str, report: &mut Report) {
    let repeatable = class.get("repeatable").and_then(Value::as_bool);
    let attempts = number(class, "attempts");
    if let (Some(false), Some(attempts @ 2..)) = (repeatable, attempts) {
        let problem = format!("{attempts} attempts of a class that is not repeatable");
        report.add(&format!("{place}/attempts"), &problem, "1");
    }
}

fn check_capacities(service: &Value, place: &str, report: &mut Report) {
    if let (Some(slots), Some(connections)) =
        (number(service, "slots"), number(service, "connections"))
        && slots > connections
    {
        let problem = format!("{connections} connections for {slots} slots");
        report.add(&format!("{place}/connections"), &problem, "at least as many as slots");
    }
    let keyed = text(service, "division") == Some("keyed");
    let explicit = service.get("shards");
    if keyed && explicit.is_none() {
        report.add(place, "no field shards", "a number of shards for a keyed service");
        return;
    }
    let Some(shards) = shards(service) else { return };
    let (needed, unit) =
        if keyed { (target_count(service), "target") } else { group_count(service) };
    if shards < needed {
        let place = if explicit.is_some() { format!("{place}/shards") } else { place.to_owned() };
        let problem = format!("{shards} shards for {needed} {unit}s");
        report.add(&place, &problem, &format!("at least one shard for each {unit}"));
    }
}

/// Returns the explicit or default number of shards, or `None` if the explicit one is invalid.
pub(crate) fn shards(service: &Value) -> Option<u64> {
    match service.get("shards") {
        None => Some(u64::from(DEFAULT_POOLED_SHARDS)),
        Some(explicit) => explicit.as_u64(),
    }
}

fn target_count(service: &Value) -> u64 {
    u64::try_from(list(service, "targets").count()).unwrap_or(u64::MAX)
}

/// Returns the number of groups of a service in each failure domain.
pub(crate) fn group_counts(service: &Value) -> HashMap<&str, usize> {
    let mut sizes: HashMap<&str, usize> = HashMap::new();
    for (_, target) in list(service, "targets") {
        if let Some(domain) = text(target, "failure_domain") {
            *sizes.entry(domain).or_default() += 1;
        }
    }
    sizes.into_iter().map(|(domain, size)| (domain, size.div_ceil(MAX_GROUP_TARGETS))).collect()
}

/// Returns the total number of groups of a service, and the unit for messages.
fn group_count(service: &Value) -> (u64, &'static str) {
    let groups: usize = group_counts(service).values().sum();
    (u64::try_from(groups).unwrap_or(u64::MAX), "group")
}

fn check_routes(document: &Value, report: &mut Report) {
    let names = |list_name| -> HashSet<&str> {
        list(document, list_name).filter_map(|(_, value)| text(value, "name")).collect()
    };
    let services = names("services");
    let classes = names("classes");
    let mut seen = Uniqueness::new();
    for (index, route) in list(document, "routes") {
        let place = format!("/routes/{index}");
        check_reference(route, "service", &services, &place, report);
        check_reference(route, "class", &classes, &place, report);
        if let (Some(method), Some(prefix)) = (text(route, "method"), text(route, "prefix")) {
            seen.add(&format!("{method} {prefix}"), &place, report);
        }
    }
}

fn check_body_limits(document: &Value, report: &mut Report) {
    let Some(limits) = document.get("limits") else { return };
    if let (Some(buffered), Some(max)) =
        (number(limits, "buffered_body_bytes"), number(limits, "body_bytes"))
        && buffered > max
    {
        let problem = format!("{buffered} is more than body_bytes, {max}");
        report.add("/limits/buffered_body_bytes", &problem, "at most body_bytes");
    }
}
