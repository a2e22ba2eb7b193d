//! Dispatch of a call to a target, on the coordinator of its group.

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

use crate::answer;
use crate::answer::Base;
use crate::answer::Tail;
use crate::body::Body;
use crate::call::Call;
use crate::call::Stop;
use crate::contain;
use crate::contain::Clearance;
use crate::detach;
use crate::directory::Local;
use crate::exchange;
use crate::exchange::Order;
use crate::fields;
use crate::key;
use crate::pool::Lease;
use crate::report;
use crate::router::Router;
use crate::ticket::Ticket;

/// Pause before the first retry; it doubles with each one, up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(2);

/// Longest pause before a retry. Ownership moves within 0.65 s, so some retries always see the result.
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// Longest answer body that is kept in the ledger, in bytes.
const KEPT_BODY_BYTES: usize = 16 * 1024;

/// What stays the same for all attempts of a call.
struct Run<'a> {
    router: &'a Arc<Router>,
    local: &'a Local,
    group: &'a Arc<Group>,
    fingerprint: Fingerprint,
    /// Closed when the caller has left; nothing if the call is cancelled with the caller anyway.
    gone: Option<watch::Receiver<()>>,
}

/// How an attempt ended.
enum Attempt {
    Answered(Box<Response<Body>>),
    Failed { event: Event, target: name::Target },
}

/// Runs a call on a target of a group that this instance coordinates.
///
/// # Errors
///
/// The call has ended, or this instance no longer coordinates the group.
pub async fn run(
    router: &Arc<Router>,
    local: &Local,
    group: &Arc<Group>,
    call: &mut Call,
) -> Result<Response<Body>, Stop> {
    match begin(router, local, group, call).await? {
        Begun::Run(None) => attempts(router, local, group, call, &mut None, None).await,
        Begun::Run(Some(ticket)) => detach::run(router, local, group, call, ticket).await,
        Begun::Replay(response) => Ok(*response),
    }
}

