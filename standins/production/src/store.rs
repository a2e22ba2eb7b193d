//! Stand-in for the platform's store: versioned keys, transactions, leases and watches.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Request;

/// Size limits of a page; the latter is exceeded by at most one item.
const MAX_PAGE_ITEMS: usize = 40;
const MAX_PAGE_BYTES: usize = 1 << 20;

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Serves all calls.
    #[default]
    Up,
    /// Responds with 503 and executes nothing.
    Busy,
    /// Executes nothing and does not respond.
    Silent,
    /// Executes writes but closes their connections without a response.
    Lossy,
    /// Watches that start in this mode return no changes until they time out.
    Deaf,
}

#[derive(Clone, Debug)]
struct Item {
    /// Value as it is returned: a string in base64, unless a test wrote another value.
    value: Value,
    revision: u64,
    created_revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Data {
    mode: Mode,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes with their revisions; removals are tombstones.
    history: Vec<(u64, Value)>,
    /// Revision up to which the history was compacted.
    compacted_revision: u64,
    /// Leases by id, with their time to live and expiry.
    leases: BTreeMap<u64, (Duration, Instant)>,
    calls: u64,
    range_calls: u64,
    /// Era, which each restoration of a copy raises by one.
    era: u64,
}

/// Copy of the contents of a store.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, Value)>,
    compacted_revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

#[derive(Debug, Default)]
struct Shared {
    data: Mutex<Data>,
    changed: Condvar,
}

/// A running store. Its threads run until the process exits.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<Shared>,
    /// Address at which it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let (serving, expiring) = (shared.clone(), shared.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                // Broken connections are handled by the client.
                thread::spawn(move || drop(serve(&shared, stream)));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.lock().expire_leases();
                expiring.changed.notify_all();
            }
        });
        Ok(Self { shared, address })
    }

    /// Writes a JSON value without a lease, as the operator or a target does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut data = self.shared.lock();
        data.revision += 1;
        data.put(key, STANDARD.encode(value.to_string()), 0);
        self.shared.changed.notify_all();
    }

    /// Writes raw bytes, which need not be a valid value.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        let mut data = self.shared.lock();
        data.revision += 1;
        data.put(key, STANDARD.encode(value), 0);
        self.shared.changed.notify_all();
    }

    /// Writes a value that the store returns as it is instead of in base64.
    pub fn put_raw(&self, key: &str, value: Value) {
        let mut data = self.shared.lock();
        data.revision += 1;
        data.put_item(key, value, 0);
        self.shared.changed.notify_all();
    }

    /// Removes a key, leaving a tombstone in the history.
    pub fn remove(&self, key: &str) {
        let mut data = self.shared.lock();
        data.revision += 1;
        data.remove(key);
        self.shared.changed.notify_all();
    }

    /// Returns the value of a key, or `None` if there is none.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let data = self.shared.lock();
        STANDARD.decode(data.items.get(key)?.value.as_str()?).ok()
    }

    /// Sets how calls are handled. Pending watches fail if the new mode serves none.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().mode = mode;
        self.shared.changed.notify_all();
    }

    /// Drops the history, so that watches from an earlier revision fail with 410.
    pub fn compact(&self) {
        let mut data = self.shared.lock();
        data.history.clear();
        data.compacted_revision = data.revision;
        self.shared.changed.notify_all();
    }

    /// Ends all leases, as if they had expired.
    pub fn end_leases(&self) {
        let mut data = self.shared.lock();
        let leases: Vec<u64> = data.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| data.end_lease(lease));
        self.shared.changed.notify_all();
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> Copy {
        let data = self.shared.lock();
        Copy {
            revision: data.revision,
            items: data.items.clone(),
            history: data.history.clone(),
            compacted_revision: data.compacted_revision,
            leases: data.leases.clone(),
        }
    }

    /// Restores a copy and raises the era by one. What was written since is lost, including leases
    /// and their renewals, and revisions go back and are assigned again. A lease that has expired
    /// since the copy ends at once.
    pub fn restore(&self, copy: &Copy) {
        let mut data = self.shared.lock();
        let copy = copy.clone();
        data.revision = copy.revision;
        data.items = copy.items;
        data.history = copy.history;
        data.compacted_revision = copy.compacted_revision;
        data.leases = copy.leases;
        data.era += 1;
        data.expire_leases();
        self.shared.changed.notify_all();
    }

    /// Returns the era.
    pub fn era(&self) -> u64 {
        self.shared.lock().era
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Returns the number of prefix range reads since the start.
    pub fn range_calls(&self) -> u64 {
        self.shared.lock().range_calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.put_item(key, value.into(), lease);
    }

    fn put_item(&mut self, key: &str, value: Value, lease: u64) {
        let revision = self.revision;
        let created_revision = self.items.get(key).map_or(revision, |item| item.created_revision);
        let item = Item { value, revision, created_revision, lease };
        self.history.push((revision, item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = json!({ "key": key, "revision": revision, "tombstone": true });
            self.history.push((revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        self.leases.remove(&lease);
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, (_, end))| *end < now);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn call(&mut self, request: &Request) -> (u16, Value) {
        let path = request.path.split('?').next().unwrap_or_default();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/v1/kv-key") => {
                let key = request.parameter("key").unwrap_or_default();
                let Some(item) = self.items.get(&key) else { return (404, json!({})) };
                let mut item = item.json(&key);
                if let Some(fields) = item.as_object_mut() {
                    fields.insert("current_rev".to_owned(), json!(self.revision));
                }
                (200, item)
            }
            ("GET", "/v1/kv-range") => {
                let prefix = request.parameter("prefix").unwrap_or_default();
                let after = request.parameter("after").unwrap_or_default();
                let found = self.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || **key > after)
                });
                let (items, more) = page(found.map(|(key, item)| item.json(key)));
                let response =
                    json!({ "items": items, "more_pages": more, "current_rev": self.revision });
                (200, response)
            }
            ("POST", "/v1/kv-txn") => self.transact(&body),
            ("POST", "/v1/kv-lease") => {
                self.revision += 1;
                let lease = self.revision;
                let millis = body.get("ttl_ms").and_then(Value::as_u64).unwrap_or(1000);
                let ttl = Duration::from_millis(millis);
                self.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, json!({ "lease": lease, "ttl_ms": millis }))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
                match self.leases.get_mut(&lease.unwrap_or(0)) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", path) => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
                self.end_lease(lease.unwrap_or(0));
                (200, json!({}))
            }
            _ => (400, json!({ "error": "unknown call" })),
        }
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let rows = |name: &str| body.get(name).and_then(Value::as_array).unwrap_or(&empty).clone();
        for row in rows("precondition") {
            let key = row.get("key").and_then(Value::as_str).unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            if row.get("revision").and_then(Value::as_u64) != Some(revision) {
                return (412, json!({ "items": [] }));
            }
        }
        for put in rows("puts") {
            let lease = put.get("lease").and_then(Value::as_u64).unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, json!({}));
            }
        }
        self.revision += 1;
        for put in rows("puts") {
            let key = put.get("key").and_then(Value::as_str).unwrap_or_default().to_owned();
            let value = put.get("value").and_then(Value::as_str).unwrap_or_default().to_owned();
            self.put(&key, value, put.get("lease").and_then(Value::as_u64).unwrap_or(0));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({ "revision": self.revision }))
    }
}

