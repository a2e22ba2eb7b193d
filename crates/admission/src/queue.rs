//! Waiting requests, ordered by urgency, then fairly among tenants, then by arrival.

use std::collections::VecDeque;
use std::sync::Arc;

use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Number of the request in the lane; later requests have higher numbers.
    pub ticket: u64,
    /// Shard of the key.
    pub shard: Shard,
    /// Key of the request.
    pub key: Arc<str>,
    /// Tenant of the caller.
    pub tenant: name::Tenant,
    /// Urgency of the call class.
    pub urgency: Urgency,
    /// Moment after which the caller no longer waits.
    pub deadline: Stamp,
    /// Target to avoid if there is another.
    pub avoid: Option<name::Target>,
}

/// The waiting requests of one tenant, oldest first.
#[derive(Debug)]
struct Line {
    tenant: name::Tenant,
    waiters: VecDeque<Waiter>,
}

/// The waiting requests of one urgency. The tenant at the front is served next.
#[derive(Debug, Default)]
struct Ring {
    lines: VecDeque<Line>,
    len: usize,
}

impl Ring {
    fn push(&mut self, waiter: Waiter) {
        self.len += 1;
        if let Some(line) = self.lines.iter_mut().find(|line| line.tenant == waiter.tenant) {
            // A request that moves between queues keeps its place by arrival.
            let place = line.waiters.partition_point(|other| other.ticket < waiter.ticket);
            line.waiters.insert(place, waiter);
            return;
        }
        let tenant = waiter.tenant.clone();
        self.lines.push_back(Line { tenant, waiters: VecDeque::from([waiter]) });
    }

    fn take(&mut self, fits: &dyn Fn(&Waiter) -> bool) -> Option<Waiter> {
        for index in 0..self.lines.len() {
            let line = self.lines.get_mut(index)?;
            let Some(place) = line.waiters.iter().position(fits) else { continue };
            let waiter = line.waiters.remove(place)?;
            self.len -= 1;
            let line = self.lines.remove(index)?;
            if !line.waiters.is_empty() {
                self.lines.push_back(line);
            }
            return Some(waiter);
        }
        None
    }

    fn remove(&mut self, ticket: u64) -> Option<Waiter> {
        for index in 0..self.lines.len() {
            let line = self.lines.get_mut(index)?;
            let Ok(place) = line.waiters.binary_search_by_key(&ticket, |waiter| waiter.ticket)
            else {
                continue;
            };
            let waiter = line.waiters.remove(place)?;
            self.len -= 1;
            if line.waiters.is_empty() {
                self.lines.remove(index);
            }
            return Some(waiter);
        }
        None
    }

    fn extract(&mut self, fits: &dyn Fn(&Waiter) -> bool, out: &mut Vec<Waiter>) {
        let before = out.len();
        for line in &mut self.lines {
            let (taken, left) = line.waiters.drain(..).partition(|waiter| fits(waiter));
            line.waiters = left;
            let taken: VecDeque<Waiter> = taken;
            out.extend(taken);
        }
        self.lines.retain(|line| !line.waiters.is_empty());
        self.len -= out.len() - before;
    }

    fn ahead(&self, tenant: &name::Tenant) -> usize {
        let own = self.lines.iter().find(|line| line.tenant == *tenant);
        let own = own.map_or(0, |line| line.waiters.len());
        let others = self.lines.iter().filter(|line| line.tenant != *tenant);
        own + others.map(|line| line.waiters.len().min(own + 1)).sum::<usize>()
    }

    fn newest(&self) -> Option<u64> {
        self.lines.iter().filter_map(|line| line.waiters.back()).map(|waiter| waiter.ticket).max()
    }
}

/// A queue of waiting requests.
#[derive(Debug, Default)]
pub struct Queue {
    urgent: Ring,
    normal: Ring,
    bulk: Ring,
}

impl Queue {
    fn rings(&mut self) -> [&mut Ring; 3] {
        [&mut self.urgent, &mut self.normal, &mut self.bulk]
    }

    fn ring(&self, urgency: Urgency) -> &Ring {
        match urgency {
            Urgency::Urgent => &self.urgent,
            Urgency::Normal => &self.normal,
            Urgency::Bulk => &self.bulk,
        }
    }

    fn ring_mut(&mut self, urgency: Urgency) -> &mut Ring {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Normal => &mut self.normal,
            Urgency::Bulk => &mut self.bulk,
        }
    }

    /// Adds a request behind the older ones of its tenant and urgency.
    pub fn push(&mut self, waiter: Waiter) {
        self.ring_mut(waiter.urgency).push(waiter);
    }

    /// Takes the first request that fits. Its tenant goes to the back of the round.
    pub fn take(&mut self, fits: &dyn Fn(&Waiter) -> bool) -> Option<Waiter> {
        self.rings().into_iter().find_map(|ring| ring.take(fits))
    }

    /// Removes a request of an urgency by its ticket.
    pub fn remove(&mut self, urgency: Urgency, ticket: u64) -> Option<Waiter> {
        self.ring_mut(urgency).remove(ticket)
    }

    /// Removes all requests that fit.
    pub fn extract(&mut self, fits: &dyn Fn(&Waiter) -> bool) -> Vec<Waiter> {
        let mut out = Vec::new();
        for ring in self.rings() {
            ring.extract(fits, &mut out);
        }
        out
    }

    /// Returns the ticket of the newest request of an urgency.
    pub fn newest(&self, urgency: Urgency) -> Option<u64> {
        self.ring(urgency).newest()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.urgent.len + self.normal.len + self.bulk.len
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many requests of an urgency wait.
    pub fn count(&self, urgency: Urgency) -> usize {
        self.ring(urgency).len
    }

    /// Returns how many requests would be served before a new one of a tenant.
    ///
    /// Of its own urgency, these are the older ones of the tenant and, for each of them and the new
    /// one, at most one of every other tenant.
    pub fn ahead(&self, urgency: Urgency, tenant: &name::Tenant) -> usize {
        let fair = self.ring(urgency).ahead(tenant);
        match urgency {
            Urgency::Urgent => fair,
            Urgency::Normal => self.urgent.len + fair,
            Urgency::Bulk => self.urgent.len + self.normal.len + fair,
        }
    }
}
