//! Execution of requests: headers, admission, service time and the journal.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::clock;
use crate::errors::Error;
use crate::errors::Refusal;
use crate::errors::Result;
use crate::grant::Claim;
use crate::journal::Entry;
use crate::payload::Checksum;
use crate::payload::Payload;
use crate::server::Server;
use crate::token::Token;

/// Maximum length of a response body in bytes.
const MAX_RESPONSE_BYTES: u64 = 1 << 30;
/// Maximum deadline and service time in milliseconds.
const MAX_TIME_MS: u64 = 86_400_000;

/// Parsed headers of a request.
#[derive(Debug)]
struct Head {
    id: String,
    idempotency_key: Option<Arc<str>>,
    key: String,
    token: Option<Token>,
    shard: Option<u32>,
    deadline: Option<Instant>,
    service_ms: Option<u64>,
    response_bytes: u64,
    crash: bool,
}

impl Head {
    fn try_new(headers: &HeaderMap) -> Result<Self> {
        let id = header_text(headers, "caraway-request-id")?.unwrap_or_default();
        if id.is_empty() {
            return Err(Error::Malformed("caraway-request-id is missing".to_owned()));
        }
        let deadline = header_number(headers, "caraway-deadline-ms", MAX_TIME_MS)?;
        let shard = header_number(headers, "caraway-shard", u32::MAX.into())?;
        Ok(Self {
            id: id.to_owned(),
            idempotency_key: header_text(headers, "idempotency-key")?.map(Arc::from),
            key: header_text(headers, "caraway-key")?.unwrap_or_default().to_owned(),
            token: header_text(headers, "caraway-token")?.map(str::parse).transpose()?,
            shard: shard.and_then(|shard| u32::try_from(shard).ok()),
            deadline: deadline.map(|ms| Instant::now() + Duration::from_millis(ms)),
            service_ms: header_number(headers, "test-service-ms", MAX_TIME_MS)?,
            response_bytes: header_number(headers, "test-answer-bytes", MAX_RESPONSE_BYTES)?
                .unwrap_or(0),
            crash: header_text(headers, "test-crash")? == Some("1"),
        })
    }

    fn claim(&self) -> Result<Claim> {
        let missing_header = |name| Error::Malformed(format!("{name} is missing"));
        Ok(Claim {
            token: self.token.ok_or_else(|| missing_header("caraway-token"))?,
            shard: self.shard.ok_or_else(|| missing_header("caraway-shard"))?,
            key: self.key.clone(),
        })
    }

    fn entry(&self) -> Entry {
        Entry {
            n: 0,
            request_id: self.id.clone(),
            idempotency_key: self.idempotency_key.clone(),
            key: self.key.clone(),
            shard: self.shard,
            token: self.token,
            started_ms: clock::now_ms(),
            ended_ms: None,
            completed: false,
        }
    }
}

/// Result of an execution.
#[derive(Debug)]
pub struct Outcome {
    /// Response body.
    pub payload: Payload,
    /// Length of the request body in bytes.
    pub body_length: u64,
    pub body_checksum: u64,
}

/// Guard of a running execution. Dropping it records the end in the journal, as a cancellation
/// unless `completed` is true.
struct Guard<'a> {
    server: &'a Server,
    n: u64,
    completed: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.server.state().journal.end(self.n, clock::now_ms(), self.completed);
    }
}

/// Waits for a slot and executes a request. Dropping the future cancels the request.
pub async fn run(server: &Server, request: Request<Incoming>) -> Result<Outcome> {
    let (parts, body) = request.into_parts();
    let head = Head::try_new(&parts.headers)?;
    let claim = if server.settings.check_token { Some(head.claim()?) } else { None };
    check_start(server, claim.as_ref(), &head)?;
    if server.state().draining {
        return Err(Error::Refused(Refusal::Draining));
    }
    let acquire = server.slots.acquire();
    let slot = match head.deadline {
        Some(deadline) => {
            timeout_at(deadline, acquire).await.unwrap_or(Err(Error::Refused(Refusal::Deadline)))?
        }
        None => acquire.await?,
    };
    // The grant may have changed or expired while the request was queued.
    check_start(server, claim.as_ref(), &head)?;
    if head.crash {
        eprintln!("caraway-target: request {} crashes the process", head.id);
        std::process::abort();
    }
    let n = server.state().journal.start(head.entry());
    let mut guard = Guard { server, n, completed: false };
    let outcome = execute(server, &head, body).await?;
    guard.completed = true;
    drop(guard);
    drop(slot);
    Ok(outcome)
}

/// Checks that the grant and the deadline allow a request to start.
fn check_start(server: &Server, claim: Option<&Claim>, head: &Head) -> Result<()> {
    if let Some(claim) = claim {
        server.state().grant.check(claim, clock::now_ms()).map_err(Error::Refused)?;
    }
    if head.deadline.is_some_and(|deadline| deadline <= Instant::now()) {
        return Err(Error::Refused(Refusal::Deadline));
    }
    Ok(())
}

async fn execute(server: &Server, head: &Head, mut body: Incoming) -> Result<Outcome> {
    let mut body_length = 0;
    let mut checksum = Checksum::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::Truncated)?;
        if let Some(data) = frame.data_ref() {
            body_length += u64::try_from(data.len()).unwrap_or(0);
            checksum.update(data);
        }
    }
    let base_ms = head.service_ms.unwrap_or(server.settings.service_ms.into());
    let extra_ms: u64 = server.state().faults.extra_ms.into();
    let service_ms = server.warmup.service_ms(base_ms, clock::now_ms()).saturating_add(extra_ms);
    sleep(Duration::from_millis(service_ms)).await;
    let payload = Payload::request(&head.id, head.response_bytes);
    Ok(Outcome { payload, body_length, body_checksum: checksum.value() })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let value = headers.get(name).map(|value| value.to_str());
    value.transpose().map_err(|_| Error::Malformed(format!("{name} is not ASCII")))
}

fn header_number(headers: &HeaderMap, name: &str, limit: u64) -> Result<Option<u64>> {
    let Some(text) = header_text(headers, name)? else { return Ok(None) };
    let number = text.parse().ok().filter(|number| *number <= limit);
    number
        .map(Some)
        .ok_or_else(|| Error::Malformed(format!("{name} is not a number up to {limit}")))
}
