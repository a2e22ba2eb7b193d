//! Key-value store with revisions and leases.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::call::Put;
use crate::errors::Error;
use crate::errors::Result;

/// The newest revision of a key.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    pub key: String,
    /// JSON text, or `None` if the key was deleted.
    pub value: Option<String>,
    /// Revision of the last write or deletion.
    pub revision: u64,
    #[serde(skip)]
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// The store. A deleted key leaves a tombstone, an entry without a value, so that watches report the deletion.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    last_lease: u64,
    leases: BTreeMap<u64, Lease>,
}

impl Store {
    /// Returns the newest revision of the store.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &str) -> Result<&Entry> {
        let entry = self.entries.get(key).filter(|entry| entry.value.is_some());
        entry.ok_or(Error::Missing("key"))
    }

    /// Writes a key if it has the expected revision. Returns the new revision.
    pub fn put(&mut self, put: Put) -> Result<u64> {
        let current = self.get(&put.key).map_or(0, |entry| entry.revision);
        if current != put.expect {
            return Err(Error::Conflict(current));
        }
        if put.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(Error::Malformed("no such lease".to_owned()));
        }
        let Put { key, value, lease, .. } = put;
        Ok(self.write(key, Some(value), lease))
    }

    /// Returns the entries under a prefix with a revision above `after`, ordered by revision.
    pub fn changes(&self, prefix: &str, after: u64) -> Vec<&Entry> {
        let mut changes: Vec<&Entry> = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry)
            .filter(|entry| entry.revision > after)
            .collect();
        changes.sort_by_key(|entry| entry.revision);
        changes
    }

    /// Creates a lease.
    pub fn create_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: now + ttl });
        self.last_lease
    }

    /// Extends a lease by its time to live.
    pub fn renew_lease(&mut self, id: u64, now: Instant) -> Result<()> {
        let lease = self.leases.get_mut(&id).ok_or(Error::Missing("lease"))?;
        lease.expires_at = now + lease.ttl;
        Ok(())
    }

    /// Deletes the expired leases and the keys attached to them. Returns true if a key was deleted.
    pub fn expire_leases(&mut self, now: Instant) -> bool {
        let lease_count = self.leases.len();
        self.leases.retain(|_, lease| lease.expires_at > now);
        if self.leases.len() == lease_count {
            return false;
        }
        let lease_expired =
            |entry: &&Entry| entry.lease.is_some_and(|id| !self.leases.contains_key(&id));
        let keys: Vec<String> =
            self.entries.values().filter(lease_expired).map(|entry| entry.key.clone()).collect();
        let deleted = !keys.is_empty();
        for key in keys {
            self.write(key, None, None);
        }
        deleted
    }

    fn write(&mut self, key: String, value: Option<String>, lease: Option<u64>) -> u64 {
        self.revision += 1;
        let entry = Entry { key: key.clone(), value, revision: self.revision, lease };
        self.entries.insert(key, entry);
        self.revision
    }
}
