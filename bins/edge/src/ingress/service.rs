//! What is served on the connections of each listener.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::http::request::Parts;
use tokio::time::Instant;

use caraway_adapter::header as field;
use caraway_core::time::Clock;
use caraway_core::time::millis;
use caraway_fleet::configuration::Limits;
use caraway_fleet::reports::Reports;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::explain;
use crate::forward;
use crate::forward::Request;
use crate::ingress::head;
use crate::memory::Lease;
use crate::metrics::Metrics;
use crate::peers;
use crate::reason::Reason;
use crate::response;
use crate::response::Body;
use crate::state::State;

/// Largest message from another instance: the owners of several thousand holdings.
const MESSAGE_BYTES: usize = 4 << 20;

/// Paths of messages from other instances. Other paths are answered before a body is read.
const MESSAGE_PATHS: [&str; 4] =
    [peers::REPORT_PATH, peers::OWNERS_PATH, peers::ANNOUNCEMENT_PATH, peers::RETIRED_PATH];

/// Longest time for which a message of another instance arrives. Senders give up earlier.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time to receive a head, and idle time, of clients other than callers. Other instances reuse a connection for
/// up to 4 s.
const INTERNAL_TIMEOUTS: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(15));

/// Shortest header field: a name, a colon and a line break.
const SHORTEST_FIELD_BYTES: usize = 4;

/// What is served on a connection.
#[derive(Clone, Debug)]
pub enum Service {
    /// Requests of callers, which are forwarded to targets.
    Callers,
    /// The platform's readiness checks.
    Readiness,
    /// Messages of other instances.
    Instances(Rc<RefCell<Reports>>),
    /// Metrics in the text format, and explanations for operators.
    Metrics,
}

/// Limits of a request head.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// Largest head in bytes.
    pub max_bytes: usize,
    /// Largest number of header fields.
    pub max_fields: usize,
}

/// How a request is received.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Time from the arrival of the head to the deadline of the request.
    pub time_limit: Duration,
    /// Whether the request may run at the same time as others of its connection.
    pub repeatable: bool,
    /// Whether its response may break off after a part of it was sent, which closes the connection. Requests behind
    /// it do not run before it is answered.
    pub streamed: bool,
}

/// Reason why a body was not received.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// The body is longer than allowed.
    TooLong,
    /// There is no memory for the body.
    Shortage,
    /// The body did not arrive before the deadline of the request.
    Late,
    /// This instance stops before the body has arrived.
    Closing,
    /// The encoding of the body is invalid.
    Invalid(head::Problem),
}

impl Failure {
    fn as_str(&self) -> &'static str {
        match self {
            Self::TooLong => "too long",
            Self::Shortage => "no memory",
            Self::Late => "late",
            Self::Closing => "closing",
            Self::Invalid(_) => "invalid",
        }
    }
}

