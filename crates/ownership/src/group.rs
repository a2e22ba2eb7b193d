//! State machine of one group, run by its coordinator, which decides which target owns which shard.
//!
//! The machine reconciles two views. `may_own` of a target row is what the target may consider its
//! own. It shrinks only on proof: an acknowledged grant without the shard, the expiry of the grant on
//! the clock of the target, or proof that the process is gone. `owner` of a shard row is the desired
//! state. A grant for a shard is sent only when no other target may consider the shard its own.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::errors::Error;
use crate::errors::Result;
use crate::event::Cause;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Health;
use crate::event::Predecessor;
use crate::grant;
use crate::grant::Contact;
use crate::grant::Reply;
use crate::grant::State;
use crate::table;
use crate::table::Stage;

mod calls;

/// Time that a new coordinator waits for answers of all targets before it places shards that no
/// target reported.
///
/// Without this delay, the first target to answer would receive all shards.
const INITIAL_PLACEMENT_DELAY: Duration = Duration::from_millis(200);

/// Settings of a machine.
#[derive(Clone, Debug)]
pub struct Options {
    /// The group.
    pub group: name::Group,
    /// Term of the coordinator.
    pub term: u64,
    /// Shards of the group.
    pub shards: Range<u32>,
    /// True if any target may run any request, so that shards have no owner.
    pub pooled: bool,
    /// True if the targets refuse requests with stale tokens.
    pub checked: bool,
    /// Targets of the group.
    pub targets: Vec<name::Target>,
    /// State of the previous coordinator.
    pub predecessor: Predecessor,
}

/// State machine of the coordinator of one group in one term.
#[derive(Clone, Debug)]
pub struct Machine {
    group: name::Group,
    term: u64,
    pooled: bool,
    checked: bool,
    predecessor: Predecessor,
    started: Stamp,
    may_place: bool,
    ended: bool,
    seq: u64,
    suspended_since: Option<Stamp>,
    next_term_check: Stamp,
    targets: Vec<table::Target>,
    shards: table::Shards,
}

impl Machine {
    /// Creates the machine of a coordinator that has just claimed the term.
    ///
    /// # Errors
    ///
    /// Fails if the group has no targets or lists one twice.
    pub fn try_new(options: Options, now: Stamp) -> Result<Self> {
        if options.targets.is_empty() {
            return Err(Error::NoTargets(options.group));
        }
        let mut names = BTreeSet::new();
        for target in &options.targets {
            if !names.insert(target.clone()) {
                let target = target.clone();
                return Err(Error::DuplicateTarget { group: options.group, target });
            }
        }
        let may_hold_previous_grant = options.predecessor != Predecessor::None;
        let targets = options
            .targets
            .into_iter()
            .map(|name| table::Target::new(name, may_hold_previous_grant, now));
        Ok(Self {
            group: options.group,
            term: options.term,
            pooled: options.pooled,
            checked: options.checked,
            predecessor: options.predecessor,
            started: now,
            may_place: false,
            ended: false,
            seq: 0,
            suspended_since: None,
            next_term_check: now,
            targets: targets.collect(),
            shards: table::Shards::new(options.shards),
        })
    }

    /// Returns the group.
    pub fn group(&self) -> &name::Group {
        &self.group
    }

    /// Returns the term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the rows of the targets.
    pub fn targets(&self) -> &[table::Target] {
        &self.targets
    }

    /// Returns the shards that a target owns by an acknowledged grant.
    pub fn owned_by(&self, target: &name::Target) -> Vec<Shard> {
        let Some(index) = self.index(target) else { return Vec::new() };
        self.shards
            .iter()
            .filter(|(_, row)| row.owner == Some(index) && row.stage.is_held())
            .map(|(shard, _)| shard)
            .collect()
    }

    /// Returns the owner of a shard and its token, if an acknowledged grant is in force.
    pub fn owner(&self, shard: Shard) -> Option<(&name::Target, Token)> {
        let row = self.shards.get(shard)?;
        let target = self.targets.get(row.owner?)?;
        row.stage.is_held().then(|| (&target.name, Token::new(self.term, row.seq)))
    }

