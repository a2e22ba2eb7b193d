//! The grant: the shards and keys that this target owns, the tokens that granted them and the expiry.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use serde::Deserialize;

use crate::errors::Error;
use crate::errors::Refusal;
use crate::errors::Result;
use crate::token::Token;

/// Maximum number of shards of a service.
const MAX_SHARDS: u32 = 1 << 20;

/// A grant or a renewal sent by a coordinator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// Group of the target. It is not checked, because a target belongs to exactly one group.
    #[serde(rename = "group")]
    pub _group: String,
    /// Term of the coordinator.
    pub term: u64,
    /// Sequence within the term.
    pub seq: u64,
    /// Incarnation of the target for which the grant is valid, or `None` for any.
    pub incarnation: Option<u64>,
    /// Expiry of the grant in milliseconds on the clock of this target.
    pub valid_until_ms: u64,
    /// Inclusive ranges of granted shards, or `None` to keep the current ones.
    pub shards: Option<Vec<(u32, u32)>>,
    /// Granted split keys, or `None` to keep the current ones.
    pub keys: Option<Vec<String>>,
}

impl Update {
    /// Validates the shard ranges.
    pub fn check(&self) -> Result<()> {
        let is_invalid = |&&(first, last): &&(u32, u32)| first > last || last >= MAX_SHARDS;
        match self.shards.iter().flatten().find(is_invalid) {
            Some((first, last)) => Err(Error::Malformed(format!("bad range [{first},{last}]"))),
            None => Ok(()),
        }
    }
}

/// Ownership that a request requires.
#[derive(Clone, Debug)]
pub struct Claim {
    pub token: Token,
    /// Shard of the request's key.
    pub shard: u32,
    pub key: String,
}

/// The current grant, with the granting token of each shard and key.
#[derive(Debug, Default)]
pub struct Grant {
    highest: Token,
    valid_until_ms: u64,
    shards: BTreeMap<u32, Token>,
    keys: BTreeMap<String, Token>,
}

impl Grant {
    /// Applies an update unless its token is lower than the highest token seen. Returns true if it was applied.
    ///
    /// Shards and keys that are granted again keep their granting token, unless the term changes. An update
    /// with the same token as the previous one cannot shorten the grant, so renewals may be reordered.
    pub fn apply(&mut self, update: Update) -> bool {
        let token = Token { term: update.term, seq: update.seq };
        if token < self.highest {
            return false;
        }
        self.valid_until_ms = if token == self.highest {
            self.valid_until_ms.max(update.valid_until_ms)
        } else {
            update.valid_until_ms
        };
        if token.term > self.highest.term {
            self.shards.values_mut().chain(self.keys.values_mut()).for_each(|held| *held = token);
        }
        self.highest = token;
        if let Some(ranges) = update.shards {
            replace(
                &mut self.shards,
                ranges.into_iter().flat_map(|(first, last)| first..=last),
                token,
            );
        }
        if let Some(keys) = update.keys {
            replace(&mut self.keys, keys.into_iter(), token);
        }
        true
    }

    /// Checks whether a request may start at `now_ms` on the clock of this target.
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

    /// Returns the expiry of the grant in milliseconds on the clock of this target.
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

    pub fn keys(&self) -> Vec<&str> {
        self.keys.keys().map(String::as_str).collect()
    }
}

/// Replaces a set of shards or keys. Members of both sets keep their token.
fn replace<K: Ord>(set: &mut BTreeMap<K, Token>, members: impl Iterator<Item = K>, token: Token) {
    let mut old = std::mem::take(set);
    for member in members {
        let held = old.remove(&member);
        if let Entry::Vacant(vacant) = set.entry(member) {
            vacant.insert(held.unwrap_or(token));
        }
    }
}
