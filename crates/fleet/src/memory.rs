//! Accounting of the memory that requests and responses in flight may use.
//!
//! A holding is the memory of one body, head or response. Holdings of up to [`SMALL_BYTES`] may use the whole
//! budget; larger ones leave a part of it to the small ones. One caller address gets a share of each.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use caraway_core::time::Stamp;

/// Largest holding that may use the part for small requests.
pub const SMALL_BYTES: u64 = 64 << 10;

/// Memory of the machine that is kept for the program, the control plane and socket handling.
const PROGRAM_BYTES: u64 = 30_000_000;

/// Share of the machine's memory that is left to requests on very small machines.
const LEAST_SHARE: f64 = 0.5;

/// Share of the budget that large holdings leave to small ones.
const SMALL_SHARE: f64 = 0.1;

/// Share of the memory for large holdings, and of the memory that these leave, for one caller address.
const CALLER_SHARE: f64 = 0.5;

/// Share of the budget, and of the part for one caller address, up to which memory is granted that a request can do
/// without.
const OPTIONAL_SHARE: f64 = 0.5;

/// Number of received bytes that count as progress. A client that sends single bytes makes none.
const PROGRESS_BYTES: u64 = 4 << 10;

/// Time without progress after which a body may be given up when memory is short: several retransmissions of
/// a lost packet.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Identifies a holding.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(u64);

/// Answer to a request for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The memory belongs to the holding.
    Granted,
    /// The memory is not available now. The named holding, if any, has been stalled for the longest time and
    /// is to be given up.
    Short(Option<Id>),
    /// The holding would never fit.
    TooLarge,
}

#[derive(Clone, Debug)]
struct Holding {
    caller: IpAddr,
    bytes: u64,
    /// Whether the holding's bytes are still arriving.
    receiving: bool,
    /// Bytes received since the last progress.
    received: u64,
    progress: Stamp,
}

impl Holding {
    fn is_large(&self) -> bool {
        self.bytes > SMALL_BYTES
    }
}

/// Memory in use by one caller or by all, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    small: u64,
    large: u64,
    /// Number of large holdings.
    large_count: u64,
}

impl Usage {
    fn add(&mut self, bytes: u64) {
        if bytes > SMALL_BYTES {
            self.large += bytes;
            self.large_count += 1;
        } else {
            self.small += bytes;
        }
    }

    fn remove(&mut self, bytes: u64) {
        if bytes > SMALL_BYTES {
            self.large = self.large.saturating_sub(bytes);
            self.large_count = self.large_count.saturating_sub(1);
        } else {
            self.small = self.small.saturating_sub(bytes);
        }
    }

    fn sum(&self) -> u64 {
        self.small + self.large
    }
}

/// Memory budget of a process.
#[derive(Clone, Debug)]
pub struct Budget {
    total: u64,
    /// Most that large holdings may use.
    for_large: u64,
    used: Usage,
    callers: HashMap<IpAddr, Usage>,
    holdings: BTreeMap<Id, Holding>,
    next: u64,
}

fn share(bytes: u64, share: f64) -> u64 {
    // Memory sizes are far below 2^52, so that the conversion is exact enough and never negative.
    (bytes as f64 * share) as u64
}

impl Budget {
    /// Returns the budget for requests on a machine with this memory.
    pub fn of_machine(memory_bytes: u64) -> Self {
        let kept = PROGRAM_BYTES.min(share(memory_bytes, 1.0 - LEAST_SHARE));
        Self::new(memory_bytes.saturating_sub(kept))
    }

    /// Returns a budget of this size.
    pub fn new(total: u64) -> Self {
        Self {
            total,
            for_large: total.saturating_sub(share(total, SMALL_SHARE)),
            used: Usage::default(),
            callers: HashMap::new(),
            holdings: BTreeMap::new(),
            next: 0,
        }
    }

    /// Returns the size of the budget.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the memory in use.
    pub fn used(&self) -> u64 {
        self.used.sum()
    }

    /// Begins a holding of a caller, without memory.
    pub fn begin(&mut self, caller: IpAddr, now: Stamp) -> Id {
        let id = Id(self.next);
        self.next += 1;
        let holding = Holding { caller, bytes: 0, receiving: true, received: 0, progress: now };
        self.holdings.insert(id, holding);
        id
    }

