//! Deterministic simulation of entry instances, the store, targets and callers.
//!
//! The rosters, the changes of the domain record, the group state machines, the ledgers and their
//! copies are those of the product. The simulation applies their effects in place of the control
//! plane, and loses, delays and reorders messages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use caraway_call::history::History;
use caraway_call::history::required_replicas;
use caraway_call::ledger::Decision;
use caraway_call::ledger::Ledger;
use caraway_call::ledger::Options as LedgerOptions;
use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;
use caraway_entry::directory::Member;
use caraway_entry::domain;
use caraway_entry::domain::Change;
use caraway_entry::ledgers;
use caraway_entry::ledgers::Copies;
use caraway_ownership::event::Effect;
use caraway_ownership::event::Event;
use caraway_ownership::event::Predecessor;
use caraway_ownership::group::Machine;
use caraway_ownership::group::Options;
use caraway_ownership::roster;
use caraway_ownership::roster::Announcement;
use caraway_ownership::roster::Intent;
use caraway_ownership::roster::PreviousHolder;
use caraway_ownership::roster::Process;
use caraway_ownership::roster::Roster;
use caraway_store::record;

use crate::target::GrantCall;
use crate::target::Target;

pub const SHARDS: u32 = 4;
pub const TARGETS: usize = 3;
pub const ENTRIES: usize = 3;
pub const ORDERS: u32 = 4;

const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);
const LEDGER_INCOMPLETE_PERIOD: Duration = Duration::from_secs(600);

/// A group that an entry instance coordinates.
struct Coordination {
    term: u64,
    machine: Machine,
    former: Option<PreviousHolder>,
    claimed_at: Stamp,
    ledger: Ledger,
    history: History,
    copies: BTreeSet<Process>,
    allowed_until: BTreeMap<name::Target, Stamp>,
}

struct Entry {
    process: Process,
    alive: bool,
    frozen: bool,
    roster: Roster,
    coordination: Option<Coordination>,
    copies: Copies,
    last_step: Stamp,
    last_heartbeat: Stamp,
}

struct Store {
    record: record::Domain,
    up: bool,
    lose_next_answer: bool,
}

#[derive(Clone, Debug)]
struct Heartbeat {
    from: Process,
    announcements: Vec<Announcement>,
}

#[derive(Clone, Debug)]
enum Packet {
    Call {
        from: usize,
        term: u64,
        target: usize,
        sent: Stamp,
        grant: Option<GrantCall>,
    },
    Reply {
        to: usize,
        term: u64,
        target: usize,
        sent: Stamp,
        reply: caraway_ownership::grant::Reply,
    },
    Heartbeat {
        from: usize,
        to: usize,
        incarnation: u64,
        sent: Stamp,
        heartbeat: Heartbeat,
    },
    Ack {
        from: usize,
        to: usize,
        sent: Stamp,
        heartbeat: Heartbeat,
    },
    Order {
        target: usize,
        shard: u32,
        token: Token,
        order: u32,
    },
}

#[derive(Clone, Debug)]
pub enum Action {
    Wait(u64),
    Deliver(usize),
    DeliverAll,
    Drop(usize),
    FreezeTarget(usize),
    ThawTarget(usize),
    RestartTarget(usize),
    Freeze(usize),
    Thaw(usize),
    Kill(usize),
    Start(usize),
    StoreUp(bool),
    LoseAnswer,
    Read(usize),
    Submit(usize, u32),
    Cut(usize, usize),
    Heal(usize, usize),
}

pub struct Simulation {
    now: Stamp,
    store: Store,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    packets: Vec<Packet>,
    cut_links: BTreeSet<(usize, usize)>,
    executions: BTreeMap<u32, u32>,
    pub coordinations_started: usize,
    pub reserved_terms_used: usize,
}

fn group() -> name::Group {
    name::Group::new("lectura/med/0")
}

fn process(index: usize, incarnation: u64) -> Process {
    Process { instance: name::Instance::new(&format!("e{index}")), incarnation }
}

fn member(index: usize, incarnation: u64) -> Member {
    let address = |offset: u16| {
        let port = 1000 + u16::try_from(index).unwrap() * 10 + offset;
        std::net::SocketAddr::from(([127, 0, 0, 1], port))
    };
    Member {
        process: process(index, incarnation),
        domain: name::Domain::new("med"),
        control: address(0),
        peer: address(1),
        admin: address(2),
    }
}

