//! Timestamps on a clock that includes suspended time.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A timestamp in microseconds on the boot-time clock of the host.
///
/// The clock advances while the host is suspended and while the process is stopped. Timestamps of
/// different hosts cannot be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stamp(u64);

impl Stamp {
    /// Makes a timestamp from microseconds since boot.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes a timestamp from milliseconds since boot.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Returns microseconds since boot.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns whole milliseconds since boot.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Stamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Stamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// Returns a duration in whole milliseconds, saturating.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Reader of the boot-time clock.
///
/// Only components that perform I/O hold a clock; decision logic receives timestamps as arguments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Stamp {
        let spec = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(spec.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(spec.tv_nsec).unwrap_or(0);
        Stamp(seconds * 1_000_000 + nanos / 1000)
    }
}
