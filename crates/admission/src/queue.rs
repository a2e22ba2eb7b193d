//! Request queue, ordered by urgency, then round robin among tenants, then by arrival.

use std::collections::VecDeque;
use std::sync::Arc;

use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

/// A queued request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Sequence number of the request, in order of arrival.
    pub sequence: u64,
    /// Shard of the key.
    pub shard: Shard,
    /// Key of the request.
    pub key: Arc<str>,
    /// Tenant of the caller.
    pub tenant: name::Tenant,
    /// Urgency of the call class.
    pub urgency: Urgency,
    /// Time at which the caller stops waiting.
    pub deadline: Stamp,
    /// Target to avoid if there is another.
    pub avoid: Option<name::Target>,
}

/// Queued requests of one tenant, oldest first.
#[derive(Debug)]
struct TenantQueue {
    tenant: name::Tenant,
    waiters: VecDeque<Waiter>,
}

/// Queued requests of one urgency. The tenant at the front is served next.
#[derive(Debug, Default)]
struct RoundRobin {
    queues: VecDeque<TenantQueue>,
    len: usize,
}

impl RoundRobin {
    fn push(&mut self, waiter: Waiter) {
        self.len += 1;
        if let Some(queue) = self.queues.iter_mut().find(|queue| queue.tenant == waiter.tenant) {
            // A request that moves between queues keeps its order of arrival.
            let position = queue.waiters.partition_point(|other| other.sequence < waiter.sequence);
            queue.waiters.insert(position, waiter);
            return;
        }
        let tenant = waiter.tenant.clone();
        self.queues.push_back(TenantQueue { tenant, waiters: VecDeque::from([waiter]) });
    }

    fn pop(&mut self, eligible: &dyn Fn(&Waiter) -> bool) -> Option<Waiter> {
        for index in 0..self.queues.len() {
            let queue = self.queues.get_mut(index)?;
            let Some(position) = queue.waiters.iter().position(eligible) else { continue };
            let waiter = queue.waiters.remove(position)?;
            self.len -= 1;
            let queue = self.queues.remove(index)?;
            if !queue.waiters.is_empty() {
                self.queues.push_back(queue);
            }
            return Some(waiter);
        }
        None
    }

    fn remove(&mut self, sequence: u64) -> Option<Waiter> {
        for index in 0..self.queues.len() {
            let queue = self.queues.get_mut(index)?;
            let Ok(position) =
                queue.waiters.binary_search_by_key(&sequence, |waiter| waiter.sequence)
            else {
                continue;
            };
            let waiter = queue.waiters.remove(position)?;
            self.len -= 1;
            if queue.waiters.is_empty() {
                self.queues.remove(index);
            }
            return Some(waiter);
        }
        None
    }

    fn extract(&mut self, eligible: &dyn Fn(&Waiter) -> bool, out: &mut Vec<Waiter>) {
        let before = out.len();
        for queue in &mut self.queues {
            let (taken, remaining) = queue.waiters.drain(..).partition(|waiter| eligible(waiter));
            queue.waiters = remaining;
            let taken: VecDeque<Waiter> = taken;
            out.extend(taken);
        }
        self.queues.retain(|queue| !queue.waiters.is_empty());
        self.len -= out.len() - before;
    }

    fn ahead(&self, tenant: &name::Tenant) -> usize {
        let own = self.queues.iter().find(|queue| queue.tenant == *tenant);
        let own = own.map_or(0, |queue| queue.waiters.len());
        let others = self.queues.iter().filter(|queue| queue.tenant != *tenant);
        own + others.map(|queue| queue.waiters.len().min(own + 1)).sum::<usize>()
    }

    fn newest(&self) -> Option<u64> {
        self.queues
            .iter()
            .filter_map(|queue| queue.waiters.back())
            .map(|waiter| waiter.sequence)
            .max()
    }
}

/// A queue with strict priorities and round robin among tenants.
#[derive(Debug, Default)]
pub struct Queue {
    urgent: RoundRobin,
    normal: RoundRobin,
    bulk: RoundRobin,
}

impl Queue {
    fn levels_mut(&mut self) -> [&mut RoundRobin; 3] {
        [&mut self.urgent, &mut self.normal, &mut self.bulk]
    }

    fn level(&self, urgency: Urgency) -> &RoundRobin {
        match urgency {
            Urgency::Urgent => &self.urgent,
            Urgency::Normal => &self.normal,
            Urgency::Bulk => &self.bulk,
        }
    }

    fn level_mut(&mut self, urgency: Urgency) -> &mut RoundRobin {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Normal => &mut self.normal,
            Urgency::Bulk => &mut self.bulk,
        }
    }

    /// Adds a request in order of arrival within its tenant and urgency.
    pub fn push(&mut self, waiter: Waiter) {
        self.level_mut(waiter.urgency).push(waiter);
    }

    /// Removes and returns the first eligible request. Its tenant moves to the back of the rotation.
    pub fn pop(&mut self, eligible: &dyn Fn(&Waiter) -> bool) -> Option<Waiter> {
        self.levels_mut().into_iter().find_map(|level| level.pop(eligible))
    }

    /// Removes a request by its urgency and sequence number.
    pub fn remove(&mut self, urgency: Urgency, sequence: u64) -> Option<Waiter> {
        self.level_mut(urgency).remove(sequence)
    }

    /// Removes all eligible requests.
    pub fn extract(&mut self, eligible: &dyn Fn(&Waiter) -> bool) -> Vec<Waiter> {
        let mut out = Vec::new();
        for level in self.levels_mut() {
            level.extract(eligible, &mut out);
        }
        out
    }

    /// Returns the sequence number of the newest request of an urgency.
    pub fn newest(&self, urgency: Urgency) -> Option<u64> {
        self.level(urgency).newest()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.urgent.len + self.normal.len + self.bulk.len
    }

    /// Returns true if no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of queued requests of an urgency.
    pub fn count(&self, urgency: Urgency) -> usize {
        self.level(urgency).len
    }

    /// Returns the number of requests that would be served before a new one of a tenant.
    ///
    /// Within its urgency, these are the older requests of the tenant and, for each of them and the
    /// new one, at most one of every other tenant.
    pub fn ahead(&self, urgency: Urgency, tenant: &name::Tenant) -> usize {
        let fair = self.level(urgency).ahead(tenant);
        match urgency {
            Urgency::Urgent => fair,
            Urgency::Normal => self.urgent.len + fair,
            Urgency::Bulk => self.urgent.len + self.normal.len + fair,
        }
    }
}
