//! The command `explain edge`.

use serde_json::Value;

use crate::admin;
use crate::command::Output;
use crate::errors::Result;
use crate::http;
use crate::table;

/// Explains where an instance would send a request now.
///
/// # Errors
///
/// The instance sent no usable response.
pub fn run(address: &str, host: &str, path: &str, key: Option<u16>) -> Result<Output> {
    let mut query = format!("/explain?host={}&path={}", http::segment(host), http::segment(path));
    if let Some(key) = key {
        query.push_str(&format!("&key={key}"));
    }
    let replies = admin::query_all::<Value>(&[address.to_owned()], &query);
    admin::require_response(&replies, &format!("explain edge {host}{path}"))?;
    let answer = replies.first().and_then(|reply| reply.body()).unwrap_or(&Value::Null);
    let succeeded = answer["refusal"].is_null()
        && rows(&answer["services"]).all(|service| service["refusal"].is_null());
    Ok(Output { text: render(answer), json: answer.clone(), succeeded })
}

fn rows(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Returns a value as text, or a dash if it is missing.
fn text(value: &Value) -> String {
    let text = match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        // Rounded figures are sent with a decimal point.
        Value::Number(number) => {
            number.as_f64().map_or(number.to_string(), |number| format!("{number:.0}"))
        }
        other => other.to_string(),
    };
    table::escape_control(&text)
}

fn render(answer: &Value) -> String {
    let route = match &answer["route"] {
        Value::Null => "none".to_owned(),
        route => format!("{} ({})", text(&route["name"]), text(&route["prefix"])),
    };
    let instance = text(&answer["instance"]);
    let version = text(&answer["configuration"]);
    let mut output =
        format!("instance       {instance}\nconfiguration  {version}\nroute          {route}\n");
    output.push_str(&render_refusal(&answer["refusal"]));
    for service in rows(&answer["services"]) {
        let share = text(&service["share_percent"]);
        output.push_str(&format!("\nservice {}, {share}% of requests\n", text(&service["name"])));
        output.push_str(&render_owner(service));
        output.push_str(&render_targets(&service["candidates"], "CANDIDATE", "state"));
        output.push_str(&render_targets(&service["others"], "NO CANDIDATE", "reason"));
        output.push_str(&render_refusal(&service["refusal"]));
    }
    output
}

fn render_owner(service: &Value) -> String {
    let version = match service.get("owners_version") {
        None => return String::new(),
        Some(version) => text(version),
    };
    let owner = &service["owner"];
    if owner.is_null() {
        return format!("no owner in version {version} of the owners\n");
    }
    let confirmed = if owner["confirmed"] == true { "confirmed" } else { "not confirmed" };
    let mut line =
        format!("owner {}, grant {confirmed}, version {version}", text(&owner["target"]));
    if owner["listed"] == false {
        line.push_str(", not listed");
    } else {
        let figures = [&owner["in_flight"], &owner["limit"], &owner["expected_ms"]].map(text);
        let [in_flight, limit, expected] = figures;
        line.push_str(&format!(", {in_flight} of {limit} in flight, expected {expected} ms"));
    }
    for state in ["leaving", "evacuated"] {
        if owner[state] == true {
            line.push_str(&format!(", {state}"));
        }
    }
    format!("{line}\n")
}

fn render_targets(targets: &Value, title: &str, last: &str) -> String {
    let fields = ["target", "domain", "place", "limit", "in_flight", "expected_ms", last];
    let cells = |row: &Value| fields.iter().map(|field| text(&row[field])).collect();
    let lines: Vec<Vec<String>> = rows(targets).map(cells).collect();
    if lines.is_empty() {
        return String::new();
    }
    let last = last.to_uppercase();
    table::render(&[title, "DOMAIN", "PLACE", "LIMIT", "IN FLIGHT", "EXPECTED MS", &last], lines)
}

fn render_refusal(refusal: &Value) -> String {
    if refusal.is_null() {
        return String::new();
    }
    let status = text(&refusal["status"]);
    let mut line = format!("refused with {status}: {}", text(&refusal["reason"]));
    if let Some(delay) = refusal["retry_after_ms"].as_u64() {
        line.push_str(&format!("; Retry-After at most {}", table::format_age(delay)));
    }
    if refusal["may_wait"] == true {
        line.push_str(", possibly after a wait");
    }
    format!("{line}\n")
}
