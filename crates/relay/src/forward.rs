//! Forwarding of calls to the coordinators of their groups.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;

use caraway_call::attempt::Event;
use caraway_call::attempt::Verdict;
use caraway_call::timeout;
use caraway_core::header as names;
use caraway_core::name;
use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;

use crate::body::Body;
use crate::call::Call;
use crate::call::Stop;
use crate::directory::Coordinator;
use crate::directory::Remote;
use crate::directory::Snapshot;
use crate::exchange;
use crate::exchange::Failure;
use crate::exchange::Options;
use crate::fields;
use crate::pool::Checkout;
use crate::report;
use crate::response;
use crate::response::Base;
use crate::response::Handler;
use crate::router::Router;

/// Handler of a response from a coordinator.
struct CoordinatorHandler(Base);

impl Handler for CoordinatorHandler {
    fn data(&mut self, _bytes: &Bytes) {}

    fn complete(self: Box<Self>) {
        self.0.complete();
    }

    fn truncated(self: Box<Self>, _lost: bool) {
        self.0.truncated();
    }
}

/// Forwards a call to the coordinator of its group and returns the response.
///
/// # Errors
///
/// Fails if the call has ended or may be offered to another coordinator.
pub async fn run(
    router: &Arc<Router>,
    remote: &Remote,
    group: &name::Group,
    version: u64,
    call: &mut Call,
) -> Result<Response<Body>, Stop> {
    let now = router.clock.now();
    let remaining = timeout::for_hop(call.deadline, now);
    let remaining = remaining.ok_or_else(|| call.end(Reason::DeadlineBeforeDispatch))?;
    let (retry_policy, cancel_policy) = (call.retry_policy(), call.cancel_policy());
    let mut request = call.request().ok_or_else(|| call.end(Reason::NoCoordinator))?;
    let headers = request.headers_mut();
    fields::set(headers, names::GROUP, group.as_str());
    fields::set(headers, names::TERM, &remote.term.to_string());
    fields::set(headers, names::SHARD, &call.shard.to_string());
    fields::set(headers, names::CLASS, call.class.name.as_str());
    fields::set(headers, names::DEADLINE, &remaining.as_millis().to_string());
    fields::set(headers, names::HOPS, "1");
    fields::set(headers, names::CONFIG, &version.to_string());
    let options = Options {
        address: remote.peer_address,
        limit: router.options.max_peer_connections,
        write_before: call.deadline,
        deadline: call.deadline,
        cancel_policy,
    };
    call.trace.add(now, format!("forwarded to {} for {group}", remote.instance));
    if let Some(meter) = &mut call.meter {
        meter.count_attempt();
    }
    let cancelled = Box::pin(superseded(router, remote, group));
    let sent = exchange::send(&router.pool, router.clock, &options, request, cancelled).await;
    let event = match sent {
        Ok((response, checkout)) => match check_response(router, remote, group, call, &response) {
            // The refusal applies to this attempt only; an earlier one may have run the request.
            Ok(Outcome::Refused(reason)) if call.attempts.may_have_run() => {
                return Err(call.end(reason));
            }
            Ok(outcome) => return Ok(relay_response(router, call, response, checkout, outcome)),
            Err(event) => event,
        },
        Err(failure) => call.classify(report_failure(router, remote, failure)),
    };
    call.trace.add(router.clock.now(), format!("{}: {event:?}", remote.instance));
    let retry_policy =
        caraway_call::attempt::Policy { buffered: call.payload.is_sendable(), ..retry_policy };
    match call.attempts.record(event, retry_policy) {
        Verdict::End(outcome) => Err(Stop::End(outcome)),
        Verdict::Retry => retry(router, call, event),
    }
}

/// Waits until the directory lists another coordinator than `remote`, or a higher term, for a
/// group.
async fn superseded(router: &Router, remote: &Remote, group: &name::Group) {
    let mut changes = router.directory.changes();
    let unchanged = |snapshot: &Option<Arc<Snapshot>>| {
        snapshot.as_ref().is_none_or(|snapshot| match snapshot.coordinator(group) {
            Coordinator::Local(_) => false,
            Coordinator::Remote(current) => {
                current.term <= remote.term
                    && current.instance == remote.instance
                    && current.peer_address == remote.peer_address
            }
            Coordinator::Unknown => true,
        })
    };
    // The directory lives as long as the router, so the wait ends only with a change.
    let _ = changes.wait_for(|snapshot| !unchanged(snapshot)).await;
}

