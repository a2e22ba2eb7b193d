//! Shares of a process's descriptors.

/// Descriptors of the program itself: standard streams, the log, the runtime, listeners and the store.
const PROGRAM: usize = 32;

/// Fewest connections of each kind, whatever the limit.
const FEWEST: usize = 4;

/// Most connections for readiness checks and for metrics. The platform checks once a second, on one connection.
const MOST_CHECKS: usize = 64;

/// Largest numbers of connections, within the descriptors that a process may have open. What is left after these is
/// for idle connections to targets and connections to other instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shares {
    /// Connections of callers.
    pub callers: usize,
    /// Connections for readiness checks.
    pub readiness: usize,
    /// Connections for metrics.
    pub metrics: usize,
    /// Connections of other instances.
    pub instances: usize,
    /// Requests of callers in flight, each of which may take a connection to a target.
    pub requests: usize,
}

impl Shares {
    /// Shares of a process without a limit.
    pub const UNLIMITED: Self = Self {
        callers: usize::MAX,
        readiness: usize::MAX,
        metrics: usize::MAX,
        instances: usize::MAX,
        requests: usize::MAX,
    };

    /// Returns the shares of a process that may have `descriptors` open.
    pub fn of(descriptors: usize) -> Self {
        let left = descriptors.saturating_sub(PROGRAM);
        let checks = (left / 32).clamp(FEWEST, MOST_CHECKS);
        Self {
            callers: (left * 3 / 8).max(FEWEST),
            readiness: checks,
            metrics: checks,
            // Every other instance keeps up to two connections, so a fleet may have a sixteenth as many
            // instances as there are descriptors.
            instances: (left / 8).max(FEWEST),
            requests: (left * 3 / 16).max(FEWEST),
        }
    }
}
