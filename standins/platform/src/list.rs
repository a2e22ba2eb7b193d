//! The instance list, which is read with a lag.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Number of past states kept for one instance. An instance has four states, so that a restarted
/// instance is still listed as it was during any lag that tests use.
const HISTORY_LENGTH: usize = 64;

/// Kind of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An entry instance.
    Entry,
    /// A target.
    Target,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance has been created and does not serve yet.
    Starting,
    /// The instance serves.
    Live,
    /// The instance will be stopped.
    Leaving,
    /// The platform has stopped the machine.
    Gone,
}

/// One instance.
#[derive(Clone, Debug, Serialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Kind of the instance.
    pub kind: Kind,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Address of the instance.
    pub address: String,
    /// State of the instance.
    pub state: State,
}

/// The instances with their recent states.
#[derive(Debug, Default)]
pub struct List(BTreeMap<String, VecDeque<(Instant, Instance)>>);

impl List {
    /// Writes one instance.
    pub fn put(&mut self, instance: Instance, now: Instant) {
        let history = self.0.entry(instance.name.clone()).or_default();
        history.push_back((now, instance));
        if history.len() > HISTORY_LENGTH {
            history.pop_front();
        }
    }

    /// Returns the instances as they were `lag` before `now`, in name order.
    pub fn read(&self, now: Instant, lag: Duration) -> Vec<&Instance> {
        let seen = |at: Instant| now.saturating_duration_since(at) >= lag;
        self.0
            .values()
            .filter_map(|history| history.iter().rev().find(|(at, _)| seen(*at)))
            .map(|(_, instance)| instance)
            .collect()
    }
}
