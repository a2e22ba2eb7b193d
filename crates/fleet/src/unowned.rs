//! Key ranges that currently have no serving owner, as found by requests.
//!
//! A move takes as long as the longest request that is running for the keys, so a request for them
//! waits briefly. Keys of a lost target are served again only after its grants have expired, which
//! takes seconds. A request that exceeds the wait is refused at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Longest time that requests wait, counted from the first request that found the range without an
/// owner. A move with a release takes as long as the longest running request for the keys.
pub const MAX_WAIT: Duration = Duration::from_millis(700);

/// Age at which an entry is replaced by a new one, longer than any grant lasts.
const ENTRY_LIFETIME: Duration = Duration::from_secs(15);

/// Times since which key ranges have had no owner, by service and first key.
#[derive(Clone, Debug, Default)]
pub struct Ranges {
    since: HashMap<(Arc<str>, u16), Stamp>,
}

impl Ranges {
    /// Returns how long a request that found no owner may still wait for one. `first` is the first
    /// key of the range that contains its key.
    pub fn remaining_wait(&mut self, service: &Arc<str>, first: u16, now: Stamp) -> Duration {
        let since = self.since.entry((service.clone(), first)).or_insert(now);
        if now.since(*since) > ENTRY_LIFETIME {
            *since = now;
        }
        (*since + MAX_WAIT).since(now)
    }

    /// Records that a key range is served again.
    pub fn mark_served(&mut self, service: &Arc<str>, first: u16) {
        if !self.since.is_empty() {
            self.since.remove(&(service.clone(), first));
        }
    }
}
