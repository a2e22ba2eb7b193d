//! When an instance may take a group's term.

use std::time::Duration;

use caraway_core::name;
use caraway_core::shard;
use caraway_core::time::Stamp;

/// Distance between terms that are taken from the store.
///
/// The terms between two of them are reserved for the successors that a holder names, one for each.
pub const TERM_STEP: u64 = 16;

/// Silence after which a coordinator is suspected; heartbeats come every 100 ms.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(350);

/// Additional wait of each rank, so that usually one instance tries to take a term.
pub const RANK_DELAY: Duration = Duration::from_millis(150);

/// Time that the message of a handover may take after the record names the receiver.
pub const HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time since a holder named a successor within which the reserved term may be used.
pub const NOMINATION_VALIDITY: Duration = Duration::from_millis(400);

/// Time for which a holder names no successor before it names another one.
pub const NOMINATION_PAUSE: Duration = Duration::from_secs(1);

/// Returns the next term that may be taken from the store after `term`, reserved terms included.
pub fn next_term(term: u64) -> u64 {
    (term / TERM_STEP + 1) * TERM_STEP
}

/// Returns the reserved term of the `index`-th successor that the holder of `term` names.
///
/// None if the holder has used up its reserved terms.
pub fn reserved_term(term: u64, index: u64) -> Option<u64> {
    (index + 1 < TERM_STEP).then(|| term / TERM_STEP * TERM_STEP + index + 1)
}

/// What an instance knows about another instance of its failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// When it was last heard from, or when it was first listed if it never was.
    pub last_heard: Stamp,
    /// When its process was proved gone.
    pub gone_at: Option<Stamp>,
    /// True if it is in a planned stop.
    pub stopping: bool,
    /// True if this process was ever heard from, so that it knows of the listening one.
    pub contacted: bool,
}

impl Peer {
    /// Returns true if the instance can be relied on at this moment.
    pub fn alive(&self, now: Stamp) -> bool {
        self.gone_at.is_none() && !self.stopping && now.since(self.last_heard) <= SUSPICION_TIMEOUT
    }
}

/// An instance that could take a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub instance: name::Instance,
    /// Groups that it coordinates.
    pub groups: usize,
}

/// Returns the place of an instance in the order in which candidates try to take a group.
///
/// Candidates with fewer groups come first. Equal ones are ordered by rendezvous hash (the hash of
/// group and instance), so that different groups prefer different instances.
pub fn rank(group: &name::Group, me: &name::Instance, candidates: &[Candidate]) -> Option<usize> {
    let mut order: Vec<&Candidate> = candidates.iter().collect();
    order.sort_by_key(|candidate| {
        let text = format!("{group}|{}", candidate.instance);
        (candidate.groups, shard::hash(text.as_bytes()))
    });
    order.iter().position(|candidate| candidate.instance == *me)
}

/// The holder of a group as an instance sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Holder {
    /// The group never had a coordinator.
    Nobody,
    /// The record names this process, which does not coordinate the group.
    Own,
    /// The record names a former incarnation of this instance.
    Replaced,
    /// A peer holds the group.
    Peer(Peer),
}

/// Whether the term may be taken now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The holder is alive, or another candidate comes first.
    Wait,
    /// The holder is silent but not proved gone, and its silence is not enough: the group's targets do not check
    /// tokens, or this instance has never heard from the holder.
    Blocked,
    /// The term may be taken by compare-and-swap.
    Claim,
}

/// Decides whether the candidate of the given rank may take a group's term.
///
/// `vacant_since` is when this instance first saw the group without a coordinator; the rank delay
/// counts from the moment of suspicion.
pub fn judge(
    holder: &Holder,
    rank: usize,
    checked: bool,
    vacant_since: Stamp,
    now: Stamp,
) -> Verdict {
    let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
    match holder {
        Holder::Own => due(now >= vacant_since + HANDOVER_TIMEOUT),
        Holder::Nobody | Holder::Replaced => due(now >= vacant_since + delay),
        Holder::Peer(peer) => judge_peer(peer, delay, checked, now),
    }
}

fn due(due: bool) -> Verdict {
    if due { Verdict::Claim } else { Verdict::Wait }
}

fn judge_peer(peer: &Peer, delay: Duration, checked: bool, now: Stamp) -> Verdict {
    if let Some(at) = peer.gone_at {
        return due(now >= at + delay);
    }
    if now.since(peer.last_heard) <= SUSPICION_TIMEOUT + delay {
        return Verdict::Wait;
    }
    // A holder asks everybody it knows of before it places the shards of a silent target. It can only know
    // of an instance that it has exchanged heartbeats with, so others may not act on its silence.
    let checked = checked && peer.contacted;
    if checked { Verdict::Claim } else { Verdict::Blocked }
}

/// Decides whether a named successor may use its reserved term, which needs no call to the store.
///
/// `named` is when the holder last named this instance. The holder must be proved gone, and must
/// have named it shortly before: a holder names nobody for a while before it names someone else, so
/// no two instances rely on the same holder's word at once.
pub fn may_succeed(holder: &Peer, named: Stamp) -> bool {
    holder.gone_at.is_some_and(|at| at.since(named) <= NOMINATION_VALIDITY)
}
