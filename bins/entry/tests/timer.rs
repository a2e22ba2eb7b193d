//! Tests of the task scheduler.

use std::time::Duration;

use caraway_core::time::Stamp;
use caraway_entry::timer::Scheduler;
use caraway_entry::timer::Task;

const PERIOD: Duration = Duration::from_millis(100);

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(millis)
}

/// Guards against a task that runs early, twice in a period, or never for the first time.
#[test]
fn a_task_is_due_at_once_and_then_once_per_period() {
    let mut scheduler = Scheduler::new();
    scheduler.schedule(Task::Heartbeat, PERIOD, at(1000));
    let due: Vec<u64> = (1000..1400).filter(|now| !scheduler.due(at(*now)).is_empty()).collect();
    assert_eq!(due, [1000, 1100, 1200, 1300]);
}

/// Guards against a burst of heartbeats and renewals after a pause of the process: missed runs are
/// not made up for.
#[test]
fn a_task_that_missed_several_periods_is_due_once() {
    let mut scheduler = Scheduler::new();
    scheduler.schedule(Task::Heartbeat, PERIOD, at(0));
    assert_eq!(scheduler.due(at(0)), [Task::Heartbeat]);
    assert_eq!(scheduler.due(at(5050)), [Task::Heartbeat]);
    assert_eq!(scheduler.due(at(5149)), []);
    assert_eq!(scheduler.due(at(5150)), [Task::Heartbeat]);
}

/// Guards against an order that changes between ticks: groups are stepped before heartbeats report
/// their state.
#[test]
fn tasks_are_due_in_the_order_of_scheduling() {
    let mut scheduler = Scheduler::new();
    for task in [Task::Roster, Task::Groups, Task::Metrics] {
        scheduler.schedule(task, PERIOD, at(0));
    }
    scheduler.schedule(Task::CrossDomainHeartbeat, PERIOD * 2, at(0));
    assert_eq!(
        scheduler.due(at(0)),
        [Task::Roster, Task::Groups, Task::Metrics, Task::CrossDomainHeartbeat]
    );
    assert_eq!(scheduler.due(at(100)), [Task::Roster, Task::Groups, Task::Metrics]);
}

/// Guards against `make_due` leaving the task waiting, affecting other tasks, or breaking the
/// period.
#[test]
fn a_task_made_due_runs_at_the_next_tick() {
    let mut scheduler = Scheduler::new();
    scheduler.schedule(Task::Directory, PERIOD, at(0));
    scheduler.schedule(Task::Balance, PERIOD, at(0));
    scheduler.due(at(0));
    scheduler.make_due(Task::Directory, at(20));
    assert_eq!(scheduler.due(at(20)), [Task::Directory]);
    assert_eq!(scheduler.due(at(30)), []);
    assert_eq!(scheduler.due(at(100)), [Task::Balance]);
    assert_eq!(scheduler.due(at(120)), [Task::Directory]);
}
