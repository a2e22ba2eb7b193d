//! An exchange: one request and the head of its response on one connection.

use std::net::SocketAddr;
use std::pin::Pin;
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
use crate::pool::Checkout;
use crate::pool::Pool;

/// Longest body of a refusal, in bytes, that is read so that the connection can be reused.
const MAX_DRAIN_BYTES: usize = 4096;

/// Longest time for reading the body of a refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Destination and time limits of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Address of the target or instance.
    pub address: SocketAddr,
    /// Largest number of connections to the address.
    pub limit: usize,
    /// No byte of the request is written at or after this time.
    pub write_before: Stamp,
    /// Time at which the call ends.
    pub deadline: Stamp,
    /// Effect of a cancellation.
    pub cancel_policy: CancelPolicy,
}

/// Effect of a cancellation while the exchange waits for the response head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelPolicy {
    /// The exchange ends. The request may run again, so its response is not needed.
    Abort,
    /// The exchange ends if no byte has been written, which proves that the request did not run.
    /// Otherwise it continues.
    AbortUnsent,
    /// The exchange continues, because the body cannot be sent again.
    Ignore,
}

/// Future that resolves when the exchange is cancelled.
pub type Cancelled<'a> = Pin<Box<dyn Future<Output = ()> + Send + 'a>>;

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Event for the attempts of the call.
    pub event: Event,
    /// True if the address refused the connection.
    pub refused: bool,
}

impl From<Event> for Failure {
    fn from(event: Event) -> Self {
        Self { event, refused: false }
    }
}

/// Sends a request and waits for the head of its response.
///
/// A request that a reused connection returns unsent is sent again on a new connection; no other
/// request is sent twice. The effect of `cancelled` depends on the cancel policy.
///
/// # Errors
///
/// Fails if no valid response head arrives; the event tells whether a byte may have been written.
pub async fn send(
    pool: &Pool,
    clock: Clock,
    options: &Options,
    mut request: Request<Body>,
    mut cancelled: Cancelled<'_>,
) -> Result<(Response<Incoming>, Checkout), Failure> {
    let mut fresh = false;
    let mut cancellable = options.cancel_policy != CancelPolicy::Ignore;
    loop {
        let checkout = tokio::select! {
            biased;
            checkout = pool.checkout(options.address, options.limit, options.deadline, fresh) => checkout,
            () = cancelled.as_mut(), if cancellable => return Err(Event::Unsent.into()),
        };
        let mut checkout = checkout.map_err(pool_failure)?;
        checkout.gate().open(options.write_before);
        let remaining = options.deadline.since(clock.now());
        let gate = checkout.gate().clone();
        let sent = {
            let sending = timeout(remaining, checkout.sender().try_send_request(request));
            tokio::pin!(sending);
            tokio::select! {
                biased;
                sent = sending.as_mut() => sent,
                () = cancelled.as_mut(), if cancellable => match (options.cancel_policy, gate.close_unwritten()) {
                    (_, true) => return Err(Event::Unsent.into()),
                    (CancelPolicy::Abort, false) => return Err(Event::GivenUp.into()),
                    (CancelPolicy::AbortUnsent | CancelPolicy::Ignore, false) => {
                        cancellable = false;
                        sending.await
                    }
                },
            }
        };
        let mut error = match sent {
            Ok(Ok(response)) => return Ok((response, checkout)),
            Ok(Err(error)) => error,
            Err(_) => return Err(Event::TimedOut { written: checkout.gate().close() }.into()),
        };
        let written = checkout.gate().close();
        let resend = !written && checkout.used && clock.now() < options.write_before;
        match error.take_message() {
            Some(unsent) if resend => request = unsent,
            _ => return Err(classify(written, error.error()).into()),
        }
        fresh = true;
    }
}

fn pool_failure(failure: pool::Failure) -> Failure {
    match failure {
        pool::Failure::Connect { refused } => Failure { event: Event::ConnectFailed, refused },
        pool::Failure::Full => Event::TimedOut { written: false }.into(),
    }
}

fn classify(written: bool, error: &hyper::Error) -> Event {
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

/// Reads and discards a short body. Returns true if its end was reached.
pub async fn drain(body: Incoming) -> bool {
    let read = Limited::new(body, MAX_DRAIN_BYTES).collect();
    matches!(timeout(DRAIN_TIMEOUT, read).await, Ok(Ok(_)))
}
