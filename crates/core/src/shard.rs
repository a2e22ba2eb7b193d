//! Shards and the hash that assigns keys to them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A shard of a service: the unit of key ownership.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Shard(pub u32);

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Hashes bytes to 64 bits.
///
/// FNV-1a followed by the 64-bit finalizer of MurmurHash3, which improves the high bits that FNV-1a
/// mixes poorly for short keys. The value is part of the protocol between instances and must never
/// change.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = Hasher::default();
    hasher.update(bytes);
    hasher.finish()
}

/// Computes [`hash`] of bytes that arrive in pieces.
#[derive(Clone, Copy, Debug)]
pub struct Hasher(u64);

impl Default for Hasher {
    fn default() -> Self {
        Self(FNV_OFFSET)
    }
}

impl Hasher {
    /// Adds the next bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Returns the hash of all bytes added so far.
    pub fn finish(self) -> u64 {
        let mut state = self.0;
        state ^= state >> 33;
        state = state.wrapping_mul(0xff51_afd7_ed55_8ccd);
        state ^= state >> 33;
        state = state.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        state ^ (state >> 33)
    }
}

/// Returns the shard of a key among `shards` shards. Zero is treated as one shard.
pub fn of_key(key: &[u8], shards: u32) -> Shard {
    let index = hash(key) % u64::from(shards.max(1));
    Shard(u32::try_from(index).unwrap_or(0))
}
