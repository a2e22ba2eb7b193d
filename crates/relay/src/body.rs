//! Bodies of requests and answers.

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
    Streamed {
        /// The body, until it is sent.
        upload: Option<Upload>,
        /// Its length, if it is known.
        length: Option<u64>,
        /// How far it has been passed on.
        progress: Arc<Progress>,
    },
}

impl Payload {
    /// Returns true if the body can be sent again.
    pub fn buffered(&self) -> bool {
        match self {
            Self::Buffered(..) => true,
            Self::Streamed { upload, .. } => upload.is_some(),
        }
    }

    /// Returns the bytes of a buffered body.
    pub fn bytes(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes, _) => Some(bytes),
            Self::Streamed { .. } => None,
        }
    }

    /// Returns the length of the body, if it is known.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes, _) => u64::try_from(bytes.len()).ok(),
            Self::Streamed { length, .. } => *length,
        }
    }

    /// Returns a body to send, or nothing if a streamed body has been sent already.
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
        let upload = Upload::new(body, limits.body);
        let progress = upload.progress.clone();
        return Ok(Payload::Streamed { upload: Some(upload), length, progress });
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
    progress: Arc<Progress>,
}

/// The body has been passed on completely.
const ENDED: u8 = 1;
/// The body is longer than allowed.
const TOO_LARGE: u8 = 2;
/// The caller stopped sending.
const INCOMPLETE: u8 = 3;

/// How far a streamed body has been passed on.
#[derive(Debug, Default)]
pub struct Progress(AtomicU8);

impl Progress {
    /// Returns true if the body has ended as it should.
    pub fn ended(&self) -> bool {
        self.0.load(Ordering::SeqCst) == ENDED
    }

    /// Returns what is wrong with the body, if it failed.
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
        Self { inner, limit, left: limit, progress: Arc::default() }
    }

    fn note_end(&self) {
        if self.inner.is_end_stream() {
            self.progress.set(ENDED);
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
                self.note_end();
                return Poll::Ready(None);
            }
            Poll::Ready(Some(Err(error))) => {
                self.progress.set(INCOMPLETE);
                return Poll::Ready(Some(Err(Error::Http(error))));
            }
            Poll::Ready(Some(Ok(frame))) => frame,
        };
        let length = frame.data_ref().map_or(0, Bytes::len);
        match self.left.checked_sub(u64::try_from(length).unwrap_or(u64::MAX)) {
            Some(left) => {
                self.left = left;
                self.note_end();
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
