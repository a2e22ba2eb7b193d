//! The machine of one group: which target owns which shard, decided by the group's coordinator.
//!
//! The machine reconciles two things. `maybe` of a target row is what the target may believe to own,
//! and only shrinks on proof: an acknowledged grant without the shard, the end of the grant on the
//! target's own clock, or proof that the process is gone. `owner` of a shard row is what the
//! coordinator wants. A grant for a shard is sent only when no other target may believe to own it.

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

mod sending;

/// Time that a new coordinator gives the targets to answer before it places shards nobody reported.
///
/// Without it the first target to answer would get every shard.
const SETTLE: Duration = Duration::from_millis(200);

/// What a machine is made from.
#[derive(Clone, Debug)]
pub struct Options {
    /// The group.
    pub group: name::Group,
    /// The coordinator's term.
    pub term: u64,
    /// Shards of the group.
    pub shards: Range<u32>,
    /// True if any target may run any request, so that shards have no owner.
    pub pooled: bool,
    /// True if the targets refuse requests with stale tokens.
    pub checked: bool,
    /// Targets of the group.
    pub targets: Vec<name::Target>,
    /// What is known about the former coordinator.
    pub predecessor: Predecessor,
}

/// Decisions of the coordinator of one group in one term.
#[derive(Clone, Debug)]
pub struct Machine {
    group: name::Group,
    term: u64,
    pooled: bool,
    checked: bool,
    predecessor: Predecessor,
    started: Stamp,
    settled: bool,
    ended: bool,
    seq: u64,
    held_since: Option<Stamp>,
    next_check: Stamp,
    targets: Vec<table::Target>,
    shards: table::Shards,
}

