//! Requests whose connection broke while a target ran them, until it is known whether the target crashed.
//!
//! A connection also breaks because an answer is lost or a network is cut. A target that cannot be reached
//! afterwards, or that starts anew, has crashed; one that answers again has not.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::quarantine::Fingerprint;

/// Time after which a broken connection has nothing to do with what becomes of the target.
const WINDOW: Duration = Duration::from_secs(5);

/// Time between two looks whether a target has crashed.
const PROBE: Duration = Duration::from_secs(1);

/// Broken requests by life of the target.
#[derive(Clone, Debug)]
pub struct Suspicions<L> {
    broken: HashMap<L, Vec<(Fingerprint, Stamp)>>,
}

impl<L> Default for Suspicions<L> {
    fn default() -> Self {
        Self { broken: HashMap::new() }
    }
}

impl<L: Clone + Eq + Hash> Suspicions<L> {
    /// Records that the connection on which a target ran a request broke. Returns whether it is to be found
    /// out if the target has crashed: nobody is doing so already.
    pub fn record_disconnect(&mut self, life: &L, fingerprint: Fingerprint, now: Stamp) -> bool {
        let requests = self.broken.entry(life.clone()).or_default();
        requests.retain(|(_, at)| now.since(*at) < WINDOW);
        let recent = requests.last().is_some_and(|(_, at)| now.since(*at) < PROBE);
        requests.push((fingerprint, now));
        !recent
    }

    /// Records that a target answered.
    pub fn record_answer(&mut self, life: &L) {
        if !self.broken.is_empty() {
            self.broken.remove(life);
        }
    }

    /// Records that a target cannot be reached or has ended; returns the requests that may have ended it.
    pub fn record_crash(&mut self, life: &L, now: Stamp) -> Vec<Fingerprint> {
        let requests = self.broken.remove(life).unwrap_or_default();
        let recent = requests.into_iter().filter(|(_, at)| now.since(*at) < WINDOW);
        recent.map(|(fingerprint, _)| fingerprint).collect()
    }
}
