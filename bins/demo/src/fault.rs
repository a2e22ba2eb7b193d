//! Fault injection: the changes of an environment and how they are reverted.

use std::fmt;
use std::time::Duration;

use serde_json::json;

use crate::environment::Environment;
use crate::errors::Result;

/// A change of an environment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Kills a process with SIGKILL.
    Kill(String),
    /// Suspends a process with SIGSTOP.
    Freeze(String),
    /// Resumes a frozen process.
    Resume(String),
    /// Restarts a process.
    Restart(String),
    /// Starts a planned stop of an entry instance.
    Stop(String),
    /// Waits until a planned stop is complete and restarts the process.
    RestartAfterStop(String),
    /// Starts the drain of a target.
    Drain(String),
    /// Makes the store unavailable if true, and available again if false.
    StoreDown(bool),
    /// Delays every call to the store by this number of milliseconds.
    StoreDelay(u64),
    /// Makes the store apply this number of writes without responding.
    DropResponses(u64),
    /// Partitions these failure domains from the platform; an empty list ends the partition.
    Partition(Vec<String>),
    /// Promotes the same document again as a new version.
    Promote,
}

impl Action {
    /// Applies the change.
    pub fn apply(&self, environment: &mut Environment) -> Result<()> {
        match self {
            Self::Kill(name) => environment.kill(name),
            Self::Freeze(name) => environment.freeze(name),
            Self::Resume(name) => environment.resume(name),
            Self::Restart(name) => environment.restart(name),
            Self::Stop(name) => environment.terminate(name),
            Self::RestartAfterStop(name) => {
                environment.wait_for_stop(name)?;
                environment.restart(name)
            }
            Self::Drain(name) => environment.drain(name),
            Self::StoreDown(down) => environment.platform().set_faults(&json!({ "down": down })),
            Self::StoreDelay(ms) => environment.platform().set_faults(&json!({ "delay_ms": ms })),
            Self::DropResponses(count) => {
                environment.platform().set_faults(&json!({ "lose_answers": count }))
            }
            Self::Partition(domains) => {
                environment.platform().set_faults(&json!({ "cut_domains": domains }))
            }
            Self::Promote => environment.promote_again(),
        }
    }

    /// Returns the name of the affected process, if the change affects a single one.
    pub fn process(&self) -> Option<&str> {
        match self {
            Self::Kill(name) | Self::Freeze(name) | Self::Resume(name) | Self::Restart(name) => {
                Some(name)
            }
            Self::Stop(name) | Self::RestartAfterStop(name) | Self::Drain(name) => Some(name),
            Self::StoreDown(_) | Self::StoreDelay(_) | Self::DropResponses(_) => None,
            Self::Partition(_) | Self::Promote => None,
        }
    }

    /// Returns the change that reverts the fault and the delay after which a schedule applies it.
    pub fn revert(&self) -> Option<(Duration, Self)> {
        let after = Duration::from_millis;
        match self {
            Self::Kill(name) => Some((after(1500), Self::Restart(name.clone()))),
            Self::Freeze(name) => Some((after(1800), Self::Resume(name.clone()))),
            Self::Stop(name) => Some((after(2000), Self::RestartAfterStop(name.clone()))),
            Self::Drain(name) => Some((after(2500), Self::Restart(name.clone()))),
            Self::StoreDown(true) => Some((after(2500), Self::StoreDown(false))),
            Self::StoreDelay(ms) if *ms > 0 => Some((after(2500), Self::StoreDelay(0))),
            Self::DropResponses(count) if *count > 0 => Some((after(2500), Self::DropResponses(0))),
            Self::Partition(domains) if !domains.is_empty() => {
                Some((after(2500), Self::Partition(Vec::new())))
            }
            Self::Resume(_) | Self::Restart(_) | Self::RestartAfterStop(_) | Self::Partition(_) => {
                None
            }
            Self::StoreDown(_) | Self::StoreDelay(_) | Self::DropResponses(_) | Self::Promote => {
                None
            }
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(name) => write!(f, "{name} killed"),
            Self::Freeze(name) => write!(f, "{name} frozen"),
            Self::Resume(name) => write!(f, "{name} resumed"),
            Self::Restart(name) => write!(f, "{name} restarted"),
            Self::Stop(name) => write!(f, "{name} planned stop"),
            Self::RestartAfterStop(name) => write!(f, "{name} stopped and started again"),
            Self::Drain(name) => write!(f, "{name} told to leave"),
            Self::StoreDown(true) => write!(f, "store down"),
            Self::StoreDown(false) => write!(f, "store back"),
            Self::StoreDelay(0) => write!(f, "store fast again"),
            Self::StoreDelay(ms) => write!(f, "store slow, {ms} ms"),
            Self::DropResponses(0) => write!(f, "store answers every write again"),
            Self::DropResponses(count) => write!(f, "store loses {count} answers"),
            Self::Partition(domains) if domains.is_empty() => {
                write!(f, "no domain cut off from the platform")
            }
            Self::Partition(domains) => {
                write!(f, "{} cut off from the platform", domains.join(" and "))
            }
            Self::Promote => write!(f, "document promoted again"),
        }
    }
}