fn entry_index(process: &Process) -> usize {
    process.instance.as_str().trim_start_matches('e').parse().unwrap()
}

fn target_name(index: usize) -> name::Target {
    name::Target::new(&format!("t{index}"))
}

fn target_index(target: &name::Target) -> usize {
    target.as_str().trim_start_matches('t').parse().unwrap()
}

fn order_key(order: u32) -> Arc<str> {
    Arc::from(format!("order-{order}"))
}

impl Entry {
    fn new(index: usize, incarnation: u64, now: Stamp) -> Self {
        let process = process(index, incarnation);
        let mut roster = Roster::new(process.clone(), now);
        roster.set_groups(vec![roster::Group { name: group(), checked: true }]);
        Self {
            process,
            alive: true,
            frozen: false,
            roster,
            coordination: None,
            copies: Copies::new(),
            last_step: now,
            last_heartbeat: now,
        }
    }

    fn is_running(&self) -> bool {
        self.alive && !self.frozen
    }

    fn heartbeat(&self) -> Heartbeat {
        let announcements = self.coordination.iter().map(|coordination| {
            let named = self.roster.named_successor(&group());
            let (successor, reserved) =
                named.map_or((None, 0), |(name, reserved)| (Some(name), reserved));
            Announcement { group: group(), term: coordination.term, successor, reserved }
        });
        Heartbeat { from: self.process.clone(), announcements: announcements.collect() }
    }

    fn update_held_groups(&mut self) {
        let held = self.coordination.iter().map(|coordination| (group(), coordination.term));
        let held = held.collect();
        self.roster.set_coordinated(held);
    }

    /// Ends the coordination and keeps its ledger as a copy.
    fn end_coordination(&mut self, now: Stamp) {
        if let Some(coordination) = self.coordination.take() {
            let entries =
                coordination.ledger.export(now).into_iter().map(ledgers::to_wire).collect();
            self.copies.record(&group(), coordination.term, entries, now);
        }
        self.update_held_groups();
    }
}

impl Simulation {
    pub fn new() -> Self {
        let now = Stamp::from_millis(10_000);
        let mut simulation = Self {
            now,
            store: Store { record: record::Domain::default(), up: true, lose_next_answer: false },
            entries: (0..ENTRIES).map(|index| Entry::new(index, 1, now)).collect(),
            targets: (0..TARGETS).map(|index| Target::new(1000 * (index as u64 + 1))).collect(),
            packets: Vec::new(),
            cut_links: BTreeSet::new(),
            executions: BTreeMap::new(),
            coordinations_started: 0,
            reserved_terms_used: 0,
        };
        for _ in 0..40 {
            simulation.apply(&Action::Wait(20));
            for entry in 0..ENTRIES {
                simulation.apply(&Action::Read(entry));
            }
            simulation.apply(&Action::DeliverAll);
        }
        simulation
    }

    pub fn apply(&mut self, action: &Action) {
        match action {
            Action::Wait(millis) => self.wait(*millis),
            Action::Deliver(index) => self.deliver(*index),
            Action::DeliverAll => {
                for index in 0..self.packets.len() {
                    self.deliver(index);
                }
            }
            Action::Drop(index) => {
                if !self.packets.is_empty() {
                    self.packets.remove(index % self.packets.len());
                }
            }
            Action::FreezeTarget(index) => self.targets[*index].frozen = true,
            Action::ThawTarget(index) => self.targets[*index].frozen = false,
            Action::RestartTarget(index) => self.targets[*index].restart(),
            Action::Freeze(index) => self.entries[*index].frozen = true,
            Action::Thaw(index) => self.entries[*index].frozen = false,
            Action::Kill(index) => {
                self.entries[*index].alive = false;
                self.entries[*index].coordination = None;
            }
            Action::Start(index) => {
                if !self.entries[*index].alive {
                    let incarnation = self.entries[*index].process.incarnation + 1;
                    self.entries[*index] = Entry::new(*index, incarnation, self.now);
                }
            }
            Action::StoreUp(up) => self.store.up = *up,
            Action::LoseAnswer => self.store.lose_next_answer = true,
            Action::Read(index) => self.read(*index),
            Action::Submit(index, order) => self.submit(*index, *order),
            Action::Cut(one, other) => {
                self.cut_links.insert((*one.min(other), *one.max(other)));
            }
            Action::Heal(one, other) => {
                self.cut_links.remove(&(*one.min(other), *one.max(other)));
            }
        }
        self.check();
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for index in 0..ENTRIES {
            self.tick(index);
        }
    }

