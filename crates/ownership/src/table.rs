//! State of a group machine: one row per target and one row per shard.

use std::collections::BTreeSet;
use std::ops::Range;

use caraway_core::name;
use caraway_core::shard;
use caraway_core::time::Stamp;

use crate::event::Cause;
use crate::event::Health;
use crate::grant::Contact;

/// State of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// Latest proof of contact; `None` while this coordinator is not in contact with the target.
    pub contact: Option<Contact>,
    /// True while the target may hold a grant of a previous coordinator.
    pub may_hold_previous_grant: bool,
    /// True if the target has answered or was proved gone since the machine started.
    pub seen: bool,
    /// Shards that the target may consider its own, based on grants of this coordinator.
    pub may_own: BTreeSet<u32>,
    /// The latest grant with a changed set of shards, whether acknowledged or not.
    pub last_sent: Option<Sent>,
    /// Sequence number of the latest grant that the target acknowledged.
    pub acked_seq: u64,
    /// Time of the next call to the target.
    pub next_call: Stamp,
    /// True if the target is leaving and receives no new shards.
    pub leaving: bool,
    /// Grants to this incarnation wait for a check of the term that begins at or after this time.
    pub unconfirmed_since: Option<Stamp>,
    /// Health last reported in [`Effect::Health`](crate::event::Effect::Health).
    pub health: Health,
    /// True while requests to a lost, unchecked target may still be in flight.
    pub awaiting_idle: bool,
}

/// A grant that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sent {
    /// Sequence number of the grant.
    pub seq: u64,
    /// Complete set of granted shards.
    pub shards: BTreeSet<u32>,
}

impl Target {
    /// Creates the row of a target that has not been contacted.
    pub fn new(name: name::Target, may_hold_previous_grant: bool, now: Stamp) -> Self {
        Self {
            name,
            contact: None,
            may_hold_previous_grant,
            seen: false,
            may_own: BTreeSet::new(),
            last_sent: None,
            acked_seq: 0,
            next_call: now,
            leaving: false,
            unconfirmed_since: None,
            health: Health::Lost,
            awaiting_idle: false,
        }
    }

    /// Returns true if shards can be granted to the target now.
    pub fn usable(&self) -> bool {
        self.contact.is_some() && !self.leaving && self.unconfirmed_since.is_none()
    }

    /// Clears the contact and the grants, after proof that none is in force.
    pub fn reset(&mut self) {
        self.contact = None;
        self.may_own.clear();
        self.last_sent = None;
    }
}

/// Stage of a change of ownership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The shard has no owner.
    Unowned,
    /// The grant to the owner is not acknowledged yet.
    Granting,
    /// The owner acknowledged the grant.
    Owned,
    /// The owner still has the grant; requests in flight finish before it is revoked.
    Draining,
    /// A grant without the shard is not acknowledged yet by the owner.
    Revoking,
}

impl Stage {
    /// Returns true if the owner has acknowledged its grant and requests may be in flight.
    pub fn is_held(self) -> bool {
        matches!(self, Self::Owned | Self::Draining)
    }

    /// Returns true if the grant to the owner includes the shard.
    pub fn is_granted(self) -> bool {
        matches!(self, Self::Granting | Self::Owned | Self::Draining)
    }
}

/// State of a shard.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Index of the current, next or preferred owner, depending on the stage.
    pub owner: Option<usize>,
    /// Index of the target that receives the shard after a move.
    pub next_owner: Option<usize>,
    /// Stage of the ownership.
    pub stage: Stage,
    /// Sequence number of the grant that gave the shard to its owner.
    pub seq: u64,
    /// Reason for the choice of the owner.
    pub cause: Cause,
    /// True if it is proved in this term that no target considers the unowned shard its own.
    pub proved_free: bool,
    /// The unowned shard waits for a check of the term that begins at or after this time.
    pub unconfirmed_since: Option<Stamp>,
}

impl Default for Shard {
    fn default() -> Self {
        Self {
            owner: None,
            next_owner: None,
            stage: Stage::Unowned,
            seq: 0,
            cause: Cause::Placed,
            proved_free: false,
            unconfirmed_since: None,
        }
    }
}

