//! Memory budget of the process: waiting for memory and giving up bodies.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;

use caraway_core::time::Clock;
use caraway_fleet::memory::Answer;
use caraway_fleet::memory::Budget;
use caraway_fleet::memory::Id;

/// Longest time that a request waits for memory. It is longer than the time after which a stalled body is
/// given up, so that memory held by stalled bodies is found.
pub const MAX_WAIT: Duration = Duration::from_secs(2);

/// Interval of checks for bodies that have become stalled while a request waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Most requests that wait for memory at the same time. Each looks for stalled bodies among all holdings; further
/// requests are refused at once instead of waiting without a prospect.
const MAX_WAITING: usize = 64;

/// Memory budget of the process.
#[derive(Debug)]
pub struct Memory {
    budget: RefCell<Budget>,
    freed: Notify,
    waiting: Cell<usize>,
    notices: RefCell<HashMap<Id, Rc<Notice>>>,
}

/// Tells the receiver of a body that the body is given up.
#[derive(Debug, Default)]
struct Notice {
    given_up: Cell<bool>,
    notify: Notify,
}

/// Memory was not available in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shortage;

impl Memory {
    /// Creates an unused budget.
    pub fn new(budget: Budget) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(budget),
            freed: Notify::new(),
            waiting: Cell::new(0),
            notices: RefCell::default(),
        })
    }

    /// Returns the memory in use, in bytes.
    pub fn used(&self) -> u64 {
        self.budget.borrow().used()
    }

    /// Begins a holding of a caller, without memory.
    pub fn lease(self: &Rc<Self>, caller: IpAddr) -> Lease {
        let id = self.budget.borrow_mut().begin(caller, Clock.now());
        let notice = Rc::new(Notice::default());
        self.notices.borrow_mut().insert(id, notice.clone());
        Lease { memory: self.clone(), id, notice }
    }
}

/// A holding of memory, which is returned when the lease is dropped.
#[derive(Debug)]
pub struct Lease {
    memory: Rc<Memory>,
    id: Id,
    notice: Rc<Notice>,
}

impl Lease {
    /// Takes more memory if it is available now.
    pub fn try_grow(&self, bytes: usize) -> bool {
        self.ask(bytes) == Answer::Granted
    }

    /// Takes more memory that the holder can do without, if a good part of the budget is free.
    pub fn try_grow_optional(&self, bytes: usize) -> bool {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let answer = self.memory.budget.borrow_mut().grow_optional(self.id, bytes, Clock.now());
        answer == Answer::Granted
    }

    /// Returns all memory above `bytes`.
    pub fn shrink_to(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.memory.budget.borrow_mut().shrink_to(self.id, bytes);
        self.memory.freed.notify_one();
    }

    fn ask(&self, bytes: usize) -> Answer {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.memory.budget.borrow_mut().grow(self.id, bytes, Clock.now())
    }

    /// Takes more memory, waiting for it if necessary.
    ///
    /// # Errors
    ///
    /// Fails if the memory is not available in time, at the latest at `deadline`.
    pub async fn grow(&self, bytes: usize, deadline: Instant) -> Result<(), Shortage> {
        if self.try_grow(bytes) {
            return Ok(());
        }
        let Some(_waiting) = Waiting::begin(&self.memory) else { return Err(Shortage) };
        let end = deadline.min(Instant::now() + MAX_WAIT);
        loop {
            match self.ask(bytes) {
                Answer::Granted => {
                    // There may be memory for the next one, too.
                    self.memory.freed.notify_one();
                    return Ok(());
                }
                Answer::TooLarge => return Err(Shortage),
                Answer::Short(Some(stalled)) => {
                    let notice = self.memory.notices.borrow().get(&stalled).cloned();
                    if let Some(notice) = notice {
                        notice.given_up.set(true);
                        notice.notify.notify_waiters();
                    }
                }
                Answer::Short(None) => {}
            }
            if Instant::now() >= end || self.notice.given_up.get() {
                return Err(Shortage);
            }
            tokio::select! {
                () = self.memory.freed.notified() => {}
                () = sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Records that bytes have arrived.
    pub fn record_arrival(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.memory.budget.borrow_mut().record_arrival(self.id, bytes, Clock.now());
    }

    /// Records that everything has arrived, after which the holding is not given up.
    pub fn complete(&self) {
        self.memory.budget.borrow_mut().complete(self.id);
    }

    /// Returns when the holding is given up because memory is short.
    pub async fn given_up(&self) {
        let notified = self.notice.notify.notified();
        if !self.notice.given_up.get() {
            notified.await;
        }
    }
}

/// Counts a request that waits for memory.
struct Waiting<'a>(&'a Memory);

impl<'a> Waiting<'a> {
    fn begin(memory: &'a Memory) -> Option<Self> {
        let count = memory.waiting.get();
        (count < MAX_WAITING).then(|| {
            memory.waiting.set(count + 1);
            Self(memory)
        })
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get().saturating_sub(1));
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.memory.budget.borrow_mut().end(self.id);
        self.memory.notices.borrow_mut().remove(&self.id);
        // Waking all of them for each request that ends would take most of a small processor share.
        self.memory.freed.notify_one();
    }
}