    /// Runs one tick of the control loop of an entry instance.
    fn tick(&mut self, index: usize) {
        if !self.entries[index].is_running() {
            return;
        }
        self.detect_pause(index);
        self.step(index, Event::Tick);
        self.resolve_former(index);
        self.collect_history(index);
        self.copy_ledger(index);
        let now = self.now;
        if now.since(self.entries[index].last_heartbeat) >= HEARTBEAT_PERIOD {
            self.entries[index].last_heartbeat = now;
            for to in (0..ENTRIES).filter(|to| *to != index) {
                let receiver = self.entries[to].process.clone();
                let incarnation = receiver.incarnation;
                self.entries[index].roster.add_process(&receiver, now);
                let heartbeat = self.entries[index].heartbeat();
                self.packets.push(Packet::Heartbeat {
                    from: index,
                    to,
                    incarnation,
                    sent: now,
                    heartbeat,
                });
            }
        }
        let reachable = self.store.up;
        self.entries[index].roster.set_store_reachable(reachable);
        for intent in self.entries[index].roster.decide(now) {
            self.execute(index, intent);
        }
    }

    fn detect_pause(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let paused = now.since(entry.last_step) >= PAUSE_THRESHOLD;
        entry.last_step = now;
        if paused {
            entry.roster.resume(now);
            self.step(index, Event::Paused);
        }
    }

    fn resolve_former(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let Some(coordination) = &mut entry.coordination else { return };
        let Some(former) = &coordination.former else { return };
        if let Some(at) = entry.roster.ended_since(former, coordination.claimed_at) {
            coordination.former = None;
            self.step(index, Event::PredecessorEnded(at));
        }
    }

    fn execute(&mut self, index: usize, intent: Intent) {
        let me = self.entries[index].process.clone();
        match intent {
            Intent::Register => {
                self.change(index, &Change::Register(member(index, me.incarnation)));
            }
            Intent::Claim { group, expected, former, successor } => {
                let highest = self.entries[index].roster.highest_term(&group);
                let change = Change::Claim {
                    group,
                    expected,
                    highest,
                    former: former.clone(),
                    holder: me,
                    successor,
                    reason: "test",
                };
                if self.change(index, &change) && self.entries[index].coordination.is_none() {
                    let term = self.store.record.groups[0].term;
                    self.start_coordination(index, term, former);
                }
            }
            Intent::Succeed { term, former, .. } => {
                if self.entries[index].coordination.is_none() {
                    self.reserved_terms_used += 1;
                    self.start_coordination(index, term, Some(former));
                }
            }
            Intent::HandOver { group, to } => self.hand_over(index, group, &to),
            Intent::NameSuccessor { group, successor } => {
                self.change(index, &Change::Nominate { group, holder: me, successor });
            }
            Intent::Remove(process) => {
                self.change(index, &Change::Deregister(process));
            }
        }
    }

    /// Changes the record; returns false if the record did not permit the change or the answer was
    /// lost.
    fn change(&mut self, index: usize, change: &Change) -> bool {
        if !self.store.up || !domain::apply(change, &mut self.store.record) {
            return false;
        }
        if std::mem::take(&mut self.store.lose_next_answer) {
            return false;
        }
        self.read(index);
        true
    }

    fn read(&mut self, index: usize) {
        if !self.store.up || !self.entries[index].is_running() {
            return;
        }
        self.detect_pause(index);
        let holdings = domain::holdings(&self.store.record);
        let processes = domain::processes(&self.store.record);
        let holding = holdings.get(&group()).cloned();
        let entry = &mut self.entries[index];
        let lost = holding.as_ref().is_some_and(|holding| {
            holding.holder != entry.process
                && entry
                    .coordination
                    .as_ref()
                    .is_some_and(|coordination| coordination.term < holding.term)
        });
        entry.roster.observe(&processes, holdings, self.now);
        if let Some(holding) = holding.filter(|_| lost) {
            self.step(index, Event::Fenced(holding.term));
        }
        self.step(index, Event::Confirmed(self.now));
    }

