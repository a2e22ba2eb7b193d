//! Targets of a lane and the selection among them.

use std::net::SocketAddr;

use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::lane::State;
use crate::queue::Queue;
use crate::scope::Member;
use crate::slots::Slots;

/// A target of the lane.
#[derive(Debug)]
pub struct Backend {
    /// Number of the target in its lane.
    pub member: Member,
    /// Name of the target.
    pub name: name::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Token of a pooled target.
    pub token: Option<Token>,
    /// Moment until which requests may be written to the target.
    pub allow_until: Stamp,
    /// True if the target is kept only until its permits are back.
    pub removed: bool,
    /// Slots of the target.
    pub slots: Slots,
    /// Requests that wait for a slot of the target.
    pub queue: Queue,
}

impl Backend {
    /// Returns true if requests may be written to the target now.
    pub fn accepts(&self, now: Stamp) -> bool {
        !self.removed && self.slots.accepts() && now < self.allow_until
    }

    /// Returns true if the target accepts one more request now.
    pub fn free(&self, now: Stamp) -> bool {
        self.accepts(now) && self.slots.free(now)
    }

    fn pooled(&self, now: Stamp) -> bool {
        self.accepts(now) && self.token.is_some()
    }

    /// Changes address and state. A removed target that returns needs a new token and permission.
    pub fn restate(&mut self, address: SocketAddr, state: State, now: Stamp) {
        if self.removed {
            self.removed = false;
            self.token = None;
            self.allow_until = Stamp::default();
        }
        self.address = address;
        self.slots.set_state(state, now);
    }
}

/// The targets of a lane, in the order in which they were added.
#[derive(Debug, Default)]
pub struct Fleet {
    list: Vec<Backend>,
    last: Member,
    rotation: usize,
}

impl Fleet {
    /// Adds a target without permission.
    pub fn add(&mut self, target: &name::Target, address: SocketAddr, slots: Slots) {
        self.last += 1;
        self.list.push(Backend {
            member: self.last,
            name: target.clone(),
            address,
            token: None,
            allow_until: Stamp::default(),
            removed: false,
            slots,
            queue: Queue::default(),
        });
    }

    /// Drops a removed target once no permit for it is out.
    pub fn forget(&mut self, member: Member) {
        let gone = |backend: &Backend| {
            backend.member == member && backend.removed && backend.slots.in_flight() == 0
        };
        if self.get(member).is_some_and(gone) {
            self.list.retain(|backend| backend.member != member);
        }
    }

    /// Returns the targets.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.list.iter()
    }

    /// Returns the targets.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.list.iter_mut()
    }

    /// Returns how many targets there are, without removed ones.
    pub fn count(&self) -> usize {
        self.list.iter().filter(|backend| !backend.removed).count()
    }

    /// Returns a target by its number.
    pub fn get(&self, member: Member) -> Option<&Backend> {
        self.list.iter().find(|backend| backend.member == member)
    }

    /// Returns a target by its number.
    pub fn get_mut(&mut self, member: Member) -> Option<&mut Backend> {
        self.list.iter_mut().find(|backend| backend.member == member)
    }

    /// Returns a target by its name.
    pub fn named(&self, target: &name::Target) -> Option<&Backend> {
        self.list.iter().find(|backend| backend.name == *target)
    }

    /// Returns a target by its name.
    pub fn named_mut(&mut self, target: &name::Target) -> Option<&mut Backend> {
        self.list.iter_mut().find(|backend| backend.name == *target)
    }

    /// Returns true if a target is lost or no longer known.
    pub fn is_lost(&self, member: Member) -> bool {
        self.get(member).is_none_or(|backend| backend.slots.state() == State::Lost)
    }

    /// Selects the target of a pooled lane with the fewest requests in flight; ties rotate.
    ///
    /// The avoided target is selected only if no other target accepts work, even when all others
    /// are busy: a retry on the target that just failed is likely to fail again.
    pub fn least_loaded(&mut self, avoid: Option<&name::Target>, now: Stamp) -> Option<Member> {
        let avoided = |backend: &Backend| avoid == Some(&backend.name);
        let other = self.list.iter().any(|backend| backend.pooled(now) && !avoided(backend));
        let count = self.list.len().max(1);
        let start = self.rotation % count;
        let chosen = (0..count)
            .filter_map(|offset| self.list.get((start + offset) % count))
            .filter(|backend| backend.pooled(now) && backend.slots.free(now))
            .filter(|backend| !(other && avoided(backend)))
            .min_by_key(|backend| backend.slots.in_flight())
            .map(|backend| backend.member);
        if chosen.is_some() {
            self.rotation = (start + 1) % count;
        }
        chosen
    }

    /// Returns the targets of a pooled lane that a request may use now, and whether only one target
    /// accepts work at all, which is then used even by requests that avoid it.
    pub fn open(&self, now: Stamp) -> (Vec<&name::Target>, bool) {
        let open = || self.list.iter().filter(|backend| backend.pooled(now));
        let free = open().filter(|backend| backend.slots.free(now)).map(|backend| &backend.name);
        (free.collect(), open().count() == 1)
    }
}
