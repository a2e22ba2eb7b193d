//! Urgency of call classes.

use serde::Deserialize;
use serde::Serialize;

/// Urgency of a call class, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Must succeed under overload, such as a frost warning.
    Urgent,
    /// Ordinary interactive requests.
    #[default]
    Normal,
    /// Downloads and other requests that can be delayed.
    Bulk,
}
