//! Requests of callers: from a request to its route, class, deadline and group.

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

use crate::answer;
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
use crate::router::Router;

/// Pause before a request is offered again to a coordinator that did not take it, unless the
/// directory changes first. A takeover takes about 0.2 s.
const REOFFER_PAUSE: Duration = Duration::from_millis(25);

/// Width of the fill levels that count as equal when a group is selected.
const LEVEL_PERCENT: u32 = 10;

/// Tenant of a request that names none.
const ANONYMOUS: &str = "anonymous";

/// Serves a request of a caller.
pub async fn serve(router: Arc<Router>, request: Request<Incoming>) -> Response<Body> {
    let arrived = router.clock.now();
    let mut meter = Meter::new(router.observer.clone(), router.clock, arrived);
    let id = match fields::name(request.headers(), names::REQUEST_ID) {
        Ok(Some(id)) => Arc::from(id),
        Ok(None) => router.new_request_id(),
        Err(reason) => {
            meter.end(observe::End::Outcome(Outcome::Refused(reason)));
            return answer::failure(Outcome::Refused(reason), "");
        }
    };
    let steps = router.explain.open(&id);
    let prepared = prepare(&router, request, &id, arrived, &steps, &mut meter).await;
    let outcome = match prepared {
        Err(reason) => Outcome::Refused(reason),
        Ok(mut call) => {
            call.meter = Some(meter);
            match route(&router, &mut call).await {
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
    steps.add(router.clock.now(), format!("ended: {outcome:?}"));
    meter.end(observe::End::Outcome(outcome));
    answer::failure(outcome, &id)
}

/// Makes a call of a request.
async fn prepare(
    router: &Arc<Router>,
    request: Request<Incoming>,
    id: &Arc<str>,
    arrived: Stamp,
    steps: &Arc<Trace>,
    meter: &mut Meter,
) -> Result<Call, Reason> {
    let snapshot = router.directory.current().ok_or(Reason::NotReady)?;
    let (mut parts, body) = request.into_parts();
    if fields::unacceptable(&parts.headers) {
        return Err(Reason::BadRequest);
    }
    let path = parts.uri.path_and_query().cloned().ok_or(Reason::BadRequest)?;
    let (route, key) = find_route(snapshot.plan(), &parts.method, path.path())?;
    let tenant = tenant(&parts.headers)?;
    meter.label(snapshot.tenant_label(&tenant), Arc::from(route.class.name.as_str()));
    let idempotency = idempotency(&parts.headers, route)?;
    let asked = asked(&parts.headers)?;
    let deadline = timeout::deadline(arrived, route.class.patience, asked);
    fields::remove_hop_by_hop(&mut parts.headers);
    fields::remove_internal(&mut parts.headers);
    parts.headers.remove(names::PATIENCE);
    let limits = body::Limits {
        buffered: snapshot.plan().limits.max_buffered_body_bytes,
        body: snapshot.plan().limits.max_body_bytes,
        time: deadline.since(router.clock.now()),
    };
    let payload = body::receive(body, limits, &router.memory).await?;
    router.budget().record_request(arrived);
    steps.add(arrived, format!("arrived: {} {path}", parts.method));
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
        idempotency,
        deadline,
        declined: None,
        trail: Attempts::new(),
        steps: steps.clone(),
        meter: None,
        path: path.clone(),
    })
}

/// Returns the route of a request and its decoded key. HEAD takes the route of GET if it has none.
///
/// # Errors
///
/// No route matches, or the key is not encoded as it should be.
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

/// Returns the tenant that a request names.
pub fn tenant(headers: &HeaderMap) -> Result<name::Tenant, Reason> {
    let tenant = fields::name(headers, names::TENANT)?;
    Ok(name::Tenant::new(tenant.unwrap_or(ANONYMOUS)))
}

/// Returns the idempotency key of a request, which a class that is not repeatable requires.
pub fn idempotency(headers: &HeaderMap, route: &Route) -> Result<Option<Arc<str>>, Reason> {
    let key = fields::name(headers, names::IDEMPOTENCY_KEY)?;
    if key.is_none() && !route.class.repeatable {
        return Err(Reason::KeyRequired);
    }
    Ok(key.map(Arc::from))
}

fn asked(headers: &HeaderMap) -> Result<Option<Duration>, Reason> {
    if !headers.contains_key(names::PATIENCE) {
        return Ok(None);
    }
    fields::millis(headers, names::PATIENCE).map(Some).ok_or(Reason::BadRequest)
}

/// Gives a call to the coordinators of its group, one after another, until it ends.
async fn route(router: &Arc<Router>, call: &mut Call) -> Result<Response<Body>, Outcome> {
    let mut changes = router.directory.changes();
    loop {
        let snapshot = changes.borrow_and_update().clone();
        let Some(snapshot) = snapshot else { return Err(call.trail.conclude(Reason::NotReady)) };
        let (stop, pause) = offer(router, &snapshot, call).await;
        let reason = match stop {
            Ok(response) => return Ok(response),
            Err(Stop::End(outcome)) => return Err(outcome),
            Err(Stop::Reroute(reason)) => reason,
        };
        let now = router.clock.now();
        call.steps.add(now, format!("not taken: {reason}; waiting for another coordinator"));
        let left = timeout::remaining(call.deadline, now).unwrap_or_default();
        // The time limit only ends the wait; the next step finds out whether time is left.
        let _ = timeout(pause.map_or(left, |pause| pause.min(left)), changes.changed()).await;
        if !timeout::allows_retry(call.deadline, router.clock.now(), Duration::ZERO) {
            return Err(call.trail.conclude(reason));
        }
    }
}

/// Gives a call to the coordinator of its group. If it is not taken, also returns the longest pause
/// before it is offered again, or nothing if only a change of the directory can help.
async fn offer(
    router: &Arc<Router>,
    snapshot: &Arc<Snapshot>,
    call: &mut Call,
) -> (Result<Response<Body>, Stop>, Option<Duration>) {
    let Some(group) = select(&router.options.domain, snapshot, call) else {
        return (Err(call.reroute(Reason::NoCoordinator)), None);
    };
    call.declined = Some(group.name.clone());
    match snapshot.coordinator(&group.name) {
        Coordinator::Local(local) => (dispatch::run(router, local, &group, call).await, None),
        Coordinator::Remote(remote) => {
            let version = snapshot.plan().version;
            let sent = forward::run(router, remote, &group.name, version, call).await;
            (sent, Some(REOFFER_PAUSE))
        }
        Coordinator::Unknown => (Err(call.reroute(Reason::NoCoordinator)), None),
    }
}

/// Selects the group of a call and sets its shard.
///
/// A keyed service goes by the key, a pooled one by the idempotency key if the request is not
/// repeatable. A repeatable request to a pooled service goes to a group of the instance's own failure
/// domain unless all their queues are full, and among those to the one with the shortest queue.
fn select(domain: &name::Domain, snapshot: &Snapshot, call: &mut Call) -> Option<Arc<Group>> {
    let service = call.service.clone();
    let groups = snapshot.groups(&service.name);
    let by_hash = match (service.division, call.class.repeatable) {
        (Division::Keyed, _) => Some(call.key.clone()),
        (Division::Pooled, false) => call.idempotency.clone(),
        (Division::Pooled, true) => None,
    };
    if let Some(text) = by_hash {
        call.shard = shard::of_key(text.as_bytes(), service.shards);
        return groups.iter().find(|group| group.shards.contains(&call.shard.0)).cloned();
    }
    // A coordinator refuses a shard that its group does not have, so a group without shards is not selected.
    let placed = groups.iter().filter(|group| !group.shards.is_empty());
    let group = placed.min_by_key(|group| preference(domain, snapshot, call, group))?;
    call.shard = Shard(group.shards.start);
    Some(group.clone())
}

/// Orders the groups that may run a request: the lowest value is the best. A group that has just
/// declined the request comes after all others that have a coordinator.
fn preference(
    domain: &name::Domain,
    snapshot: &Snapshot,
    call: &Call,
    group: &Group,
) -> (bool, bool, bool, bool, u32, u64) {
    let percent = snapshot.coordinator(&group.name).queue_percent();
    let declined = call.declined.as_ref() == Some(&group.name);
    let foreign = group.domain != *domain;
    let full = percent.is_some_and(|percent| percent >= 100);
    // Fill levels are some time old, so small differences mean nothing; the hash spreads the requests.
    let level = percent.unwrap_or(0) / LEVEL_PERCENT;
    let spread = shard::hash(call.id.as_bytes()) ^ shard::hash(group.name.as_str().as_bytes());
    (percent.is_none(), declined, full, foreign, level, shard::hash(&spread.to_be_bytes()))
}
