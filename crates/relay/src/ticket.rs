//! The entry of a running request in the ledger of its group.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::timeout;

use caraway_call::ledger::Answer;
use caraway_call::patience;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::time::Stamp;

use crate::directory::Local;
use crate::replication::Job;
use crate::router::Router;

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
    /// # Errors
    ///
    /// They do not hold it, so the request must not be sent.
    pub async fn replicate(&self, deadline: Stamp) -> Result<(), Reason> {
        let now = self.router.clock.now();
        let left = patience::remaining(deadline, now).ok_or(Reason::DeadlineBeforeDispatch)?;
        let (job, done) = self.job().ok_or(Reason::NoCoordinator)?;
        let sent = async {
            let queued = self.router.channels.replication.send(job).await;
            queued.is_ok() && matches!(done.await, Ok(true))
        };
        match timeout(left, sent).await {
            Ok(true) => Ok(()),
            Ok(false) => Err(Reason::NoCoordinator),
            Err(_) => Err(Reason::DeadlineBeforeDispatch),
        }
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
            self.local.ledger().lose(&self.key, now);
            self.open = false;
        } else {
            self.local.ledger().abandon(&self.key, now);
            self.close();
        }
    }
}
