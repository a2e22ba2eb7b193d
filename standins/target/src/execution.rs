//! Execution of requests.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::answer::Answer;
use crate::answer::Checksum;
use crate::clock;
use crate::errors::Error;
use crate::errors::Refusal;
use crate::errors::Result;
use crate::grant::Claim;
use crate::journal::Entry;
use crate::server::Server;
use crate::token::Token;

/// Largest answer in bytes.
const ANSWER_LIMIT_BYTES: u64 = 1 << 30;
/// Longest deadline and service time in milliseconds.
const TIME_LIMIT_MS: u64 = 86_400_000;

/// A parsed request head.
#[derive(Debug)]
struct Head {
    id: String,
    idempotency_key: Option<Arc<str>>,
    key: String,
    token: Option<Token>,
    shard: Option<u32>,
    deadline: Option<Instant>,
    service_ms: Option<u64>,
    answer_bytes: u64,
    crash: bool,
}

impl Head {
    fn try_new(headers: &HeaderMap) -> Result<Self> {
        let id = text(headers, "caraway-request-id")?.unwrap_or_default();
        if id.is_empty() {
            return Err(Error::Malformed("caraway-request-id is missing".to_owned()));
        }
        let deadline = number(headers, "caraway-deadline-ms", TIME_LIMIT_MS)?;
        let shard = number(headers, "caraway-shard", u32::MAX.into())?;
        Ok(Self {
            id: id.to_owned(),
            idempotency_key: text(headers, "idempotency-key")?.map(Arc::from),
            key: text(headers, "caraway-key")?.unwrap_or_default().to_owned(),
            token: text(headers, "caraway-token")?.map(str::parse).transpose()?,
            shard: shard.and_then(|shard| u32::try_from(shard).ok()),
            deadline: deadline.map(|ms| Instant::now() + Duration::from_millis(ms)),
            service_ms: number(headers, "test-service-ms", TIME_LIMIT_MS)?,
            answer_bytes: number(headers, "test-answer-bytes", ANSWER_LIMIT_BYTES)?.unwrap_or(0),
            crash: text(headers, "test-crash")? == Some("1"),
        })
    }

    fn claim(&self) -> Result<Claim> {
        let missing = |name| Error::Malformed(format!("{name} is missing"));
        Ok(Claim {
            token: self.token.ok_or_else(|| missing("caraway-token"))?,
            shard: self.shard.ok_or_else(|| missing("caraway-shard"))?,
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

/// The result of an execution.
#[derive(Debug)]
pub struct Outcome {
    /// Answer body.
    pub answer: Answer,
    /// Length of the request body in bytes.
    pub body_length: u64,
    /// Checksum of the request body.
    pub body_checksum: u64,
}

/// An execution in the journal. Dropping it before its end records a cancellation.
struct Record<'a> {
    server: &'a Server,
    n: u64,
    completed: bool,
}

impl Drop for Record<'_> {
    fn drop(&mut self) {
        self.server.state().journal.end(self.n, clock::now_ms(), self.completed);
    }
}

/// Executes a request. Dropping the future cancels the request.
pub async fn run(server: &Server, request: Request<Incoming>) -> Result<Outcome> {
    let (parts, body) = request.into_parts();
    let head = Head::try_new(&parts.headers)?;
    let claim = if server.settings.check_token { Some(head.claim()?) } else { None };
    admit(server, claim.as_ref(), &head)?;
    if server.state().draining {
        return Err(Error::Refused(Refusal::Draining));
    }
    let acquire = server.slots.acquire();
    let slot = match head.deadline {
        Some(end) => {
            timeout_at(end, acquire).await.unwrap_or(Err(Error::Refused(Refusal::Deadline)))?
        }
        None => acquire.await?,
    };
    // The grant may have changed or expired while the request waited for the slot.
    admit(server, claim.as_ref(), &head)?;
    if head.crash {
        eprintln!("caraway-target: request {} crashes the process", head.id);
        std::process::abort();
    }
    let n = server.state().journal.start(head.entry());
    let mut record = Record { server, n, completed: false };
    let outcome = execute(server, &head, body).await?;
    record.completed = true;
    drop(record);
    drop(slot);
    Ok(outcome)
}

/// Checks whether a request may start now.
fn admit(server: &Server, claim: Option<&Claim>, head: &Head) -> Result<()> {
    if let Some(claim) = claim {
        server.state().grant.check(claim, clock::now_ms()).map_err(Error::Refused)?;
    }
    if head.deadline.is_some_and(|end| end <= Instant::now()) {
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
    let usual = head.service_ms.unwrap_or(server.settings.service_ms.into());
    let extra: u64 = server.state().faults.extra_ms.into();
    let service_ms = server.ramp.service_ms(usual, clock::now_ms()).saturating_add(extra);
    sleep(Duration::from_millis(service_ms)).await;
    let answer = Answer::request(&head.id, head.answer_bytes);
    Ok(Outcome { answer, body_length, body_checksum: checksum.value() })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let value = headers.get(name).map(|value| value.to_str());
    value.transpose().map_err(|_| Error::Malformed(format!("{name} is not ASCII")))
}

fn number(headers: &HeaderMap, name: &str, limit: u64) -> Result<Option<u64>> {
    let Some(text) = text(headers, name)? else { return Ok(None) };
    let number = text.parse().ok().filter(|number| *number <= limit);
    number
        .map(Some)
        .ok_or_else(|| Error::Malformed(format!("{name} is not a number up to {limit}")))
}
