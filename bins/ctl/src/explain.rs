//! The commands `explain key`, `explain request` and `explain fleet`.

use std::collections::BTreeMap;
use std::collections::HashSet;

use serde_json::Value;
use serde_json::json;

use crate::admin;
use crate::admin::Directory;
use crate::admin::Key;
use crate::admin::Problem;
use crate::admin::Reply;
use crate::admin::Request;
use crate::admin::Row;
use crate::command::Output;
use crate::errors::Result;
use crate::http;
use crate::table;

/// Maximum number of coordinators that are queried in sequence. After a takeover, each may refer to another
/// one.
const MAX_COORDINATOR_REFERRALS: usize = 4;

/// Explains who owns a key.
///
/// # Errors
///
/// No instance sent a usable response.
pub fn key(addresses: &[String], service: &str, key: &str) -> Result<Output> {
    let path = format!("/explain/key/{}/{}", http::segment(service), http::segment(key));
    let mut replies = admin::query_all::<Key>(addresses, &path);
    admin::require_response(&replies, &format!("explain key {service}/{key}"))?;
    follow_referrals(&mut replies, &path);
    let answer = latest_answer(&replies);
    let text = match answer {
        Some((reply, key)) => render_ownership(reply, service, key),
        None => "no instance currently knows the coordinator of the key\n".to_owned(),
    };
    let owned = answer.is_some_and(|(_, key)| key.owner.is_some());
    let text = format!("{text}{}{}", render_disagreement(&replies), render_problems(&replies));
    let json = json!({
        "answer": answer.and_then(|(reply, _)| reply.result.as_ref().ok()).map(|(raw, _)| raw),
        "replies": replies.iter().map(Reply::json).collect::<Vec<Value>>(),
    });
    Ok(Output { text, json, succeeded: owned })
}

/// Queries the coordinators that the replies refer to, until one responds with an owner.
fn follow_referrals(replies: &mut Vec<Reply<Key>>, path: &str) {
    let mut queried: HashSet<String> =
        replies.iter().map(|reply| http::base(&reply.address)).collect();
    for _ in 0..MAX_COORDINATOR_REFERRALS {
        let keys = replies.iter().filter_map(Reply::body);
        let next = keys
            .filter(|key| key.owner.is_none())
            .max_by_key(|key| key.term)
            .and_then(|key| key.coordinator_address.clone());
        let Some(address) = next.filter(|address| queried.insert(http::base(address))) else {
            return;
        };
        let result = admin::query(&address, path);
        replies.push(Reply { address, result });
    }
}

/// Returns the answer with the highest term; among equal terms, one with an owner is preferred.
fn latest_answer(replies: &[Reply<Key>]) -> Option<(&Reply<Key>, &Key)> {
    replies
        .iter()
        .filter_map(|reply| reply.body().map(|key| (reply, key)))
        .max_by_key(|(_, key)| (key.term, key.owner.is_some()))
}

fn render_ownership(reply: &Reply<Key>, service: &str, key: &Key) -> String {
    let age = |millis: Option<u64>| millis.map_or("unknown".to_owned(), table::format_age);
    let text = |text: &Option<String>| text.clone().unwrap_or_else(|| "unknown".into());
    let coordinator = match key.term {
        Some(term) => format!("{} with term {term}", text(&key.coordinator)),
        None => text(&key.coordinator),
    };
    let owner = match &key.owner {
        Some(owner) => owner.clone(),
        None => "none known; the coordinator did not answer or the key has no owner".into(),
    };
    let facts = [
        ("owner", owner),
        ("token", text(&key.token)),
        ("owned for", age(key.since_ms)),
        ("decided by", text(&key.decided_by)),
        ("reason", text(&key.reason)),
        ("group", format!("{}, shard {} of {service}", key.group, key.shard)),
        ("coordinator", coordinator),
        ("answered by", reply.address.clone()),
        ("age of facts", age(key.age_ms)),
    ];
    let width = facts.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    let facts: String = facts
        .iter()
        .map(|(name, value)| format!("{name:width$}  {}\n", table::escape_control(value)))
        .collect();
    let changes: Vec<_> = key
        .changes
        .iter()
        .map(|change| {
            let owner = change.owner.clone().unwrap_or_else(|| "no owner".into());
            vec![table::format_age(change.at_ms), owner, text(&change.token), text(&change.reason)]
        })
        .collect();
    if changes.is_empty() {
        return facts;
    }
    format!("{facts}\n{}", table::render(&["AGO", "OWNER", "TOKEN", "REASON"], changes))
}

