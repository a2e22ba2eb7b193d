//! CPU time and memory of processes, read from procfs.

use std::fs;
use std::time::Duration;

use serde::Serialize;

/// Clock ticks per second in `/proc/<pid>/stat`. Linux fixes this unit, `USER_HZ`, at 100 for user space.
const TICKS_PER_SECOND: u64 = 100;

/// CPU time and memory of a process at one point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// User and system time in milliseconds.
    pub cpu_ms: u64,
    /// Resident set size in KiB.
    pub resident_kib: u64,
}

/// Reads the usage of a process. Returns `None` if the process does not exist.
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(Usage { cpu_ms: cpu_ms(&stat)?, resident_kib: resident_kib(&status).unwrap_or(0) })
}

/// Returns the total usage of several processes. Processes that do not exist count as zero.
pub fn total(pids: &[u32]) -> Usage {
    pids.iter().filter_map(|pid| usage(*pid)).fold(Usage::default(), |sum, one| Usage {
        cpu_ms: sum.cpu_ms + one.cpu_ms,
        resident_kib: sum.resident_kib + one.resident_kib,
    })
}

/// Parses user plus system time in milliseconds from the content of `/proc/<pid>/stat`.
///
/// The second field is the program name in parentheses, which may contain spaces and parentheses. Fields 14
/// and 15 are user and system time.
pub fn cpu_ms(stat: &str) -> Option<u64> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) * 1000 / TICKS_PER_SECOND)
}

/// Parses `VmRSS` in KiB from the content of `/proc/<pid>/status`.
pub fn resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the CPU time per request between two readings.
pub fn cpu_per_request(before: Usage, after: Usage, requests: u64) -> Duration {
    let micros = after.cpu_ms.saturating_sub(before.cpu_ms).saturating_mul(1000);
    Duration::from_micros(micros.checked_div(requests).unwrap_or(0))
}
