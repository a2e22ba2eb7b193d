//! The groups that this instance coordinates: machine, lane and ledger of each.
//!
//! The machine decides; this module carries its effects out on the lane and the target lines.

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
use crate::message::Outbox;
use crate::target::Call;
use crate::target::Grant;
use crate::target::Line;
use crate::target::Order;
use crate::target::Shared;
use caraway_entry::ledgers;

/// Changes of ownership that are kept for explanations, for each group.
const CHANGES: usize = 256;

/// Longest time that a new coordinator waits for the ledger histories before it serves.
///
/// After it, requests are served and non-repeatable ones get an answer that admits the gap.
const HISTORY_WAIT: Duration = Duration::from_millis(250);

/// Time for which a ledger with possible gaps counts as incomplete, the ledgers' retention.
const HISTORY_GAP: Duration = Duration::from_secs(600);

/// A change of ownership, for explanations.
#[derive(Clone, Debug)]
pub struct Change {
    /// When.
    pub at: Stamp,
    /// The shard.
    pub shard: Shard,
    /// The new owner.
    pub owner: name::Target,
    /// Its token.
    pub token: Token,
    /// Why.
    pub cause: Cause,
}

/// What the rest of the control plane has to know after a step.
#[derive(Debug, Default)]
pub struct Outcome {
    /// A higher term was seen; the coordination has ended.
    pub fenced: Option<u64>,
    /// True if the machine waits for a check of the term.
    pub confirm: bool,
    /// Changes of ownership.
    pub changes: Vec<Change>,
    /// Targets whose usability changed after they had been usable or lost before.
    pub health: Vec<(name::Target, Health, u64)>,
}

/// How a coordination came about.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Term of the coordination.
    pub term: u64,
    /// Who may act under an earlier term.
    pub former: Option<PreviousHolder>,
    /// When the group was taken.
    pub claimed: Stamp,
    /// Why the group was taken, for explanations.
    pub reason: &'static str,
}

/// A group that this instance coordinates.
#[derive(Debug)]
pub struct Coordination {
    /// The group.
    pub group: Arc<plan::Group>,
    /// How the coordination came about.
    pub origin: Origin,
    /// Lane to the targets.
    pub lane: Arc<Controller>,
    /// Record of non-repeatable requests.
    pub ledger: Arc<Mutex<Ledger>>,
    /// Answers of the instances that may hold entries of the ledger.
    pub history: History,
    /// Processes that hold a full copy of the ledger.
    pub copies: BTreeSet<Process>,
    /// Processes that a full copy is on its way to.
    pub copying: BTreeSet<Process>,
    /// Latest changes of ownership.
    pub changes: VecDeque<Change>,
    /// Placement rule of a keyed group.
    pub rule: Rule,
    /// Requests per second of each target in the latest window of the rule.
    pub target_rates: Vec<f64>,
    machine: Machine,
    lines: BTreeMap<name::Target, Line>,
    draining: BTreeSet<Shard>,
    awaiting_idle: BTreeSet<name::Target>,
    health: BTreeMap<name::Target, Health>,
}

impl Coordination {
    /// Starts to coordinate a group.
    ///
    /// # Errors
    ///
    /// Fails if the machine refuses the group's targets, which the document's checks exclude.
    pub fn try_start(
        group: Arc<plan::Group>,
        origin: Origin,
        peers: BTreeSet<name::Instance>,
        runtime: &Shared,
        outbox: &Outbox,
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
        let lane = Controller::new(controller::Options {
            group: group.name.clone(),
            pooled,
            slots: service.slots,
            queue_per_target: service.queue_per_target,
            warmup: service.warmup,
        });
        let mut ledger = Ledger::new(ledger::Options::default(), origin.term);
        let history = History::new(peers);
        if !history.is_complete() {
            ledger.set_incomplete_until(now + HISTORY_GAP);
        }
        let mut coordination = Self {
            group,
            origin,
            lane,
            ledger: Arc::new(Mutex::new(ledger)),
            history,
            copies: BTreeSet::new(),
            copying: BTreeSet::new(),
            changes: VecDeque::new(),
            rule: balancing::rule(),
            target_rates: Vec::new(),
            machine,
            lines: BTreeMap::new(),
            draining: BTreeSet::new(),
            awaiting_idle: BTreeSet::new(),
            health: BTreeMap::new(),
        };
        coordination.connect(runtime, outbox);
        Ok(coordination)
    }

