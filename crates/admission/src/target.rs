//! Targets of a group and the selection among them.

use std::net::SocketAddr;
use std::time::Duration;

use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::controller::State;
use crate::queue::Queue;
use crate::scope::TargetId;
use crate::slots::Slots;

/// Remaining validity of the grant below which a target counts as silent. A grant lasts 600 ms and
/// is renewed every 150 ms, so at least one renewal was not acknowledged.
const SILENT_BELOW: Duration = Duration::from_millis(300);

/// A target of the group.
#[derive(Debug)]
pub struct Target {
    /// Identifier of the target within its group.
    pub id: TargetId,
    /// Name of the target.
    pub name: name::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Token for requests to a target of a pooled group.
    pub token: Option<Token>,
    /// Time until which requests may be written to the target.
    pub allow_until: Stamp,
    /// True if the target is kept only until its permits are returned.
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

    /// Returns true if the grant of the target has expired or is about to, because the target does not
    /// acknowledge renewals.
    pub fn is_silent(&self, now: Stamp) -> bool {
        self.allow_until.since(now) < SILENT_BELOW
    }

    /// Returns true if one more request may be sent to the target now.
    pub fn has_free_slot(&self, now: Stamp) -> bool {
        self.accepts(now) && self.slots.has_free(now)
    }

    fn accepts_pooled(&self, now: Stamp) -> bool {
        self.accepts(now) && self.token.is_some()
    }

    /// Updates the address and the state. A removed target that returns needs a new token and a new
    /// write permission.
    pub fn update(&mut self, address: SocketAddr, state: State, now: Stamp) {
        if self.removed {
            self.removed = false;
            self.token = None;
            self.allow_until = Stamp::default();
            self.slots.reset(now);
        }
        self.address = address;
        self.slots.set_state(state, now);
    }
}

/// The targets of a group, in the order in which they were added.
#[derive(Debug, Default)]
pub struct Targets {
    list: Vec<Target>,
    last_id: TargetId,
    rotation: usize,
}

impl Targets {
    /// Adds a target that requests may not be written to yet.
    pub fn add(&mut self, name: &name::Target, address: SocketAddr, slots: Slots) {
        self.last_id += 1;
        self.list.push(Target {
            id: self.last_id,
            name: name.clone(),
            address,
            token: None,
            allow_until: Stamp::default(),
            removed: false,
            slots,
            queue: Queue::default(),
        });
    }

    /// Drops a removed target once it has no outstanding permits.
    pub fn remove_if_idle(&mut self, id: TargetId) {
        let gone =
            |target: &Target| target.id == id && target.removed && target.slots.in_flight() == 0;
        if self.get(id).is_some_and(gone) {
            self.list.retain(|target| target.id != id);
        }
    }

    /// Iterates over all targets, including removed ones.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.list.iter()
    }

    /// Iterates over all targets, including removed ones.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.list.iter_mut()
    }

    /// Returns the number of targets, without removed ones.
    pub fn count(&self) -> usize {
        self.list.iter().filter(|target| !target.removed).count()
    }

    /// Returns a target by its identifier.
    pub fn get(&self, id: TargetId) -> Option<&Target> {
        self.list.iter().find(|target| target.id == id)
    }

    /// Returns a target by its identifier.
    pub fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        self.list.iter_mut().find(|target| target.id == id)
    }

    /// Returns a target by its name, even if it is removed.
    pub fn find(&self, name: &name::Target) -> Option<&Target> {
        self.list.iter().find(|target| target.name == *name)
    }

    /// Returns a target by its name, even if it is removed.
    pub fn find_mut(&mut self, name: &name::Target) -> Option<&mut Target> {
        self.list.iter_mut().find(|target| target.name == *name)
    }

    /// Returns a target that is not removed by its name.
    pub fn active(&self, name: &name::Target) -> Option<&Target> {
        self.find(name).filter(|target| !target.removed)
    }

    /// Returns a target that is not removed by its name.
    pub fn active_mut(&mut self, name: &name::Target) -> Option<&mut Target> {
        self.find_mut(name).filter(|target| !target.removed)
    }

    /// Returns true if a target is lost or was dropped.
    pub fn is_lost(&self, id: TargetId) -> bool {
        self.get(id).is_none_or(|target| target.slots.state() == State::Lost)
    }

    /// Selects the target of a pooled group with the fewest requests in flight; ties are broken round
    /// robin.
    ///
    /// The avoided target is selected only if no other target accepts requests. If all others are
    /// busy, the request waits: a retry on the target that just failed is likely to fail again.
    pub fn least_loaded(&mut self, avoid: Option<&name::Target>, now: Stamp) -> Option<TargetId> {
        let is_avoided = |target: &Target| avoid == Some(&target.name);
        let other =
            self.list.iter().any(|target| target.accepts_pooled(now) && !is_avoided(target));
        let count = self.list.len().max(1);
        let start = self.rotation % count;
        let chosen = (0..count)
            .filter_map(|offset| self.list.get((start + offset) % count))
            .filter(|target| target.accepts_pooled(now) && target.slots.has_free(now))
            .filter(|target| !(other && is_avoided(target)))
            .min_by_key(|target| target.slots.in_flight())
            .map(|target| target.id);
        if chosen.is_some() {
            self.rotation = (start + 1) % count;
        }
        chosen
    }

    /// Returns the targets of a pooled group with a free slot, and whether only one target accepts
    /// requests at all, which is then used even by requests that avoid it.
    pub fn available(&self, now: Stamp) -> (Vec<&name::Target>, bool) {
        let available = || self.list.iter().filter(|target| target.accepts_pooled(now));
        let free =
            available().filter(|target| target.slots.has_free(now)).map(|target| &target.name);
        (free.collect(), available().count() == 1)
    }
}
