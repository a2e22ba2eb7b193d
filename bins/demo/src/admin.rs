//! Reads the admin interface of entry instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::errors::Result;
use crate::platform::Http;

/// Time allowed for a call to an admin interface.
const LIMIT: Duration = Duration::from_millis(500);

/// A client of admin interfaces.
#[derive(Clone, Debug)]
pub struct Admin {
    http: Http,
}

impl Default for Admin {
    fn default() -> Self {
        Self { http: Http::new(LIMIT) }
    }
}

impl Admin {
    /// Returns true if the instance reports that it is ready.
    pub fn ready(&self, address: SocketAddr) -> bool {
        self.http.get(address, "/readyz").is_ok_and(|(status, _)| status == 200)
    }

    /// Returns a page of the admin interface as JSON.
    pub fn page(&self, address: SocketAddr, path: &str) -> Result<Value> {
        let (_, text) = self.http.get(address, path)?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Returns the names of the groups that an instance holds, or nothing if it does not answer.
    pub fn held_groups(&self, address: SocketAddr) -> Option<BTreeSet<String>> {
        Some(groups_of(&self.page(address, "/status").ok()?, None))
    }

    /// Returns the names of the held groups that take requests of every class.
    pub fn serving_groups(&self, address: SocketAddr) -> Option<BTreeSet<String>> {
        Some(groups_of(&self.page(address, "/status").ok()?, Some("serving")))
    }

    /// Returns the configuration version of an instance, or nothing if it does not answer.
    pub fn config_version(&self, address: SocketAddr) -> Option<u64> {
        self.page(address, "/status").ok()?.get("config_version")?.as_u64()
    }
}

/// Returns the names of the groups of a status page, or of those in one state.
fn groups_of(status: &Value, state: Option<&str>) -> BTreeSet<String> {
    let items = status.get("groups").and_then(Value::as_array).map(Vec::as_slice);
    let text = |item: &Value, field: &str| Some(item.get(field)?.as_str()?.to_owned());
    let matching = items.unwrap_or_default().iter().filter(|item| {
        state.is_none_or(|state| text(item, "state").is_some_and(|found| found == state))
    });
    matching.filter_map(|item| text(item, "group")).collect()
}
