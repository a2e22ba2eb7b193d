//! Entry instances, the store, targets and callers in one history.
//!
//! The decisions are those of the product: rosters, changes of the domain record, group machines,
//! ledgers and their copies. The world only carries effects from one to the other, as the control
//! plane does, and loses, delays and reorders what travels.

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

use crate::target::Offer;
use crate::target::Target;

pub const SHARDS: u32 = 4;
pub const TARGETS: usize = 3;
pub const ENTRIES: usize = 3;
pub const ORDERS: u32 = 4;

const PAUSE: Duration = Duration::from_millis(250);
const BEAT: Duration = Duration::from_millis(100);
const HISTORY_GAP: Duration = Duration::from_secs(600);

/// A group that an entry instance coordinates.
struct Held {
    term: u64,
    machine: Machine,
    former: Option<PreviousHolder>,
    claimed: Stamp,
    ledger: Ledger,
    history: History,
    copies: BTreeSet<Process>,
    allowed: BTreeMap<name::Target, Stamp>,
}

struct Entry {
    process: Process,
    alive: bool,
    frozen: bool,
    roster: Roster,
    held: Option<Held>,
    copies: Copies,
    last_step: Stamp,
    last_beat: Stamp,
}

struct Store {
    record: record::Domain,
    up: bool,
    lose: bool,
}

#[derive(Clone, Debug)]
struct Beat {
    from: Process,
    words: Vec<Announcement>,
}

#[derive(Clone, Debug)]
enum Packet {
    Call {
        from: usize,
        term: u64,
        target: usize,
        sent: Stamp,
        offer: Option<Offer>,
    },
    Reply {
        to: usize,
        term: u64,
        target: usize,
        sent: Stamp,
        reply: caraway_ownership::grant::Reply,
    },
    Beat {
        from: usize,
        to: usize,
        incarnation: u64,
        sent: Stamp,
        beat: Beat,
    },
    Answer {
        from: usize,
        to: usize,
        sent: Stamp,
        beat: Beat,
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

pub struct World {
    now: Stamp,
    store: Store,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    packets: Vec<Packet>,
    cuts: BTreeSet<(usize, usize)>,
    runs: BTreeMap<u32, u32>,
    pub coordinations: usize,
    pub reserved: usize,
}

fn group() -> name::Group {
    name::Group::new("lectura/med/0")
}

fn process(index: usize, incarnation: u64) -> Process {
    Process { instance: name::Instance::new(&format!("e{index}")), incarnation }
}

fn member(index: usize, incarnation: u64) -> Member {
    let address = |part: u16| {
        let port = 1000 + u16::try_from(index).unwrap() * 10 + part;
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
            held: None,
            copies: Copies::new(),
            last_step: now,
            last_beat: now,
        }
    }

    fn runs(&self) -> bool {
        self.alive && !self.frozen
    }

    fn beat(&self) -> Beat {
        let words = self.held.iter().map(|held| {
            let named = self.roster.named_successor(&group());
            let (successor, reserved) =
                named.map_or((None, 0), |(name, reserved)| (Some(name), reserved));
            Announcement { group: group(), term: held.term, successor, reserved }
        });
        Beat { from: self.process.clone(), words: words.collect() }
    }

    fn note_mine(&mut self) {
        let mine = self.held.iter().map(|held| (group(), held.term));
        let mine = mine.collect();
        self.roster.set_coordinated(mine);
    }

    /// Ends the coordination; the ledger stays among the copies.
    fn give_up(&mut self, now: Stamp) {
        if let Some(held) = self.held.take() {
            let entries = held.ledger.export(now).into_iter().map(ledgers::to_wire).collect();
            self.copies.record(&group(), held.term, entries, now);
        }
        self.note_mine();
    }
}

impl World {
    pub fn new() -> Self {
        let now = Stamp::from_millis(10_000);
        let mut world = Self {
            now,
            store: Store { record: record::Domain::default(), up: true, lose: false },
            entries: (0..ENTRIES).map(|index| Entry::new(index, 1, now)).collect(),
            targets: (0..TARGETS).map(|index| Target::new(1000 * (index as u64 + 1))).collect(),
            packets: Vec::new(),
            cuts: BTreeSet::new(),
            runs: BTreeMap::new(),
            coordinations: 0,
            reserved: 0,
        };
        for _ in 0..40 {
            world.act(&Action::Wait(20));
            for entry in 0..ENTRIES {
                world.act(&Action::Read(entry));
            }
            world.act(&Action::DeliverAll);
        }
        world
    }

