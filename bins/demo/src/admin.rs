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
    pub fn held(&self, address: SocketAddr) -> Option<BTreeSet<String>> {
        Some(groups_of(&self.page(address, "/status").ok()?))
    }
}

/// Returns the names of the held groups of a status page.
fn groups_of(status: &Value) -> BTreeSet<String> {
    let list = status.get("held_groups").or_else(|| status.get("groups"));
    let items = list.and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let name = |item: &Value| match item {
        Value::String(name) => Some(name.clone()),
        _ => Some(item.get("group")?.as_str()?.to_owned()),
    };
    items.iter().filter_map(name).collect()
}
