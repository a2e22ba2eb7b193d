//! The boot-time clock, which counts suspended time.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns microseconds since boot.
pub fn now_us() -> u64 {
    let spec = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(spec.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(spec.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1000
}

/// Returns milliseconds since boot.
pub fn now_ms() -> u64 {
    now_us() / 1000
}
