//! A model of the scheduler that tracks only its inputs and its decisions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;

use caraway_admission::controller::Completion;
use caraway_admission::controller::Options;
use caraway_admission::controller::Request;
use caraway_admission::controller::State;
use caraway_admission::scheduler::Admission;
use caraway_admission::scheduler::Effect;
use caraway_admission::scheduler::Grant;
use caraway_admission::scheduler::Scheduler;
use caraway_core::class::Urgency;
use caraway_core::name;
use caraway_core::shard::Shard;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

const TARGETS: usize = 3;
const SHARDS: u32 = 4;
const KEYS: usize = 5;
const SLOTS: u32 = 3;
const QUEUE: usize = 4;
const WARMUP: Duration = Duration::from_millis(300);

/// A random event.
#[derive(Clone, Debug)]
pub enum Event {
    Acquire { key: usize, tenant: u8, urgency: u8, timeout_ms: u64, avoid: Option<usize> },
    Complete { index: usize, completion: u8 },
    Cancel(usize),
    Assign(u32, usize),
    Pause(u32),
    Target(usize, u8),
    Remove(usize),
    Allow(usize, u64),
    Split(usize, usize),
    PauseKey(usize),
    Unsplit(usize),
    Wait(u64),
}

/// Generates events.
pub fn event() -> impl Strategy<Value = Event> {
    let target = || 0..TARGETS;
    let key = || 0..KEYS;
    prop_oneof![
        12 => (key(), 0u8..3, 0u8..3, 1u64..400, proptest::option::of(target())).prop_map(
            |(key, tenant, urgency, timeout_ms, avoid)| Event::Acquire {
                key, tenant, urgency, timeout_ms, avoid
            }
        ),
        8 => (any::<usize>(), 0u8..4).prop_map(|(index, completion)| Event::Complete { index, completion }),
        2 => any::<usize>().prop_map(Event::Cancel),
        4 => (0..SHARDS, target()).prop_map(|(shard, target)| Event::Assign(shard, target)),
        1 => (0..SHARDS).prop_map(Event::Pause),
        2 => (target(), 0u8..8).prop_map(|(target, state)| Event::Target(target, state)),
        1 => target().prop_map(Event::Remove),
        2 => (target(), 0u64..500).prop_map(|(target, ms)| Event::Allow(target, ms)),
        2 => (key(), target()).prop_map(|(key, target)| Event::Split(key, target)),
        1 => key().prop_map(Event::PauseKey),
        1 => key().prop_map(Event::Unsplit),
        3 => (0u64..120).prop_map(Event::Wait),
    ]
}

struct Sent {
    key: usize,
    target: usize,
    abandoned: bool,
    /// True if the permit counts for a split key and not for its shard.
    split_key: bool,
}

struct Waiting {
    key: usize,
    deadline: Stamp,
    avoid: Option<usize>,
}

struct Target {
    state: State,
    cold_since: Stamp,
    allow_until: Stamp,
    shed: bool,
}

/// The inputs so far, and the permits and queued requests that follow from the decisions.
pub struct Model {
    scheduler: Scheduler,
    now: Stamp,
    pooled: bool,
    seq: u64,
    targets: BTreeMap<usize, Target>,
    lost_when_removed: BTreeSet<usize>,
    shards: BTreeMap<u32, (usize, Token)>,
    split: BTreeMap<usize, Option<(usize, Token)>>,
    sent: BTreeMap<u64, Sent>,
    waiting: BTreeMap<u64, Waiting>,
}

fn shard_of(key: usize) -> u32 {
    // Two keys share shard 0, so that a split leaves another key on the shard.
    u32::try_from(key).unwrap() % SHARDS
}

fn key_name(key: usize) -> Arc<str> {
    Arc::from(format!("escalator-{key}"))
}

fn target_name(target: usize) -> name::Target {
    name::Target::new(&format!("lectura-{target}"))
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 21001))
}

