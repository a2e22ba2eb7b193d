//! Isolation of requests that are suspected of crashing targets.

use std::sync::Arc;

use tokio::time::timeout;

use caraway_call::quarantine::Fingerprint;
use caraway_call::quarantine::Verdict;
use caraway_call::timeout;
use caraway_core::outcome::Reason;
use caraway_core::time::Stamp;

use crate::router::Router;

/// A suspect request that runs alone. Dropping the probe lets the next suspect run.
#[derive(Debug)]
pub struct Probe {
    router: Arc<Router>,
    fingerprint: Fingerprint,
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.router.quarantine().end_probe(self.fingerprint);
        self.router.suspect_released.notify_waiters();
    }
}

/// Permission of the quarantine to run a request.
#[derive(Debug)]
pub enum Clearance {
    /// The request is not a suspect.
    Unrestricted,
    /// The request is a suspect and must run alone.
    Probe(Probe),
}

/// Asks the quarantine for permission to run a request. Returns `None` if another suspect must end
/// first.
///
/// # Errors
///
/// Fails if the request has crashed too many targets.
pub fn try_acquire(
    router: &Arc<Router>,
    fingerprint: Fingerprint,
) -> Result<Option<Clearance>, Reason> {
    let verdict = router.quarantine().admit(fingerprint, router.clock.now());
    match verdict {
        Verdict::Run => Ok(Some(Clearance::Unrestricted)),
        Verdict::Probe => Ok(Some(Clearance::Probe(Probe { router: router.clone(), fingerprint }))),
        Verdict::Wait => Ok(None),
        Verdict::Refuse => Err(Reason::Quarantined),
    }
}

/// Waits until the quarantine permits a request to run.
///
/// # Errors
///
/// Fails if the request has crashed too many targets or the deadline passes first.
pub async fn acquire(
    router: &Arc<Router>,
    fingerprint: Fingerprint,
    deadline: Stamp,
) -> Result<Clearance, Reason> {
    loop {
        let suspect_released = router.suspect_released.notified();
        tokio::pin!(suspect_released);
        suspect_released.as_mut().enable();
        if let Some(clearance) = try_acquire(router, fingerprint)? {
            return Ok(clearance);
        }
        let remaining = timeout::remaining(deadline, router.clock.now());
        let remaining = remaining.ok_or(Reason::DeadlineBeforeDispatch)?;
        if timeout(remaining, suspect_released).await.is_err() {
            return Err(Reason::DeadlineBeforeDispatch);
        }
    }
}
