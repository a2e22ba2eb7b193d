//! A fake target: it takes grants and runs orders, with its own clock and no memory over a restart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use caraway_core::token::Token;
use caraway_ownership::grant::Reply;
use caraway_ownership::grant::State;

/// A grant on its way.
#[derive(Clone, Debug)]
pub struct Offer {
    pub token: Token,
    pub incarnation: u64,
    pub valid_until_ms: u64,
    pub shards: Option<BTreeSet<u32>>,
}

#[derive(Clone, Debug)]
pub struct Target {
    pub offset_ms: u64,
    pub incarnation: u64,
    pub frozen: bool,
    highest: Token,
    valid_until_ms: u64,
    shards: BTreeMap<u32, Token>,
}

impl Target {
    pub fn new(offset_ms: u64) -> Self {
        Self {
            offset_ms,
            incarnation: 1,
            frozen: false,
            highest: Token::default(),
            valid_until_ms: 0,
            shards: BTreeMap::new(),
        }
    }

    pub fn restart(&mut self) {
        let offset_ms = self.offset_ms;
        *self = Self { incarnation: self.incarnation + 1, ..Self::new(offset_ms) };
    }

    /// Returns true if the target believes to own a shard at this moment of its clock.
    pub fn owns(&self, shard: u32, clock_ms: u64) -> bool {
        self.shards.contains_key(&shard) && clock_ms < self.valid_until_ms
    }

    /// Returns true if a request with this token starts to run.
    pub fn runs(&self, shard: u32, token: Token, clock_ms: u64) -> bool {
        let granted = self.shards.get(&shard).is_some_and(|granted| token >= *granted);
        token.term == self.highest.term && granted && clock_ms < self.valid_until_ms
    }

    pub fn take(&mut self, offer: Option<&Offer>, clock_ms: u64) -> Reply {
        let accepted = offer.is_some_and(|offer| self.apply(offer));
        Reply {
            accepted,
            seq: offer.map(|offer| offer.token.seq),
            incarnation: self.incarnation,
            clock_ms,
            highest: self.highest,
            valid_until_ms: self.valid_until_ms,
            shards: self.shards.keys().copied().collect(),
            state: State::Live,
        }
    }

    fn apply(&mut self, offer: &Offer) -> bool {
        if offer.token < self.highest || offer.incarnation != self.incarnation {
            return false;
        }
        if offer.token.term > self.highest.term {
            self.shards.values_mut().for_each(|granted| *granted = offer.token);
        }
        self.highest = offer.token;
        self.valid_until_ms = offer.valid_until_ms;
        if let Some(shards) = &offer.shards {
            self.shards.retain(|shard, _| shards.contains(shard));
            for shard in shards {
                self.shards.entry(*shard).or_insert(offer.token);
            }
        }
        true
    }
}