impl Item {
    fn json(&self, key: &str) -> Value {
        json!({
            "key": key,
            "value": self.value,
            "revision": self.revision,
            "created_rev": self.created_revision,
            "lease": self.lease,
        })
    }
}

fn serve(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = http::read(&mut input)? {
        let mode = {
            let mut data = shared.lock();
            data.calls += 1;
            data.range_calls += u64::from(request.path.starts_with("/v1/kv-range"));
            data.mode
        };
        // The era under which the call is executed, even if a copy is restored before the response.
        let (status, body, era) = match mode {
            Mode::Busy => (503, json!({}), shared.lock().era),
            Mode::Silent => continue,
            Mode::Lossy if request.method != "GET" => {
                shared.lock().call(&request);
                shared.changed.notify_all();
                return Ok(());
            }
            Mode::Up | Mode::Lossy | Mode::Deaf if request.path.starts_with("/v1/kv-watch") => {
                watch(shared, &request, mode == Mode::Deaf)
            }
            Mode::Up | Mode::Lossy | Mode::Deaf => {
                let mut data = shared.lock();
                let (status, body) = data.call(&request);
                let era = data.era;
                drop(data);
                shared.changed.notify_all();
                (status, body, era)
            }
        };
        let era = era.to_string();
        let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
        output.write_all(&http::response(status, &headers, body.to_string().as_bytes()))?;
    }
    Ok(())
}

/// Returns the items of the first page, and whether more follow.
fn page(items: impl Iterator<Item = Value>) -> (Vec<Value>, bool) {
    let (mut page, mut size) = (Vec::new(), 0);
    for item in items {
        if page.len() == MAX_PAGE_ITEMS || size > MAX_PAGE_BYTES {
            return (page, true);
        }
        size += item.get("value").and_then(Value::as_str).map_or(0, str::len);
        page.push(item);
    }
    (page, false)
}

fn watch(shared: &Shared, request: &Request, deaf: bool) -> (u16, Value, u64) {
    let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
    let (after, wait): (u64, u64) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
    let prefix = request.parameter("prefix").unwrap_or_default();
    let end = Instant::now() + Duration::from_millis(wait);
    let mut data = shared.lock();
    loop {
        if matches!(data.mode, Mode::Busy | Mode::Silent) {
            return (503, json!({}), data.era);
        }
        // Revisions beyond the latest one are those of a time that a restoration has lost.
        if after < data.compacted_revision || after > data.revision {
            return (410, json!({}), data.era);
        }
        let events = data.history.iter().filter(|(revision, event)| {
            *revision > after
                && event
                    .get("key")
                    .and_then(Value::as_str)
                    .is_some_and(|key| key.starts_with(&prefix))
        });
        let (events, more) = page(events.map(|(_, event)| event.clone()));
        // The rest follows when the client continues from the last event.
        let last = events.last().and_then(|event| event.get("revision")?.as_u64());
        let current = last.filter(|_| more).unwrap_or(data.revision);
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() && !deaf || left.is_zero() {
            return (200, json!({ "events": events, "current_rev": current }), data.era);
        }
        let waited = shared.changed.wait_timeout(data, left);
        data = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}
