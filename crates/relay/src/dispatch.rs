//! Dispatch of calls to targets by the coordinator of a group.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_admission::controller;
use caraway_admission::controller::Completion;
use caraway_admission::controller::Permit;
use caraway_call::attempt::Event;
use caraway_call::attempt::Verdict;
use caraway_call::ledger;
use caraway_call::ledger::Decision;
use caraway_call::quarantine::Crash;
use caraway_call::quarantine::Fingerprint;
use caraway_call::timeout;
use caraway_core::header as names;
use caraway_core::name;
use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;
use caraway_core::shard;
use caraway_document::plan::Group;

use crate::body::Body;
use crate::call::Call;
use crate::call::Stop;
use crate::detach;
use crate::directory::Local;
use crate::exchange;
use crate::exchange::Options;
use crate::fields;
use crate::intent::Intent;
use crate::isolation;
use crate::isolation::Clearance;
use crate::key;
use crate::pool::Checkout;
use crate::report;
use crate::response;
use crate::response::Base;
use crate::response::Handler;
use crate::router::Router;

/// Delay before the first retry; it doubles with each one, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(2);

/// Longest delay before a retry. A change of owner takes up to 0.65 s, so at this interval some
/// retries always follow it.
const MAX_BACKOFF: Duration = Duration::from_millis(50);

/// Longest response body that is recorded in the ledger, in bytes.
const MAX_RECORDED_BODY_BYTES: usize = 16 * 1024;

/// State that all attempts of a call share.
struct Context<'a> {
    router: &'a Arc<Router>,
    local: &'a Local,
    group: &'a Arc<Group>,
    fingerprint: Fingerprint,
    /// Closed when the caller has disconnected. `None` if the call is dropped with the caller's
    /// connection.
    caller_gone: Option<watch::Receiver<()>>,
}

/// Result of an attempt.
enum Attempt {
    Answered(Box<Response<Body>>),
    Failed { event: Event, target: name::Target },
}

/// Dispatches a call to a target of a group that this instance coordinates.
///
/// # Errors
///
/// Fails if the call has ended or this instance no longer coordinates the group.
pub async fn run(
    router: &Arc<Router>,
    local: &Local,
    group: &Arc<Group>,
    call: &mut Call,
) -> Result<Response<Body>, Stop> {
    match register(router, local, group, call).await? {
        Registration::Run(None) => attempts(router, local, group, call, &mut None, None).await,
        Registration::Run(Some(intent)) => detach::run(router, local, group, call, intent).await,
        Registration::Replay(response) => Ok(*response),
    }
}

