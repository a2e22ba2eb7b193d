//! Order in which entry instances try to become the coordinator.

use std::time::Duration;

/// Time between the tries of two instances, longer than a call to the store usually takes.
const STEP: Duration = Duration::from_millis(60);

/// Ranks after which the delay does not grow.
const RANKS: u32 = 8;

/// Largest additional delay of an instance on a small machine: all instances on large ones have tried
/// by then.
const SMALL: Duration = Duration::from_millis(400);

/// Returns how long an instance waits after the leadership became free. The rank follows from a
/// hash of the name and of the revision at which the leadership ended, so that a failing instance
/// is not first each time. Coordination costs processor time with the size of the fleet, so
/// instances on larger machines come first; `capacity` and `largest` are processor shares.
pub fn delay(name: &str, revision: u64, capacity: f64, largest: f64) -> Duration {
    let mut text = name.as_bytes().to_vec();
    text.extend_from_slice(&revision.to_be_bytes());
    let rank = caraway_core::shard::hash(&text) % u64::from(RANKS);
    let missing = 1.0 - (capacity / largest.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
    STEP * u32::try_from(rank).unwrap_or(0) + SMALL.mul_f64(missing)
}
