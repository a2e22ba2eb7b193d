//! The command `status`.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

use crate::admin;
use crate::admin::Reply;
use crate::admin::Status;
use crate::command::Output;
use crate::errors::Result;
use crate::table;

/// Shows the state of entry instances.
///
/// # Errors
///
/// No instance sent a usable response.
pub fn run(addresses: &[String]) -> Result<Output> {
    let replies = admin::query_all::<Status>(addresses, "/status");
    admin::require_response(&replies, "status")?;
    Ok(report(&replies))
}

fn report(replies: &[Reply<Status>]) -> Output {
    let header =
        ["INSTANCE", "DOMAIN", "VERSION", "STATE", "GROUPS", "STORE", "DEGRADED", "ADDRESS"];
    let text = [
        table::render(&header, replies.iter().map(status_row).collect()),
        render_version_mismatch(replies),
        render_degradations(replies),
        render_problems(replies),
    ];
    let json = json!({ "instances": replies.iter().map(Reply::json).collect::<Vec<Value>>() });
    let succeeded = replies.iter().all(|reply| reply.body().is_some());
    Output { text: text.concat(), json, succeeded }
}

fn status_row(reply: &Reply<Status>) -> Vec<String> {
    let address = reply.address.clone();
    let Some(status) = reply.body() else {
        let mut row = vec!["?".to_owned(); 7];
        if let Some(state) = row.get_mut(3) {
            *state = "no answer".into();
        }
        row.push(address);
        return row;
    };
    vec![
        status.instance.clone(),
        status.failure_domain.clone(),
        status.config_version.to_string(),
        instance_state(status).into(),
        status.groups.len().to_string(),
        store_state(status),
        status.degraded.len().to_string(),
        address,
    ]
}

fn instance_state(status: &Status) -> &'static str {
    match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

/// Returns the connectivity to the store with the time since the last successful call.
fn store_state(status: &Status) -> String {
    match (status.store.reachable, status.store.last_ok_ms) {
        (true, Some(millis)) => format!("ok {} ago", table::format_age(millis)),
        (true, None) => "ok".into(),
        (false, Some(millis)) => format!("down, last ok {} ago", table::format_age(millis)),
        (false, None) => "down, never ok".into(),
    }
}

/// Reports configuration versions if they differ between instances.
fn render_version_mismatch(replies: &[Reply<Status>]) -> String {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for status in replies.iter().filter_map(Reply::body) {
        *counts.entry(status.config_version).or_default() += 1;
    }
    if counts.len() < 2 {
        return String::new();
    }
    let counts: Vec<_> =
        counts.iter().map(|(version, count)| format!("{version} at {count}")).collect();
    format!("\nconfiguration versions differ: {}\n", counts.join(", "))
}

/// Lists the degraded functions of all instances.
fn render_degradations(replies: &[Reply<Status>]) -> String {
    let rows: Vec<_> = replies
        .iter()
        .filter_map(Reply::body)
        .flat_map(|status| {
            status.degraded.iter().map(|degradation| {
                vec![
                    status.instance.clone(),
                    degradation.what.clone(),
                    table::format_age(degradation.since_ms),
                    degradation.waiting_for.clone(),
                ]
            })
        })
        .collect();
    if rows.is_empty() {
        return String::new();
    }
    format!("\n{}", table::render(&["INSTANCE", "DEGRADED", "SINCE", "WAITING FOR"], rows))
}

/// Lists the addresses without a usable response.
fn render_problems(replies: &[Reply<Status>]) -> String {
    let problems = admin::problems(replies);
    if problems.is_empty() { problems } else { format!("\nno answer:\n{problems}") }
}
