//! Targets of a lane and the selection among them.

use std::net::SocketAddr;
use std::time::Duration;

use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::controller::State;
use crate::queue::Queue;
use crate::scope::Member;
use crate::slots::Slots;

/// Remaining permission below which a target counts as silent. A grant lasts 600 ms and is renewed
/// every 150 ms, so at least one renewal was not acknowledged.
const SILENT: Duration = Duration::from_millis(300);

/// A target of the lane.
#[derive(Debug)]
pub struct Target {
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

impl Target {
    /// Returns true if requests may be written to the target now.
    pub fn accepts(&self, now: Stamp) -> bool {
        !self.removed && self.slots.accepts() && now < self.allow_until
    }

    /// Returns true if the permission for the target has ended or ends soon because the target does
    /// not acknowledge renewals.
    pub fn is_silent(&self, now: Stamp) -> bool {
        self.allow_until.since(now) < SILENT
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
            self.slots.restart(now);
        }
        self.address = address;
        self.slots.set_state(state, now);
    }
}

/// The targets of a lane, in the order in which they were added.
#[derive(Debug, Default)]
pub struct Fleet {
    list: Vec<Target>,
    last: Member,
    rotation: usize,
}

impl Fleet {
    /// Adds a target without permission.
    pub fn add(&mut self, name: &name::Target, address: SocketAddr, slots: Slots) {
        self.last += 1;
        self.list.push(Target {
            member: self.last,
            name: name.clone(),
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
        let gone = |target: &Target| {
            target.member == member && target.removed && target.slots.in_flight() == 0
        };
        if self.get(member).is_some_and(gone) {
            self.list.retain(|target| target.member != member);
        }
    }

    /// Returns the targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.list.iter()
    }

    /// Returns the targets.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.list.iter_mut()
    }

    /// Returns how many targets there are, without removed ones.
    pub fn count(&self) -> usize {
        self.list.iter().filter(|target| !target.removed).count()
    }

    /// Returns a target by its number.
    pub fn get(&self, member: Member) -> Option<&Target> {
        self.list.iter().find(|target| target.member == member)
    }

    /// Returns a target by its number.
    pub fn get_mut(&mut self, member: Member) -> Option<&mut Target> {
        self.list.iter_mut().find(|target| target.member == member)
    }

    /// Returns a target by its name, even if it is removed.
    pub fn known(&self, name: &name::Target) -> Option<&Target> {
        self.list.iter().find(|target| target.name == *name)
    }

    /// Returns a target by its name, even if it is removed.
    pub fn known_mut(&mut self, name: &name::Target) -> Option<&mut Target> {
        self.list.iter_mut().find(|target| target.name == *name)
    }

    /// Returns a target that is not removed by its name.
    pub fn named(&self, name: &name::Target) -> Option<&Target> {
        self.known(name).filter(|target| !target.removed)
    }

    /// Returns a target that is not removed by its name.
    pub fn named_mut(&mut self, name: &name::Target) -> Option<&mut Target> {
        self.known_mut(name).filter(|target| !target.removed)
    }

    /// Returns true if a target is lost or no longer known.
    pub fn is_lost(&self, member: Member) -> bool {
        self.get(member).is_none_or(|target| target.slots.state() == State::Lost)
    }

    /// Selects the target of a pooled lane with the fewest requests in flight; ties rotate.
    ///
    /// The avoided target is selected only if no other target accepts work, even when all others
    /// are busy: a retry on the target that just failed is likely to fail again.
    pub fn least_loaded(&mut self, avoid: Option<&name::Target>, now: Stamp) -> Option<Member> {
        let avoided = |target: &Target| avoid == Some(&target.name);
        let other = self.list.iter().any(|target| target.pooled(now) && !avoided(target));
        let count = self.list.len().max(1);
        let start = self.rotation % count;
        let chosen = (0..count)
            .filter_map(|offset| self.list.get((start + offset) % count))
            .filter(|target| target.pooled(now) && target.slots.free(now))
            .filter(|target| !(other && avoided(target)))
            .min_by_key(|target| target.slots.in_flight())
            .map(|target| target.member);
        if chosen.is_some() {
            self.rotation = (start + 1) % count;
        }
        chosen
    }

    /// Returns the targets of a pooled lane that a request may use now, and whether only one target
    /// accepts work at all, which is then used even by requests that avoid it.
    pub fn open(&self, now: Stamp) -> (Vec<&name::Target>, bool) {
        let open = || self.list.iter().filter(|target| target.pooled(now));
        let free = open().filter(|target| target.slots.free(now)).map(|target| &target.name);
        (free.collect(), open().count() == 1)
    }
}
