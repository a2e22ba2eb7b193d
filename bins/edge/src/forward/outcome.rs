//! Outcomes of a request: a forwarded response, a failure or a refusal, each with its log event.

use std::rc::Rc;

use hyper::Response;
use hyper::StatusCode;

use caraway_core::time::Clock;
use caraway_core::time::millis;
use caraway_fleet::membership::Target;
use caraway_fleet::pause;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::forward::Call;
use crate::forward::Request;
use crate::http::Head;
use crate::metrics::Metrics;
use crate::reason::Reason;
use crate::response;
use crate::response::Body;
use crate::response::TargetBody;
use crate::state::State;

/// One in this many forwarded responses is logged.
const LOG_SAMPLING: u64 = 64;

impl Call<'_> {
    /// Records and forwards the response of a target.
    pub(super) fn respond(&self, target: &Target, head: Head, body: TargetBody) -> Response<Body> {
        let state = self.state;
        let labels = [("service", self.service.to_string())];
        let count = state.metrics.answered.get_or_create(&labels).inc();
        let elapsed = self.request.received.elapsed();
        state.metrics.latency.get_or_create(&labels).observe(elapsed.as_secs_f64());
        if let Some(length) = head.length
            && head.status < 300
        {
            let length = f64::from(u32::try_from(length).unwrap_or(u32::MAX));
            let mut mean_sizes = state.response_sizes.borrow_mut();
            let mean = mean_sizes.entry(self.service.clone()).or_insert(length);
            *mean += (length - *mean) * 0.05;
        }
        let attempts = self.attempts() as u64;
        if head.status >= 500 {
            self.log_failure(Reason::Failed, head.status);
        } else if count.is_multiple_of(LOG_SAMPLING) {
            emit(Event::RequestAnswered {
                request_id: self.request.id.to_string(),
                route: self.route.name.to_string(),
                target: target.incarnation.id.to_string(),
                status: head.status.into(),
                attempts,
                held_ms: millis(elapsed),
                sampled: LOG_SAMPLING,
            });
        }
        response::forward(head, body)
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
            target: self.selected.last().map(ToString::to_string).unwrap_or_default(),
            status: status.into(),
            attempts: self.attempts() as u64,
            held_ms: millis(self.request.received.elapsed()),
            config_version: self.state.version(),
            owners: owners_version(self.state),
        });
    }

    /// Fails a request that has no response, or refuses it if it was not executed.
    pub(super) fn fail(&self, reason: Reason) -> Response<Body> {
        if !self.may_have_executed {
            return refuse(self.state, self.request, Some(self), reason);
        }
        let timed_out = reason == Reason::TimedOut;
        let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        self.log_failure(reason, status.as_u16());
        Metrics::count(&self.state.metrics.failed, "reason", reason.as_str());
        response::plain(status, reason.as_str())
    }
}

/// Refuses a request that was not executed, with a `retry-after` header.
pub(super) fn refuse(
    state: &Rc<State>,
    request: &Request,
    call: Option<&Call<'_>>,
    reason: Reason,
) -> Response<Body> {
    let now = Clock.now();
    let has_end = matches!(reason, Reason::Paused | Reason::WarmingUp);
    let pause_end = call.and_then(|call| call.pause_end.get()).filter(|_| has_end);
    let lacks_room = reason.is_lack_of_room();
    let room_delay = call.filter(|_| lacks_room).and_then(|call| call.return_delay(now));
    let retry_after = pause_end
        .map(|end| pause::return_delay(end, now, rand::random::<f64>()))
        .or(room_delay)
        .unwrap_or(reason.retry_after());
    emit(Event::RequestRefused {
        request_id: request.id.to_string(),
        route: call.map(|call| call.route.name.to_string()).unwrap_or_default(),
        service: call.map(|call| call.service.to_string()).unwrap_or_default(),
        key: call.map(Call::key_text).unwrap_or_default(),
        reason: reason.as_str().to_owned(),
        attempts: call.map_or(0, |call| call.attempts() as u64),
        held_ms: millis(request.received.elapsed()),
        left_ms: call.map_or(0, |call| millis(call.time_left())),
        retry_ms: millis(retry_after),
        config_version: state.version(),
        owners: owners_version(state),
    });
    Metrics::count(&state.metrics.refused, "reason", reason.as_str());
    if let Some(call) = call.filter(|_| lacks_room) {
        Metrics::count(&state.metrics.refused_for_room, "service", &call.service);
    }
    let mut response = response::plain(StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
    response::set_retry_after(&mut response, retry_after);
    response
}

/// Returns the version of the owners as text.
fn owners_version(state: &State) -> String {
    let version = state.view.borrow().version;
    format!("{}.{}", version.term.number, version.change)
}
