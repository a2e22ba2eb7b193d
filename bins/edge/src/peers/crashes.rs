//! Crashes of targets that instances pass on to each other. Each is sent to an instance once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_call::quarantine;
use caraway_call::quarantine::Crash;
use caraway_call::quarantine::Fingerprint;
use caraway_call::quarantine::Identity;
use caraway_call::quarantine::Phase;
use caraway_core::name;
use caraway_core::time::Clock;
use caraway_core::time::millis;
use caraway_fleet::changelog::Changelog;

use crate::peers::message::Crashes;
use crate::peers::message::Position;
use crate::state::State;

/// Maximum number of crashes in a message, 10 KB. More follow in the next messages.
const MAX_PER_MESSAGE: usize = 200;

/// Maximum number of crashes that are kept, as many as there are suspects in the quarantine.
const MAX_CRASHES: usize = 10_000;

/// Identity of the request and the phase in which it was, target, and start time of its incarnation.
type Row = (Identity, Phase, Arc<str>, u64);

/// Crashes in a message, by the phase in which the request was.
#[derive(Debug, Default)]
pub(super) struct Rows {
    pub(super) in_flight: Crashes,
    pub(super) completed: Crashes,
}

/// What was exchanged with another instance.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    /// Position in the log of the other instance up to which its crashes were received.
    received: Position,
    /// Position in the own log up to which the other instance has received crashes.
    sent: u64,
}

/// Crashes that this instance knows, and what was exchanged with others.
#[derive(Debug)]
pub struct CrashLog {
    log: Changelog<Row>,
    /// Random number of this process: positions of an earlier one do not count.
    epoch: u64,
    cursors: HashMap<Arc<str>, Cursor>,
}

impl CrashLog {
    /// Creates an empty log that keeps crashes for a time.
    pub fn new(retention: Duration) -> Self {
        let log = Changelog::new(retention, MAX_CRASHES);
        Self { log, epoch: rand::random(), cursors: HashMap::new() }
    }

    /// Adds a crash that this instance has observed.
    pub fn add(&mut self, request: Identity, phase: Phase, target: &Arc<str>, incarnation: u64) {
        let now = Clock.now();
        self.log.add((request, phase, target.clone(), incarnation), None, now, now);
    }

    /// Returns the crashes after a position in the log for another instance, and the position after
    /// them.
    fn rows(&self, position: u64, receiver: &str) -> (Rows, u64) {
        let now = Clock.now();
        let (facts, next) = self.log.after(position, receiver, MAX_PER_MESSAGE);
        let mut crashes = Rows::default();
        for ((request, phase, target, incarnation), at) in facts {
            let Identity { fingerprint, caller } = *request;
            let age = millis(now.since(at));
            let row = (fingerprint.0, target.clone(), *incarnation, age, caller.address());
            match phase {
                Phase::InFlight => crashes.in_flight.push(row),
                Phase::Completed => crashes.completed.push(row),
            }
        }
        (crashes, next)
    }

    /// Returns what a report to another instance contains: the crashes that it does not have, the
    /// position after them, and the position up to which its crashes were received.
    pub(super) fn for_report(&self, receiver: &str) -> (Rows, u64, Position) {
        let cursor = self.cursors.get(receiver).copied().unwrap_or_default();
        let (rows, next) = self.rows(cursor.sent, receiver);
        (rows, next, cursor.received)
    }

    /// Returns what the response to a report contains: the crashes after the position that the
    /// reporting instance has received, and the position after them.
    pub(super) fn for_update(&self, receiver: &str, received: Position) -> (Rows, Position) {
        let position = if received.epoch == self.epoch { received.next } else { 0 };
        let (rows, next) = self.rows(position, receiver);
        (rows, Position { epoch: self.epoch, next })
    }

    /// Records that another instance has responded: it has received the crashes before `sent`.
    pub(super) fn record_response(&mut self, peer: &Arc<str>, sent: u64, received: Position) {
        let cursor = self.cursors.entry(peer.clone()).or_default();
        // A new process has lost what the earlier one had received before this report.
        let restarted = cursor.received.epoch != 0 && cursor.received.epoch != received.epoch;
        *cursor = Cursor { received, sent: if restarted { 0 } else { sent } };
    }
}

/// Adds the crashes that another instance has sent.
pub(super) fn merge_crashes(state: &State, crashes: Rows, source: &Arc<str>) {
    let now = Clock.now();
    let in_flight = crashes.in_flight.into_iter().map(|row| (row, Phase::InFlight));
    let completed = crashes.completed.into_iter().map(|row| (row, Phase::Completed));
    for ((fingerprint, target, incarnation, age, caller), phase) in in_flight.chain(completed) {
        let age = Duration::from_millis(age);
        let request = Identity { fingerprint: Fingerprint(fingerprint), caller: caller.into() };
        let row = (request, phase, target.clone(), incarnation);
        if !state.crashes.borrow_mut().log.add(row, Some(source), now - age, now) {
            continue;
        }
        let crash = Crash { target: name::Target::new(&target), incarnation };
        let report = quarantine::Report { request, crash, age };
        state.quarantine.borrow_mut().merge_in_phase(report, phase, now);
    }
}