    pub fn act(&mut self, action: &Action) {
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
                self.entries[*index].held = None;
            }
            Action::Start(index) => {
                if !self.entries[*index].alive {
                    let incarnation = self.entries[*index].process.incarnation + 1;
                    self.entries[*index] = Entry::new(*index, incarnation, self.now);
                }
            }
            Action::StoreUp(up) => self.store.up = *up,
            Action::LoseAnswer => self.store.lose = true,
            Action::Read(index) => self.read(*index),
            Action::Submit(index, order) => self.submit(*index, *order),
            Action::Cut(one, other) => {
                self.cuts.insert((*one.min(other), *one.max(other)));
            }
            Action::Heal(one, other) => {
                self.cuts.remove(&(*one.min(other), *one.max(other)));
            }
        }
        self.check();
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for index in 0..ENTRIES {
            self.turn(index);
        }
    }

    /// One turn of the control loop of an entry instance.
    fn turn(&mut self, index: usize) {
        if !self.entries[index].runs() {
            return;
        }
        self.notice_pause(index);
        self.step(index, Event::Tick);
        self.resolve_former(index);
        self.collect_history(index);
        self.copy_ledger(index);
        let now = self.now;
        if now.since(self.entries[index].last_beat) >= BEAT {
            self.entries[index].last_beat = now;
            for to in (0..ENTRIES).filter(|to| *to != index) {
                let receiver = self.entries[to].process.clone();
                let incarnation = receiver.incarnation;
                self.entries[index].roster.add_process(&receiver, now);
                let beat = self.entries[index].beat();
                self.packets.push(Packet::Beat { from: index, to, incarnation, sent: now, beat });
            }
        }
        let reachable = self.store.up;
        self.entries[index].roster.set_store_reachable(reachable);
        for intent in self.entries[index].roster.decide(now) {
            self.carry_out(index, intent);
        }
    }

    fn notice_pause(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let paused = now.since(entry.last_step) >= PAUSE;
        entry.last_step = now;
        if paused {
            entry.roster.resume(now);
            self.step(index, Event::Paused);
        }
    }

    fn resolve_former(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let Some(held) = &mut entry.held else { return };
        let Some(former) = &held.former else { return };
        if let Some(at) = entry.roster.ended_since(former, held.claimed) {
            held.former = None;
            self.step(index, Event::PredecessorEnded(at));
        }
    }

    fn carry_out(&mut self, index: usize, intent: Intent) {
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
                if self.change(index, &change) && self.entries[index].held.is_none() {
                    let term = self.store.record.groups[0].term;
                    self.begin(index, term, former);
                }
            }
            Intent::Succeed { term, former, .. } => {
                if self.entries[index].held.is_none() {
                    self.reserved += 1;
                    self.begin(index, term, Some(former));
                }
            }
            Intent::HandOver { group, to } => self.hand_over(index, group, &to),
            Intent::NameSuccessor { group, successor } => {
                self.change(index, &Change::Rename { group, holder: me, successor });
            }
            Intent::Remove(process) => {
                self.change(index, &Change::Leave(process));
            }
        }
    }

    /// Changes the record; false if it was not changed or the answer was lost.
    fn change(&mut self, index: usize, change: &Change) -> bool {
        if !self.store.up || !domain::apply(change, &mut self.store.record) {
            return false;
        }
        if std::mem::take(&mut self.store.lose) {
            return false;
        }
        self.read(index);
        true
    }

    fn read(&mut self, index: usize) {
        if !self.store.up || !self.entries[index].runs() {
            return;
        }
        self.notice_pause(index);
        let holdings = domain::holdings(&self.store.record);
        let processes = domain::processes(&self.store.record);
        let holding = holdings.get(&group()).cloned();
        let entry = &mut self.entries[index];
        let lost = holding.as_ref().is_some_and(|holding| {
            holding.holder != entry.process
                && entry.held.as_ref().is_some_and(|held| held.term < holding.term)
        });
        entry.roster.observe(&processes, holdings, self.now);
        if let Some(holding) = holding.filter(|_| lost) {
            self.step(index, Event::Fenced(holding.term));
        }
        self.step(index, Event::Confirmed(self.now));
    }

    fn hand_over(&mut self, index: usize, group: name::Group, to: &name::Instance) {
        let Some(held) = &self.entries[index].held else { return };
        let from = self.entries[index].process.clone();
        let to = (0..ENTRIES).find(|other| self.entries[*other].process.instance == *to).unwrap();
        let receiver = self.entries[to].process.clone();
        let successor =
            self.entries[index].roster.holding(&group).and_then(|row| row.successor.clone());
        let change = Change::HandOver { group, from: from.clone(), term: held.term, to: receiver };
        if !self.store.up || !domain::apply(&change, &mut self.store.record) {
            return;
        }
        if std::mem::take(&mut self.store.lose) {
            return;
        }
        let term = self.store.record.groups[0].term;
        let held = self.entries[index].held.take();
        self.entries[index].note_mine();
        self.read(index);
        let Some(held) = held.filter(|_| self.connected(index, to) && self.entries[to].runs())
        else {
            return;
        };
        if self.entries[to].held.is_some()
            || self.entries[to].roster.highest_term(&crate::world::group()) > term
        {
            return;
        }
        self.begin(to, term, Some(PreviousHolder { holder: from, released: true, successor }));
        let now = self.now;
        if let Some(received) = &mut self.entries[to].held {
            received.history = History::default();
            received.ledger.set_incomplete_until(held.ledger.incomplete_until());
            for entry in held.ledger.export(now) {
                received.ledger.import(entry, now);
            }
        }
    }

    fn begin(&mut self, index: usize, term: u64, former: Option<PreviousHolder>) {
        self.coordinations += 1;
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
            ledger.set_incomplete_until(now + HISTORY_GAP);
        }
        let entry = &mut self.entries[index];
        let (copies, copy_term) = entry.copies.history(&group(), term, now);
        history.record_answer(&entry.process.instance, copy_term);
        for copy in copies {
            ledger.import(ledgers::from_wire(copy), now);
        }
        entry.held = Some(Held {
            term,
            machine: Machine::try_new(options, now).unwrap(),
            former,
            claimed: now,
            ledger,
            history,
            copies: BTreeSet::new(),
            allowed: BTreeMap::new(),
        });
        entry.note_mine();
        self.collect_history(index);
        self.step(index, Event::Tick);
    }

    /// Asks the other instances for their copies, as far as they can be reached.
    fn collect_history(&mut self, index: usize) {
        let Some(held) = &self.entries[index].held else { return };
        let term = held.term;
        let missing: Vec<name::Instance> = held.history.missing().into_iter().cloned().collect();
        for name in missing {
            let other = (0..ENTRIES).find(|other| self.entries[*other].process.instance == name);
            let Some(other) = other.filter(|other| *other != index) else { continue };
            if !self.connected(index, other) || !self.entries[other].runs() {
                continue;
            }
            let (copies, copy_term) = self.entries[other].copies.history(&group(), term, self.now);
            let now = self.now;
            let Some(held) = &mut self.entries[index].held else { return };
            held.history.record_answer(&name, copy_term);
            for copy in copies {
                held.ledger.import(ledgers::from_wire(copy), now);
            }
        }
        let Some(held) = &mut self.entries[index].held else { return };
        if held.history.is_complete() {
            held.ledger.set_incomplete_until(Stamp::default());
        }
    }

    /// Gives the whole ledger to the live instances that lack it.
    fn copy_ledger(&mut self, index: usize) {
        let now = self.now;
        let alive = self.entries[index].roster.alive(now);
        let Some(held) = &mut self.entries[index].held else { return };
        if held.ledger.incomplete_until() > now {
            // A copy of a ledger with gaps would pass for a full one.
            return;
        }
        held.copies.retain(|process| alive.contains(process));
        let term = held.term;
        let entries: Vec<_> = held.ledger.export(now).into_iter().map(ledgers::to_wire).collect();
        for process in alive {
            let other = entry_index(&process);
            let reached = self.connected(index, other)
                && self.entries[other].runs()
                && self.entries[other].process == process;
            if !reached {
                continue;
            }
            let copies = &self.entries[other].copies;
            let stored = copies.record_full(&group(), term, entries.clone(), now).0;
            if let Some(held) = &mut self.entries[index].held
                && stored
            {
                held.copies.insert(process);
            }
        }
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        !self.cuts.contains(&(one.min(other), one.max(other)))
    }

    fn step(&mut self, index: usize, event: Event) {
        let now = self.now;
        let Some(held) = &mut self.entries[index].held else { return };
        let term = held.term;
        let effects = held.machine.step(event, now);
        for effect in effects {
            let (target, offer) = match effect {
                Effect::Query(target) => (target, None),
                Effect::Grant { target, token, incarnation, valid_until_ms, shards } => {
                    (target, Some(Offer { token, incarnation, valid_until_ms, shards }))
                }
                Effect::Pause(shard) => {
                    self.step(index, Event::Drained(shard));
                    continue;
                }
                Effect::Allow { target, until } => {
                    if let Some(held) = &mut self.entries[index].held {
                        held.allowed.insert(target, until);
                    }
                    continue;
                }
                Effect::Ended(_) => {
                    self.entries[index].give_up(now);
                    return;
                }
                _ => continue,
            };
            let target = target_index(&target);
            self.packets.push(Packet::Call { from: index, term, target, sent: now, offer });
        }
    }

    /// A caller submits an order at an entry instance that coordinates the group.
    fn submit(&mut self, index: usize, order: u32) {
        if !self.entries[index].runs() {
            return;
        }
        self.notice_pause(index);
        self.collect_history(index);
        let now = self.now;
        let key = order_key(order);
        let Some(held) = &mut self.entries[index].held else { return };
        let shard = Shard(order % SHARDS);
        let Some((target, token)) = held.machine.owner(shard) else { return };
        let (target, term) = (target.clone(), held.term);
        if held.allowed.get(&target).is_none_or(|until| now >= *until) {
            return;
        }
        if held.ledger.begin(&key, u64::from(order), now) != Decision::Run {
            return;
        }
        let Some(intent) = held.ledger.entry(&key, now) else { return };
        let stored = self.replicate(index, term, &ledgers::to_wire(intent));
        let Some(held) = &mut self.entries[index].held else { return };
        if !stored {
            held.ledger.mark_not_run(&key, now);
            return;
        }
        // Whatever comes of it, the outcome is not known until an answer arrives; none does here.
        held.ledger.mark_unknown(&key, now);
        let target = target_index(&target);
        let order = Packet::Order { target, shard: shard.0, token, order };
        self.packets.push(order);
    }

    /// Stores an intent where it has to be; false if too few instances hold it.
    fn replicate(&mut self, index: usize, term: u64, intent: &caraway_wire::peer::Entry) -> bool {
        let now = self.now;
        let needed = required_replicas(self.entries[index].roster.others_not_gone());
        let Some(held) = &self.entries[index].held else { return false };
        let alive = self.entries[index].roster.alive(now);
        let holders = held.copies.iter().filter(|process| alive.contains(process)).take(needed);
        let holders: Vec<Process> = holders.cloned().collect();
        let mut stored = holders.len() >= needed;
        for process in holders {
            let other = entry_index(&process);
            let reached = self.connected(index, other)
                && self.entries[other].runs()
                && self.entries[other].process == process;
            let copies = &self.entries[other].copies;
            stored &= reached && copies.record(&group(), term, vec![intent.clone()], now).0;
        }
        stored
    }

    fn deliver(&mut self, index: usize) {
        if self.packets.is_empty() {
            return;
        }
        let index = index % self.packets.len();
        let packet = self.packets[index].clone();
        if self.waits(&packet) {
            return;
        }
        self.packets.remove(index);
        match packet {
            Packet::Call { from, term, target, sent, offer } => {
                let clock = self.clock_ms(target);
                let reply = self.targets[target].take(offer.as_ref(), clock);
                self.packets.push(Packet::Reply { to: from, term, target, sent, reply });
            }
            Packet::Reply { to, term, target, sent, reply } => {
                self.take_reply(to, term, target, sent, reply);
            }
            Packet::Beat { from, to, incarnation, sent, beat } => {
                self.take_beat(from, to, incarnation, sent, &beat);
            }
            Packet::Answer { from, to, sent, beat } => self.take_answer(from, to, sent, &beat),
            Packet::Order { target, shard, token, order } => {
                if self.targets[target].runs(shard, token, self.clock_ms(target)) {
                    *self.runs.entry(order).or_insert(0) += 1;
                }
            }
        }
    }

    /// Returns true if the receiver of a packet is frozen, so that the packet waits in its socket.
    fn waits(&self, packet: &Packet) -> bool {
        match packet {
            Packet::Call { target, .. } | Packet::Order { target, .. } => {
                self.targets[*target].frozen
            }
            Packet::Reply { to, .. } | Packet::Beat { to, .. } | Packet::Answer { to, .. } => {
                self.entries[*to].alive && self.entries[*to].frozen
            }
        }
    }

    fn take_reply(
        &mut self,
        to: usize,
        term: u64,
        target: usize,
        sent: Stamp,
        reply: caraway_ownership::grant::Reply,
    ) {
        let current = self.entries[to].held.as_ref().map(|held| held.term);
        if self.entries[to].runs() && current == Some(term) {
            self.notice_pause(to);
            let target = target_name(target);
            self.step(to, Event::Reply { target, sent, reply });
        }
    }

    fn take_beat(&mut self, from: usize, to: usize, incarnation: u64, sent: Stamp, beat: &Beat) {
        if !self.connected(from, to) {
            return;
        }
        let receiver = self.entries[to].process.clone();
        if !self.entries[to].alive || receiver.incarnation != incarnation {
            // The address refuses the connection, or another incarnation answers there.
            if self.entries[from].runs() && self.entries[from].process == beat.from {
                let former = Process { incarnation, ..receiver };
                self.entries[from].roster.record_gone(&former, self.now);
            }
            return;
        }
        self.hear(to, beat);
        let beat = self.entries[to].beat();
        self.packets.push(Packet::Answer { from: to, to: from, sent, beat });
    }

    fn take_answer(&mut self, from: usize, to: usize, sent: Stamp, beat: &Beat) {
        if !self.connected(from, to) || !self.entries[to].runs() {
            return;
        }
        if sent < self.entries[to].last_beat - Duration::from_millis(300) {
            // A heartbeat that is answered this late counts as unanswered.
            return;
        }
        self.hear(to, beat);
        self.entries[to].roster.record_reply(&beat.from, sent, self.now);
        if let Some(since) = self.entries[to].roster.confirmed_since(self.now) {
            self.step(to, Event::Confirmed(since));
        }
    }

    fn hear(&mut self, to: usize, beat: &Beat) {
        self.notice_pause(to);
        let now = self.now;
        for word in &beat.words {
            if self.entries[to].held.as_ref().is_some_and(|held| held.term < word.term) {
                self.step(to, Event::Fenced(word.term));
            }
        }
        self.entries[to].roster.record_heartbeat(&beat.from, &beat.words, false, now);
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
        for (order, runs) in &self.runs {
            assert!(*runs <= 1, "order {order} ran {runs} times");
        }
    }

    /// Returns the entry instance that coordinates the group, if one does.
    pub fn holder(&self) -> Option<usize> {
        (0..ENTRIES).find(|index| self.entries[*index].held.is_some())
    }

    /// Returns how many orders ran.
    pub fn ran(&self) -> usize {
        self.runs.len()
    }
}
