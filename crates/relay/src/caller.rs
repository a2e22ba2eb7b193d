//! Serving of requests from callers: finds the route, class, deadline and group of each request.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout;

use caraway_call::attempt::Attempts;
use caraway_call::timeout;
use caraway_core::header as names;
use caraway_core::name;
use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;
use caraway_core::shard;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_document::plan::Division;
use caraway_document::plan::Group;
use caraway_document::plan::Plan;
use caraway_document::plan::Route;

use crate::body;
use crate::body::Body;
use crate::call::Call;
use crate::call::Stop;
use crate::directory::Coordinator;
use crate::directory::Snapshot;
use crate::dispatch;
use crate::explain::Trace;
use crate::fields;
use crate::forward;
use crate::key;
use crate::observe;
use crate::observe::Meter;
use crate::response;
use crate::router::Router;

/// Delay before a call is offered again to a coordinator that did not accept it, unless the
/// directory changes first. A takeover takes about 0.2 s.
const REOFFER_DELAY: Duration = Duration::from_millis(25);

/// Queue utilization is compared in steps of this many percent when a group is selected.
const QUEUE_LEVEL_PERCENT: u32 = 10;

/// Tenant of a request without a tenant header.
const ANONYMOUS: &str = "anonymous";

/// Serves a request from a caller.
pub async fn serve(router: Arc<Router>, request: Request<Incoming>) -> Response<Body> {
    let arrived = router.clock.now();
    let mut meter = Meter::new(router.observer.clone(), router.clock, arrived);
    let id = match fields::name(request.headers(), names::REQUEST_ID) {
        Ok(Some(id)) => Arc::from(id),
        Ok(None) => router.new_request_id(),
        Err(reason) => {
            meter.end(observe::End::Outcome(Outcome::Refused(reason)));
            return response::failure(Outcome::Refused(reason), "");
        }
    };
    let trace = router.explain.get_or_create(&id);
    let prepared = prepare(&router, request, &id, arrived, &trace, &mut meter).await;
    let outcome = match prepared {
        Err(reason) => Outcome::Refused(reason),
        Ok(mut call) => {
            call.meter = Some(meter);
            match route_call(&router, &mut call).await {
                Ok(response) => return response,
                Err(outcome) => {
                    meter = call.meter.take().unwrap_or_else(|| {
                        Meter::new(router.observer.clone(), router.clock, arrived)
                    });
                    outcome
                }
            }
        }
    };
    trace.add(router.clock.now(), format!("ended: {outcome:?}"));
    meter.end(observe::End::Outcome(outcome));
    response::failure(outcome, &id)
}

/// Validates a request and turns it into a call.
async fn prepare(
    router: &Arc<Router>,
    request: Request<Incoming>,
    id: &Arc<str>,
    arrived: Stamp,
    trace: &Arc<Trace>,
    meter: &mut Meter,
) -> Result<Call, Reason> {
    let snapshot = router.directory.current().ok_or(Reason::NotReady)?;
    let (mut parts, body) = request.into_parts();
    if fields::is_unacceptable(&parts.headers) {
        return Err(Reason::BadRequest);
    }
    let path = parts.uri.path_and_query().cloned().ok_or(Reason::BadRequest)?;
    let (route, key) = find_route(snapshot.plan(), &parts.method, path.path())?;
    let tenant = tenant(&parts.headers)?;
    meter.label(snapshot.tenant_label(&tenant), Arc::from(route.class.name.as_str()));
    let idempotency_key = idempotency_key(&parts.headers, route)?;
    let requested = requested_patience(&parts.headers)?;
    let deadline = timeout::deadline(arrived, route.class.patience, requested);
    fields::remove_hop_by_hop(&mut parts.headers);
    fields::remove_internal(&mut parts.headers);
    parts.headers.remove(names::PATIENCE);
    let limits = body::Limits {
        max_buffered_bytes: snapshot.plan().limits.max_buffered_body_bytes,
        max_bytes: snapshot.plan().limits.max_body_bytes,
        read_timeout: deadline.since(router.clock.now()),
    };
    let payload = body::receive(body, limits, &router.buffer_permits).await?;
    router.budget().record_request(arrived);
    trace.add(arrived, format!("arrived: {} {path}", parts.method));
    Ok(Call {
        id: id.clone(),
        method: parts.method,
        headers: parts.headers,
        payload,
        shard: shard::of_key(key.as_bytes(), route.service.shards),
        key,
        tenant,
        service: route.service.clone(),
        class: route.class.clone(),
        idempotency_key,
        deadline,
        declined_by: None,
        attempts: Attempts::new(),
        trace: trace.clone(),
        meter: None,
        path: path.clone(),
    })
}

/// Returns the route of a request and its decoded key. HEAD falls back to the route of GET.
///
/// # Errors
///
/// Fails if no route matches or the encoding of the key is invalid.
pub fn find_route<'a>(
    plan: &'a Plan,
    method: &Method,
    path: &str,
) -> Result<(&'a Route, Arc<str>), Reason> {
    let route = plan.route(method.as_str(), path);
    let head = || (*method == Method::HEAD).then(|| plan.route("GET", path)).flatten();
    let (route, segment) = route.or_else(head).ok_or(Reason::NoRoute)?;
    Ok((route, Arc::from(key::decode(segment)?)))
}

