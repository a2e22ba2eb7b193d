//! Attempts after whose end the target may turn out to have crashed, until it is known whether it did.
//!
//! Every attempt that was sent ends in one of the ways of [`End`], and every target that is gone was
//! lost in one of the ways of [`Loss`]. Both together decide whether the request is suspected of a
//! crash:
//!
//! | | [`Loss::Ended`] | [`Loss::Unreachable`] |
//! | --- | --- | --- |
//! | [`End::NotRun`] | no | no |
//! | [`End::Broken`] | yes | yes |
//! | [`End::GivenUp`] | yes | no |
//! | [`End::Complete`] | until it is settled | if its connection was closed |
//!
//! A request that completed is suspected only if no other one was in flight at the target: requests
//! crash their targets before the response far more often than after it.
//!
//! A lost connection can also be caused by the network: a target that answers a later request has not
//! crashed. A partition makes many attempts time out at many targets, so that attempts that were given
//! up count only for a process that is known to have ended. A completion clears its request only when
//! it is settled: the target has answered a request that was sent afterwards, or has kept its
//! connections open for [`SETTLE_TIME`].

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::quarantine::Identity;
use crate::quarantine::Phase;

/// Time after which a crash of the target is no longer attributed to an attempt.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(5);

/// Time in which a crash that a request causes becomes visible after its complete response, since the
/// connections of the process close.
pub const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Minimum time between two probes of a target.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The request was not sent, or the target states that it did not run it.
    NotRun,
    /// The response is complete.
    Complete,
    /// The connection was lost before the response was complete, or carried something else.
    Broken,
    /// The sender gave up before the response was complete: at a deadline, because the caller left or
    /// because its own process stops.
    GivenUp,
}

/// How an incarnation of a target was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Its process has ended: its address refuses connections, or it has started again.
    Ended,
    /// It cannot be reached, or is no longer listed.
    Unreachable,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: Identity,
    end: End,
    at: Stamp,
    /// Whether the target closed the connection right after the complete response.
    closed: bool,
}

impl Attempt {
    /// Returns how the request is suspected of the loss of its target, if it is.
    fn suspicion(&self, loss: Loss) -> Option<Phase> {
        match (self.end, loss) {
            (End::Broken, _) | (End::GivenUp, Loss::Ended) => Some(Phase::InFlight),
            (End::Complete, Loss::Ended) => Some(Phase::Completed),
            (End::Complete, Loss::Unreachable) => self.closed.then_some(Phase::Completed),
            (End::GivenUp, Loss::Unreachable) | (End::NotRun, _) => None,
        }
    }

    /// Returns whether the response is complete and the target may still turn out to have crashed.
    fn is_unsettled(&self) -> bool {
        self.end == End::Complete && !self.closed
    }
}

/// Attempts that have ended, by incarnation of the target.
#[derive(Clone, Debug)]
pub struct Suspicions<I> {
    attempts: HashMap<I, Vec<Attempt>>,
}

impl<I> Default for Suspicions<I> {
    fn default() -> Self {
        Self { attempts: HashMap::new() }
    }
}

impl<I: Clone + Eq + Hash> Suspicions<I> {
    /// Records the end of an attempt. Returns true if the target should be probed: the attempt broke
    /// off, and no other one did within the last probe interval, so no probe is pending.
    pub fn record_end(
        &mut self,
        incarnation: &I,
        request: impl Into<Identity>,
        end: End,
        now: Stamp,
    ) -> bool {
        if end == End::NotRun {
            return false;
        }
        let attempts = self.attempts.entry(incarnation.clone()).or_default();
        attempts.retain(|attempt| now.since(attempt.at) < ATTRIBUTION_WINDOW);
        let recent = was_probed(attempts, now);
        attempts.push(Attempt { request: request.into(), end, at: now, closed: false });
        end == End::Broken && !recent
    }

    /// Records that a target answered a request that was sent at `sent` or later. This clears the
    /// attempts that ended before; for later ones it is no proof, since the answer may have been on
    /// its way. Returns the requests among them that completed.
    pub fn record_answer(&mut self, incarnation: &I, sent: Stamp) -> Vec<Identity> {
        let Some(attempts) = self.attempts.get_mut(incarnation) else { return vec![] };
        let settled = take_completed(attempts, |attempt| attempt.at < sent);
        attempts.retain(|attempt| attempt.at >= sent);
        if attempts.is_empty() {
            self.attempts.remove(incarnation);
        }
        settled
    }

    /// Records that a target has closed connections on which its response was complete. Its
    /// completions are not settled then. Returns true if the target should be probed.
    pub fn record_close(&mut self, incarnation: &I, now: Stamp) -> bool {
        let Some(attempts) = self.attempts.get_mut(incarnation) else { return false };
        let recent = was_probed(attempts, now);
        let mut completed = false;
        for attempt in attempts.iter_mut().filter(|attempt| attempt.is_unsettled()) {
            (attempt.closed, attempt.at) = (true, now);
            completed = true;
        }
        completed && !recent
    }

    /// Returns the incarnations with completions that are not settled.
    pub fn unsettled(&self) -> impl Iterator<Item = &I> {
        let unsettled = |attempts: &[Attempt]| attempts.iter().any(Attempt::is_unsettled);
        self.attempts.iter().filter(move |(_, attempts)| unsettled(attempts)).map(|(i, _)| i)
    }

    /// Settles the completions that are old enough, and returns their requests. Forgets attempts to
    /// which no crash is attributed any more.
    pub fn settle(&mut self, now: Stamp) -> Vec<Identity> {
        let mut settled = Vec::new();
        self.attempts.retain(|_, attempts| {
            let old = |done: &Attempt| done.is_unsettled() && now.since(done.at) >= SETTLE_TIME;
            settled.extend(take_completed(attempts, old));
            attempts.retain(|attempt| now.since(attempt.at) < ATTRIBUTION_WINDOW);
            !attempts.is_empty()
        });
        settled
    }

    /// Records that a target was lost; returns the requests that may have caused it.
    pub fn record_loss(
        &mut self,
        incarnation: &I,
        loss: Loss,
        now: Stamp,
    ) -> Vec<(Identity, Phase)> {
        let attempts = self.attempts.remove(incarnation).unwrap_or_default();
        let recent = attempts.iter().filter(|attempt| now.since(attempt.at) < ATTRIBUTION_WINDOW);
        let suspects =
            recent.filter_map(|attempt| Some((attempt.request, attempt.suspicion(loss)?)));
        let mut suspects: Vec<(Identity, Phase)> = suspects.collect();
        if suspects.iter().any(|(_, phase)| *phase == Phase::InFlight) {
            suspects.retain(|(_, phase)| *phase == Phase::InFlight);
        }
        suspects
    }
}

/// Returns whether a target was probed recently because of one of these attempts.
fn was_probed(attempts: &[Attempt], now: Stamp) -> bool {
    let mut broken = attempts.iter().filter(|attempt| attempt.end == End::Broken || attempt.closed);
    broken.any(|attempt| now.since(attempt.at) < PROBE_INTERVAL)
}

/// Removes the completions that meet a condition and returns their requests.
fn take_completed(
    attempts: &mut Vec<Attempt>,
    condition: impl Fn(&Attempt) -> bool,
) -> Vec<Identity> {
    let taken = |attempt: &mut Attempt| attempt.end == End::Complete && condition(attempt);
    attempts.extract_if(.., taken).map(|attempt| attempt.request).collect()
}
