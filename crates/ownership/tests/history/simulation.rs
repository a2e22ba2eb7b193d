//! Simulated store, targets and network for real group machines.

use std::collections::BTreeSet;
use std::time::Duration;

use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;
use caraway_ownership::claim;
use caraway_ownership::event::Effect;
use caraway_ownership::event::Event;
use caraway_ownership::event::Predecessor;
use caraway_ownership::grant::Reply;
use caraway_ownership::grant::State;
use caraway_ownership::group::Machine;
use caraway_ownership::group::Options;

pub const SHARDS: u32 = 6;
pub const TARGETS: usize = 3;

/// Pause after which the control plane reports to its machines that the process was suspended.
const PAUSE: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
struct Target {
    offset_ms: u64,
    incarnation: u64,
    running: bool,
    frozen: bool,
    highest: Token,
    valid_until_ms: u64,
    shards: BTreeSet<u32>,
}

#[derive(Debug)]
struct Coordinator {
    machine: Machine,
    frozen: bool,
    gone: Option<Stamp>,
    last_step: Stamp,
    previous: Option<usize>,
    ended: bool,
}

#[derive(Clone, Debug)]
enum Message {
    Query,
    Grant { token: Token, incarnation: u64, valid_until_ms: u64, shards: Option<BTreeSet<u32>> },
}

#[derive(Clone, Debug)]
enum Packet {
    Call { coordinator: usize, target: usize, sent: Stamp, message: Message },
    Answer { coordinator: usize, target: usize, sent: Stamp, reply: Reply },
}

impl Packet {
    fn endpoints(&self) -> (usize, usize) {
        match self {
            Self::Call { coordinator, target, .. } | Self::Answer { coordinator, target, .. } => {
                (*coordinator, *target)
            }
        }
    }
}

#[derive(Debug)]
pub struct Simulation {
    now: Stamp,
    term: u64,
    targets: Vec<Target>,
    coordinators: Vec<Coordinator>,
    packets: Vec<Packet>,
    cuts: BTreeSet<(usize, usize)>,
    pub assigned: usize,
}

#[derive(Clone, Debug)]
pub enum Action {
    Wait(u64),
    Deliver(usize),
    DeliverAll,
    DeliverFor(usize),
    Cut(usize, usize),
    Heal(usize, usize),
    Drop(usize),
    Duplicate(usize),
    FreezeTarget(usize),
    ThawTarget(usize),
    RestartTarget(usize),
    Freeze(usize),
    Thaw(usize),
    Kill(usize),
    TakeOver,
    Confirm(usize),
    Move(u32, usize),
    Leave(usize),
}

fn target_name(index: usize) -> name::Target {
    name::Target::new(&format!("t{index}"))
}

fn target_index(name: &name::Target) -> usize {
    name.as_str().trim_start_matches('t').parse().unwrap()
}

impl Simulation {
    pub fn new() -> Self {
        let target = |index: usize| Target {
            offset_ms: 1000 * (index as u64 + 1),
            incarnation: 1,
            running: true,
            frozen: false,
            highest: Token::default(),
            valid_until_ms: 0,
            shards: BTreeSet::new(),
        };
        let mut simulation = Self {
            now: Stamp::from_millis(10_000),
            term: 0,
            targets: (0..TARGETS).map(target).collect(),
            coordinators: Vec::new(),
            packets: Vec::new(),
            cuts: BTreeSet::new(),
            assigned: 0,
        };
        simulation.act(&Action::TakeOver);
        simulation
    }