/// Returns the tenant of a request.
pub fn tenant(headers: &HeaderMap) -> Result<name::Tenant, Reason> {
    let tenant = fields::name(headers, names::TENANT)?;
    Ok(name::Tenant::new(tenant.unwrap_or(ANONYMOUS)))
}

/// Returns the idempotency key of a request, which is mandatory if its class is not repeatable.
pub fn idempotency_key(headers: &HeaderMap, route: &Route) -> Result<Option<Arc<str>>, Reason> {
    let key = fields::name(headers, names::IDEMPOTENCY_KEY)?;
    if key.is_none() && !route.class.repeatable {
        return Err(Reason::KeyRequired);
    }
    Ok(key.map(Arc::from))
}

fn requested_patience(headers: &HeaderMap) -> Result<Option<Duration>, Reason> {
    if !headers.contains_key(names::PATIENCE) {
        return Ok(None);
    }
    fields::millis(headers, names::PATIENCE).map(Some).ok_or(Reason::BadRequest)
}

/// Offers a call to the coordinators of its group, one after another, until it ends.
async fn route_call(router: &Arc<Router>, call: &mut Call) -> Result<Response<Body>, Outcome> {
    let mut changes = router.directory.changes();
    loop {
        let snapshot = changes.borrow_and_update().clone();
        let Some(snapshot) = snapshot else { return Err(call.attempts.conclude(Reason::NotReady)) };
        let (offered, delay) = offer(router, &snapshot, call).await;
        let reason = match offered {
            Ok(response) => return Ok(response),
            Err(Stop::End(outcome)) => return Err(outcome),
            Err(Stop::Reroute(reason)) => reason,
        };
        let now = router.clock.now();
        call.trace.add(now, format!("not taken: {reason}; waiting for another coordinator"));
        let remaining = timeout::remaining(call.deadline, now).unwrap_or_default();
        // Whether time is left is checked after the wait, so its result does not matter.
        let _ =
            timeout(delay.map_or(remaining, |delay| delay.min(remaining)), changes.changed()).await;
        if !timeout::allows_retry(call.deadline, router.clock.now(), Duration::ZERO) {
            return Err(call.attempts.conclude(reason));
        }
    }
}

/// Offers a call to the coordinator of its group. If it is not accepted, also returns the longest
/// delay before the next offer, or `None` if only a directory change can help.
async fn offer(
    router: &Arc<Router>,
    snapshot: &Arc<Snapshot>,
    call: &mut Call,
) -> (Result<Response<Body>, Stop>, Option<Duration>) {
    let Some(group) = select_group(&router.options.domain, snapshot, call) else {
        return (Err(call.reroute(Reason::NoCoordinator)), None);
    };
    call.declined_by = Some(group.name.clone());
    match snapshot.coordinator(&group.name) {
        Coordinator::Local(local) => (dispatch::run(router, local, &group, call).await, None),
        Coordinator::Remote(remote) => {
            let version = snapshot.plan().version;
            let sent = forward::run(router, remote, &group.name, version, call).await;
            (sent, Some(REOFFER_DELAY))
        }
        Coordinator::Unknown => (Err(call.reroute(Reason::NoCoordinator)), None),
    }
}

/// Selects the group of a call and sets its shard.
///
/// A call to a keyed service is assigned by the hash of its key, a non-repeatable call to a pooled
/// service by the hash of its idempotency key. A repeatable call to a pooled service goes to a
/// group of the instance's own failure domain unless the queues of all of them are full; among the
/// candidates, the one with the shortest queue is selected.
fn select_group(domain: &name::Domain, snapshot: &Snapshot, call: &mut Call) -> Option<Arc<Group>> {
    let service = call.service.clone();
    let groups = snapshot.groups(&service.name);
    let by_hash = match (service.division, call.class.repeatable) {
        (Division::Keyed, _) => Some(call.key.clone()),
        (Division::Pooled, false) => call.idempotency_key.clone(),
        (Division::Pooled, true) => None,
    };
    if let Some(text) = by_hash {
        call.shard = shard::of_key(text.as_bytes(), service.shards);
        return groups.iter().find(|group| group.shards.contains(&call.shard.0)).cloned();
    }
    // A coordinator refuses a shard that its group does not have, so groups without shards are
    // skipped.
    let candidates = groups.iter().filter(|group| !group.shards.is_empty());
    let group = candidates.min_by_key(|group| rank(domain, snapshot, call, group))?;
    call.shard = Shard(group.shards.start);
    Some(group.clone())
}

/// Returns the sort key of a candidate group; the lowest is selected. A group that has just
/// declined the call ranks after all others that have a coordinator.
fn rank(
    domain: &name::Domain,
    snapshot: &Snapshot,
    call: &Call,
    group: &Group,
) -> (bool, bool, bool, bool, u32, u64) {
    let percent = snapshot.coordinator(&group.name).queue_percent();
    let declined = call.declined_by.as_ref() == Some(&group.name);
    let other_domain = group.domain != *domain;
    let full = percent.is_some_and(|percent| percent >= 100);
    // Reported utilization is slightly out of date, so it is compared in coarse steps. The hash
    // spreads calls over groups of the same level.
    let level = percent.unwrap_or(0) / QUEUE_LEVEL_PERCENT;
    let spread = shard::hash(call.id.as_bytes()) ^ shard::hash(group.name.as_str().as_bytes());
    (percent.is_none(), declined, full, other_domain, level, shard::hash(&spread.to_be_bytes()))
}
