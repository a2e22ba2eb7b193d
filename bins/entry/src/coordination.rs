//! Coordination of one group: its state machine, admission controller and ledger.
//!
//! The state machine decides; this module applies its effects to the admission controller and sends
//! its commands to the targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use caraway_admission::controller;
use caraway_admission::controller::Controller;
use caraway_balance::rule::Rule;
use caraway_call::history::History;
use caraway_call::ledger;
use caraway_call::ledger::Ledger;
use caraway_core::name;
use caraway_core::outcome::Reason;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;
use caraway_document::plan;
use caraway_document::plan::Division;
use caraway_document::plan::Fencing;
use caraway_ownership::event::Cause;
use caraway_ownership::event::Effect;
use caraway_ownership::event::Event;
use caraway_ownership::event::Health;
use caraway_ownership::event::Predecessor;
use caraway_ownership::grant;
use caraway_ownership::group;
use caraway_ownership::group::Machine;
use caraway_ownership::roster::PreviousHolder;
use caraway_ownership::roster::Process;

use crate::control::balancing;
use crate::message::Mailbox;
use crate::target::Call;
use crate::target::Command;
use crate::target::Context;
use crate::target::Grant;
use crate::target::Handle;
use caraway_entry::ledgers;

/// Ownership changes per group that are kept for explanations.
const MAX_CHANGES: usize = 256;

/// Time limit for collecting the ledger histories before a new coordinator serves the group.
///
/// After it the group is served, and the answers to non-repeatable requests state that the history
/// may be incomplete.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a ledger with missing histories counts as incomplete. It equals the retention of
/// ledgers.
const LEDGER_INCOMPLETE_PERIOD: Duration = Duration::from_secs(600);

/// An ownership change, kept for explanations.
#[derive(Clone, Debug)]
pub struct Change {
    /// Time of the change.
    pub at: Stamp,
    /// Shard that changed owner.
    pub shard: Shard,
    /// New owner.
    pub owner: name::Target,
    /// Token of the new owner.
    pub token: Token,
    /// Cause of the change.
    pub cause: Cause,
}

/// Result of a step for the rest of the control plane.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Higher term that ended the coordination, if one was seen.
    pub fenced: Option<u64>,
    /// True if the state machine requires a check of its term.
    pub check_term: bool,
    /// Ownership changes.
    pub changes: Vec<Change>,
    /// Targets that became lost or returned, with their new health and their incarnation.
    pub health: Vec<(name::Target, Health, u64)>,
}

/// Origin of a coordination.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Term of the coordination.
    pub term: u64,
    /// Previous coordinator, which may still act under an earlier term.
    pub former: Option<PreviousHolder>,
    /// Time at which the group was acquired.
    pub claimed_at: Stamp,
    /// Reason of the acquisition, for explanations.
    pub reason: &'static str,
}

/// A group that this instance coordinates.
#[derive(Debug)]
pub struct Coordination {
    /// Plan of the group.
    pub group: Arc<plan::Group>,
    /// Origin of the coordination.
    pub origin: Origin,
    /// Admission controller of the group.
    pub admission: Arc<Controller>,
    /// Ledger of non-repeatable requests.
    pub ledger: Arc<Mutex<Ledger>>,
    /// Progress of collecting the ledger histories of the other instances.
    pub history: History,
    /// Processes that hold a full copy of the ledger.
    pub copies: BTreeSet<Process>,
    /// Processes to which a full copy is being sent.
    pub copying: BTreeSet<Process>,
    /// Latest ownership changes, oldest first.
    pub changes: VecDeque<Change>,
    /// Placement rule of a keyed group.
    pub rule: Rule,
    /// Requests per second of each target in the latest measurement window.
    pub target_rates: Vec<f64>,
    machine: Machine,
    targets: BTreeMap<name::Target, Handle>,
    draining: BTreeSet<Shard>,
    awaiting_idle: BTreeSet<name::Target>,
    health: BTreeMap<name::Target, Health>,
}