/// The shards of a group, which form a contiguous range.
#[derive(Clone, Debug)]
pub struct Shards {
    first: u32,
    rows: Vec<Shard>,
}

impl Shards {
    /// Creates the rows of a range of shards, all unowned.
    pub fn new(range: Range<u32>) -> Self {
        let first = range.start;
        Self { first, rows: range.map(|_| Shard::default()).collect() }
    }

    /// Returns the row of a shard, or `None` if the shard is not in the group.
    pub fn get(&self, shard: shard::Shard) -> Option<&Shard> {
        self.rows.get(self.position(shard)?)
    }

    /// Returns the mutable row of a shard, or `None` if the shard is not in the group.
    pub fn get_mut(&mut self, shard: shard::Shard) -> Option<&mut Shard> {
        let position = self.position(shard)?;
        self.rows.get_mut(position)
    }

    /// Iterates over all shards and their rows.
    pub fn iter(&self) -> impl Iterator<Item = (shard::Shard, &Shard)> {
        (self.first..).map(shard::Shard).zip(self.rows.iter())
    }

    /// Iterates over all shards and their mutable rows.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (shard::Shard, &mut Shard)> {
        (self.first..).map(shard::Shard).zip(self.rows.iter_mut())
    }

    /// Returns the number of shards that a target owns or is about to receive.
    pub fn load(&self, target: usize) -> usize {
        self.rows.iter().filter(|row| row.next_owner.or(row.owner) == Some(target)).count()
    }

    /// Marks the shards of a target as unowned, after proof that it cannot own them any more.
    ///
    /// The proof covers only grants of this coordinator. Another one may have claimed a higher term and
    /// granted the shards again, so they wait for a check of the term that begins at or after `now`.
    ///
    /// The target remains the preferred owner of shards without a next owner, so that a short loss of
    /// contact with all targets moves no shards.
    pub fn release(&mut self, target: usize, now: Stamp) {
        for row in &mut self.rows {
            if row.next_owner == Some(target) {
                row.next_owner = None;
            }
            if row.owner == Some(target) && row.stage != Stage::Unowned {
                row.owner = row.next_owner.take().or(row.owner);
                row.stage = Stage::Unowned;
                row.proved_free = true;
                row.unconfirmed_since = Some(now);
            }
        }
    }

    /// Sets the owner of a shard, which receives it with its next grant.
    pub fn begin_grant(&mut self, shard: shard::Shard, owner: usize) {
        if let Some(row) = self.get_mut(shard) {
            row.owner = Some(owner);
            row.stage = Stage::Granting;
            row.proved_free = false;
        }
    }

    fn position(&self, shard: shard::Shard) -> Option<usize> {
        let offset = shard.0.checked_sub(self.first)?;
        usize::try_from(offset).ok().filter(|position| *position < self.rows.len())
    }
}

/// Returns an owner for each of `count` shards, given pairs of targets and their loads. No target ends up with
/// more shards than if each shard went to the least loaded target.
///
/// Each owner receives consecutive shards, because grants and their answers list ranges: with round-robin
/// distribution, an answer would carry one range per shard, 12 bytes in every renewal.
pub fn distribute(count: usize, loads: &[(usize, usize)]) -> Vec<usize> {
    let Some(lowest) = loads.iter().map(|(_, load)| *load).min() else { return Vec::new() };
    let capacity_below =
        |level: usize| -> usize { loads.iter().map(|(_, load)| level.saturating_sub(*load)).sum() };
    let mut level = lowest;
    while capacity_below(level) < count {
        level += 1;
    }
    let receivers: Vec<_> = loads.iter().filter(|(_, load)| *load < level).collect();
    // The last targets stay one below the level if there are not enough shards to fill all.
    let full_count = receivers.len().saturating_sub(capacity_below(level) - count);
    let owners = receivers.into_iter().enumerate().flat_map(|(position, (target, load))| {
        let shortfall = usize::from(position >= full_count);
        std::iter::repeat_n(*target, level - load - shortfall)
    });
    owners.collect()
}
