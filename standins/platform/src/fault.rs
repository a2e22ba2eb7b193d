//! Fault injection.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;

/// A change of the injected faults. Faults without a field keep their value.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// True to fail every call.
    down: Option<bool>,
    /// Delay of each call before it takes effect, in milliseconds.
    delay_ms: Option<u32>,
    /// Number of upcoming successful writes whose responses are lost.
    lose_answers: Option<u64>,
    /// Failure domains without a connection to the platform.
    cut_domains: Option<BTreeSet<String>>,
    /// Lag of the instance list in milliseconds.
    list_lag_ms: Option<u32>,
}

#[derive(Debug, Default)]
pub struct Faults {
    down: bool,
    delay: Duration,
    /// Number of upcoming successful writes whose responses are lost.
    responses_to_lose: u64,
    cut_domains: BTreeSet<String>,
    list_lag: Duration,
}

impl Faults {
    pub fn apply(&mut self, change: Change) {
        let millis = |ms: u32| Duration::from_millis(ms.into());
        self.down = change.down.unwrap_or(self.down);
        self.delay = change.delay_ms.map_or(self.delay, millis);
        self.responses_to_lose = change.lose_answers.unwrap_or(self.responses_to_lose);
        self.list_lag = change.list_lag_ms.map_or(self.list_lag, millis);
        if let Some(failure_domains) = change.cut_domains {
            self.cut_domains = failure_domains;
        }
    }

    /// Returns true if a call from a failure domain fails. A caller that names no failure domain has an empty one,
    /// which is never cut off.
    pub fn fails(&self, failure_domain: &str) -> bool {
        self.down || (!failure_domain.is_empty() && self.cut_domains.contains(failure_domain))
    }

    pub fn delay(&self) -> Duration {
        self.delay
    }

    pub fn list_lag(&self) -> Duration {
        self.list_lag
    }

    /// Returns true if the response of an applied write is lost, and decrements the number of
    /// losses that remain.
    pub fn lose_response(&mut self) -> bool {
        let lost = self.responses_to_lose > 0;
        self.responses_to_lose = self.responses_to_lose.saturating_sub(1);
        lost
    }
}