    fn hand_over(&mut self, index: usize, group: name::Group, to: &name::Instance) {
        let Some(coordination) = &self.entries[index].coordination else { return };
        let from = self.entries[index].process.clone();
        let to = (0..ENTRIES).find(|other| self.entries[*other].process.instance == *to).unwrap();
        let receiver = self.entries[to].process.clone();
        let successor =
            self.entries[index].roster.holding(&group).and_then(|row| row.successor.clone());
        let change =
            Change::HandOver { group, from: from.clone(), term: coordination.term, to: receiver };
        if !self.store.up || !domain::apply(&change, &mut self.store.record) {
            return;
        }
        if std::mem::take(&mut self.store.lose_next_answer) {
            return;
        }
        let term = self.store.record.groups[0].term;
        let coordination = self.entries[index].coordination.take();
        self.entries[index].update_held_groups();
        self.read(index);
        let Some(coordination) =
            coordination.filter(|_| self.connected(index, to) && self.entries[to].is_running())
        else {
            return;
        };
        if self.entries[to].coordination.is_some()
            || self.entries[to].roster.highest_term(&crate::simulation::group()) > term
        {
            return;
        }
        self.start_coordination(
            to,
            term,
            Some(PreviousHolder { holder: from, released: true, successor }),
        );
        let now = self.now;
        if let Some(received) = &mut self.entries[to].coordination {
            received.history = History::default();
            received.ledger.set_incomplete_until(coordination.ledger.incomplete_until());
            for entry in coordination.ledger.export(now) {
                received.ledger.import(entry, now);
            }
        }
    }

    fn start_coordination(&mut self, index: usize, term: u64, former: Option<PreviousHolder>) {
        self.coordinations_started += 1;
        let options = Options {
            group: group(),
            term,
            shards: 0..SHARDS,
            pooled: false,
            checked: true,
            targets: (0..TARGETS).map(target_name).collect(),
            predecessor: former.as_ref().map_or(Predecessor::None, |_| Predecessor::Unproved),
        };
        let now = self.now;
        let mut ledger = Ledger::new(LedgerOptions::default(), term);
        let mut names = BTreeSet::new();
        if let Some(former) = &former {
            names = self.entries[index].roster.listed();
            names.insert(self.entries[index].process.instance.clone());
            if former.holder.instance != self.entries[index].process.instance {
                names.remove(&former.holder.instance);
            }
        }
        let mut history = History::new(names);
        if !history.is_complete() {
            ledger.set_incomplete_until(now + LEDGER_INCOMPLETE_PERIOD);
        }
        let entry = &mut self.entries[index];
        let (copies, copy_term) = entry.copies.history(&group(), term, now);
        history.record_answer(&entry.process.instance, copy_term);
        for copy in copies {
            ledger.import(ledgers::from_wire(copy), now);
        }
        entry.coordination = Some(Coordination {
            term,
            machine: Machine::try_new(options, now).unwrap(),
            former,
            claimed_at: now,
            ledger,
            history,
            copies: BTreeSet::new(),
            allowed_until: BTreeMap::new(),
        });
        entry.update_held_groups();
        self.collect_history(index);
        self.step(index, Event::Tick);
    }

    /// Collects the ledger copies of the reachable instances.
    fn collect_history(&mut self, index: usize) {
        let Some(coordination) = &self.entries[index].coordination else { return };
        let term = coordination.term;
        let missing: Vec<name::Instance> =
            coordination.history.missing().into_iter().cloned().collect();
        for name in missing {
            let other = (0..ENTRIES).find(|other| self.entries[*other].process.instance == name);
            let Some(other) = other.filter(|other| *other != index) else { continue };
            if !self.connected(index, other) || !self.entries[other].is_running() {
                continue;
            }
            let (copies, copy_term) = self.entries[other].copies.history(&group(), term, self.now);
            let now = self.now;
            let Some(coordination) = &mut self.entries[index].coordination else { return };
            coordination.history.record_answer(&name, copy_term);
            for copy in copies {
                coordination.ledger.import(ledgers::from_wire(copy), now);
            }
        }
        let Some(coordination) = &mut self.entries[index].coordination else { return };
        if coordination.history.is_complete() {
            coordination.ledger.set_incomplete_until(Stamp::default());
        }
    }

    /// Sends the full ledger to the live instances that are reachable.
    fn copy_ledger(&mut self, index: usize) {
        let now = self.now;
        let alive = self.entries[index].roster.alive(now);
        let Some(coordination) = &mut self.entries[index].coordination else { return };
        if coordination.ledger.incomplete_until() > now {
            // The receivers would treat a copy of an incomplete ledger as a full one.
            return;
        }
        coordination.copies.retain(|process| alive.contains(process));
        let term = coordination.term;
        let entries: Vec<_> =
            coordination.ledger.export(now).into_iter().map(ledgers::to_wire).collect();
        for process in alive {
            let other = entry_index(&process);
            let is_reachable = self.connected(index, other)
                && self.entries[other].is_running()
                && self.entries[other].process == process;
            if !is_reachable {
                continue;
            }
            let copies = &self.entries[other].copies;
            let stored = copies.record_full(&group(), term, entries.clone(), now).0;
            if let Some(coordination) = &mut self.entries[index].coordination
                && stored
            {
                coordination.copies.insert(process);
            }
        }
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        !self.cut_links.contains(&(one.min(other), one.max(other)))
    }

