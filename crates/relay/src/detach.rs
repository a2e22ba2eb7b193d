//! Non-repeatable requests, which go on after their callers have left.
//!
//! If such a request were cancelled with its caller's connection, its outcome would stay unknown for
//! the whole retention time. Its exchange therefore runs in a task of its own, which records the
//! outcome; a later submission gets the recorded answer.

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
use crate::router::Router;
use crate::ticket::Ticket;

/// Frames of an answer that are read ahead of the caller.
const READ_AHEAD: usize = 4;

/// Runs a call whose intent is recorded. It goes on if the caller leaves after its dispatch.
///
/// # Errors
///
/// The call has ended, or this instance no longer coordinates the group.
pub async fn run(
    router: &Arc<Router>,
    local: &Local,
    group: &Arc<Group>,
    call: &mut Call,
    ticket: Ticket,
) -> Result<Response<Body>, Stop> {
    let (answer, result) = oneshot::channel();
    // The receiver notices when this future is dropped, which happens when the caller leaves.
    let (_present, gone) = watch::channel(());
    let exchange = router.track_detached();
    let mut own = call.detach();
    let (router, local, group) = (router.clone(), local.clone(), group.clone());
    let mut ticket = Some(ticket);
    tokio::spawn(async move {
        let ran = dispatch::attempts(&router, &local, &group, &mut own, &mut ticket, Some(gone));
        let ran = ran.await;
        if let Some(ticket) = ticket.take() {
            ticket.withdraw().await;
        }
        let (result, pump) = match ran {
            Ok(response) => {
                let ends = Instant::now() + own.deadline.since(router.clock.now());
                let (response, pump) = pipe(response, ends);
                (Ok(response), pump)
            }
            Err(stop) => (Err(stop), None),
        };
        // A caller that has left gets nothing; the answer is read to its end nevertheless.
        let _ = answer.send((own, result));
        if let Some(pump) = pump {
            pump.run().await;
        }
        drop(exchange);
    });
    match result.await {
        Ok((back, result)) => {
            *call = back;
            result
        }
        Err(_) => Err(Stop::End(Outcome::Unknown(Reason::EarlierAttemptUnknown))),
    }
}

/// A part of an answer on its way to the caller; nothing marks the end.
type Part = Option<Result<Frame<Bytes>, Error>>;

/// Reads an answer to its end, whether or not the caller takes it.
struct Pump {
    body: Body,
    parts: mpsc::Sender<Part>,
    ends: Instant,
}

/// Separates the answer that the caller reads from the one that the target sends.
fn pipe(response: Response<Body>, ends: Instant) -> (Response<Body>, Option<Pump>) {
    if response.body().is_end_stream() {
        return (response, None);
    }
    let (head, body) = response.into_parts();
    let (parts, received) = mpsc::channel(READ_AHEAD);
    let piped = Piped { parts: received, left: body.size_hint().exact(), ended: false };
    let response = Response::from_parts(head, piped.boxed_unsync());
    (response, Some(Pump { body, parts, ends }))
}

impl Pump {
    async fn run(mut self) {
        let mut reading = true;
        while let Some(part) = self.body.frame().await {
            let last = part.is_err();
            if reading {
                let sent = timeout_at(self.ends, self.parts.send(Some(part))).await;
                reading = matches!(sent, Ok(Ok(())));
            }
            if last {
                return;
            }
        }
        if reading {
            // A caller that has left meanwhile needs no end.
            let _ = timeout_at(self.ends, self.parts.send(None)).await;
        }
    }
}

/// The body that the caller reads.
struct Piped {
    parts: mpsc::Receiver<Part>,
    /// Bytes that are left, if the length is known.
    left: Option<u64>,
    ended: bool,
}

impl hyper::body::Body for Piped {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.parts.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Some(Ok(frame)))) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                let length = u64::try_from(length).unwrap_or(u64::MAX);
                self.left = self.left.map(|left| left.saturating_sub(length));
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
            // The pump ended before the answer did, so the caller must not take it for complete.
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
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