/// Sends a call until an attempt is answered. Nothing is sent any more once `gone` is closed.
///
/// # Errors
///
/// The call has ended, or this instance no longer coordinates the group.
pub async fn attempts(
    router: &Arc<Router>,
    local: &Local,
    group: &Arc<Group>,
    call: &mut Call,
    ticket: &mut Option<Ticket>,
    gone: Option<watch::Receiver<()>>,
) -> Result<Response<Body>, Stop> {
    let run = Run { router, local, group, fingerprint: call.fingerprint(), gone };
    let mut pause = FIRST_PAUSE;
    let mut avoid = None;
    loop {
        let (event, target) = match attempt(&run, call, ticket, avoid.take()).await? {
            Attempt::Answered(response) => return Ok(*response),
            Attempt::Failed { event, target } => (event, target),
        };
        let now = router.clock.now();
        call.steps.add(now, format!("{target}: {event:?}"));
        if let Verdict::End(outcome) = call.trail.record(event, call.permits()) {
            return Err(Stop::End(outcome));
        }
        let allowed = !costs_budget(event) || router.budget().try_retry(now);
        if !allowed || !timeout::allows_retry(call.deadline, now, pause) {
            return Err(call.refuse(event.reason()));
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
        avoid = Some(target);
    }
}

/// Returns true if a retry counts against the budget: if the attempt may have cost a target work, or
/// the target is overloaded. While ownership moves, many requests are not taken without any work
/// done; the pause between their retries is enough. Attempts that were given up are bounded by the
/// slots of the lost target, which does no more work for them.
fn costs_budget(event: Event) -> bool {
    let cost_work = event.may_have_run() && event != Event::GivenUp;
    cost_work || event == Event::Refused(Reason::Overloaded)
}

enum Begun {
    Run(Option<Ticket>),
    Replay(Box<Response<Body>>),
}

/// Looks a non-repeatable call up in the ledger and records its intent.
async fn begin(
    router: &Arc<Router>,
    local: &Local,
    group: &Arc<Group>,
    call: &mut Call,
) -> Result<Begun, Stop> {
    let key = match &call.idempotency {
        // Tenants choose their keys independently of each other.
        Some(key) if !call.class.repeatable => Arc::from(format!("{} {key}", call.tenant)),
        Some(_) | None => return Ok(Begun::Run(None)),
    };
    let decision = decide(router, local, &key, call).await;
    let now = router.clock.now();
    match decision {
        Decision::Run => {
            let ticket = Ticket::new(router, local, &group.name, &key);
            if let Err(reason) = ticket.replicate(call.deadline).await {
                ticket.withdraw().await;
                return Err(call.refuse(reason));
            }
            call.steps.add(router.clock.now(), "intent recorded at other instances");
            Ok(Begun::Run(Some(ticket)))
        }
        Decision::Replay(answer) => match &answer.body {
            Some(bytes) => {
                call.steps.add(now, "repeated the recorded answer");
                let response = answer::replay(&answer, bytes, &call.id);
                if let Some(meter) = call.meter.take() {
                    meter.end(crate::observe::End::Outcome(Outcome::Answered));
                }
                Ok(Begun::Replay(Box::new(response)))
            }
            // The request ran, but its answer was too long to be kept.
            None => Err(unknown(Reason::EarlierAttemptUnknown)),
        },
        Decision::Unknown => Err(unknown(Reason::EarlierAttemptUnknown)),
        Decision::HistoryIncomplete => Err(unknown(Reason::HistoryIncomplete)),
        Decision::InProgress => Err(call.refuse(Reason::InProgress)),
        Decision::KeyReused => Err(call.refuse(Reason::KeyReused)),
        Decision::Full => Err(call.refuse(Reason::Overloaded)),
    }
}

/// Looks a call up in the ledger. While an earlier submission runs, waits for its outcome; the number
/// of calls that wait is bounded.
async fn decide(router: &Arc<Router>, local: &Local, key: &Arc<str>, call: &Call) -> Decision {
    let digest = call.digest();
    let mut follower = None;
    loop {
        let concluded = router.concluded.notified();
        tokio::pin!(concluded);
        concluded.as_mut().enable();
        let now = router.clock.now();
        let decision = local.ledger().begin(key, digest, now);
        if decision != Decision::InProgress {
            return decision;
        }
        if follower.is_none() {
            follower = router.followers.clone().try_acquire_owned().ok();
            call.steps.add(now, "an earlier submission is running");
        }
        let left = timeout::remaining(call.deadline, now);
        let Some(left) = left.filter(|_| follower.is_some()) else { return decision };
        // The time limit only ends the wait; the next look finds that no time is left.
        let _ = timeout(left, concluded).await;
    }
}

fn unknown(reason: Reason) -> Stop {
    Stop::End(Outcome::Unknown(reason))
}

/// Sends a call to one target.
async fn attempt(
    run: &Run<'_>,
    call: &mut Call,
    ticket: &mut Option<Ticket>,
    avoid: Option<name::Target>,
) -> Result<Attempt, Stop> {
    let (permit, clearance) = tokio::select! {
        biased;
        () = left(run.gone.clone()) => return Err(call.refuse(Reason::DeadlineBeforeDispatch)),
        admitted = admit(run, call, avoid) => admitted?,
    };
    let target = permit.target.clone();
    let request = request(run, call, &permit)?;
    call.steps.add(run.router.clock.now(), format!("sent to {target} with token {}", permit.token));
    if let Some(meter) = &mut call.meter {
        meter.attempt();
    }
    let order = Order {
        address: permit.address,
        limit: usize::try_from(run.group.service.max_connections).unwrap_or(usize::MAX),
        write_before: permit.write_before.min(call.deadline),
        deadline: call.deadline,
        recall: call.recall(),
    };
    // If the exchange is dropped, the ticket is dropped in this state.
    mark_sent(ticket, true);
    let recalled = Box::pin(permit.revoked());
    let event =
        match exchange::send(&run.router.pool, run.router.clock, &order, request, recalled).await {
            Ok((response, lease)) => match check(run, call, &target, &response) {
                None => {
                    let held = Held { permit, clearance, ticket: ticket.take() };
                    let response = pass(run, call, response, lease, held);
                    return Ok(Attempt::Answered(Box::new(response)));
                }
                Some(event) => refused(run, event, permit, response, lease).await,
            },
            Err(failure) => {
                let event = call.judge(failure.event);
                failed(run, &target, event, failure.refused);
                event
            }
        };
    if !event.may_have_run() {
        mark_sent(ticket, false);
    }
    Ok(Attempt::Failed { event, target })
}

/// Waits until the caller has left.
async fn left(gone: Option<watch::Receiver<()>>) {
    match gone {
        // Nothing is sent on the channel, so it changes only by being closed.
        Some(mut gone) => drop(gone.changed().await),
        None => std::future::pending().await,
    }
}

fn mark_sent(ticket: &mut Option<Ticket>, sent: bool) {
    if let Some(ticket) = ticket {
        ticket.sent = sent;
    }
}

/// Waits for a permit and for the permission of the quarantine.
async fn admit(
    run: &Run<'_>,
    call: &mut Call,
    avoid: Option<name::Target>,
) -> Result<(Permit, Clearance), Stop> {
    loop {
        let cleared = contain::wait(run.router, run.fingerprint, call.deadline).await;
        let clearance = cleared.map_err(|reason| call.refuse(reason))?;
        let started = run.router.clock.now();
        let request = controller::Request {
            shard: call.shard,
            key: call.key.clone(),
            tenant: call.tenant.clone(),
            urgency: call.class.urgency,
            deadline: call.deadline,
            avoid: avoid.clone(),
        };
        let acquired = run.local.lane.acquire(request).await;
        let now = run.router.clock.now();
        if let Some(meter) = &mut call.meter {
            meter.waited(now.since(started));
        }
        let permit = acquired.map_err(|reason| not_admitted(call, reason))?;
        if let Clearance::Alone(_) = clearance {
            return Ok((permit, clearance));
        }
        // The request may have become a suspect while it waited in the queue.
        let asked = contain::ask(run.router, run.fingerprint);
        if let Some(clearance) = asked.map_err(|reason| call.refuse(reason))? {
            return Ok((permit, clearance));
        }
    }
}

fn not_admitted(call: &Call, reason: Reason) -> Stop {
    match reason {
        Reason::NoCoordinator | Reason::Misdirected | Reason::NotReady => call.reroute(reason),
        _ => call.refuse(reason),
    }
}

/// Makes the request to a target.
fn request(run: &Run<'_>, call: &mut Call, permit: &Permit) -> Result<Request<Body>, Stop> {
    let left = timeout::for_hop(call.deadline, run.router.clock.now());
    let left = left.ok_or_else(|| call.refuse(Reason::DeadlineBeforeDispatch))?;
    let mut request = call.request().ok_or_else(|| call.refuse(Reason::NoOwner))?;
    let headers = request.headers_mut();
    fields::set(headers, names::TOKEN, &permit.token.to_string());
    fields::set(headers, names::SHARD, &call.shard.to_string());
    fields::set(headers, names::KEY, &key::to_field(&call.key));
    fields::set(headers, names::DEADLINE, &left.as_millis().to_string());
    Ok(request)
}

/// Returns nothing if a response answers the call, otherwise what is wrong with it.
fn check(
    run: &Run<'_>,
    call: &Call,
    target: &name::Target,
    response: &Response<Incoming>,
) -> Option<Event> {
    let headers = response.headers();
    let id = fields::text(headers, names::REQUEST_ID);
    let refused = fields::text(headers, names::REFUSED);
    // Some refusals are given before the target has read the request's identity.
    let matches = id == Some(&*call.id) || (id.is_none() && refused.is_some());
    if !matches || response.status().is_informational() {
        return Some(Event::BadAnswer);
    }
    if let Some(incarnation) = fields::text(headers, names::INCARNATION) {
        let hash = || shard::hash(incarnation.as_bytes());
        let number = incarnation.parse().unwrap_or_else(|_| hash());
        run.router.record_incarnation(target, number);
    }
    let reason = refused?;
    if !matches!(response.status().as_u16(), 409 | 503 | 504) {
        return Some(Event::BadAnswer);
    }
    run.router.report(report::Event::Refused {
        group: run.group.name.clone(),
        target: target.clone(),
        reason: reason.chars().take(64).collect(),
    });
    match reason {
        "deadline" => Some(Event::Refused(Reason::DeadlineBeforeDispatch)),
        "shed" => Some(Event::Refused(Reason::Overloaded)),
        _ => Some(Event::Refused(Reason::TargetRefused)),
    }
}

/// Ends an attempt whose response is not passed on.
async fn refused(
    run: &Run<'_>,
    event: Event,
    permit: Permit,
    response: Response<Incoming>,
    lease: Lease,
) -> Event {
    let shed = event == Event::Refused(Reason::Overloaded);
    permit.finish(if shed { Completion::Shed } else { Completion::Failed });
    if event != Event::BadAnswer && exchange::drained(response.into_body()).await {
        run.router.pool.give_back(lease);
    }
    event
}

/// Reports a failed exchange. A lost connection makes the request a suspect.
fn failed(run: &Run<'_>, target: &name::Target, event: Event, refused: bool) {
    let group = run.group.name.clone();
    match event {
        Event::ConnectFailed => {
            let target = target.clone();
            run.router.report(report::Event::ConnectFailed { group, target, refused });
        }
        Event::Lost => suspect(run.router, &group, target, run.fingerprint),
        Event::Unsent
        | Event::Refused(_)
        | Event::GivenUp
        | Event::BodyLost
        | Event::BadAnswer
        | Event::TimedOut { .. } => {}
    }
}

fn suspect(router: &Router, group: &name::Group, target: &name::Target, fingerprint: Fingerprint) {
    let incarnation = router.incarnation(target);
    let crash = Crash { target: target.clone(), incarnation };
    router.quarantine().record_crash(fingerprint, crash, router.clock.now());
    let (group, target) = (group.clone(), target.clone());
    router.report(report::Event::Lost { group, target, incarnation, fingerprint });
}

/// What is held until the answer has been passed on.
struct Held {
    permit: Permit,
    clearance: Clearance,
    ticket: Option<Ticket>,
}

/// Tail of an answer that a target gave.
struct Served {
    base: Base,
    held: Held,
    group: name::Group,
    fingerprint: Fingerprint,
    status: u16,
    content_type: Arc<str>,
    /// The body so far, for the ledger; nothing if it is too long.
    kept: Option<Vec<u8>>,
}

impl Tail for Served {
    fn data(&mut self, bytes: &Bytes) {
        let Some(kept) = &mut self.kept else { return };
        if kept.len() + bytes.len() > KEPT_BODY_BYTES {
            self.kept = None;
        } else {
            kept.extend_from_slice(bytes);
        }
    }

    fn complete(self: Box<Self>) {
        let Self { base, held, fingerprint, status, content_type, kept, .. } = *self;
        if let Some(ticket) = held.ticket {
            let body = kept.map(Arc::from);
            ticket.finish(ledger::Answer { status, content_type, body });
        }
        if base.router.quarantine().record_completion(fingerprint) {
            base.router.settled.notify_waiters();
        }
        drop(held.clearance);
        held.permit.finish(Completion::Answered);
        base.complete();
    }

    fn truncated(self: Box<Self>, lost: bool) {
        let Self { base, held, group, fingerprint, .. } = *self;
        if lost {
            suspect(&base.router, &group, &held.permit.target, fingerprint);
        }
        base.truncated();
    }
}

/// Passes the answer of a target on.
fn pass(
    run: &Run<'_>,
    call: &mut Call,
    response: Response<Incoming>,
    lease: Lease,
    held: Held,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let now = run.router.clock.now();
    call.steps.add(now, format!("{}: answer {} begins", held.permit.target, parts.status));
    fields::remove_hop_by_hop(&mut parts.headers);
    fields::remove_between_instances(&mut parts.headers);
    let content_type = parts.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("");
    let kept = held.ticket.is_some().then(Vec::new);
    let tail = Served {
        group: run.group.name.clone(),
        fingerprint: run.fingerprint,
        status: parts.status.as_u16(),
        content_type: Arc::from(content_type),
        kept,
        held,
        base: Base {
            router: run.router.clone(),
            lease,
            outcome: Outcome::Answered,
            meter: call.meter.take(),
            upload: call.payload.progress(),
        },
    };
    let body = answer::relay(body, Box::new(tail), call.deadline, now);
    let mut response = Response::from_parts(parts, body);
    answer::mark(&mut response, Outcome::Answered, &call.id);
    response
}
