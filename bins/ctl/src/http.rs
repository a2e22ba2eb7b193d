//! HTTP calls to admin interfaces, with timeouts.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;
use ureq::Error;
use ureq::Timeout;

/// Timeout of the connection setup.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a whole call. Admin interfaces respond from memory, so a longer call means that the instance
/// is stuck.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Status and body of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body; null if it is not JSON.
    pub body: Value,
}

/// Returns an agent without connection reuse. With reuse, the agent would silently resend a request if the
/// server has closed the pooled connection.
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .into()
}

/// Sends a GET request.
///
/// # Errors
///
/// There is no response; the text is the reason.
pub fn get(agent: &Agent, url: &str) -> Result<Response, String> {
    agent.get(url).call().map_err(|error| describe(&error)).and_then(read)
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Result<Response, String> {
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
    let body = body.map_err(|error| describe(&error))?;
    Ok(Response { status, body: serde_json::from_slice(&body).unwrap_or(Value::Null) })
}

fn describe(error: &Error) -> String {
    match error {
        Error::Timeout(Timeout::Connect) => {
            format!("no connection within {} s", CONNECT_TIMEOUT.as_secs())
        }
        Error::Timeout(_) => format!("no answer within {} s", CALL_TIMEOUT.as_secs()),
        Error::Io(error) => error.to_string(),
        other => other.to_string(),
    }
}

/// Percent-encodes a path segment (RFC 3986). All characters except unreserved ones are encoded.
pub fn segment(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}

/// Returns the base URL of an address with or without a scheme.
pub fn base(address: &str) -> String {
    let address = address.trim_end_matches('/');
    if address.contains("://") { address.to_owned() } else { format!("http://{address}") }
}
