//! The intent of a running non-repeatable request: its entry in the ledger of the group.

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

/// Delay before the replication of an intent is retried. An unresponsive holder is replaced after
/// 350 ms.
const REPLICATION_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Longest time that a refusal waits for the withdrawal of its intent; also the time limit of one
/// attempt to reach a holder.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(250);

/// The open ledger entry of a running request. Dropping it records that the request did not run, or
/// that its outcome is unknown if it may have been sent.
#[derive(Debug)]
pub struct Intent {
    router: Arc<Router>,
    local: Local,
    group: name::Group,
    key: Arc<str>,
    pending: bool,
    /// True if a byte of the request may have been written.
    pub sent: bool,
}

impl Intent {
    /// Makes the intent of an entry that was just opened in the ledger.
    pub fn new(router: &Arc<Router>, local: &Local, group: &name::Group, key: &Arc<str>) -> Self {
        Self {
            router: router.clone(),
            local: local.clone(),
            group: group.clone(),
            key: key.clone(),
            pending: true,
            sent: false,
        }
    }

    /// Waits until other instances hold the intent.
    ///
    /// A frozen holder is replaced by another instance, so the replication is retried until the
    /// deadline while this instance coordinates the group.
    ///
    /// # Errors
    ///
    /// Fails if the intent is not replicated; the request must not be sent then.
    pub async fn replicate(&self, deadline: Stamp) -> Result<(), Reason> {
        loop {
            let now = self.router.clock.now();
            let remaining =
                timeout::remaining(deadline, now).ok_or(Reason::DeadlineBeforeDispatch)?;
            let (job, done) = self.replication_job().ok_or(Reason::NoCoordinator)?;
            match timeout(remaining, self.submit(job, done)).await {
                Ok(true) => return Ok(()),
                Ok(false) if self.is_coordinator() => sleep(REPLICATION_RETRY_DELAY).await,
                Ok(false) => return Err(Reason::NoCoordinator),
                Err(_) => return Err(Reason::DeadlineBeforeDispatch),
            }
        }
    }

    /// Ends a request that was not answered. If it did not run, the withdrawal of the intent is
    /// replicated first, because the next submission may go to an instance that holds the intent.
    /// The wait is bounded.
    pub async fn withdraw(mut self) {
        if self.sent {
            return;
        }
        self.local.ledger().mark_not_run(&self.key, self.router.clock.now());
        self.pending = false;
        let Some((job, done)) = self.replication_job() else { return };
        if !matches!(timeout(WITHDRAWAL_TIMEOUT, self.submit(job, done)).await, Ok(true)) {
            log::debug!("withdrawal of an intent not confirmed by the other instances");
        }
    }

    /// Submits an entry for replication and returns true if the other instances hold it.
    async fn submit(&self, job: Job, done: oneshot::Receiver<bool>) -> bool {
        let queued = self.router.channels.replication.send(job).await;
        queued.is_ok() && matches!(done.await, Ok(true))
    }

    /// Returns true if this instance coordinates the group under the term of the intent.
    fn is_coordinator(&self) -> bool {
        let snapshot = self.router.directory.current();
        snapshot.is_some_and(|snapshot| match snapshot.coordinator(&self.group) {
            Coordinator::Local(local) => local.term == self.local.term,
            Coordinator::Remote(_) | Coordinator::Unknown => false,
        })
    }

    /// Records the response.
    pub fn finish(mut self, answer: Answer) {
        let now = self.router.clock.now();
        self.local.ledger().finish(&self.key, answer, now);
        self.replicate_outcome();
    }

    fn replication_job(&self) -> Option<(Job, oneshot::Receiver<bool>)> {
        let entry = self.local.ledger().entry(&self.key, self.router.clock.now())?;
        let (done, replicated) = oneshot::channel();
        let (group, term) = (self.group.clone(), self.local.term);
        Some((Job { group, term, entry, done }, replicated))
    }

    /// Replicates the outcome without waiting. If it is lost, other instances answer a later
    /// submission with an unknown outcome, which is safe.
    fn replicate_outcome(&mut self) {
        self.pending = false;
        if let Some((job, _)) = self.replication_job()
            && self.router.channels.replication.try_send(job).is_err()
        {
            log::debug!("ledger outcome not replicated: the channel is full or closed");
        }
    }
}

impl Drop for Intent {
    fn drop(&mut self) {
        self.resolve();
        self.router.intent_closed.notify_waiters();
    }
}

impl Intent {
    fn resolve(&mut self) {
        if !self.pending {
            return;
        }
        let now = self.router.clock.now();
        if self.sent {
            self.local.ledger().mark_unknown(&self.key, now);
            self.pending = false;
        } else {
            self.local.ledger().mark_not_run(&self.key, now);
            self.replicate_outcome();
        }
    }
}
