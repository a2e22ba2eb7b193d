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
use crate::warmup::Warmup;

/// Maximum number of queued requests per slot. Longer queues belong to the coordinator, which can order them.
const MAX_QUEUED_PER_SLOT: u32 = 2;

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

    /// Removes queued requests that have been cancelled.
    fn remove_cancelled(&mut self) {
        self.queue.retain(|waiter| !waiter.is_closed());
    }
}

/// The execution slots of the target.
#[derive(Debug)]
pub struct Slots {
    slots: u32,
    warmup: Warmup,
    inner: Mutex<Inner>,
}

/// An occupied slot. Dropping it passes the slot to the next queued request.
#[derive(Debug)]
pub struct Slot(Arc<Slots>);

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut inner = self.0.inner();
            inner.running -= 1;
            inner.record();
        }
        self.0.dispatch();
    }
}

impl Slots {
    /// Creates free slots.
    pub fn new(slots: u32, warmup: Warmup) -> Self {
        Self { slots, warmup, inner: Mutex::default() }
    }

    /// Returns the number of slots that are usable at the current stage of the warm-up.
    pub fn usable(&self) -> u32 {
        self.warmup.slots(self.slots, clock::now_ms())
    }

    /// Returns the load `lag_ms` milliseconds ago.
    pub fn load(&self, lag_ms: u64) -> Load {
        let mut inner = self.inner();
        if lag_ms == 0 {
            inner.remove_cancelled();
            return inner.load();
        }
        inner.history.at(clock::now_ms().saturating_sub(lag_ms))
    }

    /// Waits for a slot. Fails immediately if the queue is full.
    pub async fn acquire(self: &Arc<Self>) -> Result<Slot> {
        let slot_receiver = {
            let mut inner = self.inner();
            inner.remove_cancelled();
            let limit = usize::try_from(self.slots.saturating_mul(MAX_QUEUED_PER_SLOT));
            if inner.queue.len() >= limit.unwrap_or(usize::MAX) {
                return Err(Error::Refused(Refusal::Shed));
            }
            let (sender, slot_receiver) = oneshot::channel();
            inner.queue.push_back(sender);
            inner.record();
            slot_receiver
        };
        self.dispatch();
        // The sender is dropped unsent only when the process stops.
        slot_receiver.await.map_err(|_| Error::Refused(Refusal::Shed))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn dispatch(self: &Arc<Self>) {
        while let Some(waiter) = self.next_waiter() {
            // If the waiter was cancelled, dropping the unsent slot frees it again.
            drop(waiter.send(Slot(Arc::clone(self))));
        }
    }

    /// Assigns a free slot to the first queued request and removes the request from the queue.
    fn next_waiter(&self) -> Option<oneshot::Sender<Slot>> {
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