impl Coordination {
    /// Starts the coordination of a group.
    ///
    /// # Errors
    ///
    /// Fails if the state machine refuses the targets of the group, which a checked document
    /// excludes.
    pub fn try_start(
        group: Arc<plan::Group>,
        origin: Origin,
        peers: BTreeSet<name::Instance>,
        context: &Context,
        mailbox: &Mailbox,
        now: Stamp,
    ) -> caraway_ownership::errors::Result<Self> {
        let service = &group.service;
        let pooled = service.division == Division::Pooled;
        let first = origin.former.is_none();
        let machine = Machine::try_new(
            group::Options {
                group: group.name.clone(),
                term: origin.term,
                shards: group.shards.clone(),
                pooled,
                checked: service.fencing == Fencing::Checked,
                targets: group.targets.iter().map(|target| target.name.clone()).collect(),
                predecessor: if first { Predecessor::None } else { Predecessor::Unproved },
            },
            now,
        )?;
        let admission = Controller::new(controller::Options {
            group: group.name.clone(),
            pooled,
            slots: service.slots,
            queue_per_target: service.queue_per_target,
            warmup: service.warmup,
        });
        let mut ledger = Ledger::new(ledger::Options::default(), origin.term);
        let history = History::new(peers);
        if !history.is_complete() {
            ledger.set_incomplete_until(now + LEDGER_INCOMPLETE_PERIOD);
        }
        let mut coordination = Self {
            group,
            origin,
            admission,
            ledger: Arc::new(Mutex::new(ledger)),
            history,
            copies: BTreeSet::new(),
            copying: BTreeSet::new(),
            changes: VecDeque::new(),
            rule: balancing::rule(),
            target_rates: Vec::new(),
            machine,
            targets: BTreeMap::new(),
            draining: BTreeSet::new(),
            awaiting_idle: BTreeSet::new(),
            health: BTreeMap::new(),
        };
        coordination.connect(context, mailbox);
        Ok(coordination)
    }

    /// Starts a task for each target of the plan, and stops all others.
    fn connect(&mut self, context: &Context, mailbox: &Mailbox) {
        let group = self.group.clone();
        self.targets.retain(|name, _| group.targets.iter().any(|target| target.name == *name));
        for target in &group.targets {
            let handle =
                Handle::start(context, target.name.clone(), target.address, mailbox.clone());
            self.targets.insert(target.name.clone(), handle);
            let health = self.health.get(&target.name).copied().unwrap_or(Health::Lost);
            self.admission.set_target(&target.name, target.address, admission_state(health));
        }
    }

    /// Applies a new version of the group's plan.
    pub fn replan(
        &mut self,
        group: Arc<plan::Group>,
        context: &Context,
        mailbox: &Mailbox,
        now: Stamp,
    ) -> Outcome {
        if group.targets == self.group.targets {
            self.group = group;
            return Outcome::default();
        }
        self.group = group;
        self.connect(context, mailbox);
        let names = self.group.targets.iter().map(|target| target.name.clone()).collect();
        self.step(Event::Targets(names), now)
    }

    /// Returns the state machine.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Returns the health of the targets.
    pub fn health(&self) -> &BTreeMap<name::Target, Health> {
        &self.health
    }

    /// Returns true once the data path may use the group: all histories have arrived or the wait
    /// timed out.
    pub fn is_served(&self, now: Stamp) -> bool {
        self.history.is_complete() || now.since(self.origin.claimed_at) >= HISTORY_TIMEOUT
    }

    /// Locks the ledger.
    pub fn lock_ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Imports the ledger entries of an instance; `copy_term` is the term of the full copy that it
    /// holds.
    pub fn import_history(
        &mut self,
        from: &name::Instance,
        entries: Vec<caraway_wire::peer::Entry>,
        copy_term: u64,
        now: Stamp,
    ) {
        self.history.record_answer(from, copy_term);
        let complete = self.history.is_complete();
        let mut ledger = self.lock_ledger();
        for entry in entries {
            ledger.import(ledgers::from_wire(entry), now);
        }
        if complete {
            ledger.set_incomplete_until(Stamp::default());
        }
    }

