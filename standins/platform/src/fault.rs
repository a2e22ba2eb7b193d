//! Fault controls.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;

/// A change of the faults. Fields that are absent keep their value.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Whether every call fails.
    down: Option<bool>,
    /// Milliseconds by which a call is delayed before it takes effect.
    delay_ms: Option<u32>,
    /// Number of writes to apply without an answer.
    lose_answers: Option<u64>,
    /// Failure domains that cannot reach the platform.
    cut_domains: Option<BTreeSet<String>>,
    /// Milliseconds by which the instance list lags.
    list_lag_ms: Option<u32>,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct Faults {
    down: bool,
    delay: Duration,
    lose_answers: u64,
    cut_domains: BTreeSet<String>,
    list_lag: Duration,
}

impl Faults {
    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        let millis = |ms: u32| Duration::from_millis(ms.into());
        self.down = change.down.unwrap_or(self.down);
        self.delay = change.delay_ms.map_or(self.delay, millis);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.list_lag = change.list_lag_ms.map_or(self.list_lag, millis);
        if let Some(domains) = change.cut_domains {
            self.cut_domains = domains;
        }
    }

    /// Returns whether a call from a failure domain fails. The domain of a caller that names none
    /// is empty, and is never cut.
    pub fn fails(&self, domain: &str) -> bool {
        self.down || (!domain.is_empty() && self.cut_domains.contains(domain))
    }

    /// Returns the delay of calls.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Returns the lag of the instance list.
    pub fn list_lag(&self) -> Duration {
        self.list_lag
    }

    /// Returns whether the answer of a write that took effect is lost, and counts it.
    pub fn lose_answer(&mut self) -> bool {
        let lose = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lose
    }
}
