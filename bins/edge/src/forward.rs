//! Request path: forwards requests from callers to targets, with retries, and returns the responses.

mod message;
mod outcome;
mod selection;

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::Instant;
use tokio::time::timeout_at;

use caraway_adapter::header as field;
use caraway_call::quarantine::Fingerprint;
use caraway_call::quarantine::Identity;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::configuration::Configuration;
use caraway_fleet::configuration::Route;
use caraway_fleet::load;
use caraway_fleet::load::Outcome;
use caraway_fleet::membership::Target;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::attempt::Attempt;
use crate::forward::outcome::refuse;
use crate::http::Connection;
use crate::http::Head;
use crate::http::READ_BYTES;
use crate::ingress::body::Body;
use crate::memory::Lease;
use crate::metrics::Metrics;
use crate::pool;
use crate::probe;
use crate::reason::Reason;
use crate::response;
use crate::response::TargetBody;
use crate::state::State;

pub use self::selection::DEFAULT_SERVICE_TIME;

/// Time beyond the deadline for which a target's response is awaited: the target itself reports a
/// missed deadline, and its response takes a round trip.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(120);

/// Idle time up to which a pooled connection is used for a non-idempotent request. If the target
/// closes an idle connection while the request is in transit, the outcome of the request is
/// unknown.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(2500);

/// Idle time up to which a pooled connection is used for an idempotent request.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(3600);

/// Largest response body that is buffered before it is forwarded, so that the request can be retried if the
/// response breaks off. Larger ones are streamed.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Number of targets to which a request could not be sent, after which it is refused. Each is tried
/// once; after this many failures, most likely all targets are unreachable.
const MAX_UNSENT: usize = 8;

/// Longest time for which a caller is taken to wait for the rest of a response, whatever it states.
const MAX_CALLER_WAIT: Duration = Duration::from_secs(3600);

/// Minimum time before the deadline for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// A request of a caller.
#[derive(Debug)]
pub struct Request {
    /// Head of the request.
    pub parts: Parts,
    /// Complete body.
    pub body: Body,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Id of the caller's attempt.
    pub id: Arc<str>,
    /// Time at which its head was read.
    pub received: Instant,
}

/// Result of an attempt.
enum Completion {
    /// The target responded, and the response is forwarded.
    Answered(Head, TargetBody),
    /// The request was not sent.
    Unsent(Reason),
    /// The target did not execute the request.
    NotExecuted(Reason),
    /// The request may have been executed.
    Unknown(Reason),
    /// The target executed the request and failed; its response is forwarded unless the request is retried.
    Failed(Head, TargetBody),
}

/// A request on its path, with the state of its attempts.
struct Call<'a> {
    state: &'a Rc<State>,
    request: &'a Request,
    route: &'a Route,
    service: Arc<str>,
    key: Option<u16>,
    /// Whether the route is more urgent than the least urgent route of the service.
    urgent: bool,
    deadline: Instant,
    /// Identifies equal requests of a caller in the quarantine.
    identity: Identity,
    /// Ids of the targets selected so far.
    selected: Vec<Arc<str>>,
    /// Number of selected targets to which the request could not be sent.
    unsent: usize,
    /// End of the first pause among the targets that can serve the request, if all are paused, or
    /// the time from which one of them may get a request again, if all are cold.
    pause_end: Cell<Option<Stamp>>,
    /// Time at which the caller stops waiting for the rest of a response.
    caller_deadline: Instant,
    /// Whether the admission control of the key's owner has already decided.
    admission_decided: Cell<bool>,
    /// Whether the current attempt is a probe in a pause of its target.
    probing: Cell<bool>,
    /// Whether any attempt may have been executed.
    may_have_executed: bool,
    /// Reason for which the latest attempt failed.
    last_reason: Reason,
}

/// Returns the route of a request.
fn find_route<'a>(configuration: &'a Configuration, parts: &Parts) -> Option<&'a Arc<Route>> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or("");
    configuration.route(host, parts.uri.path())
}

