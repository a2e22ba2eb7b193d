//! The grant: which shards and keys this target owns, until when, and under which token.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use serde::Deserialize;

use crate::errors::Error;
use crate::errors::Refusal;
use crate::errors::Result;
use crate::token::Token;

/// Largest number of shards of a service.
const SHARD_LIMIT: u32 = 1 << 20;

/// A grant or a renewal, as sent by a coordinator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// Group of the target. It is not checked, because a target belongs to one group.
    #[serde(rename = "group")]
    pub _group: String,
    /// Term of the coordinator.
    pub term: u64,
    /// Sequence within the term.
    pub seq: u64,
    /// Process that may take the grant, or none for any.
    pub incarnation: Option<u64>,
    /// End of the grant on the clock of this target.
    pub valid_until_ms: u64,
    /// Inclusive ranges of shards, or none to keep the shards.
    pub shards: Option<Vec<(u32, u32)>>,
    /// Keys that have a shard of their own, or none to keep the keys.
    pub keys: Option<Vec<String>>,
}

impl Offer {
    /// Checks the ranges.
    pub fn check(&self) -> Result<()> {
        let bad = |&&(first, last): &&(u32, u32)| first > last || last >= SHARD_LIMIT;
        match self.shards.iter().flatten().find(bad) {
            Some((first, last)) => Err(Error::Malformed(format!("bad range [{first},{last}]"))),
            None => Ok(()),
        }
    }
}

/// What a request needs from the grant.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Token of the request.
    pub token: Token,
    /// Shard of the request's key.
    pub shard: u32,
    /// Key of the request.
    pub key: String,
}

/// The current grant. Every shard and key has the token that granted it.
#[derive(Debug, Default)]
pub struct Grant {
    highest: Token,
    valid_until_ms: u64,
    shards: BTreeMap<u32, Token>,
    keys: BTreeMap<String, Token>,
}

impl Grant {
    /// Applies an offer if its token is at or above the highest one seen, and returns whether it
    /// was applied.
    ///
    /// Shards and keys that stay in the set keep the token that granted them, unless the term
    /// changes. An offer with the same token as the last one cannot shorten the grant, so that
    /// renewals may arrive in any order.
    pub fn apply(&mut self, offer: Offer) -> bool {
        let token = Token { term: offer.term, seq: offer.seq };
        if token < self.highest {
            return false;
        }
        self.valid_until_ms = if token == self.highest {
            self.valid_until_ms.max(offer.valid_until_ms)
        } else {
            offer.valid_until_ms
        };
        if token.term > self.highest.term {
            self.shards.values_mut().chain(self.keys.values_mut()).for_each(|held| *held = token);
        }
        self.highest = token;
        if let Some(ranges) = offer.shards {
            replace(
                &mut self.shards,
                ranges.into_iter().flat_map(|(first, last)| first..=last),
                token,
            );
        }
        if let Some(keys) = offer.keys {
            replace(&mut self.keys, keys.into_iter(), token);
        }
        true
    }

    /// Checks whether a request may start at `now_ms`.
    pub fn check(&self, claim: &Claim, now_ms: u64) -> std::result::Result<(), Refusal> {
        if claim.token.term != self.highest.term {
            return Err(Refusal::StaleToken);
        }
        let held = self.keys.get(&claim.key).or_else(|| self.shards.get(&claim.shard));
        let granted = held.ok_or(Refusal::NotOwner)?;
        if claim.token < *granted {
            return Err(Refusal::StaleToken);
        }
        if now_ms >= self.valid_until_ms {
            return Err(Refusal::GrantExpired);
        }
        Ok(())
    }

    /// Returns the highest token seen.
    pub fn highest(&self) -> Token {
        self.highest
    }

    /// Returns the end of the grant.
    pub fn valid_until_ms(&self) -> u64 {
        self.valid_until_ms
    }

    /// Returns the granted shards as inclusive ranges.
    pub fn shards(&self) -> Vec<(u32, u32)> {
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for &shard in self.shards.keys() {
            match ranges.last_mut() {
                Some((_, last)) if *last + 1 == shard => *last = shard,
                _ => ranges.push((shard, shard)),
            }
        }
        ranges
    }

    /// Returns the granted keys.
    pub fn keys(&self) -> Vec<&str> {
        self.keys.keys().map(String::as_str).collect()
    }
}

/// Replaces a set. Members that stay keep their token.
fn replace<K: Ord>(set: &mut BTreeMap<K, Token>, members: impl Iterator<Item = K>, token: Token) {
    let mut old = std::mem::take(set);
    for member in members {
        let held = old.remove(&member);
        if let Entry::Vacant(place) = set.entry(member) {
            place.insert(held.unwrap_or(token));
        }
    }
}
