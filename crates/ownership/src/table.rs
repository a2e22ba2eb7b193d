//! Tables of a group machine: one row a target, one row a shard.

use std::collections::BTreeSet;
use std::ops::Range;

use caraway_core::name;
use caraway_core::shard;
use caraway_core::time::Stamp;

use crate::event::Cause;
use crate::event::Health;
use crate::grant::Contact;

/// Row of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// Latest proof of contact; none while the target has no grant of this coordinator.
    pub contact: Option<Contact>,
    /// True while the target may hold a grant of a former coordinator.
    pub exposed: bool,
    /// True if the target answered or was proved gone since the machine started.
    pub seen: bool,
    /// Shards that the target may believe to own through grants of this coordinator.
    pub maybe: BTreeSet<u32>,
    /// Sequence and set of the latest grant sent, whether it was answered or not.
    pub sent: Option<Sent>,
    /// Sequence of the latest grant that the target acknowledged.
    pub acked: u64,
    /// Moment of the next call to the target.
    pub next_call: Stamp,
    /// True if the target gets no new shards.
    pub leaving: bool,
    /// The grants to this incarnation wait for a check of the term that begins after this moment.
    pub unconfirmed_since: Option<Stamp>,
    /// Usability last told to the lane.
    pub health: Health,
    /// True while a lost, unchecked target may still run requests.
    pub await_idle: bool,
}

/// A grant that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sent {
    /// Its sequence.
    pub seq: u64,
    /// Its whole set of shards.
    pub set: BTreeSet<u32>,
}

impl Target {
    /// Makes the row of a target that has not been contacted.
    pub fn new(name: name::Target, exposed: bool, now: Stamp) -> Self {
        Self {
            name,
            contact: None,
            exposed,
            seen: false,
            maybe: BTreeSet::new(),
            sent: None,
            acked: 0,
            next_call: now,
            leaving: false,
            unconfirmed_since: None,
            health: Health::Lost,
            await_idle: false,
        }
    }

    /// Returns true if the target can be given shards now.
    pub fn usable(&self) -> bool {
        self.contact.is_some() && !self.leaving && self.unconfirmed_since.is_none()
    }

    /// Forgets contact and grants, after proof that none is in force.
    pub fn reset(&mut self) {
        self.contact = None;
        self.maybe.clear();
        self.sent = None;
    }
}

/// How far the ownership of a shard has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Nobody owns the shard.
    Unowned,
    /// The owner's grant is on its way.
    Granting,
    /// The owner acknowledged its grant.
    Owned,
    /// The owner still has the grant; its requests in flight finish before it ends.
    Draining,
    /// A grant without the shard is on its way to the owner.
    Revoking,
}

impl Stage {
    /// Returns true if the owner has acknowledged its grant and requests may be in flight.
    pub fn is_held(self) -> bool {
        matches!(self, Self::Owned | Self::Draining)
    }

    /// Returns true if the owner's grant carries the shard.
    pub fn is_granted(self) -> bool {
        matches!(self, Self::Granting | Self::Owned | Self::Draining)
    }
}

/// Row of a shard.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Index of the owner, or of the target that is to become the owner.
    pub owner: Option<usize>,
    /// Index of the target that gets the shard after a move.
    pub heir: Option<usize>,
    /// How far the ownership has come.
    pub stage: Stage,
    /// Sequence of the grant that gave the shard to its owner.
    pub seq: u64,
    /// Why the owner was chosen.
    pub cause: Cause,
    /// True if it is proved, in this term, that no target may believe to own the unowned shard.
    pub free: bool,
    /// The unowned shard waits for a check of the term that begins after this moment.
    pub unconfirmed_since: Option<Stamp>,
}

impl Default for Shard {
    fn default() -> Self {
        Self {
            owner: None,
            heir: None,
            stage: Stage::Unowned,
            seq: 0,
            cause: Cause::Placed,
            free: false,
            unconfirmed_since: None,
        }
    }
}

