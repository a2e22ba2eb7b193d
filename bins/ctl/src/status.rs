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
/// No instance answered.
pub fn run(addresses: &[String]) -> Result<Output> {
    let replies = admin::ask::<Status>(addresses, "/status");
    admin::require_answer(&replies, "status")?;
    Ok(report(&replies))
}

fn report(replies: &[Reply<Status>]) -> Output {
    let header =
        ["INSTANCE", "DOMAIN", "VERSION", "STATE", "GROUPS", "STORE", "DEGRADED", "ADDRESS"];
    let text = [
        table::render(&header, replies.iter().map(row).collect()),
        versions(replies),
        degradations(replies),
        unanswered(replies),
    ];
    let json = json!({ "instances": replies.iter().map(Reply::json).collect::<Vec<Value>>() });
    let complete = replies.iter().all(|reply| reply.answer().is_some());
    Output { text: text.concat(), json, complete }
}

fn row(reply: &Reply<Status>) -> Vec<String> {
    let address = reply.address.clone();
    let Some(status) = reply.answer() else {
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
        state(status).into(),
        status.groups.len().to_string(),
        store(status),
        status.degraded.len().to_string(),
        address,
    ]
}

fn state(status: &Status) -> &'static str {
    match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

/// Returns the age of the instance's knowledge about the store.
fn store(status: &Status) -> String {
    match (status.store.reachable, status.store.last_ok_ms) {
        (true, Some(millis)) => format!("ok {} ago", table::age(millis)),
        (true, None) => "ok".into(),
        (false, Some(millis)) => format!("down, last ok {} ago", table::age(millis)),
        (false, None) => "down, never ok".into(),
    }
}

/// Reports instances with different configuration versions.
fn versions(replies: &[Reply<Status>]) -> String {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for status in replies.iter().filter_map(Reply::answer) {
        *counts.entry(status.config_version).or_default() += 1;
    }
    if counts.len() < 2 {
        return String::new();
    }
    let counts: Vec<_> =
        counts.iter().map(|(version, count)| format!("{version} at {count}")).collect();
    format!("\nconfiguration versions differ: {}\n", counts.join(", "))
}

/// Lists what is degraded, with its age, and the groups that are not served.
fn degradations(replies: &[Reply<Status>]) -> String {
    let rows: Vec<_> = replies
        .iter()
        .filter_map(Reply::answer)
        .flat_map(|status| {
            status.degraded.iter().map(|degradation| {
                vec![
                    status.instance.clone(),
                    degradation.what.clone(),
                    table::age(degradation.since_ms),
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

/// Lists the addresses without an answer.
fn unanswered(replies: &[Reply<Status>]) -> String {
    let problems = admin::problems(replies);
    if problems.is_empty() { problems } else { format!("\nno answer:\n{problems}") }
}
