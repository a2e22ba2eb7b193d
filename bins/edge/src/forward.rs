//! The way of a request from its caller to a target and back.

mod choice;
mod ending;
mod message;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::Instant;
use tokio::time::timeout_at;

use caraway_adapter::header as field;
use caraway_call::quarantine::Fingerprint;
use caraway_call::quarantine::Verdict;
use caraway_core::time::Clock;
use caraway_core::time::millis;
use caraway_fleet::configuration::Configuration;
use caraway_fleet::configuration::Route;
use caraway_fleet::load;
use caraway_fleet::load::Outcome;
use caraway_fleet::membership::Target;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::answer;
use crate::answer::Answer;
use crate::answer::Body;
use crate::flight::Flight;
use crate::forward::ending::refuse;
use crate::http::Connection;
use crate::http::Head;
use crate::metrics::Metrics;
use crate::pool;
use crate::reason::Reason;
use crate::state::State;

/// Time after its deadline at which a target's own answer to it is still waited for: it reports
/// the deadline itself, and the answer needs a round trip.
const LAST_WORD: Duration = Duration::from_millis(120);

/// Age up to which an idle connection is used for a request that must not run twice. A target that
/// closes an idle connection while the request is on its way leaves its outcome unknown.
const FRESH: Duration = Duration::from_millis(2500);

/// Age up to which an idle connection is used for other requests.
const ANY_AGE: Duration = Duration::from_secs(3600);

/// Largest answer that is gathered before it is passed on, so that one that breaks off can be
/// asked for again. Larger ones are passed on as they come.
const GATHERED: usize = 64 << 10;

/// Targets that cannot be reached before a request is refused. Each is tried once; with this many in a
/// row, most likely all are out of reach.
const UNREACHED: usize = 8;

/// Time that must be left for another try.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// A request of a caller.
#[derive(Debug)]
pub struct Request {
    /// Head.
    pub parts: Parts,
    /// Whole body.
    pub body: Bytes,
    /// Id of the caller's attempt.
    pub id: Arc<str>,
    /// When its head was read.
    pub received: Instant,
}

/// What became of one try.
enum Try {
    /// The target answered; the answer is passed on.
    Answered(Head, Answer),
    /// The request did not run.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
    /// The target ran it and failed; its answer is passed on if there is no other try.
    Failed(Head, Answer),
}

struct Call<'a> {
    state: &'a Rc<State>,
    request: &'a Request,
    route: &'a Route,
    service: Arc<str>,
    key: Option<u16>,
    /// Whether other requests for the service are less urgent.
    urgent: bool,
    deadline: Instant,
    /// Its identity among requests that crash targets.
    fingerprint: Fingerprint,
    /// Targets that it was to be sent to, and how many of them could not be reached.
    tried: Vec<Arc<str>>,
    unreached: usize,
    /// Whether the owner's gate has decided about it.
    admitted: Cell<bool>,
    /// Whether it may have run.
    may_have_run: bool,
    last: Reason,
}