    fn step(&mut self, index: usize, event: Event) {
        let now = self.now;
        let Some(coordination) = &mut self.entries[index].coordination else { return };
        let term = coordination.term;
        let effects = coordination.machine.step(event, now);
        for effect in effects {
            let (target, grant) = match effect {
                Effect::Query(target) => (target, None),
                Effect::Grant { target, token, incarnation, valid_until_ms, shards } => {
                    (target, Some(GrantCall { token, incarnation, valid_until_ms, shards }))
                }
                Effect::Pause(shard) => {
                    self.step(index, Event::Drained(shard));
                    continue;
                }
                Effect::Allow { target, until } => {
                    if let Some(coordination) = &mut self.entries[index].coordination {
                        coordination.allowed_until.insert(target, until);
                    }
                    continue;
                }
                Effect::Ended(_) => {
                    self.entries[index].end_coordination(now);
                    return;
                }
                _ => continue,
            };
            let target = target_index(&target);
            self.packets.push(Packet::Call { from: index, term, target, sent: now, grant });
        }
    }

    /// Submits an order of a caller to an entry instance, which sends it if it coordinates the
    /// group.
    fn submit(&mut self, index: usize, order: u32) {
        if !self.entries[index].is_running() {
            return;
        }
        self.detect_pause(index);
        self.collect_history(index);
        let now = self.now;
        let key = order_key(order);
        let Some(coordination) = &mut self.entries[index].coordination else { return };
        let shard = Shard(order % SHARDS);
        let Some((target, token)) = coordination.machine.owner(shard) else { return };
        let (target, term) = (target.clone(), coordination.term);
        if coordination.allowed_until.get(&target).is_none_or(|until| now >= *until) {
            return;
        }
        if coordination.ledger.begin(&key, u64::from(order), now) != Decision::Run {
            return;
        }
        let Some(intent) = coordination.ledger.entry(&key, now) else { return };
        let stored = self.replicate(index, term, &ledgers::to_wire(intent));
        let Some(coordination) = &mut self.entries[index].coordination else { return };
        if !stored {
            coordination.ledger.mark_not_run(&key, now);
            return;
        }
        // The outcome is unknown until an answer arrives, and targets send none in this simulation.
        coordination.ledger.mark_unknown(&key, now);
        let target = target_index(&target);
        let order = Packet::Order { target, shard: shard.0, token, order };
        self.packets.push(order);
    }

    /// Replicates an intent; returns false if too few instances stored it.
    fn replicate(&mut self, index: usize, term: u64, intent: &caraway_wire::peer::Entry) -> bool {
        let now = self.now;
        let needed = required_replicas(self.entries[index].roster.others_not_gone());
        let Some(coordination) = &self.entries[index].coordination else { return false };
        let alive = self.entries[index].roster.alive(now);
        let holders =
            coordination.copies.iter().filter(|process| alive.contains(process)).take(needed);
        let holders: Vec<Process> = holders.cloned().collect();
        let mut stored = holders.len() >= needed;
        for process in holders {
            let other = entry_index(&process);
            let is_reachable = self.connected(index, other)
                && self.entries[other].is_running()
                && self.entries[other].process == process;
            let copies = &self.entries[other].copies;
            stored &= is_reachable && copies.record(&group(), term, vec![intent.clone()], now).0;
        }
        stored
    }

    fn deliver(&mut self, index: usize) {
        if self.packets.is_empty() {
            return;
        }
        let index = index % self.packets.len();
        let packet = self.packets[index].clone();
        if self.is_blocked(&packet) {
            return;
        }
        self.packets.remove(index);
        match packet {
            Packet::Call { from, term, target, sent, grant } => {
                let clock = self.clock_ms(target);
                let reply = self.targets[target].handle(grant.as_ref(), clock);
                self.packets.push(Packet::Reply { to: from, term, target, sent, reply });
            }
            Packet::Reply { to, term, target, sent, reply } => {
                self.on_reply(to, term, target, sent, reply);
            }
            Packet::Heartbeat { from, to, incarnation, sent, heartbeat } => {
                self.on_heartbeat(from, to, incarnation, sent, &heartbeat);
            }
            Packet::Ack { from, to, sent, heartbeat } => self.on_ack(from, to, sent, &heartbeat),
            Packet::Order { target, shard, token, order } => {
                if self.targets[target].accepts_request(shard, token, self.clock_ms(target)) {
                    *self.executions.entry(order).or_insert(0) += 1;
                }
            }
        }
    }

