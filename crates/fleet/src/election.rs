//! Order in which entry instances attempt to become the coordinator.

use std::time::Duration;

/// Delay between the attempts of two ranks, longer than a typical call to the store.
const RANK_DELAY: Duration = Duration::from_millis(60);

/// Number of ranks, which bounds the delay in a large fleet.
const RANKS: u32 = 8;

/// Largest additional delay of an instance with a small share of a processor. An instance with less
/// than a fifth of the largest share waits longer than the last rank and a call to the store.
const MAX_CAPACITY_DELAY: Duration = Duration::from_millis(650);

/// Returns how long an instance waits after the leadership has become vacant. The rank is derived
/// from a hash of the name and of the revision at which the leadership ended, so that a failing
/// instance is not first every time. The processor time for coordination grows with the fleet, so
/// instances with a larger processor share come first. `capacity` is the share of this instance,
/// `largest` is the largest share in the fleet.
pub fn delay(name: &str, revision: u64, capacity: f64, largest: f64) -> Duration {
    let mut text = name.as_bytes().to_vec();
    text.extend_from_slice(&revision.to_be_bytes());
    let rank = caraway_core::shard::hash(&text) % u64::from(RANKS);
    let deficit = 1.0 - (capacity / largest.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
    RANK_DELAY * u32::try_from(rank).unwrap_or(0) + MAX_CAPACITY_DELAY.mul_f64(deficit)
}
