//! Containment of requests that are suspected of crashing targets.

use std::sync::Arc;

use tokio::time::timeout;

use caraway_call::quarantine::Fingerprint;
use caraway_call::quarantine::Verdict;
use caraway_call::timeout;
use caraway_core::outcome::Reason;
use caraway_core::time::Stamp;

use crate::router::Router;

/// A suspect that runs alone. Dropping it lets the next one run.
#[derive(Debug)]
pub struct Probe {
    router: Arc<Router>,
    fingerprint: Fingerprint,
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.router.quarantine().end_probe(self.fingerprint);
        self.router.settled.notify_waiters();
    }
}

/// Permission of the quarantine.
#[derive(Debug)]
pub enum Clearance {
    /// The request is not a suspect.
    Free,
    /// The request is a suspect and runs alone.
    Alone(Probe),
}

/// Returns the permission of the quarantine, or nothing if another suspect has to end first.
///
/// # Errors
///
/// The request has crashed too many targets.
pub fn ask(router: &Arc<Router>, fingerprint: Fingerprint) -> Result<Option<Clearance>, Reason> {
    let verdict = router.quarantine().admit(fingerprint, router.clock.now());
    match verdict {
        Verdict::Run => Ok(Some(Clearance::Free)),
        Verdict::Probe => Ok(Some(Clearance::Alone(Probe { router: router.clone(), fingerprint }))),
        Verdict::Wait => Ok(None),
        Verdict::Refuse => Err(Reason::Quarantined),
    }
}

/// Waits for the permission of the quarantine.
///
/// # Errors
///
/// The request has crashed too many targets, or the call ends first.
pub async fn wait(
    router: &Arc<Router>,
    fingerprint: Fingerprint,
    deadline: Stamp,
) -> Result<Clearance, Reason> {
    loop {
        let settled = router.settled.notified();
        tokio::pin!(settled);
        settled.as_mut().enable();
        if let Some(clearance) = ask(router, fingerprint)? {
            return Ok(clearance);
        }
        let left = timeout::remaining(deadline, router.clock.now());
        let left = left.ok_or(Reason::DeadlineBeforeDispatch)?;
        if timeout(left, settled).await.is_err() {
            return Err(Reason::DeadlineBeforeDispatch);
        }
    }
}
