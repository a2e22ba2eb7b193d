//! Parsing of request heads. Whatever two parsers could understand differently is refused.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;

use crate::http::has_token;

/// Memory that a parsed header field takes beside its text: its places in the parser's list and in the map,
/// which may be twice as large as needed, and its name. 1,900 fields took 280 KB.
const FIELD_BYTES: usize = 200;

/// How the end of a request body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body has this length.
    Length(usize),
    /// The body is chunked.
    Chunked,
}

/// A request head.
#[derive(Debug)]
pub struct Head {
    /// Method, target and header fields.
    pub parts: Parts,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the client uses HTTP/1.0.
    pub http_1_0: bool,
    /// Whether the client closes the connection after the response.
    pub close: bool,
    /// Whether the client waits for an interim response before it sends the body.
    pub expects_continue: bool,
}

/// A request that is refused, with the status and the text of the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Status of the response.
    pub status: StatusCode,
    /// Text of the response.
    pub text: &'static str,
}

/// Returns a problem with the status 400.
pub const fn invalid(text: &'static str) -> Problem {
    Problem { status: StatusCode::BAD_REQUEST, text }
}

/// There is no memory for the head.
pub const SHORTAGE: Problem = Problem {
    status: StatusCode::SERVICE_UNAVAILABLE,
    text: "this instance has no memory for the request at the moment",
};

/// The head is longer than allowed.
pub const TOO_LONG: Problem = Problem {
    status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
    text: "the request head is too long",
};

const TOO_MANY_FIELDS: Problem = Problem {
    status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
    text: "the request has too many header fields",
};

/// Returns the length of a complete head, which ends with an empty line. The first `scanned` bytes were scanned
/// before.
///
/// # Errors
///
/// Fails if a line break is not CR and LF together: parsers differ in what they take for a line.
pub fn find_end(bytes: &[u8], scanned: usize) -> Result<Option<usize>, Problem> {
    let mut previous = scanned.checked_sub(1).and_then(|index| bytes.get(index)).copied();
    for (index, byte) in bytes.iter().enumerate().skip(scanned) {
        if (*byte == b'\n') != (previous == Some(b'\r')) {
            return Err(invalid("a line does not end with CR and LF"));
        }
        if *byte == b'\n' && bytes.get(..=index).is_some_and(|head| head.ends_with(b"\r\n\r\n")) {
            return Ok(Some(index + 1));
        }
        previous = Some(*byte);
    }
    Ok(None)
}

/// Returns the number of header fields of a complete head.
fn count_fields(text: &[u8]) -> usize {
    text.iter().filter(|byte| **byte == b'\n').count().saturating_sub(2)
}

/// Returns the memory that a complete head takes once it is parsed, in bytes.
pub fn memory(text: &[u8]) -> usize {
    text.len() + count_fields(text) * FIELD_BYTES
}

/// Parses a complete head.
///
/// # Errors
///
/// Fails if the head is invalid, ambiguous or has more than `max_fields` header fields.
pub fn parse(text: &Bytes, max_fields: usize) -> Result<Head, Problem> {
    if text.windows(3).any(|bytes| matches!(bytes, b"\r\n " | b"\r\n\t" | [b'\n', b' ', _])) {
        return Err(invalid("a header field is folded"));
    }
    let count = count_fields(text);
    if count > max_fields {
        return Err(TOO_MANY_FIELDS);
    }
    let mut fields = vec![httparse::EMPTY_HEADER; count];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(text) {
        Ok(httparse::Status::Complete(size)) if size == text.len() => {}
        _ => return Err(invalid("the request head is invalid")),
    }
    let (Some(method), Some(path)) = (request.method, request.path) else {
        return Err(invalid("the request line is invalid"));
    };
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| invalid("invalid method"))?;
    let shared = |part: &[u8]| text.slice_ref(part);
    let uri = Uri::from_maybe_shared(shared(path.as_bytes()));
    let uri = uri.map_err(|_| invalid("the request target is invalid"))?;
    if method == Method::CONNECT {
        return Err(invalid("CONNECT is not supported"));
    }
    let mut headers = HeaderMap::with_capacity(count);
    for field in request.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(shared(field.value));
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(invalid("a header field is invalid"));
        };
        headers.try_append(name, value).map_err(|_| TOO_MANY_FIELDS)?;
    }
    let http_1_0 = request.version == Some(0);
    let framing = framing(&headers, http_1_0)?;
    if headers.get_all(header::HOST).iter().count() > 1 {
        return Err(invalid("there is more than one host"));
    }
    let close = http_1_0 || has_token(&headers, header::CONNECTION, "close");
    let expects_continue = !http_1_0 && has_token(&headers, header::EXPECT, "100-continue");
    let (mut parts, ()) = Request::new(()).into_parts();
    (parts.method, parts.uri, parts.headers) = (method, uri, headers);
    Ok(Head { parts, framing, http_1_0, close, expects_continue })
}

fn framing(headers: &HeaderMap, http_1_0: bool) -> Result<Framing, Problem> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(_), Some(_)) => Err(invalid("the request has a length and a transfer encoding")),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !chunked || codings.next().is_some() || http_1_0 {
                return Err(invalid("the transfer encoding is not supported"));
            }
            Ok(Framing::Chunked)
        }
        (None, Some(length)) => {
            if lengths.next().is_some() {
                return Err(invalid("the request has more than one length"));
            }
            let digits = length.as_bytes().iter().all(u8::is_ascii_digit);
            let number = length.to_str().ok().filter(|_| digits).and_then(|text| text.parse().ok());
            number.map(Framing::Length).ok_or(invalid("the length of the request is invalid"))
        }
    }
}