impl Machine {
    /// Makes the machine of a coordinator that has just taken the term.
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
        let exposed = options.predecessor != Predecessor::None;
        let targets =
            options.targets.into_iter().map(|name| table::Target::new(name, exposed, now));
        Ok(Self {
            group: options.group,
            term: options.term,
            pooled: options.pooled,
            checked: options.checked,
            predecessor: options.predecessor,
            started: now,
            settled: false,
            ended: false,
            seq: 0,
            held_since: None,
            next_check: now,
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

    /// Returns the shards that a target owns by acknowledged grant.
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

    /// Returns how many shards wait for proof that the former coordinator can no longer renew grants.
    pub fn waiting_for_proof(&self) -> usize {
        if self.pooled || !self.blocked() {
            return 0;
        }
        self.shards.iter().filter(|(_, row)| row.stage == Stage::Unowned && !row.free).count()
    }

    /// Returns true while a target may hold a grant of the former coordinator.
    fn blocked(&self) -> bool {
        self.targets.iter().any(|row| row.exposed)
    }

    /// Reacts to an event.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is broken: two targets could believe to own the same shard.
    pub fn step(&mut self, event: Event, now: Stamp) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.ended {
            return effects;
        }
        self.take(event, now, &mut effects);
        if !self.ended {
            self.expire(now, &mut effects);
            self.settle(now);
            self.place();
            self.empty_leaving(&mut effects);
            self.call(now, &mut effects);
            self.ask_confirmation(now, &mut effects);
            self.check();
        }
        effects
    }

    fn take(&mut self, event: Event, now: Stamp, effects: &mut Vec<Effect>) {
        match event {
            Event::Reply { target, sent, reply } => {
                if let Some(index) = self.index(&target) {
                    self.reply(index, sent, &reply, now, effects);
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
                    self.gone(index, now, effects);
                }
            }
            Event::Leaving(target) => {
                if let Some(row) = self.target_mut(&target) {
                    row.leaving = true;
                }
            }
            Event::Targets(names) => self.set_targets(&names, now),
            Event::Drained(shard) => self.drained(shard, now),
            Event::Idle(target) => self.idle(&target, now),
            Event::Move { shard, to } => self.begin_move(shard, &to, Cause::Balance, effects),
            Event::PredecessorEnded(at) => {
                if self.predecessor == Predecessor::Unproved {
                    self.predecessor = Predecessor::Ended(at);
                }
            }
            Event::Paused => {
                self.held_since = Some(now);
                self.started = now;
                self.settled = false;
            }
            Event::Confirmed(began) => self.confirm(began),
            Event::Fenced(term) => self.fence(term, effects),
            Event::Tick => {}
        }
    }

    /// Adds targets that are new in the document; targets that are no longer in it are leaving.
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

    fn reply(
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
                // The call was under way when the contact answered, so this may be a late answer of a process
                // that had ended before. It proves nothing.
                return;
            }
            self.gone(index, now, effects);
        }
        let first = self.targets.get(index).is_some_and(|row| row.contact.is_none());
        if first && reply.seq.is_some() {
            // The answer to a grant of a contact that has ended proves nothing about the next one.
            return;
        }
        let contact = Contact {
            incarnation: reply.incarnation,
            clock_ms: reply.clock_ms,
            sent,
            received: now,
        };
        if first {
            self.adopt(index, contact, reply, now);
        } else if reply.accepted {
            self.acknowledge(index, contact, reply, effects);
        } else if let Some(row) = self.targets.get_mut(index) {
            // A refused grant of the same term was overtaken by a later one; send the set again.
            row.sent = None;
            row.next_call = now;
        }
        self.report_health(index, reply.state, effects);
    }

    /// Starts contact with an incarnation and keeps what it holds from the former coordinator.
    fn adopt(&mut self, index: usize, contact: Contact, reply: &Reply, now: Stamp) {
        let restarted = self.targets.get(index).is_some_and(|row| row.seen);
        let exposed = self.targets.get(index).is_some_and(|row| row.exposed);
        let in_force = reply.valid_until_ms > reply.clock_ms;
        let remembers = exposed && in_force && !reply.shards.is_empty();
        if exposed && in_force && !self.pooled {
            for shard in &reply.shards {
                self.keep(index, Shard(*shard));
            }
        }
        let pooled = self.pooled;
        self.next_check = now;
        let Some(row) = self.targets.get_mut(index) else { return };
        row.contact = Some(contact);
        row.seen = true;
        row.sent = None;
        row.next_call = now;
        // A process without a grant may have started after a coordinator of a higher term fenced the one before
        // it, and has no memory of that term. So the own term is checked once more before this one gets a grant.
        let unconfirmed = !pooled && (restarted || !remembers);
        row.unconfirmed_since = unconfirmed.then_some(now);
    }

    fn keep(&mut self, index: usize, shard: Shard) {
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
        row.exposed = false;
        let latest = row.sent.as_ref().filter(|sent| Some(sent.seq) == reply.seq);
        if let Some(sent) = latest {
            row.acked = sent.seq;
            row.maybe = sent.set.clone();
        }
        let target = row.name.clone();
        let until = contact.lasts_until();
        let acked = row.acked;
        let held = row.maybe.clone();
        effects.push(Effect::Allow { target: target.clone(), until });
        if self.pooled {
            let token = Token::new(self.term, acked);
            effects.push(Effect::UseToken { target, token });
            return;
        }
        self.complete(index, &target, acked, &held, effects);
    }

    /// Completes the shard changes that an acknowledged grant proves.
    fn complete(
        &mut self,
        index: usize,
        target: &name::Target,
        acked: u64,
        held: &BTreeSet<u32>,
        effects: &mut Vec<Effect>,
    ) {
        let term = self.term;
        for (shard, row) in self.shards.iter_mut() {
            if row.owner != Some(index) {
                continue;
            }
            if row.stage == Stage::Granting && row.seq == acked && held.contains(&shard.0) {
                row.stage = Stage::Owned;
                let token = Token::new(term, row.seq);
                let (target, cause) = (target.clone(), row.cause);
                effects.push(Effect::Assign { shard, target: target.clone(), token });
                effects.push(Effect::Owned { shard, target, token, cause });
            } else if row.stage == Stage::Revoking && !held.contains(&shard.0) {
                row.owner = row.heir.take();
                row.stage = Stage::Unowned;
                row.free = true;
            }
        }
    }

    fn report_health(&mut self, index: usize, state: State, effects: &mut Vec<Effect>) {
        let Some(row) = self.targets.get_mut(index) else { return };
        let granted = row.contact.is_some() && row.acked > 0 && row.sent.is_some();
        let health = if granted { Health::Granted(state) } else { Health::Lost };
        if row.health != health {
            row.health = health;
            effects.push(Effect::Health { target: row.name.clone(), health });
        }
        row.leaving |= state == State::Draining;
    }

    fn gone(&mut self, index: usize, now: Stamp, effects: &mut Vec<Effect>) {
        let nothing =
            |row: &table::Target| row.contact.is_none() && !row.exposed && !row.await_idle;
        if self.targets.get(index).is_none_or(nothing) {
            return;
        }
        self.release_all(index, Cause::Gone, now, effects);
        if let Some(row) = self.targets.get_mut(index) {
            row.exposed = false;
            row.await_idle = false;
            row.seen = true;
            row.leaving = false;
        }
        self.shards.release(index, now);
    }

    /// Ends contact with a target whose grant is proved to be no longer in force.
    fn release_all(&mut self, index: usize, cause: Cause, now: Stamp, effects: &mut Vec<Effect>) {
        self.next_check = now;
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

    /// Starts to move the shards of leaving targets away.
    fn empty_leaving(&mut self, effects: &mut Vec<Effect>) {
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
            if let Some(heir) = self.least_loaded() {
                self.drain(shard, heir, Cause::Leaving, effects);
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
        let Some(heir) = self.index(to) else { return };
        if !self.blocked() && self.is_usable(heir) {
            self.drain(shard, heir, cause, effects);
        }
    }

    fn drain(&mut self, shard: Shard, heir: usize, cause: Cause, effects: &mut Vec<Effect>) {
        let Some(row) = self.shards.get_mut(shard) else { return };
        if row.stage == Stage::Owned && row.owner != Some(heir) {
            row.stage = Stage::Draining;
            row.heir = Some(heir);
            row.cause = cause;
            effects.push(Effect::Pause(shard));
        }
    }

    fn drained(&mut self, shard: Shard, now: Stamp) {
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

    fn idle(&mut self, target: &name::Target, now: Stamp) {
        let Some(index) = self.index(target) else { return };
        let Some(row) = self.targets.get_mut(index) else { return };
        if row.await_idle {
            row.await_idle = false;
            self.shards.release(index, now);
        }
    }

    fn confirm(&mut self, began: Stamp) {
        if self.held_since.is_some_and(|since| began >= since) {
            self.held_since = None;
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

    /// Asks for a check of the term while something waits for it.
    fn ask_confirmation(&mut self, now: Stamp, effects: &mut Vec<Effect>) {
        let waiting = self.held_since.is_some()
            || self.targets.iter().any(|row| row.unconfirmed_since.is_some())
            || self.shards.iter().any(|(_, row)| row.unconfirmed_since.is_some());
        if waiting && now >= self.next_check {
            self.next_check = now + grant::RETRY_DELAY;
            effects.push(Effect::Confirm);
        }
    }

    fn fence(&mut self, term: u64, effects: &mut Vec<Effect>) {
        if term > self.term {
            self.ended = true;
            effects.push(Effect::Ended(term));
        }
    }

    /// Ends the grants that have run out on the target's clock.
    fn expire(&mut self, now: Stamp, effects: &mut Vec<Effect>) {
        for index in 0..self.targets.len() {
            let Some(row) = self.targets.get_mut(index) else { continue };
            if row.contact.is_some_and(|contact| now > contact.ended_by()) {
                let wait = !self.checked && !self.pooled;
                let name = row.name.clone();
                row.await_idle = wait;
                self.release_all(index, Cause::Expired, now, effects);
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
                row.exposed = false;
            }
        }
    }

    fn settle(&mut self, now: Stamp) {
        let all_answered = self.targets.iter().all(|row| row.contact.is_some());
        if all_answered || now >= self.started + SETTLE {
            self.settled = true;
        }
    }

    /// Chooses owners for shards that nobody may believe to own.
    fn place(&mut self) {
        if self.pooled || !self.settled {
            return;
        }
        let blocked = self.blocked();
        let open: Vec<Shard> = self
            .shards
            .iter()
            .filter(|(_, row)| row.stage == Stage::Unowned && row.unconfirmed_since.is_none())
            .filter(|(_, row)| row.free || !blocked)
            .map(|(shard, _)| shard)
            .collect();
        let mut vacant = Vec::new();
        for shard in open {
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
        let owners = table::share_out(vacant.len(), &loads);
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

    /// Asserts that no two targets can believe to own the same shard.
    fn check(&self) {
        if self.pooled {
            return;
        }
        let mut seen = BTreeSet::new();
        for row in &self.targets {
            for shard in &row.maybe {
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