    /// Returns the incarnation of a target that this coordinator is in contact with.
    pub fn incarnation(&self, target: &name::Target) -> Option<u64> {
        let row = self.targets.get(self.index(target)?)?;
        row.contact.map(|contact| contact.incarnation)
    }

    /// Returns the number of shards that wait for proof that the previous coordinator can no longer
    /// renew grants.
    pub fn waiting_for_proof(&self) -> usize {
        if self.pooled || !self.blocked() {
            return 0;
        }
        self.shards
            .iter()
            .filter(|(_, row)| row.stage == Stage::Unowned && !row.proved_free)
            .count()
    }

    /// Returns true while a target may hold a grant of the previous coordinator.
    fn blocked(&self) -> bool {
        self.targets.iter().any(|row| row.may_hold_previous_grant)
    }

    /// Handles an event and returns the effects to execute.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated: two targets could consider the same shard their own.
    pub fn step(&mut self, event: Event, now: Stamp) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.ended {
            return effects;
        }
        self.apply(event, now, &mut effects);
        if !self.ended {
            self.expire_grants(now, &mut effects);
            self.allow_placement(now);
            self.place_shards();
            self.drain_leaving(&mut effects);
            self.send_due_calls(now, &mut effects);
            self.request_confirmation(now, &mut effects);
            self.assert_exclusive();
        }
        effects
    }

    fn apply(&mut self, event: Event, now: Stamp, effects: &mut Vec<Effect>) {
        match event {
            Event::Reply { target, sent, reply } => {
                if let Some(index) = self.index(&target) {
                    self.handle_reply(index, sent, &reply, now, effects);
                }
            }
            Event::Failed(target) => {
                if let Some(row) = self.target_mut(&target) {
                    row.next_call = row.next_call.max(now + grant::RETRY_DELAY);
                }
            }
            Event::Gone { target, sent } => {
                let Some(index) = self.index(&target) else { return };
                let contact = self.targets.get(index).and_then(|row| row.contact);
                if contact.is_none_or(|contact| sent >= contact.received) {
                    self.handle_gone(index, now, effects);
                }
            }
            Event::Leaving(target) => {
                if let Some(row) = self.target_mut(&target) {
                    row.leaving = true;
                }
            }
            Event::Targets(names) => self.set_targets(&names, now),
            Event::Drained(shard) => self.handle_drained(shard, now),
            Event::Idle(target) => self.handle_idle(&target, now),
            Event::Move { shard, to } => self.begin_move(shard, &to, Cause::Balance, effects),
            Event::PredecessorEnded(at) => {
                if self.predecessor == Predecessor::Unproved {
                    self.predecessor = Predecessor::Ended(at);
                }
            }
            Event::Paused => {
                self.suspended_since = Some(now);
                self.started = now;
                self.may_place = false;
            }
            Event::Confirmed(began) => self.confirm(began),
            Event::Fenced(term) => self.fence(term, effects),
            Event::Tick => {}
        }
    }

    /// Adds targets that are new in the document, and marks those no longer in it as leaving.
    fn set_targets(&mut self, names: &[name::Target], now: Stamp) {
        for row in &mut self.targets {
            row.leaving |= !names.contains(&row.name);
        }
        for name in names {
            if self.index(name).is_none() {
                self.targets.push(table::Target::new(name.clone(), false, now));
            }
        }
    }

    fn handle_reply(
        &mut self,
        index: usize,
        sent: Stamp,
        reply: &Reply,
        now: Stamp,
        effects: &mut Vec<Effect>,
    ) {
        if reply.highest.term > self.term {
            self.fence(reply.highest.term, effects);
            return;
        }
        let known = self.targets.get(index).and_then(|row| row.contact);
        if let Some(contact) = known.filter(|contact| contact.incarnation != reply.incarnation) {
            if sent < contact.received {
                // The call was already in flight when the contact answered, so this may be a late answer of a
                // process that ended before. Ignore it.
                return;
            }
            self.handle_gone(index, now, effects);
        }
        let first = self.targets.get(index).is_some_and(|row| row.contact.is_none());
        if first && reply.seq.is_some() {
            // An answer to a grant of an earlier contact proves nothing about the next one.
            return;
        }
        let contact = Contact {
            incarnation: reply.incarnation,
            clock_ms: reply.clock_ms,
            sent,
            received: now,
        };
        if first {
            self.start_contact(index, contact, reply, now);
        } else if reply.accepted {
            self.acknowledge(index, contact, reply, effects);
        } else if let Some(row) = self.targets.get_mut(index) {
            // A grant refused within the same term was overtaken by a later one; send the set again.
            row.last_sent = None;
            row.next_call = now;
        }
        self.report_health(index, reply.state, effects);
    }

    /// Starts contact with an incarnation and keeps the shards that it holds from the previous
    /// coordinator.
    fn start_contact(&mut self, index: usize, contact: Contact, reply: &Reply, now: Stamp) {
        let restarted = self.targets.get(index).is_some_and(|row| row.seen);
        let may_hold_previous_grant =
            self.targets.get(index).is_some_and(|row| row.may_hold_previous_grant);
        let in_force = reply.valid_until_ms > reply.clock_ms;
        let reports_shards = may_hold_previous_grant && in_force && !reply.shards.is_empty();
        if may_hold_previous_grant && in_force && !self.pooled {
            for shard in &reply.shards {
                self.keep_owner(index, Shard(*shard));
            }
        }
        let pooled = self.pooled;
        self.next_term_check = now;
        let Some(row) = self.targets.get_mut(index) else { return };
        row.contact = Some(contact);
        row.seen = true;
        row.last_sent = None;
        row.next_call = now;
        // A process without a grant may have started after a coordinator of a higher term fenced its predecessor,
        // and does not know that term. So the term is checked again before this process receives a grant.
        let unconfirmed = !pooled && (restarted || !reports_shards);
        row.unconfirmed_since = unconfirmed.then_some(now);
    }

    fn keep_owner(&mut self, index: usize, shard: Shard) {
        let Some(row) = self.shards.get_mut(shard) else { return };
        if row.stage == Stage::Unowned {
            row.owner = Some(index);
            row.stage = Stage::Granting;
            row.cause = Cause::Kept;
        }
    }

    fn acknowledge(
        &mut self,
        index: usize,
        contact: Contact,
        reply: &Reply,
        effects: &mut Vec<Effect>,
    ) {
        let Some(row) = self.targets.get_mut(index) else { return };
        if row.contact.is_none_or(|known| known.sent <= contact.sent) {
            row.contact = Some(contact);
        }
        row.may_hold_previous_grant = false;
        let latest = row.last_sent.as_ref().filter(|sent| Some(sent.seq) == reply.seq);
        if let Some(sent) = latest {
            row.acked_seq = sent.seq;
            row.may_own = sent.shards.clone();
        }
        let target = row.name.clone();
        let until = contact.lasts_until();
        let acked_seq = row.acked_seq;
        let owned = row.may_own.clone();
        effects.push(Effect::Allow { target: target.clone(), until });
        if self.pooled {
            let token = Token::new(self.term, acked_seq);
            effects.push(Effect::UseToken { target, token });
            return;
        }
        self.complete_changes(index, &target, acked_seq, &owned, effects);
    }

    /// Completes the changes of ownership that an acknowledged grant proves.
    fn complete_changes(
        &mut self,
        index: usize,
        target: &name::Target,
        acked_seq: u64,
        owned: &BTreeSet<u32>,
        effects: &mut Vec<Effect>,
    ) {
        let term = self.term;
        for (shard, row) in self.shards.iter_mut() {
            if row.owner != Some(index) {
                continue;
            }
            if row.stage == Stage::Granting && row.seq == acked_seq && owned.contains(&shard.0) {
                row.stage = Stage::Owned;
                let token = Token::new(term, row.seq);
                let (target, cause) = (target.clone(), row.cause);
                effects.push(Effect::Assign { shard, target: target.clone(), token });
                effects.push(Effect::Owned { shard, target, token, cause });
            } else if row.stage == Stage::Revoking && !owned.contains(&shard.0) {
                row.owner = row.next_owner.take();
                row.stage = Stage::Unowned;
                row.proved_free = true;
            }
        }
    }

    fn report_health(&mut self, index: usize, state: State, effects: &mut Vec<Effect>) {
        let Some(row) = self.targets.get_mut(index) else { return };
        let granted = row.contact.is_some() && row.acked_seq > 0 && row.last_sent.is_some();
        let health = if granted { Health::Granted(state) } else { Health::Lost };
        if row.health != health {
            row.health = health;
            effects.push(Effect::Health { target: row.name.clone(), health });
        }
        row.leaving |= state == State::Draining;
    }

    fn handle_gone(&mut self, index: usize, now: Stamp, effects: &mut Vec<Effect>) {
        let unaffected = |row: &table::Target| {
            row.contact.is_none() && !row.may_hold_previous_grant && !row.awaiting_idle
        };
        if self.targets.get(index).is_none_or(unaffected) {
            return;
        }
        self.end_contact(index, Cause::Gone, now, effects);
        if let Some(row) = self.targets.get_mut(index) {
            row.may_hold_previous_grant = false;
            row.awaiting_idle = false;
            row.seen = true;
            row.leaving = false;
        }
        self.shards.release(index, now);
    }

    /// Ends the contact with a target whose grant is proved to be no longer in force.
    fn end_contact(&mut self, index: usize, cause: Cause, now: Stamp, effects: &mut Vec<Effect>) {
        self.next_term_check = now;
        let Some(row) = self.targets.get_mut(index) else { return };
        row.reset();
        row.next_call = now + grant::RETRY_DELAY;
        if row.health != Health::Lost {
            row.health = Health::Lost;
            effects.push(Effect::Health { target: row.name.clone(), health: Health::Lost });
        }
        for (_, row) in self.shards.iter_mut().filter(|(_, row)| row.owner == Some(index)) {
            row.cause = cause;
        }
    }

    /// Starts to move the shards of leaving targets to others.
    fn drain_leaving(&mut self, effects: &mut Vec<Effect>) {
        if self.pooled || self.blocked() || self.targets.iter().all(|row| !row.leaving) {
            return;
        }
        let leaving = |index: usize| self.targets.get(index).is_some_and(|row| row.leaving);
        let owned: Vec<Shard> = self
            .shards
            .iter()
            .filter(|(_, row)| row.stage == Stage::Owned && row.owner.is_some_and(leaving))
            .map(|(shard, _)| shard)
            .collect();
        for shard in owned {
            if let Some(next_owner) = self.least_loaded() {
                self.drain(shard, next_owner, Cause::Leaving, effects);
            }
        }
    }

    fn begin_move(
        &mut self,
        shard: Shard,
        to: &name::Target,
        cause: Cause,
        effects: &mut Vec<Effect>,
    ) {
        let Some(next_owner) = self.index(to) else { return };
        if !self.blocked() && self.is_usable(next_owner) {
            self.drain(shard, next_owner, cause, effects);
        }
    }

    fn drain(&mut self, shard: Shard, next_owner: usize, cause: Cause, effects: &mut Vec<Effect>) {
        let Some(row) = self.shards.get_mut(shard) else { return };
        if row.stage == Stage::Owned && row.owner != Some(next_owner) {
            row.stage = Stage::Draining;
            row.next_owner = Some(next_owner);
            row.cause = cause;
            effects.push(Effect::Pause(shard));
        }
    }

    fn handle_drained(&mut self, shard: Shard, now: Stamp) {
        let Some(row) = self.shards.get_mut(shard) else { return };
        if row.stage != Stage::Draining {
            return;
        }
        row.stage = Stage::Revoking;
        let owner = row.owner;
        if let Some(target) = owner.and_then(|index| self.targets.get_mut(index)) {
            target.next_call = now;
        }
    }

    fn handle_idle(&mut self, target: &name::Target, now: Stamp) {
        let Some(index) = self.index(target) else { return };
        let Some(row) = self.targets.get_mut(index) else { return };
        if row.awaiting_idle {
            row.awaiting_idle = false;
            self.shards.release(index, now);
        }
    }

    fn confirm(&mut self, began: Stamp) {
        if self.suspended_since.is_some_and(|since| began >= since) {
            self.suspended_since = None;
        }
        for row in &mut self.targets {
            if row.unconfirmed_since.is_some_and(|since| began >= since) {
                row.unconfirmed_since = None;
            }
        }
        for (_, row) in self.shards.iter_mut() {
            if row.unconfirmed_since.is_some_and(|since| began >= since) {
                row.unconfirmed_since = None;
            }
        }
    }

    /// Requests a check of the term while a decision depends on it.
    fn request_confirmation(&mut self, now: Stamp, effects: &mut Vec<Effect>) {
        let waiting = self.suspended_since.is_some()
            || self.targets.iter().any(|row| row.unconfirmed_since.is_some())
            || self.shards.iter().any(|(_, row)| row.unconfirmed_since.is_some());
        if waiting && now >= self.next_term_check {
            self.next_term_check = now + grant::RETRY_DELAY;
            effects.push(Effect::Confirm);
        }
    }

    fn fence(&mut self, term: u64, effects: &mut Vec<Effect>) {
        if term > self.term {
            self.ended = true;
            effects.push(Effect::Ended(term));
        }
    }

    /// Handles grants that have expired on every clock within the drift allowance.
    fn expire_grants(&mut self, now: Stamp, effects: &mut Vec<Effect>) {
        for index in 0..self.targets.len() {
            let Some(row) = self.targets.get_mut(index) else { continue };
            if row.contact.is_some_and(|contact| now > contact.ended_by()) {
                let wait = !self.checked && !self.pooled;
                let name = row.name.clone();
                row.awaiting_idle = wait;
                self.end_contact(index, Cause::Expired, now, effects);
                if wait {
                    effects.push(Effect::AwaitIdle(name));
                } else {
                    self.shards.release(index, now);
                }
            }
        }
        if let Predecessor::Ended(at) = self.predecessor
            && now > at + grant::max_duration()
        {
            for row in &mut self.targets {
                row.may_hold_previous_grant = false;
            }
        }
    }

    fn allow_placement(&mut self, now: Stamp) {
        let all_answered = self.targets.iter().all(|row| row.contact.is_some());
        if all_answered || now >= self.started + INITIAL_PLACEMENT_DELAY {
            self.may_place = true;
        }
    }

    /// Chooses owners for shards that no target may consider its own.
    fn place_shards(&mut self) {
        if self.pooled || !self.may_place {
            return;
        }
        let blocked = self.blocked();
        let placeable: Vec<Shard> = self
            .shards
            .iter()
            .filter(|(_, row)| row.stage == Stage::Unowned && row.unconfirmed_since.is_none())
            .filter(|(_, row)| row.proved_free || !blocked)
            .map(|(shard, _)| shard)
            .collect();
        let mut vacant = Vec::new();
        for shard in placeable {
            let preferred = self.shards.get(shard).and_then(|row| row.owner);
            match preferred.filter(|index| self.is_usable(*index)) {
                Some(owner) => self.shards.begin_grant(shard, owner),
                None => vacant.push(shard),
            }
        }
        if vacant.is_empty() {
            return;
        }
        let usable = (0..self.targets.len()).filter(|index| self.is_usable(*index));
        let loads: Vec<_> = usable.map(|index| (index, self.shards.load(index))).collect();
        let owners = table::distribute(vacant.len(), &loads);
        for (shard, owner) in vacant.into_iter().zip(owners) {
            self.shards.begin_grant(shard, owner);
        }
    }

    fn is_usable(&self, index: usize) -> bool {
        self.targets.get(index).is_some_and(table::Target::usable)
    }

    fn least_loaded(&self) -> Option<usize> {
        (0..self.targets.len())
            .filter(|index| self.is_usable(*index))
            .min_by_key(|index| (self.shards.load(*index), *index))
    }

    /// Asserts that no two targets may consider the same shard their own.
    fn assert_exclusive(&self) {
        if self.pooled {
            return;
        }
        let mut seen = BTreeSet::new();
        for row in &self.targets {
            for shard in &row.may_own {
                assert!(seen.insert(*shard), "shard {shard} of {} has two owners", self.group);
            }
        }
    }

    fn index(&self, target: &name::Target) -> Option<usize> {
        self.targets.iter().position(|row| row.name == *target)
    }

    fn target_mut(&mut self, target: &name::Target) -> Option<&mut table::Target> {
        self.targets.iter_mut().find(|row| row.name == *target)
    }
}
