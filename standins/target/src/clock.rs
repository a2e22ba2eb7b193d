//! The boot-time clock, which includes the time during which the system was suspended.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since boot in microseconds.
pub fn now_us() -> u64 {
    let spec = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(spec.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(spec.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1000
}

/// Returns the time since boot in milliseconds.
pub fn now_ms() -> u64 {
    now_us() / 1000
}