impl Model {
    /// Creates a model of a group whose shards are all assigned.
    pub fn new(pooled: bool) -> Self {
        let scheduler = Scheduler::new(Options {
            group: name::Group::new("lectura/med/0"),
            pooled,
            slots: SLOTS,
            queue_per_target: QUEUE,
            warmup: WARMUP,
        });
        let mut model = Self {
            scheduler,
            now: Stamp::from_millis(1000),
            pooled,
            seq: 0,
            targets: BTreeMap::new(),
            lost_when_removed: BTreeSet::new(),
            shards: BTreeMap::new(),
            split: BTreeMap::new(),
            sent: BTreeMap::new(),
            waiting: BTreeMap::new(),
        };
        for target in 0..TARGETS {
            model.apply(Event::Target(target, 1));
            model.apply(Event::Allow(target, 450));
        }
        for shard in 0..SHARDS {
            model.apply(Event::Assign(shard, usize::try_from(shard).unwrap() % TARGETS));
        }
        model
    }

    fn token(&mut self) -> Token {
        self.seq += 1;
        Token::new(2, self.seq)
    }

    fn owner(&self, key: usize) -> Option<(usize, Token)> {
        match self.split.get(&key) {
            Some(owner) => *owner,
            None => self.shards.get(&shard_of(key)).copied(),
        }
    }

    fn in_flight(&self, target: usize) -> usize {
        self.sent.values().filter(|sent| sent.target == target).count()
    }

    fn accepts(&self, target: usize) -> bool {
        self.targets.get(&target).is_some_and(|row| {
            matches!(row.state, State::Cold | State::Live) && self.now < row.allow_until
        })
    }

    fn lost(&self, target: usize) -> bool {
        let removed = self.lost_when_removed.contains(&target);
        self.targets.get(&target).map_or(removed, |row| row.state == State::Lost)
    }

    fn ramp(&self, target: usize) -> usize {
        let row = &self.targets[&target];
        let age = self.now.since(row.cold_since).as_micros();
        let grown = u128::from(SLOTS - 1) * age / WARMUP.as_micros();
        let slots = usize::try_from(SLOTS).unwrap();
        match row.state {
            State::Cold => slots.min(1 + usize::try_from(grown).unwrap()),
            _ => slots,
        }
    }

    /// Checks a permit against all inputs.
    fn granted(&mut self, grant: &Grant, key: usize, deadline: Stamp, avoid: Option<usize>) {
        let target = (0..TARGETS).find(|target| target_name(*target) == grant.target).unwrap();
        assert!(self.accepts(target), "a target that accepts no requests was granted one");
        assert!(self.in_flight(target) < self.ramp(target), "the slots are exceeded");
        assert_eq!(grant.write_before, deadline.min(self.targets[&target].allow_until));
        assert!(self.now < grant.write_before);
        if self.pooled {
            self.check_pooled(target, avoid);
        } else {
            assert_eq!(
                Some((target, grant.token)),
                self.owner(key),
                "the permit is not for the owner"
            );
            self.check_exclusive(target, key);
        }
        let split_key = self.split.contains_key(&key);
        let sent = Sent { key, target, abandoned: false, split_key };
        assert!(self.sent.insert(grant.sequence, sent).is_none(), "a request was granted twice");
    }

    fn check_pooled(&self, target: usize, avoid: Option<usize>) {
        let others = (0..TARGETS).filter(|other| *other != target && self.accepts(*other));
        if avoid == Some(target) {
            assert_eq!(others.count(), 0, "the avoided target was selected without need");
            return;
        }
        let least = others
            .filter(|other| Some(*other) != avoid && !self.targets[other].shed)
            .filter(|other| self.in_flight(*other) < self.ramp(*other))
            .map(|other| self.in_flight(other))
            .min();
        assert!(
            least.is_none_or(|least| self.in_flight(target) <= least),
            "the target is not the least loaded"
        );
    }

    /// Checks that no other target runs requests of the same key or shard, and marks permits of lost
    /// owners as abandoned.
    fn check_exclusive(&mut self, target: usize, key: usize) {
        let lost: Vec<bool> = (0..TARGETS).map(|target| self.lost(target)).collect();
        let whole_shard = !self.split.contains_key(&key);
        for sent in self.sent.values_mut() {
            let same_shard = whole_shard && shard_of(sent.key) == shard_of(key) && !sent.split_key;
            if sent.target != target && !sent.abandoned && (sent.key == key || same_shard) {
                assert!(lost[sent.target], "two targets run requests of one shard");
                sent.abandoned = true;
            }
        }
    }

