//! Keys without an owner that serves them, as requests find them.
//!
//! A move takes as long as the longest request that is running on the keys, so a request for them is
//! worth a short wait. Keys of a target that was lost come back only when its grants have run out, which
//! is seconds later: what cannot be served by then is refused at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Time from the first request that found keys without an owner up to which requests wait: a move with
/// a release takes as long as the longest request that is running on the keys.
pub const MAX_WAIT: Duration = Duration::from_millis(700);

/// Time after which a gap is taken for a new one: longer than any grant lasts.
const FORGET: Duration = Duration::from_secs(15);

/// Keys of services without an owner, by service and first key.
#[derive(Clone, Debug, Default)]
pub struct Ranges {
    since: HashMap<(Arc<str>, u16), Stamp>,
}

impl Ranges {
    /// Returns how long a request that found no owner may wait for one. `first` is the first key of
    /// the run that its key belongs to.
    pub fn remaining_wait(&mut self, service: &Arc<str>, first: u16, now: Stamp) -> Duration {
        let since = self.since.entry((service.clone(), first)).or_insert(now);
        if now.since(*since) > FORGET {
            *since = now;
        }
        (*since + MAX_WAIT).since(now)
    }

    /// Records that keys are served.
    pub fn mark_served(&mut self, service: &Arc<str>, first: u16) {
        if !self.since.is_empty() {
            self.since.remove(&(service.clone(), first));
        }
    }
}
