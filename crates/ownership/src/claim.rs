//! Rules for when an instance may claim the term of a group.

use std::time::Duration;

use caraway_core::name;
use caraway_core::shard;
use caraway_core::time::Stamp;

/// Distance between terms that are claimed in the store.
///
/// The terms in between are reserved for the successors that a holder names, one for each.
pub const TERM_STEP: u64 = 16;

/// Silence after which a coordinator is suspected; heartbeats are sent every 100 ms.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(350);

/// Additional delay for each rank, so that usually only one instance tries to claim a term.
pub const RANK_DELAY: Duration = Duration::from_millis(150);

/// Time that the receiver of a handover waits for its message after the record names the receiver.
pub const HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time between the last nomination of a successor and the end of the holder for which the
/// reserved term may be used.
pub const NOMINATION_VALIDITY: Duration = Duration::from_millis(400);

/// Time for which a holder names no successor before it names another one. It is longer than
/// [`NOMINATION_VALIDITY`], so that the earlier nomination has expired.
pub const NOMINATION_PAUSE: Duration = Duration::from_secs(1);

/// Returns the next term that may be claimed in the store, above `term` and its reserved terms.
pub fn next_term(term: u64) -> u64 {
    (term / TERM_STEP + 1) * TERM_STEP
}

/// Returns the reserved term of the `index`-th successor that the holder of `term` names.
///
/// `None` if the holder has used up its reserved terms.
pub fn reserved_term(term: u64, index: u64) -> Option<u64> {
    (index + 1 < TERM_STEP).then(|| term / TERM_STEP * TERM_STEP + index + 1)
}

/// State of another instance of the failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Time of its last heartbeat, or of its first listing if it never sent one.
    pub last_heard: Stamp,
    /// Time at which its process was proved gone.
    pub gone_at: Option<Stamp>,
    /// True if it announced a planned stop.
    pub stopping: bool,
    /// True if a heartbeat of this process was ever received, so that it knows of this instance.
    pub contacted: bool,
}

impl Peer {
    /// Returns true if the instance is considered alive.
    pub fn alive(&self, now: Stamp) -> bool {
        self.gone_at.is_none() && !self.stopping && now.since(self.last_heard) <= SUSPICION_TIMEOUT
    }
}

/// An instance that could claim a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Groups that it coordinates.
    pub groups: usize,
}

/// Returns the position of an instance in the order in which candidates try to claim a group.
///
/// Candidates with fewer groups come first. Ties are broken by rendezvous hash (the hash of group
/// and instance), so that different groups prefer different instances.
pub fn rank(
    group: &name::Group,
    local: &name::Instance,
    candidates: &[Candidate],
) -> Option<usize> {
    let mut order: Vec<&Candidate> = candidates.iter().collect();
    order.sort_by_key(|candidate| {
        let text = format!("{group}|{}", candidate.instance);
        (candidate.groups, shard::hash(text.as_bytes()))
    });
    order.iter().position(|candidate| candidate.instance == *local)
}

/// The holder of a group as seen by this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Holder {
    /// The group never had a coordinator.
    Nobody,
    /// The record names this process, which does not coordinate the group.
    Own,
    /// The record names an earlier incarnation of this instance.
    Replaced,
    /// Another instance holds the group.
    Peer(Peer),
}

/// Whether the term may be claimed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The holder is alive, or another candidate comes first.
    Wait,
    /// The holder is silent but not proved gone, and silence is not sufficient: the targets of the group
    /// do not check tokens, or this instance never received a heartbeat of the holder.
    Blocked,
    /// The term may be claimed by compare-and-swap.
    Claim,
}

/// Decides whether the candidate of the given rank may claim the term of a group.
///
/// `vacant_since` is the time at which this instance first saw the group without a live coordinator.
/// For a silent holder, the rank delay starts with its suspicion.
pub fn judge(
    holder: &Holder,
    rank: usize,
    checked: bool,
    vacant_since: Stamp,
    now: Stamp,
) -> Verdict {
    let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
    match holder {
        Holder::Own => claim_if(now >= vacant_since + HANDOVER_TIMEOUT),
        Holder::Nobody | Holder::Replaced => claim_if(now >= vacant_since + delay),
        Holder::Peer(peer) => judge_peer(peer, delay, checked, now),
    }
}

fn claim_if(due: bool) -> Verdict {
    if due { Verdict::Claim } else { Verdict::Wait }
}

fn judge_peer(peer: &Peer, delay: Duration, checked: bool, now: Stamp) -> Verdict {
    if let Some(at) = peer.gone_at {
        return claim_if(now >= at + delay);
    }
    if now.since(peer.last_heard) <= SUSPICION_TIMEOUT + delay {
        return Verdict::Wait;
    }
    // A holder asks all instances that it knows before it places the shards of a silent target. It knows
    // only instances that it has exchanged heartbeats with, so others must not act on its silence.
    let checked = checked && peer.contacted;
    if checked { Verdict::Claim } else { Verdict::Blocked }
}

/// Decides whether a nominated successor may use its reserved term, which needs no call to the store.
///
/// `named` is the time of the last nomination of this instance. The holder must be proved gone and
/// must have nominated it shortly before: a holder pauses before it nominates another instance, so
/// no two instances act on nominations of the same holder at the same time.
pub fn may_succeed(holder: &Peer, named: Stamp) -> bool {
    holder.gone_at.is_some_and(|at| at.since(named) <= NOMINATION_VALIDITY)
}
