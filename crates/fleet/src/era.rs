//! Eras of the store: what a record of an earlier era is worth.
//!
//! After a restoration from a copy, the store continues under a higher era. What was written since
//! the copy is lost, and revisions are assigned again. Revisions of different eras are therefore
//! ordered by the era first, and the stored ownership tables may be older than the grants that
//! targets still hold.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use caraway_core::time::Stamp;

use crate::coordinator::LEASE_TTL;
use crate::coordinator::Tables;
use crate::membership::Incarnation;

/// Number of low bits of a fencing token that are left to one era. An era has 2 billion tokens, and
/// tokens of two million eras are exact in a 64-bit floating-point number.
const TOKEN_BITS: u32 = 32;

/// Revision of the store. It is serialized as an array of its two fields.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Revision {
    /// Era of the store.
    pub era: u64,
    /// Number within the era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<(u64, u64)> for Revision {
    fn from((era, number): (u64, u64)) -> Self {
        Self { era, number }
    }
}

impl From<Revision> for (u64, u64) {
    fn from(revision: Revision) -> Self {
        (revision.era, revision.number)
    }
}

/// What the era in a response means for its receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The receiver knew this era, or none.
    Current,
    /// The store was restored: everything that is known of it has to be read again.
    Risen,
    /// The response is older than the latest restoration and must be ignored.
    Outdated,
}

/// Latest era of the store that a process has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latest {
    era: Option<u64>,
    /// When the era was first seen.
    seen_at: Stamp,
}

impl Latest {
    /// Returns the era, which is zero until the first response.
    pub fn era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Returns whether an era was seen.
    pub fn is_known(&self) -> bool {
        self.era.is_some()
    }

    /// Returns when the era was first seen. The restoration was earlier.
    pub fn seen_at(&self) -> Stamp {
        self.seen_at
    }

    /// Records the era in a response of the store or of another instance.
    pub fn observe(&mut self, era: u64, now: Stamp) -> Observation {
        match self.era {
            Some(known) if era < known => Observation::Outdated,
            Some(known) if era == known => Observation::Current,
            known => {
                (self.era, self.seen_at) = (Some(era), now);
                if known.is_some() { Observation::Risen } else { Observation::Current }
            }
        }
    }
}

/// Ownership tables as they are stored.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Era in which the tables were written. It is part of their key, so that no late write of an
    /// earlier era can replace them: the revisions in its conditions are assigned again.
    pub era: u64,
    /// The tables.
    pub tables: Tables,
}

/// What a coordinator announces at the end of its term.
#[derive(Clone, Debug, Default)]
pub struct Retirement {
    /// Revision of the tables that the coordinator wrote last.
    pub tables_revision: Revision,
    /// Era whose beginning ended the term of the last coordinator of the era before.
    pub next_era: Option<u64>,
    /// The latest tables, if `next_era` is set.
    pub tables: Tables,
    /// Expiry of the grants by target; other targets hold no keys.
    pub grant_expiries: HashMap<Incarnation, Stamp>,
}

/// Returns whether a coordinator whose term was ended by a new era was the last one of its own era.
/// Its lease was valid until the restoration then, so no other instance can have been elected.
pub fn is_last(confirmed_at: Stamp, era_seen_at: Stamp) -> bool {
    era_seen_at.since(confirmed_at) < LEASE_TTL
}

/// What a new coordinator knows of the owners.
#[derive(Clone, Debug)]
pub enum Basis {
    /// The stored tables were written in the current era. Every grant of the era follows a write.
    Stored(Tables),
    /// The last coordinator of the era before has announced its tables and the ends of all grants.
    Announced(Tables, HashMap<Incarnation, Stamp>),
    /// Any target may hold any key until the longest grant of an earlier era has ended.
    Unknown(Tables),
}

/// Returns what a coordinator that is elected in an era starts from.
pub fn basis(era: u64, stored: Record, retirement: &Retirement) -> Basis {
    if stored.era >= era {
        return Basis::Stored(stored.tables);
    }
    // A retirement of an earlier era does not cover the grants of those in between.
    if retirement.next_era == Some(era) {
        return Basis::Announced(retirement.tables.clone(), retirement.grant_expiries.clone());
    }
    Basis::Unknown(stored.tables)
}

/// Returns until when targets may hold keys under unknown grants of earlier eras. Each grant relied
/// on a confirmation of the leadership that preceded the restoration.
pub fn unknown_grants_end(era_seen_at: Stamp, grant_horizon: Duration) -> Stamp {
    era_seen_at + grant_horizon
}

/// Returns the token above which those of an era start. It exceeds the tokens of all earlier eras,
/// including those that no surviving instance has seen.
pub fn token_floor(era: u64) -> u64 {
    era.checked_mul(1 << TOKEN_BITS).unwrap_or(u64::MAX >> 1)
}