/// Returns the time that a caller waits for the response, according to the request.
fn requested_time(parts: &Parts) -> Option<Duration> {
    let text = parts.headers.get(field::DEADLINE_MS)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Properties of a request that are known before its body is read.
#[derive(Clone, Copy, Debug)]
pub struct Preview {
    /// Time from the arrival of the head to the deadline of the request.
    pub time_limit: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether its response may be streamed, and break off after a part of it was sent.
    pub streamed: bool,
}

/// Returns what is known of a request before its body is read, or `None` if it has no route.
pub fn preview(state: &State, configuration: &Configuration, parts: &Parts) -> Option<Preview> {
    let route = find_route(configuration, parts)?;
    let time_limit = requested_time(parts).map_or(route.timeout, |time| time.min(route.timeout));
    let streamed = route.large || state.streamed_routes.borrow().contains(&route.name);
    Some(Preview { time_limit, repeatable: route.repeatable, streamed })
}

/// Refuses a request that did not reach a target.
pub fn refuse_early(
    state: &Rc<State>,
    request: &Request,
    reason: Reason,
) -> Response<response::Body> {
    refuse(state, request, None, reason)
}

/// Forwards a request and returns the response for the caller.
pub async fn serve(state: &Rc<State>, request: &Request) -> Response<response::Body> {
    let Some(configuration) = state.configuration() else {
        return refuse(state, request, None, Reason::NoConfiguration);
    };
    let Some(route) = find_route(&configuration, &request.parts) else {
        return response::plain(StatusCode::NOT_FOUND, "no route");
    };
    let route = route.clone();
    let Some(mut call) = Call::new(state, request, &configuration, &route) else {
        return response::plain(StatusCode::BAD_REQUEST, "the key is not a number from 0 to 65535");
    };
    call.run().await
}

impl<'a> Call<'a> {
    fn new(
        state: &'a Rc<State>,
        request: &'a Request,
        configuration: &Configuration,
        route: &'a Arc<Route>,
    ) -> Option<Self> {
        let headers = &request.parts.headers;
        let text = |name| headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let requested = requested_time(&request.parts);
        let time_limit = requested.unwrap_or(route.timeout).min(route.timeout);
        let index = {
            let mut splitters = state.splitters.borrow_mut();
            splitters.entry(route.name.clone()).or_default().next(&route.splits)
        };
        let service = route.splits.get(index).or(route.splits.first())?.service.clone();
        let settings = configuration.services.get(&service);
        let keyed = settings.is_some_and(|service| service.keyed);
        let urgent = settings.is_some_and(|service| route.rank < service.least_urgent_rank);
        let key = match text(field::KEY) {
            Some(text) if keyed => Some(text.trim().parse().ok()?),
            _ => None,
        };
        if let Some(key) = key {
            let mut demand = state.demand.borrow_mut();
            *demand.entry(service.clone()).or_default().entry(key).or_default() += 1;
        }
        state.record_request(&service);
        state.with_classes(&service, |classes| classes.record_request(urgent, Clock.now()));
        Some(Self {
            state,
            request,
            route,
            service,
            key,
            urgent,
            deadline: request.received + time_limit,
            identity: identity(request),
            selected: Vec::new(),
            unsent: 0,
            pause_end: Cell::new(None),
            caller_deadline: request.received
                + requested.unwrap_or(route.timeout).min(MAX_CALLER_WAIT),
            admission_decided: Cell::new(false),
            probing: Cell::new(false),
            may_have_executed: false,
            last_reason: Reason::NoTarget,
        })
    }

    /// Returns the time left until the deadline, or until the targets' latest deadline if the process stops.
    fn time_left(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.state.shutdown.limit(left)
    }

    async fn run(&mut self) -> Response<response::Body> {
        loop {
            let now = Clock.now();
            if self.state.quarantine.borrow().refuses(self.identity, now) {
                emit(Event::RequestQuarantined {
                    request_id: self.request.id.to_string(),
                    route: self.route.name.to_string(),
                });
                return self.fail(Reason::Quarantined);
            }
            let target = match self.select_target().await {
                Ok(target) => target,
                Err(reason) => return self.fail(reason),
            };
            self.selected.push(target.incarnation.id.clone());
            match self.attempt(&target).await {
                Completion::Answered(head, body) => return self.respond(&target, head, body),
                Completion::Unsent(Reason::MemoryShort) => {
                    self.unsent += 1;
                    return self.fail(Reason::MemoryShort);
                }
                Completion::Unsent(reason) => {
                    self.last_reason = reason;
                    // The request was not sent, so this is neither an attempt nor a retry.
                    self.unsent += 1;
                    if self.unsent < MAX_UNSENT && self.time_left() > MIN_TIME_LEFT {
                        continue;
                    }
                    return self.fail(self.last_reason);
                }
                Completion::NotExecuted(reason) => self.last_reason = reason,
                Completion::Unknown(reason) => {
                    self.may_have_executed = true;
                    self.last_reason = reason;
                    if !self.route.repeatable || reason == Reason::Stopping {
                        return self.fail(reason);
                    }
                }
                Completion::Failed(head, body) => {
                    self.may_have_executed = true;
                    self.last_reason = Reason::Failed;
                    if !self.route.repeatable || !self.try_retry(&target) {
                        return self.respond(&target, head, body);
                    }
                    continue;
                }
            }
            if !self.try_retry(&target) {
                return self.fail(self.last_reason);
            }
        }
    }

    /// Returns the number of attempts, excluding targets to which the request was not sent.
    fn attempts(&self) -> usize {
        self.selected.len().saturating_sub(self.unsent)
    }

    /// Takes a retry from the budget; returns whether the request may be retried.
    fn try_retry(&self, target: &Target) -> bool {
        let max_attempts = usize::try_from(self.route.max_attempts).unwrap_or(usize::MAX);
        // A target that does not own the key has not executed the request, so two more attempts are
        // allowed.
        let limit =
            if self.last_reason == Reason::NotOwner { max_attempts + 2 } else { max_attempts };
        if self.attempts() >= limit || self.time_left() < MIN_TIME_LEFT {
            return false;
        }
        if !self.state.try_retry(&self.service) {
            emit(Event::RetryBudgetExhausted {
                service: caraway_core::name::Service::new(&self.service),
            });
            return false;
        }
        Metrics::count(&self.state.metrics.retries, "service", &self.service);
        emit(Event::RequestRepeated {
            request_id: self.request.id.to_string(),
            service: self.service.to_string(),
            target: target.incarnation.id.to_string(),
            reason: self.last_reason.as_str().to_owned(),
            left_ms: millis(self.time_left()),
        });
        true
    }

    /// Sends the request to a target.
    async fn attempt(&self, target: &Arc<Target>) -> Completion {
        // Nothing is sent without memory for the beginning of the response, which would be lost after the request
        // has been executed.
        let lease = self.state.memory.lease(self.request.caller);
        lease.complete();
        if lease.grow(READ_BYTES, self.deadline).await.is_err() {
            return Completion::Unsent(Reason::MemoryShort);
        }
        let names = (self.request.id.clone(), self.identity);
        let attempt = Attempt::begin(self.state, target, names, self.urgent);
        let max_idle =
            if self.route.repeatable { MAX_IDLE_IDEMPOTENT } else { MAX_IDLE_NON_IDEMPOTENT };
        let mut connection = match self.state.pool.take(target.address, max_idle, &self.request.id)
        {
            Some(connection) => connection,
            None => {
                match Connection::open(target.address, pool::CONNECT_TIMEOUT.min(self.time_left()))
                    .await
                {
                    Ok(connection) => connection,
                    Err(error) => {
                        attempt.end_without_run(Outcome::Unreachable);
                        self.state.suspect_cold(target);
                        let loss = probe::loss(&error);
                        self.state.record_loss(&target.incarnation, &target.service, loss);
                        emit(Event::TargetUnreached {
                            target: target.incarnation.id.to_string(),
                            service: target.service.to_string(),
                            error: error.to_string(),
                        });
                        return Completion::Unsent(Reason::Unreachable);
                    }
                }
            }
        };
        // While the connection was opened, the target may have asked for a pause or have left.
        let excluded = self.state.exclusion(target, self.route.repeatable);
        if let Some(reason) = excluded.or_else(|| self.take_warmup(target)) {
            attempt.end_without_run(Outcome::Deferred);
            self.state.keep_connection(target, connection);
            return Completion::Unsent(reason);
        }
        let probe = self.state.pauses.borrow_mut().begin_probe(&target.incarnation, Clock.now());
        self.probing.set(probe);
        connection.reset_on_close();
        connection.set_bodiless(self.request.parts.method == Method::HEAD);
        let (message, separate) = self.encode(target);
        let until = self.deadline + DEADLINE_GRACE;
        let sent = Instant::now();
        attempt.record_sent();
        let head = timeout_at(until, async {
            if separate && !self.route.repeatable {
                // An order that is given up cannot be sent again. Others have a better chance at another target.
                connection.set_acknowledgment_timeout(self.time_left() + DEADLINE_GRACE)?;
            }
            connection.send(&message).await?;
            for piece in self.request.body.pieces().filter(|_| separate) {
                connection.send(piece).await?;
            }
            self.state.record_sent(target);
            connection.read_head(&lease).await
        });
        let head = tokio::select! {
            head = head => head,
            () = self.state.shutdown.wait_for_failing() => {
                attempt.give_up(Outcome::Abandoned);
                return Completion::Unknown(Reason::Stopping);
            }
        };
        let head = match head {
            Err(_) => {
                attempt.give_up(Outcome::Abandoned);
                return Completion::Unknown(Reason::TimedOut);
            }
            Ok(Err(error)) => {
                attempt.break_off(&error.to_string());
                // Overloaded targets may reset the connection at once.
                if sent.elapsed() < load::OVERLOAD_RESET_WINDOW {
                    self.state.with_estimate(&target.incarnation.id, |estimate| {
                        estimate.record_overload(Clock.now())
                    });
                }
                return Completion::Unknown(Reason::ConnectionLost);
            }
            Ok(Ok(head)) => head,
        };
        self.classify(target, attempt, connection, lease, head, until).await
    }

    /// Classifies a response whose head was read.
    async fn classify(
        &self,
        target: &Arc<Target>,
        attempt: Attempt,
        mut connection: Connection,
        lease: Lease,
        head: Head,
        until: Instant,
    ) -> Completion {
        let now = Clock.now();
        let refused = head.headers.contains_key(field::NOT_EXECUTED);
        let not_executed = refused || head.status == 421;
        if !self.belongs(&head, &connection, not_executed) {
            // The connection is out of sync, so later responses on it would not match either.
            attempt.break_off("the response belongs to another request");
            return Completion::Unknown(Reason::Mismatched);
        }
        connection.record_response(&self.request.id);
        attempt.record_response();
        if not_executed {
            let repeated = header_text(&head, field::ATTEMPT).is_some();
            connection.record_refusal(repeated.then_some(&self.request.id));
        }
        let paused = self.observe(target, &head, &mut connection);
        if self.probing.get() && !not_executed {
            self.state.pauses.borrow_mut().record_probe_answer(&target.incarnation);
        }
        let load = header_text(&head, field::LOAD).and_then(field::parse_load);
        self.state.with_estimate(&target.incarnation.id, |estimate| {
            let field::Load { running, waiting, slots, slowdown } = load.unwrap_or_default();
            if load.is_some() {
                estimate.record_report(running, waiting, slots, now);
            }
            if let Some(slowdown) = slowdown {
                estimate.record_slowdown(slowdown, now);
            }
            if refused && waiting >= target.slots {
                estimate.record_overload(now);
            }
        });
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            attempt.break_off("the response body has a content encoding");
            return Completion::Unknown(Reason::Mismatched);
        }
        let status = head.status;
        if is_unsigned_success(&head) {
            attempt.break_off("the success has no signature of the target");
            return Completion::Unknown(Reason::Mismatched);
        }
        let outcome = if status >= 500 { Outcome::Failed } else { Outcome::Answered };
        let mut body = TargetBody::new(
            self.state.clone(),
            target.clone(),
            connection,
            attempt,
            outcome,
            lease,
        );
        body.set_deadline(self.caller_deadline + DEADLINE_GRACE);
        if not_executed {
            let reason = if status == 421 { Reason::NotOwner } else { Reason::Shed };
            let outcome = match status {
                421 => Outcome::Abandoned,
                _ if paused => Outcome::Deferred,
                _ => Outcome::Failed,
            };
            body.attempt().end_without_run(outcome);
            body.discard().await;
            return Completion::NotExecuted(reason);
        }
        let buffered = head.length.is_none_or(|length| length <= MAX_BUFFERED_BYTES as u64);
        if buffered {
            match timeout_at(until, body.buffer(MAX_BUFFERED_BYTES)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    body.attempt().break_off(&error.to_string());
                    return Completion::Unknown(Reason::ConnectionLost);
                }
                Err(_) => {}
            }
        }
        if !body.is_complete() {
            self.state.streamed_routes.borrow_mut().insert(self.route.name.clone());
        }
        if matches!(status, 408 | 429 | 503) {
            // These promise callers that the request was not executed, which the target has not said.
            body.attempt().give_up(Outcome::Failed);
            Completion::Unknown(Reason::Failed)
        } else if outcome == Outcome::Failed {
            Completion::Failed(head, body)
        } else {
            Completion::Answered(head, body)
        }
    }
}