/// The shards of a group, a contiguous range.
#[derive(Clone, Debug)]
pub struct Shards {
    first: u32,
    rows: Vec<Shard>,
}

impl Shards {
    /// Makes the rows of a range of shards, all unowned.
    pub fn new(range: Range<u32>) -> Self {
        let first = range.start;
        Self { first, rows: range.map(|_| Shard::default()).collect() }
    }

    /// Returns the row of a shard, if it belongs to the group.
    pub fn get(&self, shard: shard::Shard) -> Option<&Shard> {
        self.rows.get(self.position(shard)?)
    }

    /// Returns the row of a shard for changes, if it belongs to the group.
    pub fn get_mut(&mut self, shard: shard::Shard) -> Option<&mut Shard> {
        let position = self.position(shard)?;
        self.rows.get_mut(position)
    }

    /// Iterates over all shards and their rows.
    pub fn iter(&self) -> impl Iterator<Item = (shard::Shard, &Shard)> {
        (self.first..).map(shard::Shard).zip(self.rows.iter())
    }

    /// Iterates over all shards and their rows for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (shard::Shard, &mut Shard)> {
        (self.first..).map(shard::Shard).zip(self.rows.iter_mut())
    }

    /// Returns how many shards a target owns or is to get.
    pub fn load(&self, target: usize) -> usize {
        self.rows.iter().filter(|row| row.heir.or(row.owner) == Some(target)).count()
    }

    /// Makes the shards of a target available, after proof that it cannot own them any more.
    ///
    /// The proof holds for grants of this coordinator. Another one may have taken a higher term and granted
    /// the shards anew, so they wait for a check of the term that begins after `now`.
    ///
    /// The target stays the preferred owner of the shards that have no heir, so that a short loss of
    /// contact with all targets moves nothing.
    pub fn release(&mut self, target: usize, now: Stamp) {
        for row in &mut self.rows {
            if row.heir == Some(target) {
                row.heir = None;
            }
            if row.owner == Some(target) && row.stage != Stage::Unowned {
                row.owner = row.heir.take().or(row.owner);
                row.stage = Stage::Unowned;
                row.free = true;
                row.unconfirmed_since = Some(now);
            }
        }
    }

    /// Chooses the owner of a shard, which gets it with its next grant.
    pub fn begin_grant(&mut self, shard: shard::Shard, owner: usize) {
        if let Some(row) = self.get_mut(shard) {
            row.owner = Some(owner);
            row.stage = Stage::Granting;
            row.free = false;
        }
    }

    fn position(&self, shard: shard::Shard) -> Option<usize> {
        let offset = shard.0.checked_sub(self.first)?;
        usize::try_from(offset).ok().filter(|position| *position < self.rows.len())
    }
}

/// Returns an owner for each of `count` shards, given targets and their loads. No target ends up with more shards
/// than it would if each shard went to the least loaded one.
///
/// Each owner gets consecutive shards. Grants and their answers list ranges: with shards dealt out in turn, an
/// answer has a range for each shard, 12 bytes in every renewal.
pub fn share_out(count: usize, loads: &[(usize, usize)]) -> Vec<usize> {
    let Some(lowest) = loads.iter().map(|(_, load)| *load).min() else { return Vec::new() };
    let room =
        |level: usize| -> usize { loads.iter().map(|(_, load)| level.saturating_sub(*load)).sum() };
    let mut level = lowest;
    while room(level) < count {
        level += 1;
    }
    let filled: Vec<_> = loads.iter().filter(|(_, load)| *load < level).collect();
    // The last ones stay one below the level if the shards do not fill all.
    let full = filled.len().saturating_sub(room(level) - count);
    let owners = filled.into_iter().enumerate().flat_map(|(place, (target, load))| {
        let short = usize::from(place >= full);
        std::iter::repeat_n(*target, level - load - short)
    });
    owners.collect()
}
