//! Bodies of requests and answers.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use caraway_core::outcome::Reason;

use crate::errors::Error;

/// A body that is sent, to a target, an instance or a caller.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Makes a body of the given bytes.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// The body of a caller's request.
#[derive(Debug)]
pub enum Payload {
    /// The whole body; it can be sent any number of times.
    Buffered(Bytes, Option<OwnedSemaphorePermit>),
    /// A body that is passed on while it arrives; it can be sent once.
    Streamed(Option<Upload>, Option<u64>),
}

impl Payload {
    /// Returns true if the body can be sent again.
    pub fn buffered(&self) -> bool {
        match self {
            Self::Buffered(..) => true,
            Self::Streamed(upload, _) => upload.is_some(),
        }
    }

    /// Returns the bytes of a buffered body.
    pub fn bytes(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes, _) => Some(bytes),
            Self::Streamed(..) => None,
        }
    }

    /// Returns the length of the body, if it is known.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes, _) => u64::try_from(bytes.len()).ok(),
            Self::Streamed(_, length) => *length,
        }
    }

    /// Returns a body to send, or nothing if a streamed body has been sent already.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes, _) => Some(full(bytes.clone())),
            Self::Streamed(upload, _) => upload.take().map(BodyExt::boxed_unsync),
        }
    }
}

/// Limits for the body of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest body in bytes that is buffered.
    pub buffered: u64,
    /// Longest accepted body in bytes.
    pub body: u64,
    /// Time for reading a body that is buffered.
    pub time: Duration,
}

/// Reads a body that is short enough to be buffered, and prepares any other one to be streamed.
///
/// `memory` holds one permit for each byte that may be buffered in the instance. A body for which it
/// has no room is streamed.
///
/// # Errors
///
/// The reason of a refusal: the body is too long, or it ends early or too late.
pub async fn receive(
    body: Incoming,
    limits: Limits,
    memory: &Arc<Semaphore>,
) -> Result<Payload, Reason> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new(), None));
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > limits.body) {
        return Err(Reason::BodyTooLarge);
    }
    let Some(permit) = length.and_then(|length| reserve(length, limits, memory)) else {
        return Ok(Payload::Streamed(Some(Upload::new(body, limits.body)), length));
    };
    match timeout(limits.time, body.collect()).await {
        Ok(Ok(collected)) => Ok(Payload::Buffered(collected.to_bytes(), Some(permit))),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyIncomplete),
    }
}

fn reserve(length: u64, limits: Limits, memory: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
    if length > limits.buffered {
        return None;
    }
    let permits = u32::try_from(length).ok()?;
    memory.clone().try_acquire_many_owned(permits).ok()
}

/// A body that is passed on while it arrives, up to a length.
#[derive(Debug)]
pub struct Upload {
    inner: Incoming,
    limit: u64,
    left: u64,
    failed: Arc<AtomicBool>,
}

impl Upload {
    fn new(inner: Incoming, limit: u64) -> Self {
        Self { inner, limit, left: limit, failed: Arc::default() }
    }

    /// Returns a flag that is set when the body ends early or is too long.
    pub fn failed(&self) -> Arc<AtomicBool> {
        self.failed.clone()
    }

    fn fail(&self, error: Error) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        self.failed.store(true, Ordering::SeqCst);
        Poll::Ready(Some(Err(error)))
    }
}

impl hyper::body::Body for Upload {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(Err(error))) => return self.fail(Error::Http(error)),
            Poll::Ready(Some(Ok(frame))) => frame,
        };
        let length = frame.data_ref().map_or(0, Bytes::len);
        match self.left.checked_sub(u64::try_from(length).unwrap_or(u64::MAX)) {
            Some(left) => {
                self.left = left;
                Poll::Ready(Some(Ok(frame)))
            }
            None => self.fail(Error::BodyTooLarge(self.limit)),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
