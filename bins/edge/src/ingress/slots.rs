//! Places for the connections of a listener. When all are taken, the connection that has been without a complete
//! request for the longest time is closed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Places for the connections of a listener.
#[derive(Debug)]
pub struct Slots {
    most: usize,
    next: Cell<u64>,
    taken: RefCell<BTreeMap<u64, Rc<Status>>>,
    freed: Notify,
}

#[derive(Debug)]
struct Status {
    /// Time since which the connection has no complete request in flight.
    waiting_since: Cell<Option<Instant>>,
    closed: Cell<bool>,
    close: Notify,
}

/// The place of a connection, which is freed when this is dropped.
#[derive(Debug)]
pub struct Slot {
    slots: Rc<Slots>,
    number: u64,
    status: Rc<Status>,
}

impl Slots {
    /// Creates places for at most `most` connections.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self { most, next: Cell::new(0), taken: RefCell::default(), freed: Notify::new() })
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.taken.borrow().len()
    }

    /// Returns whether all places are taken.
    pub fn is_full(&self) -> bool {
        self.len() >= self.most
    }

    /// Closes the connection that has been without a complete request for the longest time, and waits until its
    /// place is free. Returns false if there is none.
    pub async fn evict(&self) -> bool {
        let freed = self.freed.notified();
        let longest = {
            let taken = self.taken.borrow();
            let waiting = taken.values().filter(|status| !status.closed.get());
            let waiting = waiting.filter_map(|status| Some((status.waiting_since.get()?, status)));
            waiting.min_by_key(|(since, _)| *since).map(|(_, status)| status.clone())
        };
        let Some(status) = longest else { return false };
        status.closed.set(true);
        status.close.notify_one();
        freed.await;
        true
    }

    /// Takes a place.
    pub fn take(self: &Rc<Self>) -> Slot {
        let number = self.next.get();
        self.next.set(number + 1);
        let status = Rc::new(Status {
            waiting_since: Cell::new(Some(Instant::now())),
            closed: Cell::new(false),
            close: Notify::new(),
        });
        self.taken.borrow_mut().insert(number, status.clone());
        Slot { slots: self.clone(), number, status }
    }
}

impl Slot {
    /// Records whether a complete request is in flight.
    pub fn set_busy(&self, busy: bool) {
        let since = self.status.waiting_since.get();
        let waiting = (!busy).then(|| since.unwrap_or_else(Instant::now));
        self.status.waiting_since.set(waiting);
    }

    /// Returns when the connection is to be closed.
    pub async fn closed(&self) {
        self.status.close.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.taken.borrow_mut().remove(&self.number);
        self.slots.freed.notify_waiters();
    }
}
