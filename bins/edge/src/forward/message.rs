//! A request as it is sent to a target.

use std::fmt::Write;

use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header;

use caraway_adapter::header as field;
use caraway_core::time::millis;
use caraway_fleet::membership::Target;

use crate::forward::Call;
use crate::http::end_to_end;

impl Call<'_> {
    /// Returns the request as it is sent to a target.
    pub(super) fn text(&self, target: &Target) -> Vec<u8> {
        let parts = &self.request.parts;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut text = BytesMut::with_capacity(512 + self.request.body.len());
        let line = |text: &mut BytesMut, name: &str, value: &[u8]| {
            text.extend_from_slice(name.as_bytes());
            text.extend_from_slice(b": ");
            text.extend_from_slice(value);
            text.extend_from_slice(b"\r\n");
        };
        // Writing to a buffer in memory does not fail.
        let _ = write!(text, "{} {path} HTTP/1.1\r\n", parts.method);
        for (name, value) in &parts.headers {
            if passed_on(&parts.headers, name.as_str()) {
                line(&mut text, name.as_str(), value.as_bytes());
            }
        }
        if !parts.headers.contains_key(header::HOST)
            && let Some(host) = parts.uri.host()
        {
            line(&mut text, "host", host.as_bytes());
        }
        let left = millis(self.left()).max(1).to_string();
        line(&mut text, field::DEADLINE_MS, left.as_bytes());
        line(&mut text, field::EXPECTED_TARGET, target.incarnation.id.as_bytes());
        let bodiless = matches!(parts.method, Method::GET | Method::HEAD | Method::DELETE);
        if !self.request.body.is_empty() || !bodiless {
            line(&mut text, "content-length", self.request.body.len().to_string().as_bytes());
        }
        text.extend_from_slice(b"\r\n");
        text.extend_from_slice(&self.request.body);
        text.to_vec()
    }
}

/// Returns whether a header of a caller is sent to the target. The length is set anew, and the body
/// has been read, so that there is nothing to wait for.
fn passed_on(headers: &HeaderMap, name: &str) -> bool {
    end_to_end(headers, name)
        && !field::RESERVED.contains(&name)
        && !matches!(name, "content-length" | "expect")
}
