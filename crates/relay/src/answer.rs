//! The answer of a target or an instance on its way to the caller.

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
use crate::pool::Lease;
use crate::router::Router;

/// Makes the answer to a request that got none from a target.
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
    mark(&mut response, outcome, id);
    response
}

/// Makes the answer that repeats a recorded one. The body was kept.
pub fn replay(answer: &ledger::Answer, bytes: &Arc<[u8]>, id: &str) -> Response<Body> {
    let mut response = Response::new(body::full(Bytes::from_owner(bytes.clone())));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !value.is_empty()
    {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    mark(&mut response, Outcome::Answered, id);
    response
}

/// Sets the fields that tell the outcome.
pub fn mark(response: &mut Response<Body>, outcome: Outcome, id: &str) {
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

/// Sets the status of an answer whose outcome is less certain here than where it was given.
///
/// "Did not run" of one attempt is "unknown" for the call if an earlier attempt may have run.
pub fn restate(response: &mut Response<Body>, outcome: Outcome) {
    if let Outcome::Unknown(reason) = outcome {
        let status = StatusCode::from_u16(unknown_status(reason.status()));
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    }
}

/// A reason whose own status means "did not run" can also end a call whose earlier attempt may have
/// run; such an answer gets the status of an unknown outcome.
fn unknown_status(status: u16) -> u16 {
    if matches!(status, 502 | 504) { status } else { StatusCode::BAD_GATEWAY.as_u16() }
}

/// What has to be done when an answer has been passed on.
pub trait Tail: Send {
    /// Takes note of bytes of the body.
    fn data(&mut self, bytes: &Bytes);

    /// The body has been passed on completely.
    fn complete(self: Box<Self>);

    /// The body was cut off: because the connection failed, if `lost` is true, otherwise because the
    /// time of the call ended. A tail that is dropped was cut off by the caller.
    fn truncated(self: Box<Self>, lost: bool);
}

/// The parts of a tail that every answer has.
#[derive(Debug)]
pub struct Base {
    /// The instance.
    pub router: Arc<Router>,
    /// Connection of the exchange.
    pub lease: Lease,
    /// Outcome that the caller is told.
    pub outcome: Outcome,
    /// Measurement.
    pub meter: Option<Meter>,
    /// Progress of a streamed request body.
    pub upload: Option<Arc<Progress>>,
}

impl Base {
    /// Returns the connection to the pool and ends the measurement.
    ///
    /// If the answer came before the request body had been sent, the connection is closed instead.
    pub fn complete(self) {
        if self.upload.is_none_or(|upload| upload.ended()) {
            self.router.pool.give_back(self.lease);
        }
        if let Some(meter) = self.meter {
            meter.end(End::Outcome(self.outcome));
        }
    }

    /// Closes the connection and ends the measurement.
    pub fn truncated(self) {
        drop(self.lease);
        if let Some(meter) = self.meter {
            meter.end(End::Truncated);
        }
    }
}

/// Body of an answer that is passed on while it arrives.
struct Relayed {
    inner: Incoming,
    tail: Option<Box<dyn Tail>>,
    ends: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

/// Makes the body that passes an answer on until the deadline.
pub fn relay(inner: Incoming, tail: Box<dyn Tail>, deadline: Stamp, now: Stamp) -> Body {
    if inner.is_end_stream() {
        tail.complete();
        return inner.map_err(Error::Http).boxed_unsync();
    }
    let ends = Instant::now() + deadline.since(now);
    Relayed { inner, tail: Some(tail), ends, timer: None }.boxed_unsync()
}

impl Relayed {
    fn complete(&mut self) {
        if let Some(tail) = self.tail.take() {
            tail.complete();
        }
    }

    fn fail(&mut self, error: Error) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(tail) = self.tail.take() {
            tail.truncated(matches!(error, Error::Http(_)));
        }
        Poll::Ready(Some(Err(error)))
    }

    /// Starts the timer when the first wait begins; short answers need none.
    fn wait(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let ends = self.ends;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(ends)));
        timer.as_mut().poll(cx)
    }
}

impl hyper::body::Body for Relayed {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        // The timer is asked only while no data is ready, which may never be so for a slow caller.
        if self.tail.is_some() && Instant::now() >= self.ends {
            return self.fail(Error::Deadline);
        }
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending if self.wait(cx).is_ready() => self.fail(Error::Deadline),
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Err(error))) => self.fail(Error::Http(error)),
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(bytes), Some(tail)) = (frame.data_ref(), &mut self.tail) {
                    tail.data(bytes);
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