    pub fn act(&mut self, action: &Action) {
        match action {
            Action::Wait(millis) => self.wait(*millis),
            Action::Deliver(index) => self.deliver(*index),
            Action::DeliverAll => {
                for _ in 0..self.packets.len() {
                    self.deliver(0);
                }
            }
            Action::DeliverFor(coordinator) => self.deliver_for(*coordinator),
            Action::Cut(coordinator, target) => {
                self.cuts.insert((*coordinator, *target));
            }
            Action::Heal(coordinator, target) => {
                self.cuts.remove(&(*coordinator, *target));
            }
            Action::Drop(index) => {
                if !self.packets.is_empty() {
                    self.packets.remove(index % self.packets.len());
                }
            }
            Action::Duplicate(index) => {
                if !self.packets.is_empty() && self.packets.len() < 200 {
                    self.packets.push(self.packets[index % self.packets.len()].clone());
                }
            }
            Action::FreezeTarget(index) => self.targets[*index].frozen = true,
            Action::ThawTarget(index) => self.targets[*index].frozen = false,
            Action::RestartTarget(index) => self.restart(*index),
            Action::Freeze(index) => {
                let index = index % self.coordinators.len();
                self.coordinators[index].frozen = true;
            }
            Action::Thaw(index) => {
                let index = index % self.coordinators.len();
                self.coordinators[index].frozen = false;
            }
            Action::Kill(index) => {
                let index = index % self.coordinators.len();
                self.coordinators[index].gone.get_or_insert(self.now);
            }
            Action::TakeOver => self.take_over(),
            Action::Confirm(index) => self.confirm(index % self.coordinators.len()),
            Action::Move(shard, to) => {
                let event = Event::Move { shard: Shard(*shard), to: target_name(*to) };
                self.step_latest(event);
            }
            Action::Leave(index) => self.step_latest(Event::Leaving(target_name(*index))),
        }
        self.check();
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for index in 0..self.coordinators.len() {
            self.step(index, Event::Tick);
        }
    }

    fn take_over(&mut self) {
        if self.coordinators.len() > 6 {
            return;
        }
        let previous = self.coordinators.len().checked_sub(1);
        self.term = claim::next_term(self.term);
        let options = Options {
            group: name::Group::new("lectura/med/0"),
            term: self.term,
            shards: 0..SHARDS,
            pooled: false,
            checked: true,
            targets: (0..TARGETS).map(target_name).collect(),
            predecessor: previous.map_or(Predecessor::None, |_| Predecessor::Unproved),
        };
        let machine = Machine::try_new(options, self.now).unwrap();
        let coordinator = Coordinator {
            machine,
            frozen: false,
            gone: None,
            last_step: self.now,
            previous,
            ended: false,
        };
        self.coordinators.push(coordinator);
        self.step(self.coordinators.len() - 1, Event::Tick);
    }

    /// Checks the term in the store.
    fn confirm(&mut self, index: usize) {
        let own = self.coordinators[index].machine.term();
        let event =
            if self.term > own { Event::Fenced(self.term) } else { Event::Confirmed(self.now) };
        self.step(index, event);
    }

    fn restart(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.incarnation += 1;
        target.frozen = false;
        target.highest = Token::default();
        target.valid_until_ms = 0;
        target.shards.clear();
    }

    fn step_latest(&mut self, event: Event) {
        self.step(self.coordinators.len() - 1, event);
    }

    fn step(&mut self, index: usize, event: Event) {
        let coordinator = &mut self.coordinators[index];
        if coordinator.frozen || coordinator.gone.is_some() || coordinator.ended {
            return;
        }
        let mut events = Vec::new();
        if self.now.since(coordinator.last_step) >= PAUSE {
            events.push(Event::Paused);
        }
        coordinator.last_step = self.now;
        events.push(event);
        if let Some(previous) = coordinator.previous {
            // All earlier coordinators must be gone, not only the last one.
            let gone: Option<Vec<Stamp>> =
                self.coordinators[..=previous].iter().map(|row| row.gone).collect();
            if let Some(at) = gone.and_then(|all| all.into_iter().max()) {
                events.push(Event::PredecessorEnded(at));
            }
        }
        for event in events {
            let effects = self.coordinators[index].machine.step(event, self.now);
            self.execute(index, effects);
        }
    }

