//! How a request ends: an answer that is passed on, a failure or a refusal, each with its log line.

use std::rc::Rc;

use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;

use caraway_core::time::millis;
use caraway_fleet::membership::Target;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::answer;
use crate::answer::Answer;
use crate::answer::Body;
use crate::forward::Call;
use crate::forward::Request;
use crate::http::Head;
use crate::metrics::Metrics;
use crate::reason::Reason;
use crate::state::State;

/// Requests that were answered for each one that is logged.
const SAMPLE: u64 = 64;

impl Call<'_> {
    pub(super) fn answered(&self, target: &Target, head: Head, answer: Answer) -> Response<Body> {
        let state = self.state;
        state.suspicions.borrow_mut().record_answer(&target.incarnation);
        state.quarantine.borrow_mut().record_completion(self.fingerprint);
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
                target: target.incarnation.id.to_string(),
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
    pub(super) fn give_up(&self, reason: Reason) -> Response<Body> {
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

/// Refuses a request that has not run and tells the caller when to come back.
pub(super) fn refuse(
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
