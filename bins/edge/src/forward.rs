//! The way of a request from its caller to a target and back.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use rand::seq::IteratorRandom;
use tokio::time::Instant;
use tokio::time::timeout_at;

use caraway_adapter::header as field;
use caraway_call::quarantine::Fingerprint;
use caraway_call::quarantine::Verdict;
use caraway_core::time::Clock;
use caraway_core::time::millis;
use caraway_fleet::admission;
use caraway_fleet::configuration::Configuration;
use caraway_fleet::configuration::Route;
use caraway_fleet::gap;
use caraway_fleet::load;
use caraway_fleet::load::Admission;
use caraway_fleet::load::Choice;
use caraway_fleet::load::Ending;
use caraway_fleet::load::choose;
use caraway_fleet::membership::Member;
use caraway_fleet::membership::Target;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::answer;
use crate::answer::Answer;
use crate::answer::Body;
use crate::flight::Flight;
use crate::http::Connection;
use crate::http::Head;
use crate::http::end_to_end;
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

/// Time in which a grant reaches its target after the instances have learned of it.
const GRANT_WAY: Duration = Duration::from_millis(120);

/// Time that must be left for another try.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// Part of the time in which an answer has its full value for which a request waits until this
/// instance has fewer requests at the owner of its key.
const TURN_SHARE: f64 = 0.35;

/// Time before the end of a leaving target's notice from which it gets no more requests.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Expected time of a request at a target of which nothing is known, in seconds.
const USUAL_TIME: f64 = 0.1;

/// Least size of an answer with its request, in kilobytes.
const LEAST_KB: f64 = 1.0;

/// Targets of the own failure domain and of the others among which one is chosen. Instances that
/// compare all targets by the same reports send to the same one at the same time.
const NEAR_SAMPLE: usize = 4;
const FAR_SAMPLE: usize = 3;

/// Part of the requests for which a target of which nothing is known is preferred, and the factor
/// on its expected time then. Without it, a new target that is slow at first would get nothing while
/// the others have room, and its speed would never be known.
const EXPLORE: f64 = 0.1;
const NEW: f64 = 0.1;

