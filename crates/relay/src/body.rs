//! Request and response bodies.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
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

/// A body that is sent to a target, an instance or a caller.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Returns a body with the given content.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A received request body.
#[derive(Debug)]
pub enum Payload {
    /// A body that is held in memory and can be sent any number of times.
    Buffered(Bytes, Option<OwnedSemaphorePermit>),
    /// A body that is relayed as it arrives and can be sent once.
    Streamed {
        /// The body, until it is sent.
        upload: Option<Upload>,
        /// Content length, if known.
        length: Option<u64>,
        /// State of the transfer.
        progress: Arc<Progress>,
    },
}

impl Payload {
    /// Returns true if the body can still be sent: it is buffered, or streamed and not yet taken.
    pub fn is_sendable(&self) -> bool {
        match self {
            Self::Buffered(..) => true,
            Self::Streamed { upload, .. } => upload.is_some(),
        }
    }

    /// Returns the content of a buffered body.
    pub fn bytes(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes, _) => Some(bytes),
            Self::Streamed { .. } => None,
        }
    }

    /// Returns the length of the body, if known.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes, _) => u64::try_from(bytes.len()).ok(),
            Self::Streamed { length, .. } => *length,
        }
    }

    /// Returns a body to send, or `None` if a streamed body was already taken.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes, _) => Some(full(bytes.clone())),
            Self::Streamed { upload, .. } => upload.take().map(BodyExt::boxed_unsync),
        }
    }

    /// Returns the progress of a streamed body.
    pub fn progress(&self) -> Option<Arc<Progress>> {
        match self {
            Self::Buffered(..) => None,
            Self::Streamed { progress, .. } => Some(progress.clone()),
        }
    }
}

/// Limits for a request body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest body that is buffered, in bytes.
    pub max_buffered_bytes: u64,
    /// Longest accepted body, in bytes.
    pub max_bytes: u64,
    /// Time within which a buffered body must be received.
    pub read_timeout: Duration,
}

/// Buffers a body that is short enough and prepares any other one for streaming.
///
/// `buffer_permits` holds one permit per byte that the instance may buffer. A body for which there
/// are not enough permits is streamed.
///
/// # Errors
///
/// Returns the reason of the refusal if the body is too long, ends early or is not received in
/// time.
pub async fn receive(
    body: Incoming,
    limits: Limits,
    buffer_permits: &Arc<Semaphore>,
) -> Result<Payload, Reason> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new(), None));
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > limits.max_bytes) {
        return Err(Reason::BodyTooLarge);
    }
    let Some(permit) = length.and_then(|length| reserve_buffer(length, limits, buffer_permits))
    else {
        let upload = Upload::new(body, limits.max_bytes);
        let progress = upload.progress.clone();
        return Ok(Payload::Streamed { upload: Some(upload), length, progress });
    };
    match timeout(limits.read_timeout, body.collect()).await {
        Ok(Ok(collected)) => Ok(Payload::Buffered(collected.to_bytes(), Some(permit))),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyIncomplete),
    }
}

fn reserve_buffer(
    length: u64,
    limits: Limits,
    buffer_permits: &Arc<Semaphore>,
) -> Option<OwnedSemaphorePermit> {
    if length > limits.max_buffered_bytes {
        return None;
    }
    let permits = u32::try_from(length).ok()?;
    buffer_permits.clone().try_acquire_many_owned(permits).ok()
}

/// A request body that is relayed as it arrives, up to a length limit.
#[derive(Debug)]
pub struct Upload {
    inner: Incoming,
    limit: u64,
    remaining: u64,
    progress: Arc<Progress>,
}

/// The whole body has been relayed.
const COMPLETE: u8 = 1;
/// The body exceeds the length limit.
const TOO_LARGE: u8 = 2;
/// The caller stopped sending.
const INCOMPLETE: u8 = 3;

/// State of the transfer of a streamed body.
#[derive(Debug, Default)]
pub struct Progress(AtomicU8);

impl Progress {
    /// Returns true if the whole body has been relayed.
    pub fn is_complete(&self) -> bool {
        self.0.load(Ordering::SeqCst) == COMPLETE
    }

    /// Returns the reason of the failure, if the body failed.
    pub fn failure(&self) -> Option<Reason> {
        match self.0.load(Ordering::SeqCst) {
            TOO_LARGE => Some(Reason::BodyTooLarge),
            INCOMPLETE => Some(Reason::BodyIncomplete),
            _ => None,
        }
    }

    fn set(&self, state: u8) {
        self.0.store(state, Ordering::SeqCst);
    }
}

impl Upload {
    fn new(inner: Incoming, limit: u64) -> Self {
        Self { inner, limit, remaining: limit, progress: Arc::default() }
    }

    fn update_progress(&self) {
        if self.inner.is_end_stream() {
            self.progress.set(COMPLETE);
        }
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
            Poll::Ready(None) => {
                self.update_progress();
                return Poll::Ready(None);
            }
            Poll::Ready(Some(Err(error))) => {
                self.progress.set(INCOMPLETE);
                return Poll::Ready(Some(Err(Error::Http(error))));
            }
            Poll::Ready(Some(Ok(frame))) => frame,
        };
        let length = frame.data_ref().map_or(0, Bytes::len);
        match self.remaining.checked_sub(u64::try_from(length).unwrap_or(u64::MAX)) {
            Some(remaining) => {
                self.remaining = remaining;
                self.update_progress();
                Poll::Ready(Some(Ok(frame)))
            }
            None => {
                self.progress.set(TOO_LARGE);
                Poll::Ready(Some(Err(Error::BodyTooLarge(self.limit))))
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
