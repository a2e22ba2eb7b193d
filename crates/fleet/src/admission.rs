//! Admission control for key owners.
//!
//! Only one target may run requests for a key, so if a key is requested more often than its owner
//! can answer, no other target can help. Without a limit the owner's queue fills until every answer
//! is late. The coordinator knows the demand at all instances and sends them the share of requests
//! that the owner can serve. The rest is refused at once.

use std::time::Duration;

/// Highest utilization of an owner that the admitted requests may cause. With random arrivals the
/// queue grows without bound towards a utilization of 1. At this value a request waits about as
/// long as it runs.
const MAX_UTILIZATION: f64 = 0.92;

/// Standard deviations by which a counted rate must exceed the capacity of an owner before requests
/// are refused. Low counts vary by half by chance.
const OVERLOAD_DEVIATIONS: f64 = 2.5;

/// Returns the share of requests that an owner can serve. `rate` is the requests per second at the
/// owner, counted with `time_constant`, and `service_time` is in seconds.
pub fn sustainable_share(rate: f64, time_constant: Duration, service_time: f64, slots: f64) -> f64 {
    let capacity = MAX_UTILIZATION * slots.max(1.0) / service_time.max(1e-6);
    let deviation = (rate / time_constant.as_secs_f64()).sqrt();
    if rate - OVERLOAD_DEVIATIONS * deviation > capacity { capacity / rate } else { 1.0 }
}

/// Requests per slot at an owner above which its admitted share decreases and below which it
/// increases. With three requests per slot, responses take about as long as their objective allows.
/// With fewer than two, an owner whose requests arrive in bursts is idle at times.
const DECREASE_THRESHOLD: f64 = 3.0;
const INCREASE_THRESHOLD: f64 = 2.0;

/// Factor by which a share decreases, and factor and summand by which it increases, in each update.
const DECREASE_FACTOR: f64 = 0.85;
const INCREASE_FACTOR: f64 = 1.25;
const INCREASE_STEP: f64 = 0.05;

/// Lower bound of a share relative to the one that the demand suggests. The reported requests at an
/// owner are up to a second old, and decreasing the share until they have changed leaves the owner
/// idle afterwards.
const MIN_SUGGESTED_PART: f64 = 0.5;

/// Returns the next admitted share of an owner from its current share, the requests in flight at
/// it, and the share that its demand suggests.
///
/// Refused requests are retried and count as demand again, so demand alone would keep throttling an
/// owner that has had free capacity for long. The requests at the owner decide. Demand speeds up the
/// first reaction, and bounds the steps: while a small share is suggested, a step as large as for
/// other owners admits several times what the owner can serve.
pub fn adjust_share(share: f64, in_flight: f64, slots: f64, suggested: f64) -> f64 {
    let per_slot = in_flight / slots.max(1.0);
    if per_slot > DECREASE_THRESHOLD {
        let lowest = if suggested < 1.0 { suggested * MIN_SUGGESTED_PART } else { 0.0 };
        (share * DECREASE_FACTOR).min(suggested).max(lowest)
    } else if per_slot < INCREASE_THRESHOLD {
        (share * INCREASE_FACTOR + INCREASE_STEP * suggested).min(1.0)
    } else {
        share
    }
}

/// Admits a share of requests at even intervals.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    /// Credit of this instance while a share is refused.
    credit: Option<f64>,
}

impl Throttle {
    /// Returns whether the next request is admitted. `phase`, a random number from 0 to 1, is the
    /// credit with which the throttle begins. If all instances of a large fleet began without credit,
    /// none would admit a request before it had refused many, and the owner would be idle until then.
    pub fn admit(&mut self, share: f64, phase: f64) -> bool {
        if share >= 1.0 {
            self.credit = None;
            return true;
        }
        let credit = (self.credit.unwrap_or(phase) + share.max(0.0)).min(2.0);
        let admitted = credit >= 1.0;
        self.credit = Some(if admitted { credit - 1.0 } else { credit });
        admitted
    }
}

/// Limit of the requests that all instances together keep in flight at a target, per slot. Targets
/// queue a few requests per slot and reset or refuse the ones beyond.
const MAX_REQUESTS_PER_SLOT: f64 = 3.0;

/// Returns whether a target has room for another request, given the estimated number of requests at
/// it. Beyond this, targets refuse requests, reset their connections or never answer them.
pub fn has_room(occupancy: f64, slots: u32) -> bool {
    occupancy < max_requests(slots)
}

/// Returns the limit of the requests that all instances together keep in flight at a target.
pub fn max_requests(slots: u32) -> f64 {
    f64::from(slots.max(1)) * MAX_REQUESTS_PER_SLOT
}

/// Returns the limit of the requests that one of several instances keeps in flight at a target.
/// Each instance has a fixed share, because its knowledge of the others' requests is older than the
/// time in which a hot key, or all instances that prefer the same target, fill a queue.
pub fn in_flight_limit(slots: u32, instances: usize) -> u32 {
    let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
    let share = (f64::from(slots) * MAX_REQUESTS_PER_SLOT / instances).round();
    (1..).find(|count| f64::from(*count) >= share).unwrap_or(1)
}

/// Number of instances per slot of a target above which one request of each instance does not fit
/// into it. The queue of a target is not configured; targets are known to hold five requests per
/// slot. Fleets of up to 19 instances in front of targets with 3 slots keep the rules for few
/// instances, under which an instance may use every target.
const MAX_INSTANCES_PER_SLOT: usize = 7;

/// Returns whether so many instances use a target with this number of slots that one request of each
/// does not fit into it.
pub fn is_large(slots: u32, instances: usize) -> bool {
    let slots = usize::try_from(slots.max(1)).unwrap_or(usize::MAX);
    instances > slots.saturating_mul(MAX_INSTANCES_PER_SLOT)
}

/// Limit of the idle connections that an instance keeps to one target. With this number most
/// requests find an idle connection.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Divisor of the connections that a target accepts, which gives the idle connections that all
/// instances together may keep to it.
const IDLE_DIVISOR: usize = 2;

/// Returns the limit of the idle connections that one of several instances keeps to a target, given
/// the connections that the target accepts from all of them.
pub fn idle_connections(accepted: usize, instances: usize) -> usize {
    (accepted / IDLE_DIVISOR / instances.max(1)).min(MAX_IDLE_CONNECTIONS)
}
