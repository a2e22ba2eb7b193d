//! Fault injection.

use serde::Deserialize;
use serde::Deserializer;

/// A change of the injected faults. Faults without a field keep their value.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Falsified number of running requests in load reports, or null to report the actual number.
    #[serde(deserialize_with = "deserialize_present")]
    lie_running: Option<Option<usize>>,
    /// Lag of the load reports in milliseconds.
    report_lag_ms: Option<u32>,
    /// Additional service time of each request in milliseconds.
    extra_ms: Option<u32>,
    /// True to refuse control calls, except for fault changes and reads of the journal.
    refuse_control: Option<bool>,
}

/// Deserializes a field that is present, so that null differs from an absent field.
fn deserialize_present<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    T::deserialize(deserializer).map(Some)
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Number of running requests to report instead of the actual number.
    pub lie_running: Option<usize>,
    /// Lag of the load reports in milliseconds.
    pub report_lag_ms: u32,
    /// Additional service time of each request in milliseconds.
    pub extra_ms: u32,
    /// True if control calls are refused.
    pub refuse_control: bool,
}

impl Faults {
    pub fn apply(&mut self, change: Change) {
        self.lie_running = change.lie_running.unwrap_or(self.lie_running);
        self.report_lag_ms = change.report_lag_ms.unwrap_or(self.report_lag_ms);
        self.extra_ms = change.extra_ms.unwrap_or(self.extra_ms);
        self.refuse_control = change.refuse_control.unwrap_or(self.refuse_control);
    }
}
