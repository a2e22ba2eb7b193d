//! Execution slots and the bounded queue in front of them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::oneshot;

use crate::clock;
use crate::errors::Error;
use crate::errors::Refusal;
use crate::errors::Result;
use crate::load::History;
use crate::load::Load;
use crate::ramp::Ramp;

/// Waiting requests per slot. A longer queue belongs to the coordinator, which can order it.
const QUEUE_PER_SLOT: u32 = 2;

#[derive(Debug, Default)]
struct Inner {
    running: usize,
    queue: VecDeque<oneshot::Sender<Slot>>,
    history: History,
}

impl Inner {
    fn load(&self) -> Load {
        Load { running: self.running, queued: self.queue.len() }
    }

    fn record(&mut self) {
        let load = self.load();
        self.history.record(clock::now_ms(), load);
    }

    /// Removes waiting requests whose caller has left.
    fn prune(&mut self) {
        self.queue.retain(|waiter| !waiter.is_closed());
    }
}

/// The slots of the target.
#[derive(Debug)]
pub struct Slots {
    slots: u32,
    ramp: Ramp,
    inner: Mutex<Inner>,
}

/// One slot in use. Dropping it hands the slot to the next waiting request.
#[derive(Debug)]
pub struct Slot(Arc<Slots>);

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut inner = self.0.inner();
            inner.running -= 1;
            inner.record();
        }
        self.0.hand_out();
    }
}

impl Slots {
    /// Makes the slots.
    pub fn new(slots: u32, ramp: Ramp) -> Self {
        Self { slots, ramp, inner: Mutex::default() }
    }

    /// Returns the slots that can be used now.
    pub fn usable(&self) -> u32 {
        self.ramp.slots(self.slots, clock::now_ms())
    }

    /// Returns the load as it was some milliseconds ago.
    pub fn load(&self, lag_ms: u64) -> Load {
        let mut inner = self.inner();
        if lag_ms == 0 {
            inner.prune();
            return inner.load();
        }
        inner.history.at(clock::now_ms().saturating_sub(lag_ms))
    }

    /// Waits for a slot. Fails at once if the queue is full.
    pub async fn acquire(self: &Arc<Self>) -> Result<Slot> {
        let waiting = {
            let mut inner = self.inner();
            inner.prune();
            let limit = usize::try_from(self.slots.saturating_mul(QUEUE_PER_SLOT));
            if inner.queue.len() >= limit.unwrap_or(usize::MAX) {
                return Err(Error::Refused(Refusal::Shed));
            }
            let (sender, waiting) = oneshot::channel();
            inner.queue.push_back(sender);
            inner.record();
            waiting
        };
        self.hand_out();
        // The sender is only dropped with the target itself.
        waiting.await.map_err(|_| Error::Refused(Refusal::Shed))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hand_out(self: &Arc<Self>) {
        while let Some(waiter) = self.next() {
            // A waiter that has left gives the slot back when the unsent value is dropped.
            drop(waiter.send(Slot(Arc::clone(self))));
        }
    }

    /// Takes a free slot for the first waiting request.
    fn next(&self) -> Option<oneshot::Sender<Slot>> {
        let usable = usize::try_from(self.usable()).unwrap_or(usize::MAX);
        let mut inner = self.inner();
        if inner.running >= usable {
            return None;
        }
        let waiter = inner.queue.pop_front()?;
        inner.running += 1;
        inner.record();
        Some(waiter)
    }
}
