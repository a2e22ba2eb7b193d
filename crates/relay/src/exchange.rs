//! One request and the head of its answer on one connection.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout;

use caraway_call::attempt::Event;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;

use crate::body::Body;
use crate::pool;
use crate::pool::Lease;
use crate::pool::Pool;

/// Longest body of a refusal in bytes that is read so that the connection can be used again.
const DRAINED_BYTES: usize = 4096;

/// Longest time for reading such a body.
const DRAIN_LIMIT: Duration = Duration::from_millis(20);

/// Where a request is sent and until when.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Address to send to.
    pub address: SocketAddr,
    /// Connections that the address may have.
    pub limit: usize,
    /// No byte of the request is written at or after this moment.
    pub write_before: Stamp,
    /// Moment at which the call ends.
    pub deadline: Stamp,
}

/// How an exchange failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// What it means for the call.
    pub event: Event,
    /// True if the address refused the connection.
    pub refused: bool,
    /// True if this instance cut the connection off, because the target is not used any more.
    pub cut: bool,
}

impl From<Event> for Failure {
    fn from(event: Event) -> Self {
        Self { event, refused: false, cut: false }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// A request that a pooled connection hands back unsent is sent on a new connection. It is not sent
/// again in any other case.
///
/// # Errors
///
/// No usable answer head arrived; the event says whether a byte may have been written.
pub async fn send(
    pool: &Pool,
    clock: Clock,
    order: &Order,
    mut request: Request<Body>,
) -> Result<(Response<Incoming>, Lease), Failure> {
    let mut fresh = false;
    loop {
        let lease = pool.lease(order.address, order.limit, order.deadline, fresh).await;
        let mut lease = lease.map_err(unconnected)?;
        lease.gate().arm(order.write_before);
        let left = order.deadline.since(clock.now());
        let sending = lease.sender().try_send_request(request);
        let sent = tokio::select! {
            biased;
            sent = timeout(left, sending) => sent,
            () = lease.cut() => {
                let event = if lease.gate().shut() { Event::Lost } else { Event::Unsent };
                return Err(Failure { event, refused: false, cut: true });
            }
        };
        let mut error = match sent {
            Ok(Ok(response)) => return Ok((response, lease)),
            Ok(Err(error)) => error,
            Err(_) => return Err(Event::TimedOut { written: lease.gate().shut() }.into()),
        };
        let written = lease.gate().shut();
        let again = !written && lease.used && clock.now() < order.write_before;
        match error.take_message() {
            Some(unsent) if again => request = unsent,
            _ => return Err(failed(written, error.error()).into()),
        }
        fresh = true;
    }
}

fn unconnected(failure: pool::Failure) -> Failure {
    match failure {
        pool::Failure::Connect { refused } => {
            Failure { event: Event::ConnectFailed, refused, cut: false }
        }
        pool::Failure::Full => Event::TimedOut { written: false }.into(),
    }
}

fn failed(written: bool, error: &hyper::Error) -> Event {
    if !written {
        Event::Unsent
    } else if error.is_user() || error.is_body_write_aborted() {
        Event::BodyLost
    } else if error.is_parse() {
        Event::BadAnswer
    } else {
        Event::Lost
    }
}

/// Reads a short body that is not needed; returns true if it has ended.
pub async fn drained(body: Incoming) -> bool {
    let read = Limited::new(body, DRAINED_BYTES).collect();
    matches!(timeout(DRAIN_LIMIT, read).await, Ok(Ok(_)))
}
