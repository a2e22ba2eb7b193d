//! Encoding of requests to targets.

use std::fmt::Write;

use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header;

use caraway_adapter::header as field;
use caraway_core::time::millis;
use caraway_fleet::membership::Target;

use crate::forward::Call;
use crate::http::is_end_to_end;

/// Largest body that is sent together with the head of the request. Copying more costs more than another
/// write.
const MAX_JOINED_BYTES: usize = 8 << 10;

impl Call<'_> {
    /// Encodes the request for a target, with the remaining time as its deadline. Returns whether the pieces of
    /// the body have to follow; a small body is part of the message, so that one packet suffices.
    pub(super) fn encode(&self, target: &Target) -> (BytesMut, bool) {
        let parts = &self.request.parts;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let body = &self.request.body;
        let separate = body.len() > MAX_JOINED_BYTES;
        let mut message = BytesMut::with_capacity(512 + if separate { 0 } else { body.len() });
        let add_field = |message: &mut BytesMut, name: &str, value: &[u8]| {
            message.extend_from_slice(name.as_bytes());
            message.extend_from_slice(b": ");
            message.extend_from_slice(value);
            message.extend_from_slice(b"\r\n");
        };
        // Writing to an in-memory buffer does not fail.
        let _ = write!(message, "{} {path} HTTP/1.1\r\n", parts.method);
        for (name, value) in &parts.headers {
            if is_forwarded(&parts.headers, name.as_str()) {
                add_field(&mut message, name.as_str(), value.as_bytes());
            }
        }
        if !parts.headers.contains_key(header::HOST)
            && let Some(host) = parts.uri.host()
        {
            add_field(&mut message, "host", host.as_bytes());
        }
        let left = millis(self.time_left()).max(1).to_string();
        add_field(&mut message, field::DEADLINE_MS, left.as_bytes());
        add_field(&mut message, field::EXPECTED_TARGET, target.incarnation.id.as_bytes());
        let bodiless = matches!(parts.method, Method::GET | Method::HEAD | Method::DELETE);
        if !body.is_empty() || !bodiless {
            add_field(&mut message, "content-length", body.len().to_string().as_bytes());
        }
        message.extend_from_slice(b"\r\n");
        for piece in body.pieces().filter(|_| !separate) {
            message.extend_from_slice(piece);
        }
        (message, separate)
    }
}

/// Returns whether a caller's header field is forwarded to the target. The length is set by this
/// instance, and `expect` is dropped because the body has already been read.
fn is_forwarded(headers: &HeaderMap, name: &str) -> bool {
    is_end_to_end(headers, name)
        && !field::RESERVED.contains(&name)
        && !matches!(name, "content-length" | "expect")
}
