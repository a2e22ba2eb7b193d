//! Which target owns which keys, as the store keeps it.

use serde::Deserialize;
use serde::Serialize;

use crate::membership::Incarnation;

/// Largest key.
pub const LAST_KEY: u16 = u16::MAX;

/// Keys from `first` to `last`, both inclusive, that one life of a target owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// The owner.
    pub owner: Incarnation,
    /// Fencing token of the owner's grant. The token below it is used to take the keys from earlier
    /// owners, so the tokens of two holdings differ by two or more.
    pub fence: u64,
    /// Lives that may still hold some of these keys under a lower token.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<Incarnation>,
}

/// The holdings of a service. A change is written to the store before it takes effect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    /// Highest token that was ever given.
    pub fence: u64,
    /// Holdings in the order of their keys; keys in between have no owner.
    pub holdings: Vec<Holding>,
}

/// Keys that get another owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// The new owner.
    pub to: Incarnation,
}

impl Holding {
    /// Returns the number of keys.
    pub fn len(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns false: a holding has one key at least.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Returns first key, last key and token, which together name the holding.
    pub fn id(&self) -> (u16, u16, u64) {
        (self.first, self.last, self.fence)
    }

    /// Returns the token that takes the keys from earlier owners.
    pub fn release_fence(&self) -> u64 {
        self.fence.saturating_sub(1)
    }
}

impl Table {
    /// Returns the holding of a key.
    pub fn find(&self, key: u16) -> Option<&Holding> {
        let index = self.holdings.partition_point(|holding| holding.last < key);
        self.holdings.get(index).filter(|holding| holding.first <= key)
    }

    /// Returns the holdings that have keys between two keys, both inclusive.
    pub fn overlapping(&self, first: u16, last: u16) -> &[Holding] {
        let start = self.holdings.partition_point(|holding| holding.last < first);
        let end = self.holdings.partition_point(|holding| holding.first <= last);
        self.holdings.get(start..end.max(start)).unwrap_or_default()
    }

    /// Gives keys to an owner. Earlier owners of these keys are remembered until
    /// [`Table::remove_earlier`] is told that they hold none.
    pub fn apply(&mut self, step: &Move) {
        let mut kept = Vec::with_capacity(self.holdings.len() + 2);
        let mut earlier: Vec<Incarnation> = Vec::new();
        for holding in self.holdings.drain(..) {
            if holding.last < step.first || holding.first > step.last {
                kept.push(holding);
                continue;
            }
            for life in std::iter::once(&holding.owner).chain(&holding.earlier) {
                if !earlier.contains(life) && *life != step.to {
                    earlier.push(life.clone());
                }
            }
            if holding.first < step.first {
                kept.push(Holding { last: step.first - 1, ..holding.clone() });
            }
            if holding.last > step.last {
                kept.push(Holding { first: step.last + 1, ..holding });
            }
        }
        self.fence += 2;
        let fence = self.fence;
        let (first, last, owner) = (step.first, step.last, step.to.clone());
        kept.push(Holding { first, last, owner, fence, earlier });
        kept.sort_by_key(|holding| holding.first);
        self.holdings = kept;
    }

    /// Gives every holding a new token and joins neighboring ones of the same owner.
    pub fn renew_fences(&mut self) {
        self.merge_adjacent();
        for holding in &mut self.holdings {
            self.fence += 2;
            holding.fence = self.fence;
        }
    }

    /// Joins neighboring holdings of the same owner that no earlier owner has a part in. Each holding
    /// costs a call for every renewal.
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

    /// Forgets an earlier owner that is known to hold no key between `first` and `last` any more
    /// under a token below `fence`.
    pub fn remove_earlier(&mut self, first: u16, last: u16, fence: u64, life: &Incarnation) {
        let inside = |holding: &&mut Holding| {
            holding.fence == fence && first <= holding.first && holding.last <= last
        };
        for holding in self.holdings.iter_mut().filter(inside) {
            holding.earlier.retain(|earlier| earlier != life);
        }
    }

    /// Returns the ranges of keys without an owner.
    pub fn unowned_ranges(&self) -> Vec<(u16, u16)> {
        let mut gaps = Vec::new();
        let mut next = 0_u32;
        for holding in &self.holdings {
            if u32::from(holding.first) > next
                && let (Ok(first), Some(last)) = (u16::try_from(next), holding.first.checked_sub(1))
            {
                gaps.push((first, last));
            }
            next = u32::from(holding.last) + 1;
        }
        if let Ok(first) = u16::try_from(next) {
            gaps.push((first, LAST_KEY));
        }
        gaps
    }
}
