//! Client of the admin interface of entry instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::errors::Result;
use crate::platform::Http;

/// Timeout of a call to an admin interface.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// An HTTP client for admin interfaces.
#[derive(Clone, Debug)]
pub struct Admin {
    http: Http,
}

impl Default for Admin {
    fn default() -> Self {
        Self { http: Http::new(CALL_TIMEOUT) }
    }
}

impl Admin {
    /// Returns true if the instance reports that it is ready.
    pub fn is_ready(&self, address: SocketAddr) -> bool {
        self.http.get(address, "/readyz").is_ok_and(|(status, _)| status == 200)
    }

    /// Fetches a path of the admin interface and parses the body as JSON.
    pub fn get_json(&self, address: SocketAddr, path: &str) -> Result<Value> {
        let (_, text) = self.http.get(address, path)?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Returns the names of the groups that an instance coordinates, or `None` if it does not respond.
    pub fn held_groups(&self, address: SocketAddr) -> Option<BTreeSet<String>> {
        Some(group_names(&self.get_json(address, "/status").ok()?, None))
    }

    /// Returns the names of the groups that an instance coordinates and serves for every class, or `None`
    /// if it does not respond.
    pub fn serving_groups(&self, address: SocketAddr) -> Option<BTreeSet<String>> {
        Some(group_names(&self.get_json(address, "/status").ok()?, Some("serving")))
    }

    /// Returns the configuration version of an instance, or `None` if it does not respond.
    pub fn config_version(&self, address: SocketAddr) -> Option<u64> {
        self.get_json(address, "/status").ok()?.get("config_version")?.as_u64()
    }
}

/// Returns the names of the groups in a status response, optionally only those in the given state.
fn group_names(status: &Value, state: Option<&str>) -> BTreeSet<String> {
    let items = status.get("groups").and_then(Value::as_array).map(Vec::as_slice);
    let text = |item: &Value, field: &str| Some(item.get(field)?.as_str()?.to_owned());
    let matching = items.unwrap_or_default().iter().filter(|item| {
        state.is_none_or(|state| text(item, "state").is_some_and(|found| found == state))
    });
    matching.filter_map(|item| text(item, "group")).collect()
}
