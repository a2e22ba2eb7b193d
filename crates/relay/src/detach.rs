//! Execution of non-repeatable requests independently of their callers.
//!
//! If such a request were cancelled when its caller disconnects, its outcome would stay unknown for
//! the whole retention time. Its exchange therefore runs in a separate task that records the
//! outcome, and a later submission gets the recorded response.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;
use caraway_document::plan::Group;

use crate::body::Body;
use crate::call::Call;
use crate::call::Stop;
use crate::directory::Local;
use crate::dispatch;
use crate::errors::Error;
use crate::intent::Intent;
use crate::router::Router;

/// Response frames that are read ahead of the caller.
const READ_AHEAD: usize = 4;

/// Runs a call whose intent is recorded. Once dispatched, it continues if the caller disconnects.
///
/// # Errors
///
/// Fails if the call has ended or this instance no longer coordinates the group.
pub async fn run(
    router: &Arc<Router>,
    local: &Local,
    group: &Arc<Group>,
    call: &mut Call,
    intent: Intent,
) -> Result<Response<Body>, Stop> {
    let (result_sender, result) = oneshot::channel();
    // The sender is dropped together with this future when the caller disconnects, which closes the
    // channel.
    let (_caller_present, caller_gone) = watch::channel(());
    let guard = router.track_detached();
    let mut detached = call.detach();
    let (router, local, group) = (router.clone(), local.clone(), group.clone());
    let mut intent = Some(intent);
    tokio::spawn(async move {
        let ran = dispatch::attempts(
            &router,
            &local,
            &group,
            &mut detached,
            &mut intent,
            Some(caller_gone),
        );
        let ran = ran.await;
        if let Some(intent) = intent.take() {
            intent.withdraw().await;
        }
        let (result, pump) = match ran {
            Ok(response) => {
                let deadline_at = Instant::now() + detached.deadline.since(router.clock.now());
                let (response, pump) = split(response, deadline_at);
                (Ok(response), pump)
            }
            Err(stop) => (Err(stop), None),
        };
        // If the caller has disconnected, the result is discarded, but the response is still read
        // to its end.
        let _ = result_sender.send((detached, result));
        if let Some(pump) = pump {
            pump.run().await;
        }
        drop(guard);
    });
    match result.await {
        Ok((returned, result)) => {
            *call = returned;
            result
        }
        Err(_) => Err(Stop::End(Outcome::Unknown(Reason::EarlierAttemptUnknown))),
    }
}

/// Part of a response body; `None` marks the end.
type Part = Option<Result<Frame<Bytes>, Error>>;

/// Reads a response body to its end, whether or not the caller reads it.
struct Pump {
    body: Body,
    frames: mpsc::Sender<Part>,
    deadline_at: Instant,
}

/// Decouples the body that the caller reads from the one that the target sends.
fn split(response: Response<Body>, deadline_at: Instant) -> (Response<Body>, Option<Pump>) {
    if response.body().is_end_stream() {
        return (response, None);
    }
    let (head, body) = response.into_parts();
    let (frames, received) = mpsc::channel(READ_AHEAD);
    let piped =
        PipedBody { frames: received, remaining_bytes: body.size_hint().exact(), ended: false };
    let response = Response::from_parts(head, piped.boxed_unsync());
    (response, Some(Pump { body, frames, deadline_at }))
}

impl Pump {
    async fn run(mut self) {
        let mut reading = true;
        while let Some(part) = self.body.frame().await {
            let last = part.is_err();
            if reading {
                let sent = timeout_at(self.deadline_at, self.frames.send(Some(part))).await;
                reading = matches!(sent, Ok(Ok(())));
            }
            if last {
                return;
            }
        }
        if reading {
            // A caller that has disconnected needs no end marker.
            let _ = timeout_at(self.deadline_at, self.frames.send(None)).await;
        }
    }
}

/// The response body that the caller reads.
struct PipedBody {
    frames: mpsc::Receiver<Part>,
    /// Remaining length in bytes, if known.
    remaining_bytes: Option<u64>,
    ended: bool,
}

impl hyper::body::Body for PipedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.frames.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Some(Ok(frame)))) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                let length = u64::try_from(length).unwrap_or(u64::MAX);
                self.remaining_bytes =
                    self.remaining_bytes.map(|remaining| remaining.saturating_sub(length));
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(None)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Some(Err(error)))) => {
                self.ended = true;
                Poll::Ready(Some(Err(error)))
            }
            // The pump ended before the body did, so the body must not appear complete to the
            // caller.
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(Some(Err(Error::Deadline)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