    fn take_effects(&mut self) {
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Grant(grant) => {
                    let waiting = self
                        .waiting
                        .remove(&grant.sequence)
                        .expect("the granted request was queued");
                    self.granted(&grant, waiting.key, waiting.deadline, waiting.avoid);
                }
                Effect::Refuse(sequence, _) => {
                    assert!(
                        self.waiting.remove(&sequence).is_some(),
                        "a request that was not queued was refused"
                    );
                }
            }
        }
    }

    fn acquire(&mut self, request: Request, key: usize, avoid: Option<usize>) {
        let deadline = request.deadline;
        let admission = self.scheduler.acquire(request, self.now);
        self.take_effects();
        match admission {
            Admission::Granted(grant) => self.granted(&grant, key, deadline, avoid),
            Admission::Queued(sequence) => {
                self.waiting.insert(sequence, Waiting { key, deadline, avoid });
            }
            Admission::Refused(_) => {}
        }
    }

    /// Applies an event to the scheduler and checks the decisions.
    pub fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Acquire { key, tenant, urgency, timeout_ms, avoid } => {
                let urgencies = [Urgency::Urgent, Urgency::Normal, Urgency::Bulk];
                let request = Request {
                    shard: Shard(shard_of(key)),
                    key: key_name(key),
                    tenant: name::Tenant::new(&format!("tenant-{tenant}")),
                    urgency: urgencies[usize::from(urgency)],
                    deadline: now + Duration::from_millis(timeout_ms),
                    avoid: avoid.map(target_name),
                };
                self.acquire(request, key, avoid);
            }
            Event::Complete { index, completion } => self.finish(index, completion),
            Event::Cancel(index) => {
                let Some(sequence) = nth(&self.waiting, index) else { return };
                self.waiting.remove(&sequence);
                assert!(self.scheduler.cancel(sequence));
            }
            Event::Assign(shard, target) => {
                let token = self.token();
                self.scheduler.assign(Shard(shard), &target_name(target), token, now);
                if self.targets.contains_key(&target) {
                    self.shards.insert(shard, (target, token));
                }
            }
            Event::Pause(shard) => {
                self.scheduler.pause(Shard(shard), now);
                self.shards.remove(&shard);
            }
            Event::Target(target, state) => self.set_target(target, state),
            Event::Remove(target) => {
                self.scheduler.remove_target(&target_name(target), now);
                if self.targets.remove(&target).is_some_and(|row| row.state == State::Lost) {
                    self.lost_when_removed.insert(target);
                }
                self.shards.retain(|_, owner| owner.0 != target);
                for owner in self.split.values_mut() {
                    *owner = owner.filter(|owner| owner.0 != target);
                }
            }
            Event::Allow(target, ms) => {
                let until = now + Duration::from_millis(ms);
                self.scheduler.allow_until(&target_name(target), until, now);
                if let Some(row) = self.targets.get_mut(&target) {
                    row.allow_until = until;
                }
            }
            Event::Split(key, target) => {
                let token = self.token();
                self.scheduler.split(&key_name(key), &target_name(target), token, now);
                if self.targets.contains_key(&target) {
                    self.mark_split(key, Some((target, token)));
                }
            }
            Event::PauseKey(key) => {
                self.scheduler.pause_key(&key_name(key), now);
                self.mark_split(key, None);
            }
            Event::Unsplit(key) => {
                self.scheduler.unsplit(&key_name(key), now);
                self.split.remove(&key);
                self.abandon_ended_splits();
            }
            Event::Wait(ms) => self.wait(ms),
        }
        self.take_effects();
        self.check();
    }

    fn mark_split(&mut self, key: usize, owner: Option<(usize, Token)>) {
        self.split.insert(key, owner);
        for sent in self.sent.values_mut().filter(|sent| sent.key == key) {
            sent.split_key = true;
        }
    }

    fn finish(&mut self, index: usize, completion: u8) {
        let Some(sequence) = nth(&self.sent, index) else { return };
        let completions =
            [Some(Completion::Answered), Some(Completion::Shed), Some(Completion::Failed), None];
        let completion = completions[usize::from(completion)];
        let sent = self.sent.remove(&sequence).unwrap();
        if let Some(row) = self.targets.get_mut(&sent.target) {
            row.shed |= completion == Some(Completion::Shed);
        }
        self.scheduler.finish(sequence, completion, self.now);
    }

    fn set_target(&mut self, target: usize, state: u8) {
        let states = [State::Cold, State::Live, State::Draining, State::Lost];
        let state = *states.get(usize::from(state)).unwrap_or(&State::Live);
        self.scheduler.set_target(&target_name(target), address(), state, self.now);
        self.scheduler.set_token(&target_name(target), Token::new(2, 0), self.now);
        let now = self.now;
        let row = self.targets.entry(target).or_insert(Target {
            state,
            cold_since: now,
            allow_until: Stamp::default(),
            shed: false,
        });
        if row.state != State::Cold {
            row.cold_since = now;
        }
        row.state = state;
        self.lost_when_removed.remove(&target);
        self.abandon_ended_splits();
    }

    /// Marks permits of ended splits for lost targets as abandoned; they no longer block the key.
    fn abandon_ended_splits(&mut self) {
        let lost: Vec<bool> = (0..TARGETS).map(|target| self.lost(target)).collect();
        for sent in self.sent.values_mut() {
            sent.abandoned |=
                sent.split_key && !self.split.contains_key(&sent.key) && lost[sent.target];
        }
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        let due: Vec<u64> =
            self.waiting.iter().filter(|w| w.1.deadline <= self.now).map(|w| *w.0).collect();
        for sequence in due {
            self.waiting.remove(&sequence);
            assert!(self.scheduler.expire(sequence, self.now).is_some());
        }
        self.scheduler.advance(self.now);
    }

    /// Checks the counts of the scheduler, and that no request waits that could be sent.
    fn check(&self) {
        let bound = QUEUE * self.targets.len().max(1);
        assert!(self.waiting.len() <= bound, "the queue exceeds its bound");
        assert_eq!(self.scheduler.waiting(), self.waiting.len());
        for target in self.targets.keys() {
            let count = self.scheduler.target_in_flight(&target_name(*target));
            assert_eq!(count, self.in_flight(*target));
        }
        for waiting in self.waiting.values() {
            let sendable = if self.pooled {
                let others = (0..TARGETS).filter(|other| Some(*other) != waiting.avoid);
                others.into_iter().any(|other| self.can_send(other))
            } else {
                self.owner(waiting.key).is_some_and(|owner| {
                    self.can_send(owner.0) && self.only_target(owner.0, waiting.key)
                })
            };
            assert!(!sendable, "a request waits although its target is free");
        }
    }

    fn can_send(&self, target: usize) -> bool {
        self.accepts(target)
            && !self.targets[&target].shed
            && self.in_flight(target) < self.ramp(target)
    }

    fn only_target(&self, target: usize, key: usize) -> bool {
        self.sent.values().all(|sent| sent.target == target || shard_of(sent.key) != shard_of(key))
    }

    /// Completes all requests and checks that nothing is left.
    pub fn end(mut self) {
        while !self.sent.is_empty() {
            self.apply(Event::Complete { index: 0, completion: 0 });
        }
        self.apply(Event::Wait(1000));
        while !self.sent.is_empty() {
            self.apply(Event::Complete { index: 0, completion: 0 });
        }
        assert_eq!(self.scheduler.waiting(), 0);
        for key in 0..KEYS {
            assert_eq!(self.scheduler.key_in_flight(&key_name(key)), 0);
            assert_eq!(self.scheduler.in_flight(Shard(shard_of(key))), 0);
        }
    }
}

fn nth<T>(map: &BTreeMap<u64, T>, index: usize) -> Option<u64> {
    map.keys().nth(index % map.len().max(1)).copied()
}
