//! Ownership of keys by targets, as stored.

use serde::Deserialize;
use serde::Serialize;

use crate::membership::Incarnation;

/// Largest key.
pub const LAST_KEY: u16 = u16::MAX;

/// Keys from `first` to `last`, both inclusive, that one incarnation of a target owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Owner of the keys.
    pub owner: Incarnation,
    /// Fencing token of the owner's grant. The token below it is used to release the keys from
    /// earlier owners, so the tokens of two holdings differ by at least two.
    pub fence: u64,
    /// Incarnations that may still hold some of these keys under a lower token.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<Incarnation>,
}

/// Holdings of a service. A change is written to the store before it takes effect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    /// Highest token that was ever assigned.
    pub fence: u64,
    /// Holdings in key order. Keys between them have no owner.
    pub holdings: Vec<Holding>,
}

/// Reassignment of keys to another owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// New owner.
    pub to: Incarnation,
}

impl Holding {
    /// Returns the number of keys.
    pub fn len(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns false, since a holding has at least one key.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Returns first key, last key and token, which together identify the holding.
    pub fn id(&self) -> (u16, u16, u64) {
        (self.first, self.last, self.fence)
    }

    /// Returns the token that releases the keys from earlier owners.
    pub fn release_fence(&self) -> u64 {
        self.fence.saturating_sub(1)
    }
}

impl Table {
    /// Returns the holding that contains a key.
    pub fn find(&self, key: u16) -> Option<&Holding> {
        let index = self.holdings.partition_point(|holding| holding.last < key);
        self.holdings.get(index).filter(|holding| holding.first <= key)
    }

    /// Returns the holdings that overlap a range of keys, both ends inclusive.
    pub fn overlapping(&self, first: u16, last: u16) -> &[Holding] {
        let start = self.holdings.partition_point(|holding| holding.last < first);
        let end = self.holdings.partition_point(|holding| holding.first <= last);
        self.holdings.get(start..end.max(start)).unwrap_or_default()
    }

    /// Assigns keys to a new owner under a new token. Earlier owners of these keys are kept until
    /// [`Table::remove_earlier`] removes them.
    pub fn apply(&mut self, key_move: &Move) {
        let mut kept = Vec::with_capacity(self.holdings.len() + 2);
        let mut earlier: Vec<Incarnation> = Vec::new();
        for holding in self.holdings.drain(..) {
            if holding.last < key_move.first || holding.first > key_move.last {
                kept.push(holding);
                continue;
            }
            for incarnation in std::iter::once(&holding.owner).chain(&holding.earlier) {
                if !earlier.contains(incarnation) && *incarnation != key_move.to {
                    earlier.push(incarnation.clone());
                }
            }
            if holding.first < key_move.first {
                kept.push(Holding { last: key_move.first - 1, ..holding.clone() });
            }
            if holding.last > key_move.last {
                kept.push(Holding { first: key_move.last + 1, ..holding });
            }
        }
        self.fence += 2;
        let fence = self.fence;
        let (first, last, owner) = (key_move.first, key_move.last, key_move.to.clone());
        kept.push(Holding { first, last, owner, fence, earlier });
        kept.sort_by_key(|holding| holding.first);
        self.holdings = kept;
    }

    /// Merges adjacent holdings of the same owner and assigns a new token to every holding.
    pub fn renew_fences(&mut self) {
        self.merge_adjacent();
        for holding in &mut self.holdings {
            self.fence += 2;
            holding.fence = self.fence;
        }
    }

    /// Merges adjacent holdings of the same owner that have no earlier owners, since every holding
    /// costs one call for each renewal.
    pub fn merge_adjacent(&mut self) {
        let mut joined: Vec<Holding> = Vec::with_capacity(self.holdings.len());
        for holding in self.holdings.drain(..) {
            if let Some(before) = joined.last_mut()
                && before.last.checked_add(1) == Some(holding.first)
                && before.owner == holding.owner
                && before.earlier.is_empty()
                && holding.earlier.is_empty()
            {
                before.last = holding.last;
                self.fence += 2;
                before.fence = self.fence;
                continue;
            }
            joined.push(holding);
        }
        self.holdings = joined;
    }

    /// Removes an earlier owner that is known to hold no key from `first` to `last` under a token
    /// below `fence`.
    pub fn remove_earlier(&mut self, first: u16, last: u16, fence: u64, incarnation: &Incarnation) {
        let covered = |holding: &&mut Holding| {
            holding.fence == fence && first <= holding.first && holding.last <= last
        };
        for holding in self.holdings.iter_mut().filter(covered) {
            holding.earlier.retain(|earlier| earlier != incarnation);
        }
    }

    /// Returns the ranges of keys without an owner.
    pub fn unowned_ranges(&self) -> Vec<(u16, u16)> {
        let mut ranges = Vec::new();
        let mut next = 0_u32;
        for holding in &self.holdings {
            if u32::from(holding.first) > next
                && let (Ok(first), Some(last)) = (u16::try_from(next), holding.first.checked_sub(1))
            {
                ranges.push((first, last));
            }
            next = u32::from(holding.last) + 1;
        }
        if let Ok(first) = u16::try_from(next) {
            ranges.push((first, LAST_KEY));
        }
        ranges
    }
}