    fn execute(&mut self, coordinator: usize, effects: Vec<Effect>) {
        let sent = self.now;
        for effect in effects {
            let (target, message) = match effect {
                Effect::Query(target) => (target, Message::Query),
                Effect::Grant { target, token, incarnation, valid_until_ms, shards } => {
                    (target, Message::Grant { token, incarnation, valid_until_ms, shards })
                }
                Effect::Pause(shard) => {
                    self.step(coordinator, Event::Drained(shard));
                    continue;
                }
                Effect::Assign { .. } => {
                    self.assigned += 1;
                    continue;
                }
                Effect::Ended(_) => {
                    self.coordinators[coordinator].ended = true;
                    continue;
                }
                _ => continue,
            };
            let target = target_index(&target);
            self.packets.push(Packet::Call { coordinator, target, sent, message });
        }
    }

    fn deliver(&mut self, index: usize) {
        if self.packets.is_empty() {
            return;
        }
        let index = index % self.packets.len();
        if self.cuts.contains(&self.packets[index].endpoints()) {
            self.packets.remove(index);
            return;
        }
        match self.packets[index].clone() {
            Packet::Call { coordinator, target, sent, message } => {
                if self.targets[target].frozen {
                    // The call remains in the socket of the frozen process.
                    return;
                }
                self.packets.remove(index);
                let reply = self.handle(target, &message);
                self.packets.push(Packet::Answer { coordinator, target, sent, reply });
            }
            Packet::Answer { coordinator, target, sent, reply } => {
                if self.coordinators[coordinator].frozen {
                    return;
                }
                self.packets.remove(index);
                let target = target_name(target);
                self.step(coordinator, Event::Reply { target, sent, reply });
            }
        }
    }

    fn deliver_for(&mut self, coordinator: usize) {
        let of = |packet: &Packet| packet.endpoints().0 == coordinator;
        for _ in 0..self.packets.len() {
            let Some(index) = self.packets.iter().position(of) else { return };
            self.deliver(index);
        }
    }

    fn clock_ms(&self, target: usize) -> u64 {
        self.now.as_millis() + self.targets[target].offset_ms
    }

    fn handle(&mut self, index: usize, message: &Message) -> Reply {
        let clock_ms = self.clock_ms(index);
        let target = &mut self.targets[index];
        let mut accepted = false;
        let mut seq = None;
        if let Message::Grant { token, incarnation, valid_until_ms, shards } = message {
            seq = Some(token.seq);
            if *token >= target.highest && *incarnation == target.incarnation {
                accepted = true;
                target.highest = *token;
                target.valid_until_ms = *valid_until_ms;
                if let Some(shards) = shards {
                    target.shards = shards.clone();
                }
            }
        }
        Reply {
            accepted,
            seq,
            incarnation: target.incarnation,
            clock_ms,
            highest: target.highest,
            valid_until_ms: target.valid_until_ms,
            shards: target.shards.clone(),
            state: State::Live,
        }
    }

    /// Checks that no two targets, frozen ones included, consider the same shard their own.
    fn check(&self) {
        for shard in 0..SHARDS {
            let considers_its_own = |index: &usize| {
                let target = &self.targets[*index];
                target.running
                    && target.shards.contains(&shard)
                    && target.valid_until_ms > self.clock_ms(*index)
            };
            let owners: Vec<usize> = (0..TARGETS).filter(considers_its_own).collect();
            assert!(owners.len() <= 1, "shard {shard} is owned by targets {owners:?}");
        }
    }

    /// Ends all faults, runs the latest coordinator, and returns the number of shards with an owner.
    pub fn recover(&mut self) -> usize {
        let last = self.coordinators.len() - 1;
        for index in 0..last {
            self.act(&Action::Kill(index));
        }
        // Packets to frozen coordinators would block the delivery of others; coordinators that are
        // gone ignore them.
        for coordinator in &mut self.coordinators {
            coordinator.frozen = false;
        }
        self.coordinators[last].gone = None;
        self.cuts.clear();
        for target in &mut self.targets {
            target.frozen = false;
        }
        for _ in 0..200 {
            self.act(&Action::Wait(10));
            self.act(&Action::Confirm(last));
            self.act(&Action::DeliverAll);
        }
        (0..SHARDS)
            .filter(|shard| self.coordinators[last].machine.owner(Shard(*shard)).is_some())
            .count()
    }
}
