//! The timer service of the control plane.
//!
//! Parts subscribe with a period; each turn of the control loop asks which of them are due. No part
//! reads the clock by itself.

use std::time::Duration;

use caraway_core::time::Stamp;

/// A part of the control plane that does something periodically.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Group machines: renewals, expiries, drained shards.
    Groups,
    /// Heartbeats to instances of the own failure domain.
    Heartbeat,
    /// Heartbeats to instances of other failure domains.
    Survey,
    /// Claims, successors and handovers.
    Roster,
    /// Publication of the directory to the data path.
    Directory,
    /// Shard moves under load.
    Balance,
    /// Ledger histories that are still missing, and copies that need another holder.
    Ledgers,
    /// Reads of other failure domains' records.
    Discovery,
    /// Metrics.
    Metrics,
}

#[derive(Clone, Copy, Debug)]
struct Subscription {
    part: Part,
    period: Duration,
    next: Stamp,
}

/// Table of subscriptions.
#[derive(Debug, Default)]
pub struct Service {
    subscriptions: Vec<Subscription>,
}

impl Service {
    /// Makes a service without subscriptions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Subscribes a part; it is due for the first time at once.
    pub fn subscribe(&mut self, part: Part, period: Duration, now: Stamp) {
        self.subscriptions.push(Subscription { part, period, next: now });
    }

    /// Returns the parts that are due, in order of subscription. A part that was missed several times is due once.
    pub fn due(&mut self, now: Stamp) -> Vec<Part> {
        let mut parts = Vec::new();
        for subscription in &mut self.subscriptions {
            if now >= subscription.next {
                subscription.next = now + subscription.period;
                parts.push(subscription.part);
            }
        }
        parts
    }

    /// Makes a part due at the next turn.
    pub fn hasten(&mut self, part: Part, now: Stamp) {
        for subscription in &mut self.subscriptions {
            if subscription.part == part {
                subscription.next = now;
            }
        }
    }
}