/// Requests that were answered for each one that is logged.
const SAMPLE: u64 = 64;

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
            dividers.entry(route.name.clone()).or_default().next(&route.parts)
        };
        let service = route.parts.get(index).or(route.parts.first())?.service.clone();
        let known = configuration.services.get(&service);
        let keyed = known.is_some_and(|service| service.keyed);
        let urgent = known.is_some_and(|service| route.rank < service.least_rank);
        let key = match number(field::KEY) {
            Some(text) if keyed => Some(text.trim().parse().ok()?),
            _ => None,
        };
        if let Some(key) = key {
            let mut demand = state.demand.borrow_mut();
            *demand.entry(service.clone()).or_default().entry(key).or_default() += 1;
        }
        let now = Clock.now();
        state.budget(&service, |budget| budget.request(now));
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
            self.tried.push(target.life.id.clone());
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
        let attempts = usize::try_from(self.route.attempts).unwrap_or(usize::MAX);
        // A target that does not own the key has not taken part in the request.
        let most = if self.last == Reason::NotOwner { attempts + 2 } else { attempts };
        if self.arrivals() >= most || self.left() < LEAST_LEFT {
            return false;
        }
        let now = Clock.now();
        if !self.state.budget(&self.service, |budget| budget.retry(now)) {
            emit(Event::RetryBudgetExhausted {
                service: caraway_core::name::Service::new(&self.service),
            });
            return false;
        }
        Metrics::count(&self.state.metrics.repeated, "service", &self.service);
        emit(Event::RequestRepeated {
            request_id: self.request.id.to_string(),
            service: self.service.to_string(),
            target: target.life.id.to_string(),
            reason: self.last.as_str().to_owned(),
            left_ms: millis(self.left()),
        });
        true
    }

    /// Returns the target that the request is sent to next.
    async fn target(&self) -> Result<Arc<Target>, Reason> {
        match self.key {
            Some(key) => self.owner(key).await,
            None => self.least_loaded(),
        }
    }

    /// Waits for the owner of a key.
    async fn owner(&self, key: u16) -> Result<Arc<Target>, Reason> {
        let end = Instant::now() + gap::WAIT.min(self.left() / 2);
        loop {
            let changed = self.state.changed.notified();
            let after_refusal = self.last == Reason::NotOwner && !self.tried.is_empty();
            let known = self.known_owner(key);
            let again = known
                .as_ref()
                .is_some_and(|known| after_refusal && self.tried.last() == Some(&known.life.id));
            let Some(target) = known else {
                let until = end.min(Instant::now() + self.gap(key));
                if timeout_at(until, changed).await.is_err() && self.known_owner(key).is_none() {
                    return Err(Reason::NoOwner);
                }
                continue;
            };
            if again {
                // The same target may own the key in a moment: its grant may be on the way.
                let until = end.min(Instant::now() + GRANT_WAY);
                if timeout_at(until, changed).await.is_err() {
                    return Ok(target);
                }
                continue;
            }
            let now = Clock.now();
            if !self.state.gauge(&target.life.id, |gauge| gauge.answers(now)) {
                return Err(Reason::OwnerUnreached);
            }
            self.room(&target)?;
            if self.turn(&target) {
                return Ok(target);
            }
            let wait = self.route.objective.mul_f64(TURN_SHARE);
            if timeout_at(self.request.received + wait, changed).await.is_err() {
                let now = Clock.now();
                let calm = self.state.gauge(&target.life.id, |gauge| gauge.calm(now));
                return if calm { Ok(target) } else { Err(Reason::Crowded) };
            }
        }
    }

    /// Returns how long the request may wait for an owner of a key that has none.
    fn gap(&self, key: u16) -> Duration {
        let first = self.first_of_run(key);
        self.state.gaps.borrow_mut().wait(&self.service, first, Clock.now())
    }

    /// Returns the first of the keys that have the same owner as a key and are next to it.
    fn first_of_run(&self, key: u16) -> u16 {
        let view = self.state.view.borrow();
        let span = view.services.get(&self.service).and_then(|owners| owners.span(key));
        span.map_or(key, |span| span.first)
    }

    fn known_owner(&self, key: u16) -> Option<Arc<Target>> {
        let view = self.state.view.borrow();
        let (life, granted) = view.services.get(&self.service)?.find(key)?;
        let registry = self.state.registry.borrow();
        let member = registry.get(&life.id).filter(|member| member.target.life == *life)?;
        let notice = self.state.settings.drain.saturating_sub(DRAIN_MARGIN);
        let leaving = member.leaving.is_some_and(|since| Clock.now().since(since) > notice);
        let target = (granted && !leaving).then(|| member.target.clone())?;
        let first = view.services.get(&self.service)?.span(key)?.first;
        self.state.gaps.borrow_mut().served(&self.service, first);
        Some(target)
    }

    /// Returns whether this instance may send another request to an owner of keys now.
    fn turn(&self, target: &Target) -> bool {
        let window = admission::window(target.slots, self.state.instances.borrow().len());
        let now = Clock.now();
        self.state.gauge(&target.life.id, |gauge| {
            gauge.running < window + u32::from(self.urgent || gauge.roomy(target.slots, now))
        })
    }

    /// Checks that the queue of a target leaves time for the request.
    fn room(&self, target: &Target) -> Result<(), Reason> {
        let now = Clock.now();
        let (expected, admitted) = self.state.gauge(&target.life.id, |gauge| {
            // What an owner cannot serve is taken from the less urgent requests.
            let decided = self.urgent || !self.tried.is_empty() || self.admitted.replace(true);
            let admitted = if decided { Admission::Through } else { gauge.admit(now) };
            (gauge.expected(target.slots, USUAL_TIME, now), admitted)
        });
        if expected * 0.7 > self.left().as_secs_f64() {
            return Err(Reason::Overloaded);
        }
        match admitted {
            Admission::Through => Ok(()),
            Admission::Rationed => Err(Reason::Rationed),
            Admission::Full => Err(Reason::Full),
        }
    }

    fn least_loaded(&self) -> Result<Arc<Target>, Reason> {
        let now = Clock.now();
        let registry = self.state.registry.borrow();
        let mut gauges = self.state.gauges.borrow_mut();
        let size = self.state.sizes.borrow().get(&self.service).copied().unwrap_or(0.0);
        let objective = self.route.objective.as_secs_f64().max(1e-3);
        let of_service = registry
            .members()
            .filter(|member| member.target.service == self.service && member.leaving.is_none());
        // Targets that cannot be reached, then those that failed it, are the last resort.
        let (mut good, mut silent, mut failed) = (Vec::new(), Vec::new(), Vec::new());
        for member in of_service {
            let gauge = gauges.get(&member.target.life.id);
            let reachable = gauge.is_none_or(|gauge| gauge.reachable(now));
            match (self.tried.contains(&member.target.life.id), reachable) {
                (false, true) => good.push(member),
                (false, false) => silent.push(member),
                (true, true) => failed.push(member),
                (true, false) => {}
            }
        }
        let all = [good, silent, failed].into_iter().find(|members| !members.is_empty());
        let Some(all) = all else {
            return Err(if self.unreached > 0 { Reason::Unreached } else { Reason::NoTarget });
        };
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            all.into_iter().partition(|m| m.target.domain == self.state.settings.domain);
        let mut random = rand::rng();
        let mut sample = near.into_iter().choose_multiple(&mut random, NEAR_SAMPLE);
        sample.extend(far.into_iter().choose_multiple(&mut random, FAR_SAMPLE));
        let mut targets = Vec::new();
        let mut choices = Vec::new();
        for member in sample {
            let target = &member.target;
            let gauge = gauges.entry(target.life.id.clone()).or_default();
            let new = gauge.untried() && rand::random::<f64>() < EXPLORE;
            let cold = if now < member.warm_at { 2.0 } else { 1.0 };
            let cold = if new { NEW } else { cold };
            let time = gauge.expected(target.slots, USUAL_TIME, now);
            let expected = time * cold * gauge.doubt() / objective;
            let fill = gauge.occupancy(now) / f64::from(target.slots.max(1));
            let near = target.domain == self.state.settings.domain;
            let distant_kb = if near { 0.0 } else { (size / 1024.0).max(LEAST_KB) };
            targets.push((target.clone(), time));
            choices.push(Choice { expected, fill, distant_kb });
        }
        let best = choose(&choices, &mut rand::random).and_then(|index| targets.get(index));
        let Some((target, time)) = best else { return Err(Reason::NoTarget) };
        if *time * 0.7 > self.left().as_secs_f64() {
            return Err(Reason::Overloaded);
        }
        Ok(target.clone())
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
                    flight.end(Ending::Unreached);
                    self.state.crashed(&target.life, &target.service);
                    emit(Event::TargetUnreached {
                        target: target.life.id.to_string(),
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
                flight.end(Ending::Abandoned);
                return Try::Unknown(Reason::Silent);
            }
            Ok(Err(error)) => {
                flight.end(Ending::Failed);
                // Some targets reset the connection when they are full.
                if sent.elapsed() < load::RESET {
                    self.state.gauge(&target.life.id, |gauge| gauge.full(Clock.now()));
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
        if self.state.suspicions.borrow_mut().broken(&target.life, self.fingerprint, now) {
            probe(self.state, target);
        }
        emit(Event::AnswerBroken {
            request_id: self.request.id.to_string(),
            target: target.life.id.to_string(),
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
        let refused = head.headers.contains_key(field::NOT_RUN);
        let load = text_of(&head, field::LOAD).and_then(field::load);
        self.state.gauge(&target.life.id, |gauge| {
            let (running, waiting, slots) = load.unwrap_or_default();
            if load.is_some() {
                gauge.report(running, waiting, slots, now);
            }
            if refused && waiting >= target.slots {
                gauge.full(now);
            }
        });
        let not_run = refused || head.status == 421;
        let own = text_of(&head, field::ATTEMPT) == Some(&*self.request.id);
        if !own && !not_run {
            // The rest of what comes on this connection belongs to other requests as well.
            flight.end(Ending::Failed);
            self.broken(target, "another request's id");
            return Try::Unknown(Reason::Foreign);
        }
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            flight.end(Ending::Failed);
            self.broken(target, "an encoded body");
            return Try::Unknown(Reason::Foreign);
        }
        let status = head.status;
        let ending = if status >= 500 { Ending::Failed } else { Ending::Answered };
        let mut answer =
            Answer::new(self.state.clone(), target.clone(), connection, flight, ending);
        if not_run {
            let reason = if status == 421 { Reason::NotOwner } else { Reason::Shed };
            answer.discard(if status == 421 { Ending::Abandoned } else { Ending::Failed }).await;
            return Try::NotRun(reason);
        }
        let small = head.length.is_none_or(|length| length <= GATHERED as u64);
        if small {
            match timeout_at(until, answer.gather(GATHERED)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    answer.end(Ending::Failed);
                    self.broken(target, &error.to_string());
                    return Try::Unknown(Reason::Broken);
                }
                Err(_) => {}
            }
        }
        if ending == Ending::Failed {
            Try::Failed(head, answer)
        } else {
            Try::Answered(head, answer)
        }
    }

    /// Returns the request as it is sent to a target.
    fn text(&self, target: &Target) -> Vec<u8> {
        let parts = &self.request.parts;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut text = BytesMut::with_capacity(512 + self.request.body.len());
        let line = |text: &mut BytesMut, name: &str, value: &[u8]| {
            text.extend_from_slice(name.as_bytes());
            text.extend_from_slice(b": ");
            text.extend_from_slice(value);
            text.extend_from_slice(b"\r\n");
        };
        // Writing to a buffer in memory does not fail.
        let _ = write!(text, "{} {path} HTTP/1.1\r\n", parts.method);
        for (name, value) in &parts.headers {
            if passed_on(&parts.headers, name.as_str()) {
                line(&mut text, name.as_str(), value.as_bytes());
            }
        }
        if !parts.headers.contains_key(header::HOST)
            && let Some(host) = parts.uri.host()
        {
            line(&mut text, "host", host.as_bytes());
        }
        let left = millis(self.left()).max(1).to_string();
        line(&mut text, field::DEADLINE_MS, left.as_bytes());
        line(&mut text, field::EXPECTED_TARGET, target.life.id.as_bytes());
        let bodiless = matches!(parts.method, Method::GET | Method::HEAD | Method::DELETE);
        if !self.request.body.is_empty() || !bodiless {
            line(&mut text, "content-length", self.request.body.len().to_string().as_bytes());
        }
        text.extend_from_slice(b"\r\n");
        text.extend_from_slice(&self.request.body);
        text.to_vec()
    }

    fn answered(&self, target: &Target, head: Head, answer: Answer) -> Response<Body> {
        let state = self.state;
        state.suspicions.borrow_mut().alive(&target.life);
        state.quarantine.borrow_mut().completed(self.fingerprint);
        let labels = [("service", self.service.to_string())];
        let answers = state.metrics.answered.get_or_create(&labels).inc();
        let held = self.request.received.elapsed();
        state.metrics.latency.get_or_create(&labels).observe(held.as_secs_f64());
        if let Some(length) = head.length
            && head.status < 300
        {
            let length = f64::from(u32::try_from(length).unwrap_or(u32::MAX));
            let mut sizes = state.sizes.borrow_mut();
            let size = sizes.entry(self.service.clone()).or_insert(length);
            *size += (length - *size) * 0.05;
        }
        let attempts = self.arrivals() as u64;
        if head.status >= 500 {
            self.log_failure(Reason::Failed, head.status);
        } else if answers.is_multiple_of(SAMPLE) {
            emit(Event::RequestAnswered {
                request_id: self.request.id.to_string(),
                route: self.route.name.to_string(),
                target: target.life.id.to_string(),
                status: head.status.into(),
                attempts,
                held_ms: millis(held),
                sampled: SAMPLE,
            });
        }
        answer::pass_on(head, answer)
    }

    fn key_text(&self) -> String {
        self.key.map(|key| key.to_string()).unwrap_or_default()
    }

    fn log_failure(&self, reason: Reason, status: u16) {
        emit(Event::RequestFailed {
            request_id: self.request.id.to_string(),
            route: self.route.name.to_string(),
            service: self.service.to_string(),
            key: self.key_text(),
            reason: reason.as_str().to_owned(),
            target: self.tried.last().map(ToString::to_string).unwrap_or_default(),
            status: status.into(),
            attempts: self.arrivals() as u64,
            held_ms: millis(self.request.received.elapsed()),
            config_version: self.state.version(),
            owners: owners_text(self.state),
        });
    }

    /// Answers a request that no target answered.
    fn give_up(&self, reason: Reason) -> Response<Body> {
        if !self.may_have_run {
            return refuse(self.state, self.request, Some(self), reason);
        }
        let late = reason == Reason::Silent;
        let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        self.log_failure(reason, status.as_u16());
        Metrics::count(&self.state.metrics.failed, "reason", reason.as_str());
        answer::plain(status, reason.as_str())
    }
}

/// Finds out whether a target that broke a request off has crashed. A connection that opens is kept for
/// the next request.
fn probe(state: &Rc<State>, target: &Target) {
    let (life, service, address) = (target.life.clone(), target.service.clone(), target.address);
    let own = state.clone();
    state.probes.borrow_mut().spawn_local(async move {
        match Connection::open(address, pool::OPEN).await {
            Ok(connection) => own.pool.put(address, connection),
            Err(_) => own.crashed(&life, &service),
        }
    });
}

/// Refuses a request that has not run and tells the caller when to come back.
fn refuse(
    state: &Rc<State>,
    request: &Request,
    call: Option<&Call<'_>>,
    reason: Reason,
) -> Response<Body> {
    let retry = reason.retry();
    emit(Event::RequestRefused {
        request_id: request.id.to_string(),
        route: call.map(|call| call.route.name.to_string()).unwrap_or_default(),
        service: call.map(|call| call.service.to_string()).unwrap_or_default(),
        key: call.map(Call::key_text).unwrap_or_default(),
        reason: reason.as_str().to_owned(),
        attempts: call.map_or(0, |call| call.arrivals() as u64),
        held_ms: millis(request.received.elapsed()),
        left_ms: call.map_or(0, |call| millis(call.left())),
        retry_ms: millis(retry),
        config_version: state.version(),
        owners: owners_text(state),
    });
    Metrics::count(&state.metrics.refused, "reason", reason.as_str());
    let mut response = answer::plain(StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
    let seconds = format!("{:.3}", retry.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

fn owners_text(state: &State) -> String {
    let version = state.view.borrow().version;
    format!("{}.{}", version.term, version.change)
}

fn text_of<'a>(head: &'a Head, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn fingerprint(request: &Request) -> Fingerprint {
    let path = request.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprint::new(request.parts.method.as_str(), path, Some(&request.body))
}

/// Returns whether a header of a caller is sent to the target. The length is set anew, and the body
/// has been read, so that there is nothing to wait for.
fn passed_on(headers: &HeaderMap, name: &str) -> bool {
    end_to_end(headers, name)
        && !field::SET_HERE.contains(&name)
        && !matches!(name, "content-length" | "expect")
}