    /// Passes an event to the state machine and applies its effects.
    pub fn step(&mut self, event: Event, now: Stamp) -> Outcome {
        let effects = self.machine.step(event, now);
        let mut outcome = Outcome::default();
        for effect in effects {
            self.apply(effect, now, &mut outcome);
        }
        outcome
    }

    /// Notifies the state machine of paused shards and lost targets without requests in flight.
    pub fn poll_drained(&mut self, now: Stamp) -> Vec<Outcome> {
        let admission = self.admission.clone();
        let drained: Vec<Shard> = self
            .draining
            .iter()
            .filter(|shard| admission.in_flight(**shard) == 0)
            .copied()
            .collect();
        let idle: Vec<name::Target> = self
            .awaiting_idle
            .iter()
            .filter(|target| admission.target_in_flight(target) == 0)
            .cloned()
            .collect();
        let mut outcomes = Vec::new();
        for shard in drained {
            self.draining.remove(&shard);
            outcomes.push(self.step(Event::Drained(shard), now));
        }
        for target in idle {
            self.awaiting_idle.remove(&target);
            outcomes.push(self.step(Event::Idle(target), now));
        }
        outcomes
    }

    /// Queries the state of a target that may be gone.
    pub fn probe(&self, target: &name::Target) {
        self.send(target, Call::Query);
    }

    /// Stops serving the group: queued and later requests are refused as misdirected.
    pub fn close(&self) {
        self.admission.close(Reason::Misdirected);
    }

    fn apply(&mut self, effect: Effect, now: Stamp, outcome: &mut Outcome) {
        match effect {
            Effect::Query(target) => self.send(&target, Call::Query),
            Effect::Grant { target, token, incarnation, valid_until_ms, shards } => {
                let grant = Grant {
                    group: self.group.name.clone(),
                    term: token.term,
                    seq: token.seq,
                    incarnation,
                    valid_until_ms,
                    shards: shards.as_ref().map(grant::to_ranges),
                };
                self.send(&target, Call::Grant(grant));
            }
            Effect::Assign { shard, target, token } => {
                self.draining.remove(&shard);
                self.admission.assign(shard, &target, token);
            }
            Effect::Pause(shard) => {
                self.admission.pause(shard);
                self.draining.insert(shard);
            }
            Effect::Allow { target, until } => self.admission.allow_until(&target, until),
            Effect::UseToken { target, token } => self.admission.set_token(&target, token),
            Effect::Health { target, health } => {
                let before = self.health.insert(target.clone(), health);
                self.set_admission_state(&target, health);
                let availability_changed =
                    |before: Health| (before == Health::Lost) != (health == Health::Lost);
                if before.is_some_and(availability_changed) {
                    let incarnation = self.machine.incarnation(&target).unwrap_or(0);
                    outcome.health.push((target, health, incarnation));
                }
            }
            Effect::Confirm => outcome.check_term = true,
            Effect::AwaitIdle(target) => {
                self.awaiting_idle.insert(target);
            }
            Effect::Owned { shard, target, token, cause } => {
                let change = Change { at: now, shard, owner: target, token, cause };
                if self.changes.len() >= MAX_CHANGES {
                    self.changes.pop_front();
                }
                self.changes.push_back(change.clone());
                outcome.changes.push(change);
            }
            Effect::Ended(term) => {
                self.close();
                outcome.fenced = Some(term);
            }
        }
    }

    fn set_admission_state(&self, target: &name::Target, health: Health) {
        let row = self.group.targets.iter().find(|row| row.name == *target);
        if let Some(row) = row {
            self.admission.set_target(target, row.address, admission_state(health));
        }
    }

    fn send(&self, target: &name::Target, call: Call) {
        if let Some(handle) = self.targets.get(target) {
            let command =
                Command { group: self.group.name.clone(), term: self.machine.term(), call };
            handle.send(command);
        }
    }
}

fn admission_state(health: Health) -> controller::State {
    match health {
        Health::Granted(grant::State::Cold) => controller::State::Cold,
        Health::Granted(grant::State::Live) => controller::State::Live,
        Health::Granted(grant::State::Draining) => controller::State::Draining,
        Health::Lost => controller::State::Lost,
    }
}
