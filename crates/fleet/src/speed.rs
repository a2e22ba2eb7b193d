//! Speed of a target: its present slowdown, and whether it has become silent.
//!
//! The usual service time of a target changes slowly and is averaged over many responses. What the
//! target states about its machine changes several times a second, so it is kept apart: the usual
//! time is learned without it, and the expected time of a request is the product of both.

use std::collections::VecDeque;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Value of the fourth figure of a load report at which work takes as long as usual.
const USUAL: f64 = 100.0;

/// Bounds of a slowdown. Larger values are more likely errors than states in which a target is of
/// any use, and a single one must not make it unusable for long.
const MIN_SLOWDOWN: f64 = 0.25;
const MAX_SLOWDOWN: f64 = 16.0;

/// Age up to which a stated slowdown is taken as the present one, and the half-life of its
/// difference from 1 after that. Neighbors on a machine slow a target down for about 400 ms.
const SLOWDOWN_LIFETIME: Duration = Duration::from_millis(400);
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(100);

/// Longest time for which a slowdown that has lasted for a while is expected to last, and the ratio
/// up to which two statements count as the same slowdown.
const MAX_SLOWDOWN_LIFETIME: Duration = Duration::from_secs(2);
const SAME_RATIO: f64 = 1.3;

/// Slowdown that a target states in its responses. It is 1 at a target that states none.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    stated: f64,
    at: Stamp,
    /// Time since when all statements were about the same.
    since: Stamp,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self { stated: 1.0, at: Stamp::default(), since: Stamp::default() }
    }
}

impl Slowdown {
    /// Records the figure of a load report, where 100 is usual. Zero is not a speed and is ignored.
    pub fn record(&mut self, figure: u32, now: Stamp) {
        if figure > 0 {
            let stated = (f64::from(figure) / USUAL).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
            if stated.max(self.stated) / stated.min(self.stated) > SAME_RATIO {
                self.since = now;
            }
            (self.stated, self.at) = (stated, now);
        }
    }

    /// Returns whether the target has stated a slowdown.
    pub fn is_stated(&self) -> bool {
        self.at != Stamp::default()
    }

    /// Returns the factor by which work takes longer than usual at present.
    pub fn at(&self, now: Stamp) -> f64 {
        let lasted = self.at.since(self.since);
        let lifetime = lasted.clamp(SLOWDOWN_LIFETIME, MAX_SLOWDOWN_LIFETIME);
        let stale = now.since(self.at).saturating_sub(lifetime);
        let half_lives = stale.as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (self.stated - 1.0) * 0.5_f64.powf(half_lives)
    }
}

/// Returns the limit of concurrent requests at a target: those that it can answer within a part of
/// the latency objective, in seconds, and as many as it can run without taking longer than usual.
/// `usual` is its usual service time in seconds. At least one request is allowed, so that the target
/// is measured.
pub fn concurrency_limit(slots: u32, usual: f64, slowdown: f64, part_of_objective: f64) -> f64 {
    let slots = f64::from(slots.max(1));
    let answerable = slots * part_of_objective / (usual * slowdown).max(1e-6) - 1.0;
    answerable.max(slots / slowdown.max(1.0)).max(1.0)
}

/// Multiple of the expected time after which a target without any response counts as silent, and
/// the lower bound of that time. Service times vary by half, and a slowdown that began after the
/// request was sent may triple them. A pause of a target or an instance for a part of a second must
/// not make a target unusable that would have answered.
const SILENCE_FACTOR: f64 = 4.5;
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Time from the start of a silence to the first probe, and the longest time between two probes.
/// The time doubles with each probe that is not answered.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// Time after the latest sign of a silence at which it no longer counts. It is longer than the time
/// between probes, so it matters only where no request may be used as a probe: the next one of any
/// kind then finds out.
const SILENCE_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum number of requests in flight that are observed. A few are enough to find a silence.
const MAX_OBSERVED: usize = 16;

/// Requests of this instance at a target that have no response yet, and what follows from them.
///
/// A target is silent if a request has been unanswered for much longer than expected while none of
/// the later ones was answered either. If later ones are answered, only that request was lost.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    /// Start of each request, and the time at which its response is overdue.
    unanswered: VecDeque<(Stamp, Stamp)>,
    /// Start of the latest request that was answered.
    answered: Stamp,
    /// Time since when the target is silent, if a request was given up.
    since: Option<Stamp>,
    /// Start of the latest probe, and their number.
    probed: Option<(Stamp, u32)>,
    /// Whether the latest probe is in flight.
    probing: bool,
}

impl Silence {
    /// Records the start of a request with its expected time in seconds. Without a measured time
    /// of the target there is none.
    pub fn begin(&mut self, expected: Option<f64>, now: Stamp) {
        if self.is_silent(now) {
            let count = self.probed.map_or(0, |(_, count)| count);
            self.since = self.since.or(Some(now));
            self.probed = Some((now, count.saturating_add(1)));
            self.probing = true;
        }
        let patience = expected.map(|time| Duration::from_secs_f64(time * SILENCE_FACTOR));
        if let Some(patience) = patience
            && self.unanswered.len() < MAX_OBSERVED
        {
            self.unanswered.push_back((now, now + patience.max(MIN_SILENCE)));
        }
    }

    /// Records a response to the request that started at `started`. Earlier requests without a
    /// response are lost, or slower than this one; either is no sign of a silence.
    pub fn end_answered(&mut self, started: Stamp) {
        self.remove(started);
        self.answered = self.answered.max(started);
        self.since = None;
        self.probed = None;
        self.probing = false;
    }

    /// Records that the request that started at `started` ended without a response.
    pub fn end_unanswered(&mut self, started: Stamp, now: Stamp) {
        if self.since.is_none() && self.is_silent(now) {
            self.since = Some(now);
        }
        if self.probed.is_some_and(|(at, _)| at == started) {
            self.probing = false;
        }
        self.remove(started);
    }

    fn remove(&mut self, started: Stamp) {
        if let Some(index) = self.unanswered.iter().position(|(start, _)| *start == started) {
            self.unanswered.remove(index);
        }
    }

    /// Returns whether the target is silent.
    pub fn is_silent(&self, now: Stamp) -> bool {
        let signs = [self.since, self.probed.map(|(at, _)| at), self.overdue(now)];
        let latest = signs.into_iter().flatten().max();
        latest.is_some_and(|at| now.since(at) < SILENCE_LIFETIME)
    }

    /// Returns since when a response has been overdue, if one is.
    fn overdue(&self, now: Stamp) -> Option<Stamp> {
        let signs = self.unanswered.iter().filter(|(start, _)| *start > self.answered);
        signs.map(|(_, overdue)| *overdue).filter(|overdue| *overdue <= now).min()
    }

    /// Returns the number of requests whose response is overdue. Most likely the target has lost them.
    pub fn overdue_count(&self, now: Stamp) -> u32 {
        let count = self.unanswered.iter().filter(|(_, overdue)| *overdue <= now).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns whether a single request may be sent to the silent target as a probe.
    pub fn may_probe(&self, now: Stamp) -> bool {
        let count = self.probed.map_or(0, |(_, count)| count);
        let interval =
            (PROBE_INTERVAL * 2_u32.saturating_pow(count.min(8))).min(MAX_PROBE_INTERVAL);
        let since = self.probed.map(|(at, _)| at).or(self.since).or_else(|| self.overdue(now));
        !self.probing && since.is_some_and(|since| now >= since + interval)
    }
}
