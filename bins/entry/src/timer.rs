//! Scheduler of the periodic tasks of the control plane.
//!
//! Each tick of the control loop queries the tasks that are due. Tasks never read the clock
//! themselves.

use std::time::Duration;

use caraway_core::time::Stamp;

/// A periodic task of the control plane.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Task {
    /// Ticks of the group state machines: renewals, expiries, drained shards.
    Groups,
    /// Heartbeats to instances of the own failure domain.
    Heartbeat,
    /// Heartbeats to one instance of each other failure domain.
    CrossDomainHeartbeat,
    /// Registration, claims, successors and handovers.
    Roster,
    /// Publication of the directory to the data path.
    Directory,
    /// Load balancing of shards.
    Balance,
    /// Collection of missing ledger histories, and replication of ledgers.
    Ledgers,
    /// Reads of the document and of the records of other failure domains.
    Discovery,
    /// Update of the metrics.
    Metrics,
}

#[derive(Clone, Copy, Debug)]
struct Schedule {
    task: Task,
    period: Duration,
    next_due: Stamp,
}

/// Scheduler of periodic tasks.
#[derive(Debug, Default)]
pub struct Scheduler {
    schedules: Vec<Schedule>,
}

impl Scheduler {
    /// Creates a scheduler without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Schedules a task with a period; it is first due at once.
    pub fn schedule(&mut self, task: Task, period: Duration, now: Stamp) {
        self.schedules.push(Schedule { task, period, next_due: now });
    }

    /// Returns the tasks that are due, in the order in which they were scheduled. A task that
    /// missed several periods is due once.
    pub fn due(&mut self, now: Stamp) -> Vec<Task> {
        let mut tasks = Vec::new();
        for schedule in &mut self.schedules {
            if now >= schedule.next_due {
                schedule.next_due = now + schedule.period;
                tasks.push(schedule.task);
            }
        }
        tasks
    }

    /// Makes a task due at the next tick.
    pub fn make_due(&mut self, task: Task, now: Stamp) {
        for schedule in &mut self.schedules {
            if schedule.task == task {
                schedule.next_due = now;
            }
        }
    }
}