    /// Opens lines to the targets of the plan and closes those of others.
    fn connect(&mut self, runtime: &Shared, outbox: &Outbox) {
        let group = self.group.clone();
        self.lines.retain(|name, _| group.targets.iter().any(|target| target.name == *name));
        for target in &group.targets {
            let line = Line::start(runtime, target.name.clone(), target.address, outbox.clone());
            self.lines.insert(target.name.clone(), line);
            let health = self.health.get(&target.name).copied().unwrap_or(Health::Lost);
            self.lane.set_target(&target.name, target.address, lane_state(health));
        }
    }

    /// Applies another version of the group's plan.
    pub fn replan(
        &mut self,
        group: Arc<plan::Group>,
        runtime: &Shared,
        outbox: &Outbox,
        now: Stamp,
    ) -> Outcome {
        if group.targets == self.group.targets {
            self.group = group;
            return Outcome::default();
        }
        self.group = group;
        self.connect(runtime, outbox);
        let names = self.group.targets.iter().map(|target| target.name.clone()).collect();
        self.step(Event::Targets(names), now)
    }

    /// Returns the machine.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Returns the usability of the targets.
    pub fn health(&self) -> &BTreeMap<name::Target, Health> {
        &self.health
    }

    /// Returns true once the data path may use the group: the histories have arrived or were waited for.
    pub fn is_served(&self, now: Stamp) -> bool {
        self.history.is_complete() || now.since(self.origin.claimed) >= HISTORY_WAIT
    }

    /// Locks the ledger.
    pub fn lock_ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the ledger entries of an instance, with the term of the full copy that it holds.
    pub fn take_history(
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

    /// Tells the machine about an event and carries out its effects.
    pub fn step(&mut self, event: Event, now: Stamp) -> Outcome {
        let effects = self.machine.step(event, now);
        let mut outcome = Outcome::default();
        for effect in effects {
            self.apply(effect, now, &mut outcome);
        }
        outcome
    }

    /// Tells the machine which paused shards and lost targets have no request in flight any more.
    pub fn poll_in_flight(&mut self, now: Stamp) -> Vec<Outcome> {
        let lane = self.lane.clone();
        let drained: Vec<Shard> =
            self.draining.iter().filter(|shard| lane.in_flight(**shard) == 0).copied().collect();
        let idle: Vec<name::Target> = self
            .awaiting_idle
            .iter()
            .filter(|target| lane.target_in_flight(target) == 0)
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

    /// Asks a target for its state at once, on a hint that it may be gone.
    pub fn probe(&self, target: &name::Target) {
        self.send(target, Call::Query);
    }

    /// Stops serving the group: waiting and later requests are refused and look for the new coordinator.
    pub fn close(&self) {
        self.lane.close(Reason::Misdirected);
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
                self.lane.assign(shard, &target, token);
            }
            Effect::Pause(shard) => {
                self.lane.pause(shard);
                self.draining.insert(shard);
            }
            Effect::Allow { target, until } => self.lane.allow_until(&target, until),
            Effect::UseToken { target, token } => self.lane.set_token(&target, token),
            Effect::Health { target, health } => {
                let before = self.health.insert(target.clone(), health);
                self.set_lane_state(&target, health);
                let turned = |before: Health| (before == Health::Lost) != (health == Health::Lost);
                if before.is_some_and(turned) {
                    let incarnation = self.machine.incarnation(&target).unwrap_or(0);
                    outcome.health.push((target, health, incarnation));
                }
            }
            Effect::Confirm => outcome.confirm = true,
            Effect::AwaitIdle(target) => {
                self.awaiting_idle.insert(target);
            }
            Effect::Owned { shard, target, token, cause } => {
                let change = Change { at: now, shard, owner: target, token, cause };
                if self.changes.len() >= CHANGES {
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

    fn set_lane_state(&self, target: &name::Target, health: Health) {
        let row = self.group.targets.iter().find(|row| row.name == *target);
        if let Some(row) = row {
            self.lane.set_target(target, row.address, lane_state(health));
        }
    }

    fn send(&self, target: &name::Target, call: Call) {
        if let Some(line) = self.lines.get(target) {
            let order = Order { group: self.group.name.clone(), term: self.machine.term(), call };
            line.send(order);
        }
    }
}

fn lane_state(health: Health) -> controller::State {
    match health {
        Health::Granted(grant::State::Cold) => controller::State::Cold,
        Health::Granted(grant::State::Live) => controller::State::Live,
        Health::Granted(grant::State::Draining) => controller::State::Draining,
        Health::Lost => controller::State::Lost,
    }
}