    /// Asks for more memory for a holding.
    pub fn grow(&mut self, id: Id, bytes: u64, now: Stamp) -> Answer {
        let Some(holding) = self.holdings.get(&id) else { return Answer::TooLarge };
        let (caller, before) = (holding.caller, holding.bytes);
        let after = before.saturating_add(bytes);
        let large = after > SMALL_BYTES;
        if after > if large { self.for_large } else { self.total } {
            return Answer::TooLarge;
        }
        let (mut used, mut own) =
            (self.used, self.callers.get(&caller).copied().unwrap_or_default());
        used.remove(before);
        own.remove(before);
        let own_alone = own.large_count == 0;
        used.add(after);
        own.add(after);
        let fits = used.sum() <= self.total && (!large || used.large <= self.for_large);
        let within_share = if large {
            own_alone || own.large <= share(self.for_large, CALLER_SHARE)
        } else {
            own.small <= share(self.total.saturating_sub(used.large), CALLER_SHARE)
        };
        if !fits || !within_share {
            let by_share = (!within_share).then_some(caller);
            return Answer::Short(self.stalled(id, large, by_share, now));
        }
        self.used = used;
        self.callers.insert(caller, own);
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.bytes = after;
        }
        Answer::Granted
    }

    /// Asks for more memory that a request can do without. It is granted only while about half of the budget is free, so
    /// that requests that need memory still get it.
    pub fn grow_optional(&mut self, id: Id, bytes: u64, now: Stamp) -> Answer {
        let Some(holding) = self.holdings.get(&id) else { return Answer::TooLarge };
        let own = self.callers.get(&holding.caller).copied().unwrap_or_default();
        let own_part = share(self.total, CALLER_SHARE);
        let within =
            |used: u64, part: u64| used.saturating_add(bytes) <= share(part, OPTIONAL_SHARE);
        if !within(self.used.sum(), self.total) || !within(own.sum(), own_part) {
            return Answer::Short(None);
        }
        self.grow(id, bytes, now)
    }

    /// Returns the holding that has made no progress for the longest time, among those whose end would help.
    fn stalled(&self, asking: Id, large: bool, caller: Option<IpAddr>, now: Stamp) -> Option<Id> {
        let candidates = self.holdings.iter().filter(|(id, holding)| {
            **id != asking
                && holding.receiving
                && holding.bytes > 0
                && holding.is_large() >= large
                && caller.is_none_or(|caller| holding.caller == caller)
                && now.since(holding.progress) >= STALL_TIME
        });
        candidates.min_by_key(|(_, holding)| holding.progress).map(|(id, _)| *id)
    }

    /// Returns part of a holding's memory.
    pub fn shrink(&mut self, id: Id, bytes: u64) {
        let Some(holding) = self.holdings.get_mut(&id) else { return };
        let (before, caller) = (holding.bytes, holding.caller);
        holding.bytes = before.saturating_sub(bytes);
        let after = holding.bytes;
        self.used.remove(before);
        self.used.add(after);
        if let Some(own) = self.callers.get_mut(&caller) {
            own.remove(before);
            own.add(after);
            if own.sum() == 0 {
                self.callers.remove(&caller);
            }
        }
    }

    /// Returns the memory of a holding above `bytes`.
    pub fn shrink_to(&mut self, id: Id, bytes: u64) {
        let held = self.holdings.get(&id).map_or(0, |holding| holding.bytes);
        self.shrink(id, held.saturating_sub(bytes));
    }

    /// Records that bytes of a holding have arrived.
    pub fn record_arrival(&mut self, id: Id, bytes: u64, now: Stamp) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.received += bytes;
            if holding.received >= PROGRESS_BYTES {
                holding.received = 0;
                holding.progress = now;
            }
        }
    }

    /// Records that a holding is complete. It is not given up any more.
    pub fn complete(&mut self, id: Id) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.receiving = false;
        }
    }

    /// Ends a holding and returns its memory.
    pub fn end(&mut self, id: Id) {
        self.shrink(id, u64::MAX);
        self.holdings.remove(&id);
    }
}
