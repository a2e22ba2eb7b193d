//! Control calls: faults, the journal, the status, grants and draining.

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::clock;
use crate::errors::Error;
use crate::errors::Result;
use crate::fault::Change;
use crate::grant::Update;
use crate::server::Server;

/// Maximum length of the body of a control call in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Handles a control call and returns the status and the body of the response.
pub async fn handle(server: &Server, request: Request<Incoming>) -> Result<(u16, Value)> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| Error::Malformed(error.to_string()))?.to_bytes();
    let query = head.uri.query().unwrap_or_default();
    match (head.method.as_str(), head.uri.path()) {
        ("POST", "/control/fault") => {
            server.state().faults.apply(parse::<Change>(&body)?);
            Ok((200, json!({})))
        }
        ("GET", "/control/journal") => {
            let after = parse_after(query)?;
            Ok((200, json!(server.state().journal.after(after))))
        }
        ("GET", "/control/journal/summary") => Ok((200, json!(server.state().journal.summary()))),
        _ if server.state().faults.refuse_control => Err(Error::ControlRefused),
        ("GET", "/control/status") => Ok((200, status(server, true))),
        ("POST", "/control/grant") => apply_grant(server, parse(&body)?),
        ("POST", "/control/drain") => {
            server.state().draining = true;
            Ok((200, status(server, true)))
        }
        _ => Err(Error::Missing),
    }
}

fn apply_grant(server: &Server, update: Update) -> Result<(u16, Value)> {
    update.check()?;
    // A grant for an earlier incarnation of the target must not grant its shards to this one.
    let incarnation_matches =
        update.incarnation.is_none_or(|incarnation| incarnation == server.incarnation);
    let accepted = incarnation_matches && server.state().grant.apply(update);
    Ok((if accepted { 200 } else { 409 }, status(server, accepted)))
}

fn status(server: &Server, accepted: bool) -> Value {
    let faults = server.state().faults;
    let load = server.slots.load(faults.report_lag_ms.into());
    let state = server.state();
    let now_ms = clock::now_ms();
    let state_name = match (state.draining, server.warmup.is_cold(now_ms)) {
        (true, _) => "draining",
        (false, true) => "cold",
        (false, false) => "live",
    };
    json!({
        "accepted": accepted,
        "incarnation": server.incarnation,
        "now_ms": now_ms,
        "term": state.grant.highest().term,
        "seq": state.grant.highest().seq,
        "valid_until_ms": state.grant.valid_until_ms(),
        "shards": state.grant.shards(),
        "keys": state.grant.keys(),
        "state": state_name,
        "running": faults.lie_running.unwrap_or(load.running),
        "queued": load.queued,
        "slots": server.slots.usable(),
    })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}

fn parse_after(query: &str) -> Result<u64> {
    if query.is_empty() {
        return Ok(0);
    }
    let number = query.strip_prefix("after=").and_then(|text| text.parse().ok());
    // The journal adds one to the number, so the largest integer would overflow.
    let number = number.filter(|number| *number < u64::MAX);
    number.ok_or_else(|| Error::Malformed("after is not an unsigned integer".to_owned()))
}