/// Serves a request.
pub async fn serve(state: &Rc<State>, request: &Request) -> Response<Body> {
    let Some(configuration) = state.configuration() else {
        return refuse(state, request, None, Reason::NoConfiguration);
    };
    let host = request.parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.parts.uri.host()).unwrap_or("");
    let Some(route) = configuration.route(host, request.parts.uri.path()) else {
        return answer::plain(StatusCode::NOT_FOUND, "no route");
    };
    let route = route.clone();
    let Some(mut call) = Call::new(state, request, &configuration, &route) else {
        return answer::plain(StatusCode::BAD_REQUEST, "the key is not a number from 0 to 65535");
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
        let number = |name| headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let stated = number(field::DEADLINE_MS).and_then(|text| text.trim().parse().ok());
        let patience = stated.map_or(route.timeout, Duration::from_millis).min(route.timeout);
        let index = {
            let mut dividers = state.dividers.borrow_mut();
            dividers.entry(route.name.clone()).or_default().next(&route.splits)
        };
        let service = route.splits.get(index).or(route.splits.first())?.service.clone();
        let known = configuration.services.get(&service);
        let keyed = known.is_some_and(|service| service.keyed);
        let urgent = known.is_some_and(|service| route.rank < service.least_urgent_rank);
        let key = match number(field::KEY) {
            Some(text) if keyed => Some(text.trim().parse().ok()?),
            _ => None,
        };
        if let Some(key) = key {
            let mut demand = state.demand.borrow_mut();
            *demand.entry(service.clone()).or_default().entry(key).or_default() += 1;
        }
        let now = Clock.now();
        state.budget(&service, |budget| budget.record_request(now));
        Some(Self {
            state,
            request,
            route,
            service,
            key,
            urgent,
            deadline: request.received + patience,
            fingerprint: fingerprint(request),
            tried: Vec::new(),
            unreached: 0,
            admitted: Cell::new(false),
            may_have_run: false,
            last: Reason::NoTarget,
        })
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    async fn run(&mut self) -> Response<Body> {
        loop {
            let now = Clock.now();
            if self.state.quarantine.borrow_mut().admit(self.fingerprint, now) == Verdict::Refuse {
                emit(Event::RequestQuarantined {
                    request_id: self.request.id.to_string(),
                    route: self.route.name.to_string(),
                });
                return self.give_up(Reason::Quarantined);
            }
            let target = match self.target().await {
                Ok(target) => target,
                Err(reason) => return self.give_up(reason),
            };
            self.tried.push(target.incarnation.id.clone());
            match self.attempt(&target).await {
                Try::Answered(head, answer) => return self.answered(&target, head, answer),
                Try::NotRun(Reason::Unreached) => {
                    self.last = Reason::Unreached;
                    // A connection that was not opened is no arrival at a target and costs no repeat.
                    self.unreached += 1;
                    if self.unreached < UNREACHED && self.left() > LEAST_LEFT {
                        continue;
                    }
                    return self.give_up(self.last);
                }
                Try::NotRun(reason) => self.last = reason,
                Try::Unknown(reason) => {
                    self.may_have_run = true;
                    self.last = reason;
                    if !self.route.repeatable {
                        return self.give_up(reason);
                    }
                }
                Try::Failed(head, answer) => {
                    self.may_have_run = true;
                    self.last = Reason::Failed;
                    if !self.route.repeatable || !self.repeat(&target) {
                        return self.answered(&target, head, answer);
                    }
                    continue;
                }
            }
            if !self.repeat(&target) {
                return self.give_up(self.last);
            }
        }
    }

    /// Returns the number of targets that it was sent to.
    fn arrivals(&self) -> usize {
        self.tried.len().saturating_sub(self.unreached)
    }

    /// Returns whether the request may be sent once more.
    fn repeat(&self, target: &Target) -> bool {
        let attempts = usize::try_from(self.route.max_attempts).unwrap_or(usize::MAX);
        // A target that does not own the key has not taken part in the request.
        let most = if self.last == Reason::NotOwner { attempts + 2 } else { attempts };
        if self.arrivals() >= most || self.left() < LEAST_LEFT {
            return false;
        }
        let now = Clock.now();
        if !self.state.budget(&self.service, |budget| budget.try_retry(now)) {
            emit(Event::RetryBudgetExhausted {
                service: caraway_core::name::Service::new(&self.service),
            });
            return false;
        }
        Metrics::count(&self.state.metrics.repeated, "service", &self.service);
        emit(Event::RequestRepeated {
            request_id: self.request.id.to_string(),
            service: self.service.to_string(),
            target: target.incarnation.id.to_string(),
            reason: self.last.as_str().to_owned(),
            left_ms: millis(self.left()),
        });
        true
    }

    /// Sends the request to a target.
    async fn attempt(&self, target: &Arc<Target>) -> Try {
        let flight = Flight::begin(self.state, target);
        let age = if self.route.repeatable { ANY_AGE } else { FRESH };
        let mut connection = match self.state.pool.take(target.address, age) {
            Some(connection) => connection,
            None => match Connection::open(target.address, pool::OPEN.min(self.left())).await {
                Ok(connection) => connection,
                Err(error) => {
                    flight.end(Outcome::Unreachable);
                    self.state.crashed(&target.incarnation, &target.service);
                    emit(Event::TargetUnreached {
                        target: target.incarnation.id.to_string(),
                        service: target.service.to_string(),
                        error: error.to_string(),
                    });
                    return Try::NotRun(Reason::Unreached);
                }
            },
        };
        connection.reset();
        let text = self.text(target);
        let until = self.deadline + LAST_WORD;
        let sent = Instant::now();
        let head = timeout_at(until, async {
            connection.send(&text).await?;
            connection.head().await
        });
        let head = match head.await {
            Err(_) => {
                flight.end(Outcome::Abandoned);
                return Try::Unknown(Reason::Silent);
            }
            Ok(Err(error)) => {
                flight.end(Outcome::Failed);
                // Some targets reset the connection when they are full.
                if sent.elapsed() < load::OVERLOAD_RESET_WINDOW {
                    self.state
                        .gauge(&target.incarnation.id, |gauge| gauge.record_overload(Clock.now()));
                }
                self.broken(target, &error.to_string());
                return Try::Unknown(Reason::Broken);
            }
            Ok(Ok(head)) => head,
        };
        self.sort(target, flight, connection, head, until).await
    }

    fn broken(&self, target: &Target, error: &str) {
        let now = Clock.now();
        if self.state.suspicions.borrow_mut().record_disconnect(
            &target.incarnation,
            self.fingerprint,
            now,
        ) {
            probe(self.state, target);
        }
        emit(Event::AnswerBroken {
            request_id: self.request.id.to_string(),
            target: target.incarnation.id.to_string(),
            error: error.to_owned(),
        });
    }

    /// Decides what an answer means.
    async fn sort(
        &self,
        target: &Arc<Target>,
        flight: Flight,
        connection: Connection,
        head: Head,
        until: Instant,
    ) -> Try {
        let now = Clock.now();
        let refused = head.headers.contains_key(field::NOT_EXECUTED);
        let load = text_of(&head, field::LOAD).and_then(field::parse_load);
        self.state.gauge(&target.incarnation.id, |gauge| {
            let (running, waiting, slots) = load.unwrap_or_default();
            if load.is_some() {
                gauge.record_report(running, waiting, slots, now);
            }
            if refused && waiting >= target.slots {
                gauge.record_overload(now);
            }
        });
        let not_run = refused || head.status == 421;
        let own = text_of(&head, field::ATTEMPT) == Some(&*self.request.id);
        if !own && !not_run {
            // The rest of what comes on this connection belongs to other requests as well.
            flight.end(Outcome::Failed);
            self.broken(target, "another request's id");
            return Try::Unknown(Reason::Foreign);
        }
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            flight.end(Outcome::Failed);
            self.broken(target, "an encoded body");
            return Try::Unknown(Reason::Foreign);
        }
        let status = head.status;
        let ending = if status >= 500 { Outcome::Failed } else { Outcome::Answered };
        let mut answer =
            Answer::new(self.state.clone(), target.clone(), connection, flight, ending);
        if not_run {
            let reason = if status == 421 { Reason::NotOwner } else { Reason::Shed };
            answer.discard(if status == 421 { Outcome::Abandoned } else { Outcome::Failed }).await;
            return Try::NotRun(reason);
        }
        let small = head.length.is_none_or(|length| length <= GATHERED as u64);
        if small {
            match timeout_at(until, answer.gather(GATHERED)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    answer.end(Outcome::Failed);
                    self.broken(target, &error.to_string());
                    return Try::Unknown(Reason::Broken);
                }
                Err(_) => {}
            }
        }
        if ending == Outcome::Failed {
            Try::Failed(head, answer)
        } else {
            Try::Answered(head, answer)
        }
    }
}

/// Finds out whether a target that broke a request off has crashed. A connection that opens is kept for
/// the next request.
fn probe(state: &Rc<State>, target: &Target) {
    let (own, target) = (state.clone(), target.clone());
    state.probes.borrow_mut().spawn_local(async move {
        match Connection::open(target.address, pool::OPEN).await {
            Ok(connection) => own.keep(&target, connection),
            Err(_) => own.crashed(&target.incarnation, &target.service),
        }
    });
}

fn text_of<'a>(head: &'a Head, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn fingerprint(request: &Request) -> Fingerprint {
    let path = request.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprint::new(request.parts.method.as_str(), path, Some(&request.body))
}