impl Call<'_> {
    /// Returns whether a response belongs to this request. It repeats the id of its request. A
    /// refusal may lack the id if nothing else than this request can have caused it: the connection
    /// has carried no other response, after which a faulty target may send more.
    fn belongs(&self, head: &Head, connection: &Connection, not_executed: bool) -> bool {
        match header_text(head, field::ATTEMPT) {
            Some(id) => *id == *self.request.id && !connection.has_refused(id),
            None => {
                let unnamed = !head.headers.contains_key(field::ATTEMPT);
                unnamed && not_executed && connection.is_unused()
            }
        }
    }

    /// Records what a response says about the target itself: that it is leaving, or asks for a
    /// pause. Returns whether it asks for a pause.
    fn observe(&self, target: &Target, head: &Head, connection: &mut Connection) -> bool {
        let speaker = header_text(head, field::TARGET);
        if speaker.is_some_and(|id| *id != *target.incarnation.id) {
            // Another target has got the address.
            return false;
        }
        self.state.record_warmup(target, head);
        if header_text(head, field::LEAVING).is_some_and(field::is_leaving) {
            connection.close_after_response();
            let (now, source) = (Clock.now(), &self.state.settings.name);
            self.state.record_departure(&target.incarnation, now, source);
        }
        let asked = head.headers.get(header::RETRY_AFTER).filter(|_| head.status == 503);
        let Some(value) = asked else { return false };
        match value.to_str().ok().and_then(field::parse_pause) {
            Some(asked) => {
                self.state.record_pause(target, asked, self.probing.get());
                true
            }
            None => {
                emit(Event::PauseInvalid {
                    target: target.incarnation.id.to_string(),
                    service: target.service.to_string(),
                    value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
                });
                false
            }
        }
    }
}

/// Returns whether a response claims success without the signature with which a target proves that it is its own.
fn is_unsigned_success(head: &Head) -> bool {
    let signature = head.headers.get(field::SIGNATURE);
    (200..300).contains(&head.status) && signature.is_none_or(|value| value.is_empty())
}

/// Returns a header field of a response, if it is valid text.
fn header_text<'a>(head: &'a Head, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

/// Returns the content and the caller by which the quarantine identifies equal requests.
fn identity(request: &Request) -> Identity {
    let path = request.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = request.parts.method.as_str();
    let fingerprint = Fingerprint::of_hash(method, path, Some(request.body.hash()));
    Identity { fingerprint, caller: Some(request.caller).into() }
}
