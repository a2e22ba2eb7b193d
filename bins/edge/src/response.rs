//! Responses to callers.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::Either;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header;
use hyper::header::HeaderValue;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use caraway_fleet::load::Outcome;
use caraway_fleet::membership::Target;

use crate::attempt::Attempt;
use crate::http::Connection;
use crate::http::Head;
use crate::http::READ_BYTES;
use crate::http::is_end_to_end;
use crate::memory::Lease;
use crate::state::State;

/// Timeout for reading the rest of a discarded response, after which its connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Body of a response: from this instance or from a target.
pub type Body = Either<Full<Bytes>, TargetBody>;

/// Body of a target's response, streamed to the caller.
#[derive(Debug)]
pub struct TargetBody {
    state: Rc<State>,
    target: Arc<Target>,
    /// `None` once the body has been read completely, or streaming it has failed.
    connection: Option<Connection>,
    attempt: Attempt,
    /// Outcome that is recorded once the body has been read completely.
    outcome: Outcome,
    buffered: BytesMut,
    /// Memory of the response.
    lease: Lease,
    /// Whether the lease may be for more than the read buffer of the connection.
    holds_more: bool,
    /// Whether the complete body was buffered before any of it was forwarded.
    complete: bool,
    length: Option<u64>,
    /// Time at which the rest of a body that is still arriving is abandoned.
    deadline: Option<Instant>,
    /// Timer for the deadline, set once the caller waits for the rest of the body.
    timer: Option<Pin<Box<Sleep>>>,
}

impl TargetBody {
    /// Creates the body of a response whose head has been read. `lease` is the memory of the response.
    pub fn new(
        state: Rc<State>,
        target: Arc<Target>,
        connection: Connection,
        attempt: Attempt,
        outcome: Outcome,
        lease: Lease,
    ) -> Self {
        let (connection, buffered) = (Some(connection), BytesMut::new());
        Self {
            state,
            target,
            connection,
            attempt,
            outcome,
            buffered,
            lease,
            holds_more: true,
            complete: false,
            length: None,
            deadline: None,
            timer: None,
        }
    }

    /// Sets the time after which no caller waits for the rest of the body. Without it, a body
    /// without an end would be read for as long as the caller's connection is open.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Returns whether the deadline has passed; otherwise the task is woken when it does.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.deadline else { return Poll::Pending };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        timer.as_mut().poll(cx)
    }

    /// Returns whether the whole body has been received.
    pub fn is_complete(&self) -> bool {
        self.connection.is_none()
    }

    /// Returns whether the rest of the body would be abandoned at once, since no caller waits for it any more.
    pub fn is_late(&self) -> bool {
        !self.is_complete() && self.deadline.is_some_and(|deadline| deadline <= Instant::now())
    }

    /// Returns the attempt at the target.
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// Buffers the body until it is complete, exceeds `limit` bytes or finds no more memory.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails before the body is complete.
    pub async fn buffer(&mut self, limit: usize) -> io::Result<()> {
        while let Some(connection) = &mut self.connection {
            match connection.read_body().await? {
                Some(bytes) => {
                    self.buffered.extend_from_slice(&bytes);
                    let counted = self.lease.try_grow_optional(bytes.len());
                    if !counted || self.buffered.len() > limit {
                        return Ok(());
                    }
                }
                None => self.finish(),
            }
        }
        self.complete = true;
        Ok(())
    }

    /// Reads the rest of a response that is not forwarded and whose attempt has ended, so that its
    /// connection can be reused.
    pub async fn discard(mut self) {
        // If the response does not end in time, dropping the body closes its connection.
        let _ = timeout(DISCARD_TIMEOUT, self.buffer(MAX_DISCARD_BYTES)).await;
    }

    fn finish(&mut self) {
        self.attempt.complete(self.outcome);
        if let Some(connection) = self.connection.take() {
            self.state.keep_connection(&self.target, connection);
        }
    }
}

/// Size limit of a discarded body that is read to reuse its connection.
const MAX_DISCARD_BYTES: usize = 16 << 10;

impl hyper::body::Body for TargetBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if !this.buffered.is_empty() {
            let bytes = std::mem::take(&mut this.buffered).freeze();
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if std::mem::take(&mut this.holds_more) {
            // The buffered part has been written.
            this.lease.shrink_to(READ_BYTES);
        }
        if this.connection.is_some() && this.poll_deadline(cx).is_ready() {
            this.attempt.give_up(Outcome::Abandoned);
            this.connection = None;
            return Poll::Ready(Some(Err(ErrorKind::TimedOut.into())));
        }
        let Some(connection) = &mut this.connection else { return Poll::Ready(None) };
        match connection.poll_body(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(Some(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Poll::Ready(Ok(None)) => {
                this.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Err(error)) => {
                this.attempt.break_off(&error.to_string());
                this.connection = None;
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.connection.is_none() && self.buffered.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        match (self.length, self.complete) {
            (_, true) => SizeHint::with_exact(self.buffered.len() as u64),
            (Some(length), false) => SizeHint::with_exact(length),
            (None, false) => SizeHint::default(),
        }
    }
}

/// Returns the response of a target without its hop-by-hop headers.
pub fn forward(head: Head, mut body: TargetBody) -> Response<Body> {
    body.attempt.pass_pace();
    body.length = head.length;
    let mut response = Response::new(Either::Right(body));
    let status = StatusCode::from_u16(head.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        if is_end_to_end(&head.headers, name.as_str()) && *name != header::CONTENT_LENGTH {
            response.headers_mut().append(name, value.clone());
        }
    }
    if let Some(length) = head.length
        && let Ok(value) = HeaderValue::from_str(&length.to_string())
    {
        response.headers_mut().insert(header::CONTENT_LENGTH, value);
    }
    response
}

/// Tells the caller when to send a refused request again.
pub fn set_retry_after(response: &mut Response<Body>, delay: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Returns a plain-text response of this instance.
pub fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(format!("{text}\n")))));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
