//! Responses to callers: relayed from a target or another instance, or generated here.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header;
use hyper::header::HeaderValue;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use caraway_call::ledger;
use caraway_core::header as names;
use caraway_core::outcome::Outcome;
use caraway_core::time::Stamp;

use crate::body;
use crate::body::Body;
use crate::body::Progress;
use crate::errors::Error;
use crate::fields;
use crate::observe::End;
use crate::observe::Meter;
use crate::pool::Checkout;
use crate::router::Router;

/// Returns the response to a request that no target answered.
pub fn failure(outcome: Outcome, id: &str) -> Response<Body> {
    let (text, status) = match outcome {
        Outcome::Answered => (String::new(), 200),
        Outcome::Refused(reason) => (format!("refused: {reason}\n"), reason.status()),
        Outcome::Unknown(reason) => {
            (format!("outcome unknown: {reason}\n"), unknown_status(reason.status()))
        }
    };
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_outcome(&mut response, outcome, id);
    response
}

/// Returns the recorded response of an earlier submission.
pub fn replay(answer: &ledger::Answer, bytes: &Arc<[u8]>, id: &str) -> Response<Body> {
    let mut response = Response::new(body::full(Bytes::from_owner(bytes.clone())));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !value.is_empty()
    {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    set_outcome(&mut response, Outcome::Answered, id);
    response
}

/// Sets the outcome, reason and request ID headers.
pub fn set_outcome(response: &mut Response<Body>, outcome: Outcome, id: &str) {
    let headers = response.headers_mut();
    fields::set(headers, names::OUTCOME, outcome.as_str());
    fields::set(headers, names::REQUEST_ID, id);
    match outcome {
        Outcome::Answered => {
            headers.remove(names::REASON);
        }
        Outcome::Refused(reason) | Outcome::Unknown(reason) => {
            fields::set(headers, names::REASON, reason.as_str());
        }
    }
}

/// Replaces the status of a relayed response whose outcome has become unknown.
///
/// A refusal means that one attempt did not run; the outcome of the call is unknown if an earlier
/// attempt may have run.
pub fn adjust_status(response: &mut Response<Body>, outcome: Outcome) {
    if let Outcome::Unknown(reason) = outcome {
        let status = StatusCode::from_u16(unknown_status(reason.status()));
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    }
}

/// Returns the status of an unknown outcome. The status of a reason that by itself means "did not
/// run" is replaced by 502, because an earlier attempt may have run.
fn unknown_status(status: u16) -> u16 {
    if matches!(status, 502 | 504) { status } else { StatusCode::BAD_GATEWAY.as_u16() }
}

/// Receives the body of a relayed response and the way in which it ends.
pub trait Handler: Send {
    /// Called with each chunk of the body.
    fn data(&mut self, bytes: &Bytes);

    /// Called when the whole body has been relayed.
    fn complete(self: Box<Self>);

    /// Called when the body was cut off: by a connection failure if `lost` is true, otherwise by
    /// the deadline of the call. If the caller disconnects, the handler is dropped instead.
    fn truncated(self: Box<Self>, lost: bool);
}

/// State that every handler needs.
#[derive(Debug)]
pub struct Base {
    /// Data path that the response passes through.
    pub router: Arc<Router>,
    /// Connection that carries the response.
    pub checkout: Checkout,
    /// Outcome that is reported to the caller.
    pub outcome: Outcome,
    /// Measurement of the request, unless it was forwarded by another instance.
    pub meter: Option<Meter>,
    /// Progress of a streamed request body.
    pub upload: Option<Arc<Progress>>,
}

impl Base {
    /// Returns the connection to the pool and ends the measurement.
    ///
    /// If the response completed before the request body was sent, the connection is closed
    /// instead.
    pub fn complete(self) {
        if self.upload.is_none_or(|upload| upload.is_complete()) {
            self.router.pool.release(self.checkout);
        }
        if let Some(meter) = self.meter {
            meter.end(End::Outcome(self.outcome));
        }
    }

    /// Closes the connection and ends the measurement.
    pub fn truncated(self) {
        drop(self.checkout);
        if let Some(meter) = self.meter {
            meter.end(End::Truncated);
        }
    }
}

/// A response body that is relayed as it arrives.
struct RelayedBody {
    inner: Incoming,
    handler: Option<Box<dyn Handler>>,
    deadline_at: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

/// Returns a body that relays a response until the deadline.
pub fn relay(inner: Incoming, handler: Box<dyn Handler>, deadline: Stamp, now: Stamp) -> Body {
    if inner.is_end_stream() {
        handler.complete();
        return inner.map_err(Error::Http).boxed_unsync();
    }
    let deadline_at = Instant::now() + deadline.since(now);
    RelayedBody { inner, handler: Some(handler), deadline_at, timer: None }.boxed_unsync()
}

impl RelayedBody {
    fn complete(&mut self) {
        if let Some(handler) = self.handler.take() {
            handler.complete();
        }
    }

    fn fail(&mut self, error: Error) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(handler) = self.handler.take() {
            handler.truncated(matches!(error, Error::Http(_)));
        }
        Poll::Ready(Some(Err(error)))
    }

    /// Polls the deadline timer. It is created on the first wait, because most responses never
    /// wait.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let deadline_at = self.deadline_at;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline_at)));
        timer.as_mut().poll(cx)
    }
}

impl hyper::body::Body for RelayedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        // The timer is polled only while no data is ready, which may never happen with a slow
        // caller.
        if self.handler.is_some() && Instant::now() >= self.deadline_at {
            return self.fail(Error::Deadline);
        }
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending if self.poll_deadline(cx).is_ready() => self.fail(Error::Deadline),
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Err(error))) => self.fail(Error::Http(error)),
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(bytes), Some(handler)) = (frame.data_ref(), &mut self.handler) {
                    handler.data(bytes);
                }
                if self.inner.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
