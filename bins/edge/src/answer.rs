//! Answers to callers.

use std::io;
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
use tokio::time::timeout;

use caraway_fleet::load::Outcome;
use caraway_fleet::membership::Target;

use crate::flight::Flight;
use crate::http::Connection;
use crate::http::Head;
use crate::http::end_to_end;
use crate::state::State;

/// Longest time for the rest of an answer that is not passed on, before its connection is closed.
const DISCARD: Duration = Duration::from_millis(50);

/// Body of an answer: of this instance, or of a target.
pub type Body = Either<Full<Bytes>, Answer>;

/// The body of a target's answer on its way to the caller.
#[derive(Debug)]
pub struct Answer {
    state: Rc<State>,
    target: Arc<Target>,
    /// None when the body has been read to its end.
    connection: Option<Connection>,
    flight: Flight,
    /// How the request ends when the body has been read.
    ending: Outcome,
    gathered: BytesMut,
    /// Whether everything was gathered and nothing has been passed on yet.
    whole: bool,
    length: Option<u64>,
}

impl Answer {
    /// Makes the body of an answer whose head was read.
    pub fn new(
        state: Rc<State>,
        target: Arc<Target>,
        connection: Connection,
        flight: Flight,
        ending: Outcome,
    ) -> Self {
        let (connection, gathered) = (Some(connection), BytesMut::new());
        Self { state, target, connection, flight, ending, gathered, whole: false, length: None }
    }

    /// Counts the end of the request at the target.
    pub fn end(&self, ending: Outcome) {
        self.flight.end(ending);
    }

    /// Reads the body up to a size.
    ///
    /// # Errors
    ///
    /// Fails if the answer breaks off.
    pub async fn gather(&mut self, limit: usize) -> io::Result<()> {
        while let Some(connection) = &mut self.connection {
            match connection.body().await? {
                Some(bytes) => self.gathered.extend_from_slice(&bytes),
                None => self.finish(),
            }
            if self.gathered.len() > limit {
                return Ok(());
            }
        }
        self.whole = true;
        Ok(())
    }

    /// Reads the rest of an answer that is not passed on, so that the connection can be used again.
    pub async fn discard(mut self, ending: Outcome) {
        self.end(ending);
        // A connection whose answer does not end soon is closed.
        let _ = timeout(DISCARD, self.gather(DISCARDED)).await;
    }

    fn finish(&mut self) {
        self.flight.end(self.ending);
        if let Some(connection) = self.connection.take() {
            self.state.keep(&self.target, connection);
        }
    }
}

/// Largest rest of an answer that is read to keep its connection.
const DISCARDED: usize = 16 << 10;

impl hyper::body::Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if !this.gathered.is_empty() {
            let bytes = this.gathered.split().freeze();
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
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
                this.flight.end(Outcome::Failed);
                this.connection = None;
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.connection.is_none() && self.gathered.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        match (self.length, self.whole) {
            (_, true) => SizeHint::with_exact(self.gathered.len() as u64),
            (Some(length), false) => SizeHint::with_exact(length),
            (None, false) => SizeHint::default(),
        }
    }
}

/// Passes the answer of a target on.
pub fn pass_on(head: Head, mut answer: Answer) -> Response<Body> {
    answer.length = head.length;
    let mut response = Response::new(Either::Right(answer));
    let status = StatusCode::from_u16(head.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        if end_to_end(&head.headers, name.as_str()) && *name != header::CONTENT_LENGTH {
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

/// Returns an answer of this instance.
pub fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(format!("{text}\n")))));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