/// Lists the coordinator that each instance reports, if they disagree.
fn render_disagreement(replies: &[Reply<Key>]) -> String {
    let view = |key: &Key| (key.coordinator.clone(), key.term);
    let views: HashSet<_> = replies.iter().filter_map(Reply::body).map(view).collect();
    if views.len() < 2 {
        return String::new();
    }
    let rows = replies.iter().filter_map(|reply| reply.body().map(|key| (reply, key)));
    let rows = rows.map(|(reply, key)| {
        let coordinator = key.coordinator.clone().unwrap_or_else(|| "none".into());
        let term = key.term.map_or("?".to_owned(), |term| term.to_string());
        vec![
            reply.address.clone(),
            coordinator,
            term,
            key.age_ms.map_or("?".into(), table::format_age),
        ]
    });
    let header = ["ASKED", "COORDINATOR", "TERM", "AGE"];
    format!(
        "\ninstances disagree; the highest term counts:\n{}",
        table::render(&header, rows.collect())
    )
}

/// Shows the steps of a request.
///
/// # Errors
///
/// No instance knows the request, or no instance sent a usable response.
pub fn request(addresses: &[String], id: &str) -> Result<Output> {
    let path = format!("/explain/request/{}", http::segment(id));
    let replies = admin::query_all::<Request>(addresses, &path);
    let query = format!("explain request {id}");
    admin::require_response(&replies, &query)?;
    let mut text = String::new();
    for (reply, request) in replies.iter().filter_map(|reply| Some((reply, reply.body()?))) {
        let rows =
            request.steps.iter().map(|step| vec![table::format_age(step.at_ms), step.text.clone()]);
        text.push_str(&format!("at {}\n", reply.address));
        text.push_str(&table::render(&["AGO", "STEP"], rows.collect()));
        text.push('\n');
    }
    text.push_str(render_problems(&replies).trim_start());
    let json = json!({
        "id": id, "replies": replies.iter().map(Reply::json).collect::<Vec<Value>>(),
    });
    Ok(Output { text, json, succeeded: true })
}

/// Shows which instance coordinates each group.
///
/// # Errors
///
/// No instance sent a usable response.
pub fn fleet(addresses: &[String]) -> Result<Output> {
    let replies = admin::query_all::<Directory>(addresses, "/directory");
    admin::require_response(&replies, "explain fleet")?;
    let groups = merge_directories(&replies);
    let rows = groups.values().map(|view| {
        let row = view.newest;
        vec![
            row.group.clone(),
            row.holder.clone().unwrap_or_else(|| "none".into()),
            row.term.to_string(),
            row.admin_address.clone().unwrap_or_else(|| "?".into()),
            table::format_age(row.age_ms),
            match view.outdated.len() {
                0 => "-".into(),
                _ => format!("older at {}", view.outdated.join(", ")),
            },
        ]
    });
    let header = ["GROUP", "COORDINATOR", "TERM", "ADMIN ADDRESS", "AGE", "DISAGREEMENT"];
    let text = format!("{}{}", table::render(&header, rows.collect()), render_problems(&replies));
    let json = json!({
        "groups": groups.values().map(View::json).collect::<Vec<Value>>(),
        "replies": replies.iter().map(Reply::json).collect::<Vec<Value>>(),
    });
    let succeeded = replies.iter().all(|reply| reply.body().is_some());
    Ok(Output { text, json, succeeded })
}

/// Directory rows of all instances for one group.
struct View<'a> {
    newest: &'a Row,
    /// Addresses of the instances whose row has a lower term.
    outdated: Vec<&'a str>,
}

impl View<'_> {
    fn json(&self) -> Value {
        let row = self.newest;
        json!({
            "group": row.group, "coordinator": row.holder, "term": row.term,
            "admin_address": row.admin_address, "age_ms": row.age_ms, "behind": self.outdated,
        })
    }
}

/// Selects the row with the highest term for each group, and among equal terms the most recent one. Records
/// the instances whose row has a lower term.
fn merge_directories(replies: &[Reply<Directory>]) -> BTreeMap<&str, View<'_>> {
    let rows = || {
        replies.iter().flat_map(|reply| {
            let rows = reply.body().map(|directory| directory.rows.iter());
            rows.into_iter().flatten().map(move |row| (reply.address.as_str(), row))
        })
    };
    let mut groups: BTreeMap<&str, View<'_>> = BTreeMap::new();
    for (_, row) in rows() {
        let view = groups.entry(&row.group).or_insert(View { newest: row, outdated: Vec::new() });
        if (row.term, std::cmp::Reverse(row.age_ms))
            > (view.newest.term, std::cmp::Reverse(view.newest.age_ms))
        {
            view.newest = row;
        }
    }
    for (address, row) in rows() {
        if let Some(view) = groups.get_mut(row.group.as_str())
            && row.term < view.newest.term
        {
            view.outdated.push(address);
        }
    }
    groups
}

fn render_problems<T>(replies: &[Reply<T>]) -> String {
    let has_problem = |reply: &&Reply<T>| !matches!(reply.problem(), None | Some(Problem::Unknown));
    let lines: String = replies
        .iter()
        .filter(has_problem)
        .filter_map(|reply| Some((reply, reply.problem()?)))
        .map(|(reply, problem)| {
            format!("  {}: {}\n", reply.address, table::escape_control(problem.text()))
        })
        .collect();
    if lines.is_empty() { lines } else { format!("\nno answer:\n{lines}") }
}