impl Service {
    /// Returns the name of the listener in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Instances(_) => "instances",
            Self::Metrics => "metrics",
        }
    }

    /// Returns the largest number of connections.
    pub fn max_connections(&self, state: &State) -> usize {
        match self {
            Self::Callers => state.descriptors.callers,
            Self::Readiness => state.descriptors.readiness,
            Self::Instances(_) => state.descriptors.instances,
            Self::Metrics => state.descriptors.metrics,
        }
    }

    /// Returns the longest time for a head to arrive, and the longest time without a request or without progress
    /// of a client that reads a response.
    pub fn timeouts(&self, state: &State) -> (Duration, Duration) {
        if !matches!(self, Self::Callers) {
            return INTERNAL_TIMEOUTS;
        }
        let current = state.active_configuration.borrow();
        let default = Limits::DEFAULT;
        current.as_ref().map_or((default.head_timeout, default.idle_timeout), |current| {
            (current.configuration.limits.head_timeout, current.idle_timeout(Clock.now()))
        })
    }

    /// Returns the limits of a request head.
    pub fn head_limits(&self, state: &State) -> HeadLimits {
        let limits = match self {
            Self::Callers => state.configuration().map(|configuration| configuration.limits),
            _ => None,
        };
        let allowed = limits.unwrap_or(Limits::DEFAULT).max_head_bytes;
        // The request line and the line breaks do not count as header fields.
        let max_fields = state.settings.ingress.max_header_fields;
        HeadLimits {
            max_bytes: allowed + allowed / 2,
            max_fields: max_fields.unwrap_or(allowed / SHORTEST_FIELD_BYTES),
        }
    }

    /// Returns how a request is received, or `None` if it is answered without its body.
    pub fn admit(&self, state: &State, parts: &Parts) -> Option<Plan> {
        match self {
            Self::Callers => {
                parts.headers.get(field::ATTEMPT)?.to_str().ok()?;
                let configuration = state.configuration()?;
                let preview = forward::preview(state, &configuration, parts)?;
                let limit = configuration.limits.max_body_bytes;
                Some(Plan {
                    max_body_bytes: usize::try_from(limit).unwrap_or(usize::MAX),
                    time_limit: preview.time_limit,
                    repeatable: preview.repeatable,
                    streamed: preview.streamed,
                })
            }
            Self::Instances(_) => MESSAGE_PATHS.contains(&parts.uri.path()).then_some(Plan {
                max_body_bytes: MESSAGE_BYTES,
                time_limit: MESSAGE_TIMEOUT,
                repeatable: true,
                streamed: false,
            }),
            Self::Readiness | Self::Metrics => None,
        }
    }

    /// Returns whether a request with this deadline may begin. A stopping process begins only requests of callers that
    /// end before it exits.
    pub fn has_time(&self, state: &State, deadline: Instant) -> bool {
        let left = deadline.saturating_duration_since(Instant::now());
        !matches!(self, Self::Callers) || state.shutdown.admits(left)
    }

    /// Returns the response to a caller's request that is not admitted, or `None` for other clients,
    /// whose requests are served without their bodies.
    pub fn reject(&self, state: &Rc<State>, request: &Request) -> Option<Response<Body>> {
        if !matches!(self, Self::Callers) {
            return None;
        }
        let id = request.parts.headers.get(field::ATTEMPT);
        let response = if id.is_none_or(|value| value.to_str().is_err()) {
            response::plain(StatusCode::BAD_REQUEST, "the id of the attempt is missing")
        } else if state.configuration().is_none() {
            forward::refuse_early(state, request, Reason::NoConfiguration)
        } else {
            response::plain(StatusCode::NOT_FOUND, "no route")
        };
        Some(response)
    }

    /// Returns the response to a request. `lease` is the memory of the request.
    pub async fn serve(self, state: Rc<State>, request: Request, lease: Lease) -> Response<Body> {
        match self {
            Self::Callers => {
                let _in_flight = InFlight::begin(&state);
                let running = usize::try_from(state.metrics.in_flight.get()).unwrap_or(0);
                if running > state.descriptors.requests {
                    return forward::refuse_early(&state, &request, Reason::TooManyRequests);
                }
                forward::serve(&state, &request).await
            }
            Self::Readiness => {
                let configured = state.configuration().is_some();
                let ready = !state.shutdown.is_stopping() && configured && state.is_current();
                let status = if request.parts.uri.path() != field::READY_PATH {
                    StatusCode::NOT_FOUND
                } else if ready {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                reply(status, String::new())
            }
            Self::Instances(reports) => handle_message(&state, &reports, request, &lease),
            Self::Metrics if request.parts.uri.path() == explain::PATH => {
                let query = request.parts.uri.query().unwrap_or("");
                let (status, answer) = explain::explain(&state, query);
                reply(status, answer.to_string())
            }
            Self::Metrics => reply(StatusCode::OK, state.metrics.render()),
        }
    }

    /// Records that the head of a request is invalid.
    pub fn record_invalid(&self, state: &State, caller: IpAddr, problem: &head::Problem) {
        Metrics::count(&state.metrics.heads_refused, "reason", problem.text);
        let (address, problem) = (caller.to_string(), problem.text.to_owned());
        emit(Event::CallerInvalid { address, problem });
    }

    /// Returns the response to a request whose body was not received.
    pub fn refuse_body(
        &self,
        state: &Rc<State>,
        request: &Request,
        failure: Failure,
    ) -> Response<Body> {
        Metrics::count(&state.metrics.bodies_refused, "reason", failure.as_str());
        emit(Event::BodyRefused {
            request_id: request.id.to_string(),
            address: request.caller.to_string(),
            reason: failure.as_str().to_owned(),
            held_ms: millis(request.received.elapsed()),
            memory_used: state.memory.used(),
        });
        match failure {
            Failure::Shortage => forward::refuse_early(state, request, Reason::MemoryShort),
            Failure::Closing => forward::refuse_early(state, request, Reason::Closing),
            Failure::TooLong => {
                response::plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
            }
            Failure::Late => {
                let text = "the body did not arrive before the deadline of the request";
                response::plain(StatusCode::REQUEST_TIMEOUT, text)
            }
            Failure::Invalid(problem) => response::plain(problem.status, problem.text),
        }
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlight<'a>(&'a State);

impl<'a> InFlight<'a> {
    fn begin(state: &'a State) -> Self {
        state.metrics.in_flight.inc();
        Self(state)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

fn reply(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    response
}

fn handle_message(
    state: &Rc<State>,
    reports: &Rc<RefCell<Reports>>,
    request: Request,
    lease: &Lease,
) -> Response<Body> {
    // The message is joined for its parser while its pieces are still held.
    if !lease.try_grow(request.body.len()) {
        return reply(StatusCode::SERVICE_UNAVAILABLE, "memory is short".to_owned());
    }
    let path = request.parts.uri.path().to_owned();
    let body = request.body.joined();
    let invalid = |error: serde_json::Error| reply(StatusCode::BAD_REQUEST, error.to_string());
    match path.as_str() {
        peers::REPORT_PATH => match serde_json::from_slice(&body) {
            Err(error) => invalid(error),
            Ok(report) => {
                let update = peers::handle_report(state, reports, report);
                match peers::encode_update(state, &update) {
                    Ok(text) => reply(StatusCode::OK, text),
                    Err(error) => reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
                }
            }
        },
        peers::OWNERS_PATH => match serde_json::from_slice(&body) {
            Err(error) => invalid(error),
            Ok(change) => {
                state.apply_owner_change(change);
                reply(StatusCode::OK, String::new())
            }
        },
        peers::ANNOUNCEMENT_PATH => {
            state.announcement.notify_one();
            reply(StatusCode::OK, String::new())
        }
        peers::RETIRED_PATH => match serde_json::from_slice::<peers::RetirementNotice>(&body) {
            Err(error) => invalid(error),
            Ok(notice) => {
                state.record_retirement(notice.received(Clock.now()));
                reply(StatusCode::OK, String::new())
            }
        },
        _ => reply(StatusCode::NOT_FOUND, String::new()),
    }
}
