//! Serving of requests that other instances forward to this one as the coordinator of a group.

use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use caraway_call::attempt::Attempts;
use caraway_core::header as names;
use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_document::plan::Group;

use crate::body;
use crate::body::Body;
use crate::call::Call;
use crate::call::Stop;
use crate::caller;
use crate::directory::Coordinator;
use crate::directory::Local;
use crate::directory::Snapshot;
use crate::dispatch;
use crate::fields;
use crate::response;
use crate::router::Router;

/// Largest number of instances that a request may pass through.
const MAX_HOPS: u32 = 2;

/// Serves a forwarded request.
pub async fn serve(router: Arc<Router>, request: Request<Incoming>) -> Response<Body> {
    let id: Arc<str> = match fields::name(request.headers(), names::REQUEST_ID) {
        Ok(Some(id)) => Arc::from(id),
        Ok(None) | Err(_) => {
            return response::failure(Outcome::Refused(Reason::BadRequest), "");
        }
    };
    let outcome = match prepare(&router, request, &id).await {
        Err(reason) => Outcome::Refused(reason),
        Ok((mut call, local, group)) => {
            match dispatch::run(&router, &local, &group, &mut call).await {
                Ok(response) => return response,
                Err(Stop::End(outcome)) => outcome,
                // The sender offers a repeatable request to the next coordinator even if it may
                // have run.
                Err(Stop::Reroute(_)) if call.class.repeatable && call.attempts.may_have_run() => {
                    Outcome::Unknown(Reason::Misdirected)
                }
                Err(Stop::Reroute(_)) => call.attempts.conclude(Reason::Misdirected),
            }
        }
    };
    let trace = router.explain.get_or_create(&id);
    trace.add(router.clock.now(), format!("as coordinator: ended: {outcome:?}"));
    response::failure(outcome, &id)
}

async fn prepare(
    router: &Arc<Router>,
    request: Request<Incoming>,
    id: &Arc<str>,
) -> Result<(Call, Local, Arc<Group>), Reason> {
    let arrived = router.clock.now();
    let snapshot = router.directory.current().ok_or(Reason::NotReady)?;
    let (mut parts, body) = request.into_parts();
    let (local, group) = local_group(&snapshot, &parts.headers)?;
    let shard = Shard(fields::parsed(&parts.headers, names::SHARD).ok_or(Reason::BadRequest)?);
    if !group.shards.contains(&shard.0) {
        return Err(Reason::Misdirected);
    }
    let path = parts.uri.path_and_query().cloned().ok_or(Reason::BadRequest)?;
    // An unknown route may come from a newer document than the one in force here, so the sender
    // may offer the request again.
    let found = caller::find_route(snapshot.plan(), &parts.method, path.path());
    let (route, key) = found.map_err(|_| Reason::Misdirected)?;
    let class = fields::text(&parts.headers, names::CLASS).ok_or(Reason::BadRequest)?;
    let class = snapshot.class(class).cloned().ok_or(Reason::Misdirected)?;
    let remaining = fields::millis(&parts.headers, names::DEADLINE).ok_or(Reason::BadRequest)?;
    let deadline = arrived + remaining.min(class.patience);
    let tenant = caller::tenant(&parts.headers)?;
    let idempotency_key = caller::idempotency_key(&parts.headers, route)?;
    if idempotency_key.is_none() && !class.repeatable {
        return Err(Reason::KeyRequired);
    }
    fields::remove_hop_by_hop(&mut parts.headers);
    fields::remove_between_instances(&mut parts.headers);
    let limits = body::Limits {
        max_buffered_bytes: snapshot.plan().limits.max_buffered_body_bytes,
        max_bytes: snapshot.plan().limits.max_body_bytes,
        read_timeout: remaining,
    };
    let payload = body::receive(body, limits, &router.buffer_permits).await?;
    router.budget().record_request(arrived);
    let trace = router.explain.get_or_create(id);
    trace.add(arrived, format!("as coordinator of {}: arrived", group.name));
    let call = Call {
        id: id.clone(),
        method: parts.method,
        headers: parts.headers,
        payload,
        shard,
        key,
        tenant,
        service: group.service.clone(),
        class,
        idempotency_key,
        deadline,
        declined_by: None,
        attempts: Attempts::new(),
        trace,
        meter: None,
        path: path.clone(),
    };
    Ok((call, local, group))
}

/// Returns the group of a request, if this instance coordinates it under the term in the request or
/// a later one.
fn local_group(
    snapshot: &Snapshot,
    headers: &hyper::HeaderMap,
) -> Result<(Local, Arc<Group>), Reason> {
    let group = fields::text(headers, names::GROUP).ok_or(Reason::BadRequest)?;
    let term: u64 = fields::parsed(headers, names::TERM).ok_or(Reason::BadRequest)?;
    let hops: u32 = fields::parsed(headers, names::HOPS).ok_or(Reason::BadRequest)?;
    let group = snapshot.plan().group(&group.into()).ok_or(Reason::Misdirected)?;
    match snapshot.coordinator(&group.name) {
        Coordinator::Local(local) if local.term >= term && hops <= MAX_HOPS => {
            Ok((local.clone(), group.clone()))
        }
        Coordinator::Local(_) | Coordinator::Remote(_) | Coordinator::Unknown => {
            Err(Reason::Misdirected)
        }
    }
}
