//! Forwarding of a call to the coordinator of its group.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;

use caraway_call::attempt::Event;
use caraway_call::attempt::Verdict;
use caraway_call::patience;
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
use crate::directory::Changes;
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
    changes: &mut Changes,
    call: &mut Call,
) -> Result<Response<Body>, Stop> {
    let now = router.clock.now();
    let left = patience::for_hop(call.deadline, now);
    let left = left.ok_or_else(|| call.refuse(Reason::DeadlineBeforeDispatch))?;
    let permits = call.permits();
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
        limit: router.options.peer_connections,
        write_before: call.deadline,
        deadline: call.deadline,
    };
    call.steps.add(now, format!("forwarded to {} for {group}", remote.instance));
    if let Some(meter) = &mut call.meter {
        meter.attempt();
    }
    let movable = permits.repeatable && call.payload.buffered();
    let sent = tokio::select! {
        biased;
        sent = exchange::send(&router.pool, router.clock, &order, request) => sent,
        // A frozen coordinator would hold the request until patience ends.
        () = superseded(changes, group, remote.term), if movable => Err(Event::Lost.into()),
    };
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
    let permits = caraway_call::attempt::Call { buffered: call.payload.buffered(), ..permits };
    match call.trail.record(event, permits) {
        Verdict::End(outcome) => Err(Stop::End(outcome)),
        Verdict::Retry => again(router, call, event),
    }
}

/// Waits until the group has a coordinator of a later term.
async fn superseded(changes: &mut Changes, group: &name::Group, term: u64) {
    let later = |snapshot: &Option<Arc<Snapshot>>| {
        let known = snapshot.as_ref().and_then(|snapshot| snapshot.row(group).term());
        known.is_some_and(|known| known > term)
    };
    if changes.wait_for(later).await.is_err() {
        std::future::pending().await
    }
}

/// Offers a call again. A request that was not taken costs no budget: the coordinator changes and
/// nothing ran.
fn again(router: &Router, call: &Call, event: Event) -> Result<Response<Body>, Stop> {
    match event {
        Event::ConnectFailed | Event::Unsent | Event::Refused(_) => {
            Err(Stop::Reroute(event.reason()))
        }
        Event::Lost | Event::BodyLost | Event::BadAnswer | Event::TimedOut { .. } => {
            if router.budget().retry(router.clock.now()) {
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
        Some("unknown") => Ok(Outcome::Unknown(reason()?)),
        Some("refused") => match reason()? {
            Reason::Misdirected => {
                let (group, term, instance) = (group.clone(), remote.term, remote.instance.clone());
                router.report(report::Event::Misdirected { group, term, instance });
                Err(Event::Refused(Reason::Misdirected))
            }
            Reason::NotReady => Err(Event::Refused(Reason::NotReady)),
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
    answer::mark(&mut response, outcome, &call.id);
    response
}
