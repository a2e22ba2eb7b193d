//! Client of the platform stand-in, and a small HTTP client for control and admin interfaces.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::errors::Error;
use crate::errors::Result;

/// Default timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A blocking HTTP client without connection reuse.
#[derive(Clone, Debug)]
pub struct Http {
    agent: ureq::Agent,
}

impl Default for Http {
    fn default() -> Self {
        Self::new(CALL_TIMEOUT)
    }
}

impl Http {
    /// Creates a client with a timeout for the whole call.
    pub fn new(timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .max_idle_connections(0)
            .build();
        Self { agent: config.new_agent() }
    }

    /// Sends a GET request and returns the status and the body.
    pub fn get(&self, address: SocketAddr, path: &str) -> Result<(u16, String)> {
        let url = format!("http://{address}{path}");
        let failed =
            |error: ureq::Error| Error::Http { url: url.clone(), problem: error.to_string() };
        let mut response = self.agent.get(&url).call().map_err(failed)?;
        let body = response.body_mut().read_to_string().map_err(failed)?;
        Ok((response.status().as_u16(), body))
    }

    /// Sends a JSON body with PUT, or with POST if `put` is false, and returns the status and the body.
    pub fn send(
        &self,
        put: bool,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<(u16, String)> {
        let url = format!("http://{address}{path}");
        let failed =
            |error: ureq::Error| Error::Http { url: url.clone(), problem: error.to_string() };
        let request = if put { self.agent.put(&url) } else { self.agent.post(&url) };
        let request = request.header("content-type", "application/json");
        let mut response = request.send(body.to_string()).map_err(failed)?;
        let body = response.body_mut().read_to_string().map_err(failed)?;
        Ok((response.status().as_u16(), body))
    }
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
    /// Stopped by the platform.
    Gone,
}

/// A client of the platform of an environment.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    http: Http,
}

#[derive(Deserialize)]
struct Revision {
    revision: u64,
}

impl Platform {
    /// Creates a client of the platform at the given address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: Http::default() }
    }

    /// Returns true if the platform responds.
    pub fn is_ready(&self) -> bool {
        self.http.get(self.address, "/v1/counts").is_ok_and(|(status, _)| status == 200)
    }

    /// Writes a key if it has the expected revision. Returns the new revision, or the current one as the
    /// inner error.
    pub fn put(
        &self,
        key: &str,
        value: &Value,
        expect: u64,
    ) -> Result<std::result::Result<u64, u64>> {
        let path = format!("/v1/kv/{key}");
        let body = json!({ "value": value.to_string(), "expect": expect });
        let (status, text) = self.http.send(true, self.address, &path, &body)?;
        match status {
            200 => Ok(Ok(serde_json::from_str::<Revision>(&text)?.revision)),
            409 => Ok(Err(serde_json::from_str::<Revision>(&text)?.revision)),
            _ => Err(Error::Http { url: path, problem: format!("status {status}: {text}") }),
        }
    }

    /// Writes an instance to the platform's instance list.
    pub fn register(
        &self,
        name: &str,
        kind: &str,
        domain: &str,
        address: SocketAddr,
        state: State,
    ) -> Result<()> {
        let body = json!({
            "name": name, "kind": kind, "failure_domain": domain, "address": address, "state": state,
        });
        self.send_expecting_success(true, &format!("/v1/instances/{name}"), &body)
    }

    /// Sets injected faults of the platform. Absent fields keep their value.
    pub fn set_faults(&self, change: &Value) -> Result<()> {
        self.send_expecting_success(false, "/v1/fault", change)
    }

    /// Returns the number of calls to the platform by kind.
    pub fn call_counts(&self) -> Result<Value> {
        let (_, text) = self.http.get(self.address, "/v1/counts")?;
        Ok(serde_json::from_str(&text)?)
    }

    fn send_expecting_success(&self, put: bool, path: &str, body: &Value) -> Result<()> {
        let (status, text) = self.http.send(put, self.address, path, body)?;
        match status {
            200..=299 => Ok(()),
            _ => Err(Error::Http {
                url: path.to_owned(),
                problem: format!("status {status}: {text}"),
            }),
        }
    }
}
