//! This instance's part of the fleet's retry budget for a service.
//!
//! In any window the instances together may retry a fraction of the requests of this window or of
//! the one before, plus a constant. An instance knows only its own requests, whose number changes as
//! callers move between instances, and an instance that restarts forgets what it has used. Each
//! retry therefore takes a token. Tokens are earned by requests and by time, and the level is limited
//! by the requests of the last window. The sum over all instances cannot exceed the budget: in a
//! window, each uses at most the level at its start and what it earns within it.

use std::collections::VecDeque;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Parts of the ratio that requests earn, and that limit the level. What is left to one is a margin
/// for requests that reach targets later than they are counted.
const EARNED_SHARE: f64 = 0.72;
const LEVEL_SHARE: f64 = 0.23;

/// Parts of the constant that are earned in a window, and that limit the level.
const EARNED_CONSTANT_SHARE: f64 = 0.45;
const LEVEL_CONSTANT_SHARE: f64 = 0.45;

/// Number of parts of a window in which requests are counted.
const PARTS: u32 = 10;

/// The fleet's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in a window beyond the ratio.
    pub constant: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Retries that an instance may still make for a service.
#[derive(Clone, Debug)]
pub struct Allowance {
    options: Options,
    /// Tokens, each for one retry.
    level: f64,
    updated_at: Stamp,
    /// Starts of the parts of the last window with requests, and their numbers of requests.
    requests: VecDeque<(Stamp, u32)>,
}

impl Allowance {
    /// Creates an empty allowance, which is earned from now on.
    pub fn new(options: Options, now: Stamp) -> Self {
        Self { options, level: 0.0, updated_at: now, requests: VecDeque::new() }
    }

    /// Records a request. `instances` is the number of instances that share the budget.
    pub fn record_request(&mut self, instances: usize, now: Stamp) {
        self.update(instances, now);
        let part = self.options.window / PARTS;
        match self.requests.back_mut() {
            Some((start, count)) if now.since(*start) < part => *count += 1,
            _ => self.requests.push_back((now, 1)),
        }
        let earned = self.options.ratio * EARNED_SHARE;
        self.level = (self.level + earned).min(self.max_level(instances));
    }

    /// Takes a token for a retry; returns false if there is none.
    pub fn try_retry(&mut self, instances: usize, now: Stamp) -> bool {
        self.update(instances, now);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Returns this instance's part of the constant.
    fn constant(&self, instances: usize) -> f64 {
        self.options.constant / f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
    }

    fn max_level(&self, instances: usize) -> f64 {
        let count: u32 = self.requests.iter().map(|(_, count)| count).sum();
        self.constant(instances) * LEVEL_CONSTANT_SHARE
            + f64::from(count) * self.options.ratio * LEVEL_SHARE
    }

    fn update(&mut self, instances: usize, now: Stamp) {
        let window = self.options.window;
        while self.requests.front().is_some_and(|(start, _)| now.since(*start) >= window) {
            self.requests.pop_front();
        }
        let windows = now.since(self.updated_at).as_secs_f64() / window.as_secs_f64().max(1e-3);
        self.updated_at = self.updated_at.max(now);
        let earned = self.constant(instances) * EARNED_CONSTANT_SHARE * windows;
        self.level = (self.level + earned).min(self.max_level(instances));
    }
}
