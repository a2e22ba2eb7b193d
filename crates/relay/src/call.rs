//! A request that is being routed by this instance.

use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::header;
use hyper::http::uri::PathAndQuery;

use caraway_call::attempt;
use caraway_call::attempt::Event;
use caraway_call::ledger;
use caraway_call::quarantine::Fingerprint;
use caraway_core::header as names;
use caraway_core::name;
use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_document::plan::Class;
use caraway_document::plan::Service;

use crate::body::Body;
use crate::body::Payload;
use crate::exchange::CancelPolicy;
use crate::explain::Trace;
use crate::fields;
use crate::observe::Meter;

/// A request and the state of its routing.
#[derive(Debug)]
pub struct Call {
    /// ID of this submission.
    pub id: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Header fields to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub payload: Payload,
    /// Key of the request, decoded.
    pub key: Arc<str>,
    /// Shard of the request.
    pub shard: Shard,
    /// Tenant of the caller.
    pub tenant: name::Tenant,
    /// Service of the route.
    pub service: Arc<Service>,
    /// Call class of the route.
    pub class: Arc<Class>,
    /// Idempotency key; always present if the class is not repeatable.
    pub idempotency_key: Option<Arc<str>>,
    /// Time at which the call ends.
    pub deadline: Stamp,
    /// Group that was offered the call last and did not accept it.
    pub declined_by: Option<name::Group>,
    /// Outcomes of the attempts so far.
    pub attempts: attempt::Attempts,
    /// Trace for the operator.
    pub trace: Arc<Trace>,
    /// Measurement; moved to the relayed response. `None` for a request that another instance
    /// forwarded.
    pub meter: Option<Meter>,
}

/// Why a call got no response from a coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// The call has ended.
    End(Outcome),
    /// The instance does not coordinate the group; the call may be offered to another coordinator.
    Reroute(Reason),
}

impl Call {
    /// Moves the call into a task that returns it when it has ended. The value that stays behind
    /// has no body, measurement or attempts and must not be sent.
    pub fn detach(&mut self) -> Self {
        Self {
            id: self.id.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: std::mem::take(&mut self.headers),
            payload: std::mem::replace(&mut self.payload, Payload::Buffered(Bytes::new(), None)),
            key: self.key.clone(),
            shard: self.shard,
            tenant: self.tenant.clone(),
            service: self.service.clone(),
            class: self.class.clone(),
            idempotency_key: self.idempotency_key.clone(),
            deadline: self.deadline,
            declined_by: self.declined_by.clone(),
            attempts: std::mem::take(&mut self.attempts),
            trace: self.trace.clone(),
            meter: self.meter.take(),
        }
    }

    /// Returns what the call currently allows for retries.
    pub fn retry_policy(&self) -> attempt::Policy {
        attempt::Policy {
            repeatable: self.class.repeatable,
            buffered: self.payload.is_sendable(),
            max_attempts: self.class.max_attempts,
        }
    }

    /// Returns what cancelling the next attempt does.
    pub fn cancel_policy(&self) -> CancelPolicy {
        if self.payload.bytes().is_none() {
            CancelPolicy::Ignore
        } else if self.attempts.may_give_up(self.retry_policy()) {
            CancelPolicy::Abort
        } else {
            CancelPolicy::AbortUnsent
        }
    }

    /// Ends the call for a reason that by itself means "did not run".
    pub fn end(&self, reason: Reason) -> Stop {
        Stop::End(self.attempts.conclude(reason))
    }

    /// Lets the call be offered to another coordinator, or ends it if its body was already
    /// consumed.
    pub fn reroute(&self, reason: Reason) -> Stop {
        if self.payload.is_sendable() { Stop::Reroute(reason) } else { self.end(reason) }
    }

    /// Adjusts the event of a failed exchange to the state of the request body: if the body failed,
    /// the caller caused the failure, not the target.
    pub fn classify(&self, event: Event) -> Event {
        let failure = self.payload.progress().and_then(|progress| progress.failure());
        match (event, failure) {
            (Event::Unsent, Some(reason)) => Event::Refused(reason),
            (Event::Lost, Some(_)) => Event::BodyLost,
            (event, _) => event,
        }
    }

    /// Returns the digest of the request for the ledger.
    pub fn digest(&self) -> u64 {
        let length = self.payload.length().unwrap_or(u64::MAX).to_be_bytes();
        let body = self.payload.bytes().map_or(&length[..], |bytes| bytes);
        ledger::digest(self.method.as_str(), self.path.as_str(), body)
    }

    /// Returns the fingerprint of the request for the quarantine.
    pub fn fingerprint(&self) -> Fingerprint {
        let body = self.payload.bytes().map(|bytes| &bytes[..]);
        Fingerprint::new(self.method.as_str(), self.path.as_str(), body)
    }

    /// Returns the request to send, or `None` if the body was already consumed.
    pub fn request(&mut self) -> Option<Request<Body>> {
        let body = self.payload.take()?;
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        let mut headers = self.headers.clone();
        if !headers.contains_key(header::HOST) {
            fields::set(&mut headers, "host", self.service.name.as_str());
        }
        fields::set(&mut headers, names::REQUEST_ID, &self.id);
        *request.headers_mut() = headers;
        Some(request)
    }
}
