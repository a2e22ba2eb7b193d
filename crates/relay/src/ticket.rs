//! The entry of a running request in the ledger of its group.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use caraway_call::ledger::Answer;
use caraway_call::timeout;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::time::Stamp;

use crate::directory::Coordinator;
use crate::directory::Local;
use crate::replication::Job;
use crate::router::Router;

/// Pause before an intent is passed on again. A silent holder is replaced after 350 ms.
const REPEAT_PAUSE: Duration = Duration::from_millis(25);

/// Longest time that a refusal waits for the withdrawal of its intent. One attempt to reach a holder
/// takes at most as long.
const WITHDRAWAL_LIMIT: Duration = Duration::from_millis(250);

/// A running entry. Dropping it records that the request did not run, or that its outcome is not
/// known if it may have been sent.
#[derive(Debug)]
pub struct Ticket {
    router: Arc<Router>,
    local: Local,
    group: name::Group,
    key: Arc<str>,
    open: bool,
    /// True if a byte of the request may have been written.
    pub sent: bool,
}

impl Ticket {
    /// Makes the ticket of an entry that has begun.
    pub fn new(router: &Arc<Router>, local: &Local, group: &name::Group, key: &Arc<str>) -> Self {
        Self {
            router: router.clone(),
            local: local.clone(),
            group: group.clone(),
            key: key.clone(),
            open: true,
            sent: false,
        }
    }

    /// Waits until other instances hold the intent.
    ///
    /// One of them may be frozen and is then replaced by another, so it tries again until the deadline
    /// while this instance coordinates the group.
    ///
    /// # Errors
    ///
    /// They do not hold it, so the request must not be sent.
    pub async fn replicate(&self, deadline: Stamp) -> Result<(), Reason> {
        loop {
            let now = self.router.clock.now();
            let left = timeout::remaining(deadline, now).ok_or(Reason::DeadlineBeforeDispatch)?;
            let (job, done) = self.job().ok_or(Reason::NoCoordinator)?;
            match timeout(left, self.pass_on(job, done)).await {
                Ok(true) => return Ok(()),
                Ok(false) if self.coordinates() => sleep(REPEAT_PAUSE).await,
                Ok(false) => return Err(Reason::NoCoordinator),
                Err(_) => return Err(Reason::DeadlineBeforeDispatch),
            }
        }
    }

    /// Ends a request that got no answer. If it did not run, the withdrawal of its intent is passed on
    /// first, because the next submission may go to an instance that holds the intent; the wait is
    /// bounded.
    pub async fn withdraw(mut self) {
        if self.sent {
            return;
        }
        self.local.ledger().mark_not_run(&self.key, self.router.clock.now());
        self.open = false;
        let Some((job, done)) = self.job() else { return };
        if !matches!(timeout(WITHDRAWAL_LIMIT, self.pass_on(job, done)).await, Ok(true)) {
            log::debug!("the withdrawal of an intent may not be known at the other instances");
        }
    }

    /// Passes an entry to the other instances and returns true if they hold it.
    async fn pass_on(&self, job: Job, done: oneshot::Receiver<bool>) -> bool {
        let queued = self.router.channels.replication.send(job).await;
        queued.is_ok() && matches!(done.await, Ok(true))
    }

    /// Returns true if this instance coordinates the group under the term of the entry.
    fn coordinates(&self) -> bool {
        let snapshot = self.router.directory.current();
        snapshot.is_some_and(|snapshot| match snapshot.coordinator(&self.group) {
            Coordinator::Local(local) => local.term == self.local.term,
            Coordinator::Remote(_) | Coordinator::Unknown => false,
        })
    }

    /// Records the answer.
    pub fn finish(mut self, answer: Answer) {
        let now = self.router.clock.now();
        self.local.ledger().finish(&self.key, answer, now);
        self.close();
    }

    fn job(&self) -> Option<(Job, oneshot::Receiver<bool>)> {
        let entry = self.local.ledger().entry(&self.key, self.router.clock.now())?;
        let (done, held) = oneshot::channel();
        let (group, term) = (self.group.clone(), self.local.term);
        Some((Job { group, term, entry, done }, held))
    }

    /// Passes the outcome to the other instances, without waiting. If it is lost, they answer a later
    /// submission "outcome unknown", which is safe.
    fn close(&mut self) {
        self.open = false;
        if let Some((job, _)) = self.job()
            && self.router.channels.replication.try_send(job).is_err()
        {
            log::debug!("ledger outcome not replicated; the channel is full or closed");
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.settle();
        self.router.concluded.notify_waiters();
    }
}

impl Ticket {
    fn settle(&mut self) {
        if !self.open {
            return;
        }
        let now = self.router.clock.now();
        if self.sent {
            self.local.ledger().mark_unknown(&self.key, now);
            self.open = false;
        } else {
            self.local.ledger().mark_not_run(&self.key, now);
            self.close();
        }
    }
}
