//! The instance list, whose reads can lag behind its writes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of recorded states per instance. An instance has four states, so this covers several restarts
/// within the lags that tests use.
const MAX_HISTORY: usize = 64;

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Entry,
    Target,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance has been created, but does not serve requests yet.
    Starting,
    /// The instance serves requests.
    Live,
    /// The platform will stop the instance.
    Leaving,
    /// The platform has stopped the machine of the instance.
    Gone,
}

/// An instance of the list.
#[derive(Clone, Debug, Serialize)]
pub struct Instance {
    pub name: String,
    pub kind: Kind,
    pub failure_domain: String,
    pub address: String,
    pub state: State,
}

/// The recent states of each instance, by name, with the time of each change.
#[derive(Debug, Default)]
pub struct List(BTreeMap<String, VecDeque<(Instant, Instance)>>);

impl List {
    /// Records the state of an instance.
    pub fn put(&mut self, instance: Instance, now: Instant) {
        let history = self.0.entry(instance.name.clone()).or_default();
        history.push_back((now, instance));
        if history.len() > MAX_HISTORY {
            history.pop_front();
        }
    }

    /// Returns the instances in their state at `now - lag`, ordered by name.
    pub fn read(&self, now: Instant, lag: Duration) -> Vec<&Instance> {
        let visible = |changed_at: Instant| now.saturating_duration_since(changed_at) >= lag;
        self.0
            .values()
            .filter_map(|history| history.iter().rev().find(|(changed_at, _)| visible(*changed_at)))
            .map(|(_, instance)| instance)
            .collect()
    }
}