    /// Returns true if the receiver of a packet is frozen, so that the packet stays in its socket
    /// buffer.
    fn is_blocked(&self, packet: &Packet) -> bool {
        match packet {
            Packet::Call { target, .. } | Packet::Order { target, .. } => {
                self.targets[*target].frozen
            }
            Packet::Reply { to, .. } | Packet::Heartbeat { to, .. } | Packet::Ack { to, .. } => {
                self.entries[*to].alive && self.entries[*to].frozen
            }
        }
    }

    fn on_reply(
        &mut self,
        to: usize,
        term: u64,
        target: usize,
        sent: Stamp,
        reply: caraway_ownership::grant::Reply,
    ) {
        let current = self.entries[to].coordination.as_ref().map(|coordination| coordination.term);
        if self.entries[to].is_running() && current == Some(term) {
            self.detect_pause(to);
            let target = target_name(target);
            self.step(to, Event::Reply { target, sent, reply });
        }
    }

    fn on_heartbeat(
        &mut self,
        from: usize,
        to: usize,
        incarnation: u64,
        sent: Stamp,
        heartbeat: &Heartbeat,
    ) {
        if !self.connected(from, to) {
            return;
        }
        let receiver = self.entries[to].process.clone();
        if !self.entries[to].alive || receiver.incarnation != incarnation {
            // The address refuses the connection, or another incarnation answers there.
            if self.entries[from].is_running() && self.entries[from].process == heartbeat.from {
                let former = Process { incarnation, ..receiver };
                self.entries[from].roster.record_gone(&former, self.now);
            }
            return;
        }
        self.apply_heartbeat(to, heartbeat);
        let heartbeat = self.entries[to].heartbeat();
        self.packets.push(Packet::Ack { from: to, to: from, sent, heartbeat });
    }

    fn on_ack(&mut self, from: usize, to: usize, sent: Stamp, heartbeat: &Heartbeat) {
        if !self.connected(from, to) || !self.entries[to].is_running() {
            return;
        }
        if sent < self.entries[to].last_heartbeat - Duration::from_millis(300) {
            // A heartbeat answered this late counts as unanswered.
            return;
        }
        self.apply_heartbeat(to, heartbeat);
        self.entries[to].roster.record_reply(&heartbeat.from, sent, self.now);
        if let Some(since) = self.entries[to].roster.confirmed_since(self.now) {
            self.step(to, Event::Confirmed(since));
        }
    }

    fn apply_heartbeat(&mut self, to: usize, heartbeat: &Heartbeat) {
        self.detect_pause(to);
        let now = self.now;
        for announcement in &heartbeat.announcements {
            if self.entries[to]
                .coordination
                .as_ref()
                .is_some_and(|coordination| coordination.term < announcement.term)
            {
                self.step(to, Event::Fenced(announcement.term));
            }
        }
        self.entries[to].roster.record_heartbeat(
            &heartbeat.from,
            &heartbeat.announcements,
            false,
            now,
        );
    }

    fn clock_ms(&self, target: usize) -> u64 {
        self.now.as_millis() + self.targets[target].offset_ms
    }

    fn check(&self) {
        for shard in 0..SHARDS {
            let owns = |index: &usize| self.targets[*index].owns(shard, self.clock_ms(*index));
            let owners: Vec<usize> = (0..TARGETS).filter(owns).collect();
            assert!(owners.len() <= 1, "shard {shard} is owned by targets {owners:?}");
        }
        for (order, runs) in &self.executions {
            assert!(*runs <= 1, "order {order} ran {runs} times");
        }
    }

    /// Returns the entry instance that coordinates the group, if one does.
    pub fn holder(&self) -> Option<usize> {
        (0..ENTRIES).find(|index| self.entries[*index].coordination.is_some())
    }

    /// Returns the number of orders that ran.
    pub fn orders_run(&self) -> usize {
        self.executions.len()
    }
}
