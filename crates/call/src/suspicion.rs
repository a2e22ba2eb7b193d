//! Requests whose connection was lost while a target ran them, until it is known whether the target crashed.
//!
//! A lost connection can also be caused by the network. A target that is unreachable afterwards, or that
//! restarts, has crashed; one that answers again has not.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::quarantine::Identity;

/// Time after which a crash of the target is no longer attributed to a lost connection.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(5);

/// Minimum time between two probes of a target.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Requests with a lost connection, by incarnation of the target.
#[derive(Clone, Debug)]
pub struct Suspicions<I> {
    disconnects: HashMap<I, Vec<(Identity, Stamp)>>,
}

impl<I> Default for Suspicions<I> {
    fn default() -> Self {
        Self { disconnects: HashMap::new() }
    }
}

impl<I: Clone + Eq + Hash> Suspicions<I> {
    /// Records that the connection was lost while a target ran a request. Returns true if the target
    /// should be probed: no other connection to it was lost within the last probe interval, so no probe
    /// is pending.
    pub fn record_disconnect(
        &mut self,
        incarnation: &I,
        request: impl Into<Identity>,
        now: Stamp,
    ) -> bool {
        let requests = self.disconnects.entry(incarnation.clone()).or_default();
        requests.retain(|(_, at)| now.since(*at) < ATTRIBUTION_WINDOW);
        let recent = requests.last().is_some_and(|(_, at)| now.since(*at) < PROBE_INTERVAL);
        requests.push((request.into(), now));
        !recent
    }

    /// Records that a target answered a request that was sent at `sent` or later. This clears the
    /// requests whose connections were lost before; for later ones it is no proof, since the answer
    /// may have been on its way.
    pub fn record_answer(&mut self, incarnation: &I, sent: Stamp) {
        let Some(requests) = self.disconnects.get_mut(incarnation) else { return };
        requests.retain(|(_, at)| *at >= sent);
        if requests.is_empty() {
            self.disconnects.remove(incarnation);
        }
    }

    /// Records that a target is unreachable or has exited; returns the requests that may have caused it.
    pub fn record_crash(&mut self, incarnation: &I, now: Stamp) -> Vec<Identity> {
        let requests = self.disconnects.remove(incarnation).unwrap_or_default();
        let recent = requests.into_iter().filter(|(_, at)| now.since(*at) < ATTRIBUTION_WINDOW);
        recent.map(|(request, _)| request).collect()
    }
}
