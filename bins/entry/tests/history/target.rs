//! Simulated target with its own clock: accepts grants, runs orders, and loses its state at a
//! restart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use caraway_core::token::Token;
use caraway_ownership::grant::Reply;
use caraway_ownership::grant::State;

/// A grant call in flight.
#[derive(Clone, Debug)]
pub struct GrantCall {
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

    /// Returns true if the target holds a valid grant of a shard at this time of its clock.
    pub fn owns(&self, shard: u32, clock_ms: u64) -> bool {
        self.shards.contains_key(&shard) && clock_ms < self.valid_until_ms
    }

    /// Returns true if the target accepts a request with this token for execution.
    pub fn accepts_request(&self, shard: u32, token: Token, clock_ms: u64) -> bool {
        let granted = self.shards.get(&shard).is_some_and(|granted| token >= *granted);
        token.term == self.highest.term && granted && clock_ms < self.valid_until_ms
    }

    pub fn handle(&mut self, grant: Option<&GrantCall>, clock_ms: u64) -> Reply {
        let accepted = grant.is_some_and(|grant| self.apply(grant));
        Reply {
            accepted,
            seq: grant.map(|grant| grant.token.seq),
            incarnation: self.incarnation,
            clock_ms,
            highest: self.highest,
            valid_until_ms: self.valid_until_ms,
            shards: self.shards.keys().copied().collect(),
            state: State::Live,
        }
    }

    fn apply(&mut self, grant: &GrantCall) -> bool {
        if grant.token < self.highest || grant.incarnation != self.incarnation {
            return false;
        }
        if grant.token.term > self.highest.term {
            self.shards.values_mut().for_each(|granted| *granted = grant.token);
        }
        self.highest = grant.token;
        self.valid_until_ms = grant.valid_until_ms;
        if let Some(shards) = &grant.shards {
            self.shards.retain(|shard, _| shards.contains(shard));
            for shard in shards {
                self.shards.entry(*shard).or_insert(grant.token);
            }
        }
        true
    }
}