/// Decides whether a call is offered again. A request that was not accepted is not charged to the
/// retry budget, because the coordinator changes and nothing ran. Neither is an abandoned attempt:
/// their number is bounded by what the former coordinator held when it was replaced. Retries to an
/// overloaded coordinator are charged.
fn retry(router: &Router, call: &Call, event: Event) -> Result<Response<Body>, Stop> {
    match event {
        Event::ConnectFailed | Event::Unsent | Event::GivenUp => Err(Stop::Reroute(event.reason())),
        Event::Refused(reason) if reason != Reason::Overloaded => Err(Stop::Reroute(reason)),
        Event::Refused(_)
        | Event::Lost
        | Event::BodyLost
        | Event::BadAnswer
        | Event::TimedOut { .. } => {
            if router.budget().try_retry(router.clock.now()) {
                Err(Stop::Reroute(event.reason()))
            } else {
                Err(call.end(event.reason()))
            }
        }
    }
}

/// Returns the outcome that a response reports, or the event of the failed attempt.
fn check_response(
    router: &Router,
    remote: &Remote,
    group: &name::Group,
    call: &Call,
    response: &Response<Incoming>,
) -> Result<Outcome, Event> {
    let headers = response.headers();
    if fields::text(headers, names::REQUEST_ID) != Some(&*call.id) {
        return Err(Event::BadAnswer);
    }
    let reason = || fields::parsed::<Reason>(headers, names::REASON).ok_or(Event::BadAnswer);
    match fields::text(headers, names::OUTCOME) {
        Some("answered") => Ok(Outcome::Answered),
        // The coordinator lost the group after an attempt that may have run.
        Some("unknown") if call.class.repeatable && reason()? == Reason::Misdirected => {
            Err(Event::GivenUp)
        }
        Some("unknown") => Ok(Outcome::Unknown(reason()?)),
        Some("refused") => match reason()? {
            Reason::Misdirected => {
                let (group, term, instance) = (group.clone(), remote.term, remote.instance.clone());
                router.report(report::Event::Misdirected { group, term, instance });
                Err(Event::Refused(Reason::Misdirected))
            }
            Reason::NotReady => Err(Event::Refused(Reason::NotReady)),
            // The burst after a takeover can briefly fill the queue. Ending the call here would
            // make its outcome unknown, because the abandoned attempt may have run.
            Reason::Overloaded if call.class.repeatable && call.attempts.may_have_run() => {
                Err(Event::Refused(Reason::Overloaded))
            }
            reason => Ok(Outcome::Refused(reason)),
        },
        Some(_) | None => Err(Event::BadAnswer),
    }
}

fn report_failure(router: &Router, remote: &Remote, failure: Failure) -> Event {
    if failure.event == Event::ConnectFailed {
        router.report(report::Event::PeerUnreachable {
            instance: remote.instance.clone(),
            address: remote.peer_address,
            refused: failure.refused,
        });
    }
    failure.event
}

/// Relays the response of a coordinator.
fn relay_response(
    router: &Arc<Router>,
    call: &mut Call,
    response: Response<Incoming>,
    checkout: Checkout,
    outcome: Outcome,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let now = router.clock.now();
    call.trace.add(now, format!("answer {} begins: {outcome:?}", parts.status));
    fields::remove_hop_by_hop(&mut parts.headers);
    fields::remove_between_instances(&mut parts.headers);
    let base = Base {
        router: router.clone(),
        checkout,
        outcome,
        meter: call.meter.take(),
        upload: call.payload.progress(),
    };
    let body = response::relay(body, Box::new(CoordinatorHandler(base)), call.deadline, now);
    let mut response = Response::from_parts(parts, body);
    response::adjust_status(&mut response, outcome);
    response::set_outcome(&mut response, outcome, &call.id);
    response
}
