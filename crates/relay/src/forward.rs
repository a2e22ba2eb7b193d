//! Forwarding of a call to the coordinator of its group.

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

use crate::answer;
use crate::answer::Base;
use crate::answer::Tail;
use crate::body::Body;
use crate::call::Call;
use crate::call::Stop;
use crate::directory::Coordinator;
use crate::directory::Remote;
use crate::directory::Snapshot;
use crate::exchange;
use crate::exchange::Failure;
use crate::exchange::Order;
use crate::fields;
use crate::pool::Lease;
use crate::report;
use crate::router::Router;

/// Tail of an answer that a coordinator gave.
struct Passed(Base);

impl Tail for Passed {
    fn data(&mut self, _bytes: &Bytes) {}

    fn complete(self: Box<Self>) {
        self.0.complete();
    }

    fn truncated(self: Box<Self>, _lost: bool) {
        self.0.truncated();
    }
}

/// Sends a call to the coordinator of its group and returns the answer.
///
/// # Errors
///
/// The call has ended, or it may be offered to another coordinator.
pub async fn run(
    router: &Arc<Router>,
    remote: &Remote,
    group: &name::Group,
    version: u64,
    call: &mut Call,
) -> Result<Response<Body>, Stop> {
    let now = router.clock.now();
    let left = timeout::for_hop(call.deadline, now);
    let left = left.ok_or_else(|| call.refuse(Reason::DeadlineBeforeDispatch))?;
    let (permits, recall) = (call.permits(), call.recall());
    let mut request = call.request().ok_or_else(|| call.refuse(Reason::NoCoordinator))?;
    let headers = request.headers_mut();
    fields::set(headers, names::GROUP, group.as_str());
    fields::set(headers, names::TERM, &remote.term.to_string());
    fields::set(headers, names::SHARD, &call.shard.to_string());
    fields::set(headers, names::CLASS, call.class.name.as_str());
    fields::set(headers, names::DEADLINE, &left.as_millis().to_string());
    fields::set(headers, names::HOPS, "1");
    fields::set(headers, names::CONFIG, &version.to_string());
    let order = Order {
        address: remote.peer_address,
        limit: router.options.max_peer_connections,
        write_before: call.deadline,
        deadline: call.deadline,
        recall,
    };
    call.steps.add(now, format!("forwarded to {} for {group}", remote.instance));
    if let Some(meter) = &mut call.meter {
        meter.attempt();
    }
    let recalled = Box::pin(superseded(router, remote, group));
    let sent = exchange::send(&router.pool, router.clock, &order, request, recalled).await;
    let event = match sent {
        Ok((response, lease)) => match check(router, remote, group, call, &response) {
            // The refusal is about this attempt; an earlier one may have run the request.
            Ok(Outcome::Refused(reason)) if call.trail.may_have_run() => {
                return Err(call.refuse(reason));
            }
            Ok(outcome) => return Ok(pass(router, call, response, lease, outcome)),
            Err(event) => event,
        },
        Err(failure) => call.judge(failed(router, remote, failure)),
    };
    call.steps.add(router.clock.now(), format!("{}: {event:?}", remote.instance));
    let permits = caraway_call::attempt::Policy { buffered: call.payload.buffered(), ..permits };
    match call.trail.record(event, permits) {
        Verdict::End(outcome) => Err(Stop::End(outcome)),
        Verdict::Retry => again(router, call, event),
    }
}

/// Waits until the directory names another coordinator than `remote` for a group, or a higher term.
async fn superseded(router: &Router, remote: &Remote, group: &name::Group) {
    let mut changes = router.directory.changes();
    let stands = |snapshot: &Option<Arc<Snapshot>>| {
        snapshot.as_ref().is_none_or(|snapshot| match snapshot.coordinator(group) {
            Coordinator::Local(_) => false,
            Coordinator::Remote(row) => {
                row.term <= remote.term
                    && row.instance == remote.instance
                    && row.peer_address == remote.peer_address
            }
            Coordinator::Unknown => true,
        })
    };
    // The directory lives as long as the router, so the wait ends only with a change.
    let _ = changes.wait_for(|snapshot| !stands(snapshot)).await;
}

/// Offers a call again. A request that was not taken costs no budget: the coordinator changes and
/// nothing ran. Nor does one that was given up: those are bounded by what the former coordinator held
/// when it was replaced. An overloaded coordinator is asked again only within the budget.
fn again(router: &Router, call: &Call, event: Event) -> Result<Response<Body>, Stop> {
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
                Err(call.refuse(event.reason()))
            }
        }
    }
}

/// Returns the outcome that an answer reports, or what is wrong with the answer.
fn check(
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
            // The burst after a takeover can fill the queue for a moment. To end the call here would
            // make its outcome unknown, because the attempt that was given up may have run.
            Reason::Overloaded if call.class.repeatable && call.trail.may_have_run() => {
                Err(Event::Refused(Reason::Overloaded))
            }
            reason => Ok(Outcome::Refused(reason)),
        },
        Some(_) | None => Err(Event::BadAnswer),
    }
}

fn failed(router: &Router, remote: &Remote, failure: Failure) -> Event {
    if failure.event == Event::ConnectFailed {
        router.report(report::Event::PeerUnreachable {
            instance: remote.instance.clone(),
            address: remote.peer_address,
            refused: failure.refused,
        });
    }
    failure.event
}

/// Passes the answer of a coordinator on.
fn pass(
    router: &Arc<Router>,
    call: &mut Call,
    response: Response<Incoming>,
    lease: Lease,
    outcome: Outcome,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let now = router.clock.now();
    call.steps.add(now, format!("answer {} begins: {outcome:?}", parts.status));
    fields::remove_hop_by_hop(&mut parts.headers);
    fields::remove_between_instances(&mut parts.headers);
    let base = Base {
        router: router.clone(),
        lease,
        outcome,
        meter: call.meter.take(),
        upload: call.payload.progress(),
    };
    let body = answer::relay(body, Box::new(Passed(base)), call.deadline, now);
    let mut response = Response::from_parts(parts, body);
    answer::restate(&mut response, outcome);
    answer::mark(&mut response, outcome, &call.id);
    response
}
