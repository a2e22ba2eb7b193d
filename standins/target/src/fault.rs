//! Fault controls.

use serde::Deserialize;
use serde::Deserializer;

/// A change of the faults. Fields that are absent keep their value.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Number of running requests to report, or null for the true one.
    #[serde(deserialize_with = "present")]
    lie_running: Option<Option<usize>>,
    /// Milliseconds by which reported loads lag.
    report_lag_ms: Option<u32>,
    /// Milliseconds by which every request takes longer.
    extra_ms: Option<u32>,
    /// Whether control calls are refused, except for this one and the journal.
    refuse_control: Option<bool>,
}

/// Tells null from an absent field.
fn present<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// The faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Number of running requests to report instead of the true one.
    pub lie_running: Option<usize>,
    /// Milliseconds by which reported loads lag.
    pub report_lag_ms: u32,
    /// Milliseconds by which every request takes longer.
    pub extra_ms: u32,
    /// Whether control calls are refused.
    pub refuse_control: bool,
}

impl Faults {
    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        self.lie_running = change.lie_running.unwrap_or(self.lie_running);
        self.report_lag_ms = change.report_lag_ms.unwrap_or(self.report_lag_ms);
        self.extra_ms = change.extra_ms.unwrap_or(self.extra_ms);
        self.refuse_control = change.refuse_control.unwrap_or(self.refuse_control);
    }
}
