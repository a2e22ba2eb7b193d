//! One request on its way through this instance.

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
use crate::exchange::Recall;
use crate::explain::Trace;
use crate::fields;
use crate::observe::Meter;

/// A request with what is known about it.
#[derive(Debug)]
pub struct Call {
    /// Identity of this submission.
    pub id: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Header fields that are passed on.
    pub headers: HeaderMap,
    /// Body.
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
    pub idempotency: Option<Arc<str>>,
    /// Moment at which the call ends.
    pub deadline: Stamp,
    /// Group that did not take the call when it was last offered.
    pub declined: Option<name::Group>,
    /// Attempts so far.
    pub trail: attempt::Attempts,
    /// Steps for the operator.
    pub steps: Arc<Trace>,
    /// Measurement; taken by the answer that is passed on.
    pub meter: Option<Meter>,
}

/// Why a call did not get an answer from the place that it was given to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// The call has ended.
    End(Outcome),
    /// The place does not coordinate the group; the call may go to another one.
    Reroute(Reason),
}

impl Call {
    /// Moves the call out, for a task that brings it back when it has ended. What stays has no body,
    /// measurement or history and must not be sent.
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
            idempotency: self.idempotency.clone(),
            deadline: self.deadline,
            declined: self.declined.clone(),
            trail: std::mem::take(&mut self.trail),
            steps: self.steps.clone(),
            meter: self.meter.take(),
        }
    }

    /// Returns what the call permits at the moment.
    pub fn permits(&self) -> attempt::Policy {
        attempt::Policy {
            repeatable: self.class.repeatable,
            buffered: self.payload.buffered(),
            max_attempts: self.class.max_attempts,
        }
    }

    /// Returns what a recall of the next attempt does. It is asked before the body is taken.
    pub fn recall(&self) -> Recall {
        if self.payload.bytes().is_none() {
            Recall::Ignore
        } else if self.trail.may_give_up(self.permits()) {
            Recall::GiveUp
        } else {
            Recall::Withdraw
        }
    }

    /// Returns the end of a call for a reason that by itself means "did not run".
    pub fn refuse(&self, reason: Reason) -> Stop {
        Stop::End(self.trail.conclude(reason))
    }

    /// Returns that the call may go elsewhere, or its end if its body has been used up.
    pub fn reroute(&self, reason: Reason) -> Stop {
        if self.payload.buffered() { Stop::Reroute(reason) } else { self.refuse(reason) }
    }

    /// Returns what the end of an exchange means, given how far the body was passed on: a body that
    /// failed explains the end, and the target is not to blame.
    pub fn judge(&self, event: Event) -> Event {
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

    /// Makes the request to send, or nothing if the body has been used up.
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