/// Sends a call until an attempt is answered. No attempt is sent after `caller_gone` is closed.
///
/// # Errors
///
/// Fails if the call has ended or this instance no longer coordinates the group.
pub async fn attempts(
    router: &Arc<Router>,
    local: &Local,
    group: &Arc<Group>,
    call: &mut Call,
    intent: &mut Option<Intent>,
    caller_gone: Option<watch::Receiver<()>>,
) -> Result<Response<Body>, Stop> {
    let context = Context { router, local, group, fingerprint: call.fingerprint(), caller_gone };
    let mut backoff = INITIAL_BACKOFF;
    let mut avoid = None;
    loop {
        let (event, target) = match attempt(&context, call, intent, avoid.take()).await? {
            Attempt::Answered(response) => return Ok(*response),
            Attempt::Failed { event, target } => (event, target),
        };
        let now = router.clock.now();
        call.trace.add(now, format!("{target}: {event:?}"));
        if let Verdict::End(outcome) = call.attempts.record(event, call.retry_policy()) {
            return Err(Stop::End(outcome));
        }
        let allowed = !consumes_retry_budget(event) || router.budget().try_retry(now);
        if !allowed || !timeout::allows_retry(call.deadline, now, backoff) {
            return Err(call.end(event.reason()));
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        avoid = Some(target);
    }
}

/// Returns true if a retry is charged to the retry budget: the attempt may have consumed capacity
/// of a target, or the target is overloaded. While ownership moves, many requests are refused
/// before any work is done; the backoff between their retries limits them sufficiently. Abandoned
/// attempts are bounded by the slots of the lost target, which no longer does work for them.
fn consumes_retry_budget(event: Event) -> bool {
    let used_capacity = event.may_have_run() && event != Event::GivenUp;
    used_capacity || event == Event::Refused(Reason::Overloaded)
}

enum Registration {
    Run(Option<Intent>),
    Replay(Box<Response<Body>>),
}

/// Looks up a non-repeatable call in the ledger and records its intent.
async fn register(
    router: &Arc<Router>,
    local: &Local,
    group: &Arc<Group>,
    call: &mut Call,
) -> Result<Registration, Stop> {
    let key = match &call.idempotency_key {
        // Idempotency keys are unique per tenant only.
        Some(key) if !call.class.repeatable => Arc::from(format!("{} {key}", call.tenant)),
        Some(_) | None => return Ok(Registration::Run(None)),
    };
    let decision = look_up(router, local, &key, call).await;
    let now = router.clock.now();
    match decision {
        Decision::Run => {
            let intent = Intent::new(router, local, &group.name, &key);
            if let Err(reason) = intent.replicate(call.deadline).await {
                intent.withdraw().await;
                return Err(call.end(reason));
            }
            call.trace.add(router.clock.now(), "intent recorded at other instances");
            Ok(Registration::Run(Some(intent)))
        }
        Decision::Replay(answer) => match &answer.body {
            Some(bytes) => {
                call.trace.add(now, "repeated the recorded answer");
                let response = response::replay(&answer, bytes, &call.id);
                if let Some(meter) = call.meter.take() {
                    meter.end(crate::observe::End::Outcome(Outcome::Answered));
                }
                Ok(Registration::Replay(Box::new(response)))
            }
            // The request ran, but its response was too long to be recorded.
            None => Err(unknown(Reason::EarlierAttemptUnknown)),
        },
        Decision::Unknown => Err(unknown(Reason::EarlierAttemptUnknown)),
        Decision::HistoryIncomplete => Err(unknown(Reason::HistoryIncomplete)),
        Decision::InProgress => Err(call.end(Reason::InProgress)),
        Decision::KeyReused => Err(call.end(Reason::KeyReused)),
        Decision::Full => Err(call.end(Reason::Overloaded)),
    }
}

/// Looks up a call in the ledger and waits while an earlier submission runs. The number of waiting
/// calls is bounded.
async fn look_up(router: &Arc<Router>, local: &Local, key: &Arc<str>, call: &Call) -> Decision {
    let digest = call.digest();
    let mut waiter = None;
    loop {
        let closed = router.intent_closed.notified();
        tokio::pin!(closed);
        closed.as_mut().enable();
        let now = router.clock.now();
        let decision = local.ledger().begin(key, digest, now);
        if decision != Decision::InProgress {
            return decision;
        }
        if waiter.is_none() {
            waiter = router.duplicate_permits.clone().try_acquire_owned().ok();
            call.trace.add(now, "an earlier submission is running");
        }
        let remaining = timeout::remaining(call.deadline, now);
        let Some(remaining) = remaining.filter(|_| waiter.is_some()) else { return decision };
        // The result does not matter: after a timeout the next iteration finds that no time is
        // left.
        let _ = timeout(remaining, closed).await;
    }
}

fn unknown(reason: Reason) -> Stop {
    Stop::End(Outcome::Unknown(reason))
}

/// Sends a call to one target once.
async fn attempt(
    context: &Context<'_>,
    call: &mut Call,
    intent: &mut Option<Intent>,
    avoid: Option<name::Target>,
) -> Result<Attempt, Stop> {
    let (permit, clearance) = tokio::select! {
        biased;
        () = caller_disconnected(context.caller_gone.clone()) => return Err(call.end(Reason::DeadlineBeforeDispatch)),
        admitted = admit(context, call, avoid) => admitted?,
    };
    let target = permit.target.clone();
    let request = request(context, call, &permit)?;
    call.trace
        .add(context.router.clock.now(), format!("sent to {target} with token {}", permit.token));
    if let Some(meter) = &mut call.meter {
        meter.count_attempt();
    }
    let options = Options {
        address: permit.address,
        limit: usize::try_from(context.group.service.max_connections).unwrap_or(usize::MAX),
        write_before: permit.write_before.min(call.deadline),
        deadline: call.deadline,
        cancel_policy: call.cancel_policy(),
    };
    // If the exchange is cancelled, the intent is dropped in this state.
    mark_sent(intent, true);
    let cancelled = Box::pin(permit.revoked());
    let event = match exchange::send(
        &context.router.pool,
        context.router.clock,
        &options,
        request,
        cancelled,
    )
    .await
    {
        Ok((response, checkout)) => match check_response(context, call, &target, &response) {
            None => {
                let resources = Resources { permit, clearance, intent: intent.take() };
                let response = relay_response(context, call, response, checkout, resources);
                return Ok(Attempt::Answered(Box::new(response)));
            }
            Some(event) => finish_refused(context, event, permit, response, checkout).await,
        },
        Err(failure) => {
            let event = call.classify(failure.event);
            report_failure(context, &target, event, failure.refused);
            event
        }
    };
    if !event.may_have_run() {
        mark_sent(intent, false);
    }
    Ok(Attempt::Failed { event, target })
}

/// Waits until the caller disconnects.
async fn caller_disconnected(caller_gone: Option<watch::Receiver<()>>) {
    match caller_gone {
        // No value is ever sent, so the channel changes only when it is closed.
        Some(mut caller_gone) => drop(caller_gone.changed().await),
        None => std::future::pending().await,
    }
}

fn mark_sent(intent: &mut Option<Intent>, sent: bool) {
    if let Some(intent) = intent {
        intent.sent = sent;
    }
}

/// Acquires a permit of a target and the permission of the quarantine.
async fn admit(
    context: &Context<'_>,
    call: &mut Call,
    avoid: Option<name::Target>,
) -> Result<(Permit, Clearance), Stop> {
    loop {
        let cleared = isolation::acquire(context.router, context.fingerprint, call.deadline).await;
        let clearance = cleared.map_err(|reason| call.end(reason))?;
        let started = context.router.clock.now();
        let request = controller::Request {
            shard: call.shard,
            key: call.key.clone(),
            tenant: call.tenant.clone(),
            urgency: call.class.urgency,
            deadline: call.deadline,
            avoid: avoid.clone(),
        };
        let acquired = context.local.admission.acquire(request).await;
        let now = context.router.clock.now();
        if let Some(meter) = &mut call.meter {
            meter.add_queue_wait(now.since(started));
        }
        let permit = acquired.map_err(|reason| not_admitted(call, reason))?;
        if let Clearance::Probe(_) = clearance {
            return Ok((permit, clearance));
        }
        // The request may have become a suspect while it was queued.
        let recheck = isolation::try_acquire(context.router, context.fingerprint);
        if let Some(clearance) = recheck.map_err(|reason| call.end(reason))? {
            return Ok((permit, clearance));
        }
    }
}

fn not_admitted(call: &Call, reason: Reason) -> Stop {
    match reason {
        Reason::NoCoordinator | Reason::Misdirected | Reason::NotReady => call.reroute(reason),
        _ => call.end(reason),
    }
}

/// Builds the request to a target.
fn request(context: &Context<'_>, call: &mut Call, permit: &Permit) -> Result<Request<Body>, Stop> {
    let remaining = timeout::for_hop(call.deadline, context.router.clock.now());
    let remaining = remaining.ok_or_else(|| call.end(Reason::DeadlineBeforeDispatch))?;
    let mut request = call.request().ok_or_else(|| call.end(Reason::NoOwner))?;
    let headers = request.headers_mut();
    fields::set(headers, names::TOKEN, &permit.token.to_string());
    fields::set(headers, names::SHARD, &call.shard.to_string());
    fields::set(headers, names::KEY, &key::to_field(&call.key));
    fields::set(headers, names::DEADLINE, &remaining.as_millis().to_string());
    Ok(request)
}

/// Validates the head of a response. Returns the event of the failed attempt, or `None` if the
/// response answers the call.
fn check_response(
    context: &Context<'_>,
    call: &Call,
    target: &name::Target,
    response: &Response<Incoming>,
) -> Option<Event> {
    let headers = response.headers();
    let id = fields::text(headers, names::REQUEST_ID);
    let refused = fields::text(headers, names::REFUSED);
    // Some refusals are sent before the target has read the request ID.
    let matches = id == Some(&*call.id) || (id.is_none() && refused.is_some());
    if !matches || response.status().is_informational() {
        return Some(Event::BadAnswer);
    }
    if let Some(incarnation) = fields::text(headers, names::INCARNATION) {
        let hash = || shard::hash(incarnation.as_bytes());
        let number = incarnation.parse().unwrap_or_else(|_| hash());
        context.router.record_incarnation(target, number);
    }
    let reason = refused?;
    if !matches!(response.status().as_u16(), 409 | 503 | 504) {
        return Some(Event::BadAnswer);
    }
    context.router.report(report::Event::Refused {
        group: context.group.name.clone(),
        target: target.clone(),
        reason: reason.chars().take(64).collect(),
    });
    match reason {
        "deadline" => Some(Event::Refused(Reason::DeadlineBeforeDispatch)),
        "shed" => Some(Event::Refused(Reason::Overloaded)),
        _ => Some(Event::Refused(Reason::TargetRefused)),
    }
}

/// Ends an attempt whose response is not relayed.
async fn finish_refused(
    context: &Context<'_>,
    event: Event,
    permit: Permit,
    response: Response<Incoming>,
    checkout: Checkout,
) -> Event {
    let shed = event == Event::Refused(Reason::Overloaded);
    permit.finish(if shed { Completion::Shed } else { Completion::Failed });
    if event != Event::BadAnswer && exchange::drain(response.into_body()).await {
        context.router.pool.release(checkout);
    }
    event
}

/// Reports a failed exchange. A lost connection makes the request a suspect.
fn report_failure(context: &Context<'_>, target: &name::Target, event: Event, refused: bool) {
    let group = context.group.name.clone();
    match event {
        Event::ConnectFailed => {
            let target = target.clone();
            context.router.report(report::Event::ConnectFailed { group, target, refused });
        }
        Event::Lost => report_crash(context.router, &group, target, context.fingerprint),
        Event::Unsent
        | Event::Refused(_)
        | Event::GivenUp
        | Event::BodyLost
        | Event::BadAnswer
        | Event::TimedOut { .. } => {}
    }
}

fn report_crash(
    router: &Router,
    group: &name::Group,
    target: &name::Target,
    fingerprint: Fingerprint,
) {
    let incarnation = router.incarnation(target);
    let crash = Crash { target: target.clone(), incarnation };
    router.quarantine().record_crash(fingerprint, crash, router.clock.now());
    let (group, target) = (group.clone(), target.clone());
    router.report(report::Event::Lost { group, target, incarnation, fingerprint });
}

/// Resources that are held until the response has been relayed.
struct Resources {
    permit: Permit,
    clearance: Clearance,
    intent: Option<Intent>,
}

/// Handler of a response from a target.
struct TargetHandler {
    base: Base,
    resources: Resources,
    group: name::Group,
    fingerprint: Fingerprint,
    status: u16,
    content_type: Arc<str>,
    /// Body so far, for the ledger; `None` if it is too long or not recorded.
    recorded_body: Option<Vec<u8>>,
}

impl Handler for TargetHandler {
    fn data(&mut self, bytes: &Bytes) {
        let Some(recorded_body) = &mut self.recorded_body else { return };
        if recorded_body.len() + bytes.len() > MAX_RECORDED_BODY_BYTES {
            self.recorded_body = None;
        } else {
            recorded_body.extend_from_slice(bytes);
        }
    }

    fn complete(self: Box<Self>) {
        let Self { base, resources, fingerprint, status, content_type, recorded_body, .. } = *self;
        if let Some(intent) = resources.intent {
            let body = recorded_body.map(Arc::from);
            intent.finish(ledger::Answer { status, content_type, body });
        }
        if base.router.quarantine().record_completion(fingerprint) {
            base.router.suspect_released.notify_waiters();
        }
        drop(resources.clearance);
        resources.permit.finish(Completion::Answered);
        base.complete();
    }

    fn truncated(self: Box<Self>, lost: bool) {
        let Self { base, resources, group, fingerprint, .. } = *self;
        if lost {
            report_crash(&base.router, &group, &resources.permit.target, fingerprint);
        }
        base.truncated();
    }
}

/// Relays the response of a target.
fn relay_response(
    context: &Context<'_>,
    call: &mut Call,
    response: Response<Incoming>,
    checkout: Checkout,
    resources: Resources,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let now = context.router.clock.now();
    call.trace.add(now, format!("{}: answer {} begins", resources.permit.target, parts.status));
    fields::remove_hop_by_hop(&mut parts.headers);
    fields::remove_between_instances(&mut parts.headers);
    let content_type = parts.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("");
    let recorded_body = resources.intent.is_some().then(Vec::new);
    let handler = TargetHandler {
        group: context.group.name.clone(),
        fingerprint: context.fingerprint,
        status: parts.status.as_u16(),
        content_type: Arc::from(content_type),
        recorded_body,
        resources,
        base: Base {
            router: context.router.clone(),
            checkout,
            outcome: Outcome::Answered,
            meter: call.meter.take(),
            upload: call.payload.progress(),
        },
    };
    let body = response::relay(body, Box::new(handler), call.deadline, now);
    let mut response = Response::from_parts(parts, body);
    response::set_outcome(&mut response, Outcome::Answered, &call.id);
    response
}
