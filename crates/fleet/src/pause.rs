//! Pauses that targets ask for when they refuse a request.
//!
//! A pause concerns the instance that was refused, not the others, and one incarnation of the
//! target. It says nothing about failures: the target works, but wants no requests for a while.
//!
//! A pause is kept for as long as the target asks, up to [`MAX_PAUSE`]. In a long one, up to two
//! repeatable requests are sent as probes. An answer to a probe ends the pause, and a refusal of one
//! replaces its end, so that a single wrong header field costs a target a minute.

use std::collections::HashMap;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::membership::Incarnation;

/// Longest pause that is kept. Targets ask for seconds under load and for minutes around a
/// restart; more than an hour is taken for an error.
pub const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// Times after the start of a pause at which a probe may be sent. Pauses under a minute, which are
/// usual, get none.
pub const PROBE_TIMES: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(600)];

/// Fraction of a pause by which the time until callers should return is extended at random, so
/// that not all of them return at its end.
const RETURN_SPREAD: f64 = 0.25;

#[derive(Clone, Debug)]
struct Pause {
    started: Stamp,
    end: Stamp,
    /// Number of probes sent.
    probes: usize,
}

impl Pause {
    /// Returns when the next request may be sent.
    fn next(&self, repeatable: bool) -> Stamp {
        let probe = PROBE_TIMES.get(self.probes).filter(|_| repeatable);
        probe.map_or(self.end, |time| (self.started + *time).min(self.end))
    }
}

/// Pauses of all targets.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    pauses: HashMap<Incarnation, Pause>,
}

impl Pauses {
    /// Records that a target asked for a pause when it refused a request that was sent before the
    /// pause was known, and returns its length, at most [`MAX_PAUSE`]. A shorter pause does not end a
    /// longer one.
    pub fn record(&mut self, incarnation: &Incarnation, asked: Duration, now: Stamp) -> Duration {
        self.pauses.retain(|_, pause| pause.end > now);
        let granted = asked.min(MAX_PAUSE);
        if !granted.is_zero() {
            let new = || Pause { started: now, end: now, probes: 0 };
            let pause = self.pauses.entry(incarnation.clone()).or_insert_with(new);
            pause.end = (now + granted).max(pause.end);
        }
        granted
    }

    /// Records that a target asked for a pause when it refused a probe, and returns its length, at
    /// most [`MAX_PAUSE`]. The new end replaces the one before.
    pub fn record_probe_refusal(
        &mut self,
        incarnation: &Incarnation,
        asked: Duration,
        now: Stamp,
    ) -> Duration {
        let granted = asked.min(MAX_PAUSE);
        if let Some(pause) = self.pauses.get_mut(incarnation) {
            pause.end = now + granted;
        }
        granted
    }

    /// Records that a target answered a probe, which ends its pause.
    pub fn record_probe_answer(&mut self, incarnation: &Incarnation) {
        self.pauses.remove(incarnation);
    }

    /// Returns when the target may receive the next request, or `None` if it may receive one now. A
    /// request that is not repeatable cannot be a probe.
    pub fn next(&self, incarnation: &Incarnation, repeatable: bool, now: Stamp) -> Option<Stamp> {
        let pause = self.pauses.get(incarnation)?;
        Some(pause.next(repeatable)).filter(|next| *next > now)
    }

    /// Returns whether a request to a target is a probe, if [`Pauses::next`] permits it, and counts it.
    pub fn begin_probe(&mut self, incarnation: &Incarnation, now: Stamp) -> bool {
        let pause = self.pauses.get_mut(incarnation).filter(|pause| pause.end > now);
        pause.is_some_and(|pause| {
            pause.probes += 1;
            true
        })
    }

    /// Returns the end of a target's pause, or `None` if it is over.
    pub fn end(&self, incarnation: &Incarnation, now: Stamp) -> Option<Stamp> {
        self.pauses.get(incarnation).map(|pause| pause.end).filter(|end| *end > now)
    }
}

/// Returns the time after which a caller should return when all targets that can serve its request
/// are paused and the first pause ends at `end`. `jitter` is a random number from 0 to 1.
pub fn return_delay(end: Stamp, now: Stamp, jitter: f64) -> Duration {
    end.since(now).mul_f64(1.0 + RETURN_SPREAD * jitter.clamp(0.0, 1.0))
}
